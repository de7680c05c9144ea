//! Settings of a director, which are fixed when it is created.

use super::ids::{Ms, ZoneId};

/// Whether requests of a class may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Retries are safe after any failure.
    Idempotent,
    /// Hosts deduplicate retries by key, for a limited time and within a group of hosts.
    Keyed,
    /// Retries are safe only if the failed attempt provably did not run.
    NotIdempotent,
}

/// How proxies interpret the quota of `Action::SetAdmission`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AdmissionKind {
    /// Admitted fraction of the requests, from 0 to 1.
    Ratio,
    /// Admitted requests per second.
    Rate,
    /// Proxies ignore quotas and admit all requests.
    #[default]
    Off,
}

/// Where the load that hosts report about themselves comes from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadSource {
    /// Included in the reports of proxies.
    Reports,
    /// Included in responses to health checks.
    HealthChecks,
    /// Hosts report no load.
    #[default]
    Unreported,
}

/// When a proxy retries a request at another host. Variants are ordered from strict to permissive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryPolicy {
    /// No retries.
    #[default]
    Never,
    /// One retry, if the first attempt provably did not run.
    OnceIfNotRun,
    /// One retry after any failure.
    OnceAfterFailure,
    /// Up to two retries after any failure.
    TwiceAfterFailure,
}

/// Latency targets, value and restrictions of a class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Latency up to which a response has its full value.
    pub target_latency: Ms,
    /// Latency above which a response has no value.
    pub deadline: Ms,
    /// Value of a response within the target latency, relative to other classes.
    pub value: f64,
    /// Whether requests of the class may be retried.
    pub idempotency: Idempotency,
    /// Whether requests must be sent to hosts in the proxy's zone.
    pub is_zone_bound: bool,
    /// Whether requests change state.
    pub is_write: bool,
}

/// Size and layout of the deployment.
#[derive(Clone, Debug, Default)]
pub struct FleetSettings {
    /// Number of zones; all zone numbers are below it.
    pub zones: usize,
    /// Zone of this director, if it has one.
    pub own_zone: Option<ZoneId>,
    /// Whether proxies prefer a director of their own zone. Otherwise they pick one at random.
    pub is_zonal: bool,
    /// Index of this director among all directors, starting at 0.
    pub own_index: usize,
    /// Number of directors, this one included.
    pub directors: usize,
    /// Number of proxies of all directors together.
    pub proxies: usize,
}

/// Capacity and transit times of the shared channel.
#[derive(Clone, Debug, Default)]
pub struct ChannelSettings {
    /// Maximum number of lines in the channel's queue.
    pub max_queued_lines: f64,
    /// Nominal throughput in lines per second.
    pub lines_per_second: f64,
    /// Overhead of a message, in lines.
    pub lines_per_message: f64,
    /// Maximum number of messages to one proxy within `message_window`; 0 means no limit.
    pub max_messages: usize,
    /// Length of the sliding window in which messages to a proxy are counted.
    pub message_window: Ms,
    /// Mean time from the channel to the proxy.
    pub mean_transit: Ms,
    /// Maximum time from the channel to the proxy.
    pub max_transit: Ms,
}

/// Start-up, drain and removal of hosts.
#[derive(Clone, Debug, Default)]
pub struct HostSettings {
    /// Time after a drain is announced until the host must not receive requests.
    pub drain_grace: Ms,
    /// Whether a host that leaves the list without draining may stay in tables.
    pub may_keep_unlisted: bool,
    /// Minimum fraction of its capacity that a host has right after its start.
    pub start_capacity: f64,
    /// Age at which a host reaches its full capacity.
    pub warm_up: Ms,
    /// Multiple of its current capacity at which a warming host fails under sustained load.
    pub overload_multiple: f64,
    /// Whether the host list contains weights.
    pub has_listed_weights: bool,
}

/// Built-in behavior of the proxies.
#[derive(Clone, Debug, Default)]
pub struct ProxySettings {
    /// How proxies interpret admission quotas.
    pub admission_kind: AdmissionKind,
    /// Retry policy of the proxies unless a director sets another one.
    pub retry_policy: RetryPolicy,
    /// Number of consecutive failures after which a proxy temporarily ejects a host; 0 means never.
    pub ejection_failures: u32,
}

/// All settings of a director.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Request classes; `ClassId` is an index into them. Must not be empty.
    pub classes: Vec<RequestClass>,
    /// Number of directors, proxies and zones.
    pub fleet: FleetSettings,
    /// Limits of the shared channel. Throughput and queue size must be positive.
    pub channel: ChannelSettings,
    /// Life cycle of hosts.
    pub hosts: HostSettings,
    /// Built-in behavior of the proxies.
    pub proxies: ProxySettings,
    /// Time between two reports of a proxy.
    pub report_interval: Ms,
    /// Source of the load that hosts report about themselves.
    pub load_source: LoadSource,
    /// Cost of a request that crosses zones, in the unit of `RequestClass::value`.
    pub cross_zone_price: f64,
    /// Whether the director may request health checks.
    pub may_check_health: bool,
    /// Whether the director may send messages to other directors.
    pub may_message_peers: bool,
    /// Whether the host list is sent only after `Action::SubscribeToHosts`.
    pub must_subscribe: bool,
}

impl Settings {
    /// Whether there are request classes and the channel has capacity.
    pub(crate) fn is_usable(&self) -> bool {
        let carries_nothing = self.channel.lines_per_second <= 0.0 || self.channel.max_queued_lines <= 0.0;
        !self.classes.is_empty() && !carries_nothing
    }
}
