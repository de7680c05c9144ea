//! The session of one director. It owns the policy and all state of peers and services, which changes only in
//! [`Session::step`].
//!
//! * `inputs`: dispatch of inputs.
//! * `deadlines`: expired deadlines and wake-ups.
//! * `batch`: runs of the policy and the execution of its actions.
//! * `report`: gauges and the status line.

mod batch;
mod deadlines;
mod inputs;
mod report;

use crate::config::{ServiceAddresses, SessionConfig};
use crate::config_reload::ConfigReload;
use crate::counter::Counters;
use crate::effect::Effect;
use crate::endpoint_discovery::EndpointDiscovery;
use crate::health_checks::HealthChecks;
use crate::identifiers::InboundId;
use crate::inbound_connections::InboundConnections;
use crate::input::Input;
use crate::policy_timers::PolicyTimers;
use crate::relay_client::RelayClient;
use crate::step_context::StepContext;
use bytes::Bytes;
use rushcourse_director_settings::Names;
use rushcourse_policy::Director;
use rushcourse_policy::interface::{DirectorView, Ms, Settings};
use rushcourse_xds::Streams;

/// Lifecycle of a session.
enum Phase {
    /// Waiting for [`Input::Start`], with the cached list of hosts to apply then.
    Created { cached_endpoints: Bytes },
    Running {
        /// Time of the next status line.
        next_status: Ms,
    },
    /// Terminal state in which all inputs are ignored.
    Stopped,
}

/// Configuration that is needed after startup.
struct ActiveConfig {
    settings: Settings,
    names: Names,
    batch_interval: Ms,
    addresses: ServiceAddresses,
    /// Whether a relay is used; without it, proxies are reached by streams only.
    has_relay: bool,
}

/// State machine of one director, driven by [`Session::step`].
pub struct Session {
    phase: Phase,
    config: ActiveConfig,
    policy: Director,
    timers: PolicyTimers,
    context: StepContext,
    relay: RelayClient,
    discovery: EndpointDiscovery,
    inbound: InboundConnections,
    health_checks: HealthChecks,
    /// xDS streams of proxies and load report streams of hosts; `None` if not configured.
    streams: Option<Streams>,
    reload: ConfigReload,
}

impl Session {
    /// Creates a session that waits for [`Input::Start`].
    pub fn new(config: SessionConfig) -> Session {
        let SessionConfig {
            settings,
            names,
            batch_interval,
            addresses,
            limits,
            has_relay,
            streams,
            cached_endpoints,
        } = config;
        Session {
            phase: Phase::Created { cached_endpoints },
            policy: Director::new(settings.clone()),
            timers: PolicyTimers::default(),
            context: StepContext::default(),
            relay: RelayClient::new(addresses.relay, limits.max_queued_call_bytes),
            discovery: EndpointDiscovery::new(addresses.discovery),
            inbound: InboundConnections::new(limits),
            health_checks: HealthChecks::default(),
            streams: streams.map(|streams| Streams::new(streams, &settings, &names)),
            reload: ConfigReload::default(),
            config: ActiveConfig {
                settings,
                names,
                batch_interval,
                addresses,
                has_relay,
            },
        }
    }

    /// Returns the counters and delay histograms, for export to monitoring.
    pub fn counters(&self) -> &Counters {
        &self.context.counters
    }

    /// Returns a snapshot of the policy's state of proxies and tables.
    pub fn view(&self) -> DirectorView {
        self.policy.view()
    }

    /// Returns the configured names of zones and request classes.
    pub fn names(&self) -> &Names {
        &self.config.names
    }

    /// Whether an open connection at the listening address has registered as a collector.
    pub fn is_collector(&self, inbound: InboundId) -> bool {
        self.inbound.is_collector(inbound)
    }

    /// Handles an input received at time `now` and returns the effects to carry out, in order. `now` must not decrease
    /// between calls: a lower value panics in debug builds, and is replaced by the latest one in release builds.
    pub fn step(&mut self, now: Ms, input: Input) -> Vec<Effect> {
        let is_forward = now >= self.context.now;
        self.context
            .check_invariant(is_forward, "time does not go backwards");
        self.context.now = now.max(self.context.now);
        if matches!(self.phase, Phase::Stopped) {
            return Vec::new();
        }
        self.handle(input);
        self.reconcile_channels();
        self.context.take_effects()
    }
}
