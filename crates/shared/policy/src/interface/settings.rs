//! What a director is told of its site once, before the first event.

use super::ids::{Ms, ZoneId};

/// Whether a request of a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be repeated after any failure.
    Idempotent,
    /// Hosts recognize a repeat by its key, within a group of hosts and for a while.
    Keyed,
    /// It may be repeated only after proof that it did not run.
    NotIdempotent,
}

/// What the numbers of an admission level mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AdmissionKind {
    /// The part of the requests that is admitted.
    Ratio,
    /// Requests a second.
    Rate,
    /// Proxies ignore levels.
    #[default]
    Off,
}

/// Where hosts report their load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadSource {
    /// With what proxies report of them.
    Reports,
    /// In their answers to health checks.
    HealthChecks,
    /// Nowhere.
    #[default]
    Unreported,
}

/// When a proxy retries a request at another host. Later variants allow more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryPolicy {
    /// Not at all.
    #[default]
    Never,
    /// Once, after proof that the first attempt did not run.
    OnceIfNotRun,
    /// Once, after any failure.
    OnceAfterFailure,
    /// Twice, after any failure.
    TwiceAfterFailure,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// The time within which a response earns its full value.
    pub target_latency: Ms,
    /// The time after which a response earns nothing.
    pub deadline: Ms,
    /// What a response within the target latency is worth, beside other classes.
    pub value: f64,
    /// Whether its requests may be repeated.
    pub idempotency: Idempotency,
    /// Its requests may go only to hosts of the proxy's zone.
    pub is_zone_bound: bool,
    /// Its requests change state.
    pub is_write: bool,
}

/// The directors, proxies and zones that there are.
#[derive(Clone, Debug, Default)]
pub struct FleetSettings {
    /// Number of zones.
    pub zones: usize,
    /// The zone of this director.
    pub own_zone: Option<ZoneId>,
    /// A proxy joins a director of its own zone if there is one; otherwise it joins one by chance.
    pub is_zonal: bool,
    /// The number of this director among all, from 0.
    pub own_index: usize,
    /// Number of directors.
    pub directors: usize,
    /// Number of proxies, of all directors together.
    pub proxies: usize,
}

/// What the shared channel carries and how long messages take on it.
#[derive(Clone, Debug, Default)]
pub struct ChannelSettings {
    /// Lines that may be queued in the channel.
    pub max_queued_lines: f64,
    /// Lines a second that the channel is said to carry.
    pub lines_per_second: f64,
    /// Lines that each message costs beyond those that it holds.
    pub lines_per_message: f64,
    /// Messages to one proxy within `message_window`; 0: no limit.
    pub max_messages: usize,
    /// The span over which messages to a proxy are counted.
    pub message_window: Ms,
    /// How long a message takes from the channel to its proxy, on average.
    pub mean_transit: Ms,
    /// How long it takes at most.
    pub max_transit: Ms,
}

/// How hosts start, drain and leave.
#[derive(Clone, Debug, Default)]
pub struct HostSettings {
    /// Time from the news that a host drains until no request may reach it.
    pub drain_grace: Ms,
    /// A host that the list drops without a drain may stay in tables.
    pub may_keep_unlisted: bool,
    /// The part of its capacity that a host has at least when it starts.
    pub start_capacity: f64,
    /// The age at which a host has all of its capacity.
    pub warm_up: Ms,
    /// A warming host that gets this multiple of its present capacity for a while fails.
    pub overload_multiple: f64,
    /// The list gives hosts weights.
    pub has_listed_weights: bool,
}

/// What proxies do by themselves.
#[derive(Clone, Debug, Default)]
pub struct ProxySettings {
    /// What they make of an admission level.
    pub admission_kind: AdmissionKind,
    /// When they retry while no director orders otherwise.
    pub retry_policy: RetryPolicy,
    /// A proxy ejects a host for a while once so many of its attempts in a row failed there; 0: never.
    pub ejection_failures: u32,
}

/// All settings of a director.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Request classes, in the order of their `ClassId`.
    pub classes: Vec<RequestClass>,
    /// Directors, proxies and zones.
    pub fleet: FleetSettings,
    /// The shared channel.
    pub channel: ChannelSettings,
    /// Hosts.
    pub hosts: HostSettings,
    /// Proxies.
    pub proxies: ProxySettings,
    /// Time between two reports of a proxy.
    pub report_interval: Ms,
    /// Where hosts report their load.
    pub load_source: LoadSource,
    /// What a request costs that crosses zones, beside the value of a response.
    pub cross_zone_price: f64,
    /// Health checks of hosts are allowed.
    pub may_check_health: bool,
    /// Messages to other directors are allowed.
    pub may_message_peers: bool,
    /// The list of hosts comes only to directors that subscribe to it.
    pub must_subscribe: bool,
}

impl Settings {
    /// Whether there are classes, and a channel that carries something.
    pub(crate) fn is_usable(&self) -> bool {
        let carries_nothing = self.channel.lines_per_second <= 0.0 || self.channel.max_queued_lines <= 0.0;
        !self.classes.is_empty() && !carries_nothing
    }
}
