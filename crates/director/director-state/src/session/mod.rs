//! The session of one director. It owns the policy and everything that is remembered of the outside, and all of it
//! changes in [`Session::step`] alone.
//!
//! * `inputs`: what each input changes.
//! * `deadlines`: what is due by time.
//! * `batch`: the policy is asked, and its actions are carried out.
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

/// How far a session is.
enum Phase {
    /// It was made, and waits for its start with the list of hosts as last known.
    Created { cached_endpoints: Bytes },
    Running {
        /// When the log is next told how it stands.
        next_status: Ms,
    },
    /// It has ended: nothing changes any more.
    Stopped,
}

/// What a session was configured with and still needs.
struct ActiveConfig {
    settings: Settings,
    names: Names,
    batch_interval: Ms,
    addresses: ServiceAddresses,
    /// Whether there is a relay.
    has_relay: bool,
}

/// One director's session.
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
    /// Streams of proxies and hosts, where they are served.
    streams: Option<Streams>,
    reload: ConfigReload,
}

impl Session {
    /// A session that waits for [`Input::Start`].
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

    /// What was counted since the start.
    pub fn counters(&self) -> &Counters {
        &self.context.counters
    }

    /// What the policy holds of proxies and tables.
    pub fn view(&self) -> DirectorView {
        self.policy.view()
    }

    /// Names of zones and request classes.
    pub fn names(&self) -> &Names {
        &self.config.names
    }

    /// Whether a connection to the director's address has registered as a collector.
    pub fn is_collector(&self, inbound: InboundId) -> bool {
        self.inbound.is_collector(inbound)
    }

    /// Handles what came at this time; returns what is to be done, in order. Time never goes back.
    pub fn step(&mut self, now: Ms, input: Input) -> Vec<Effect> {
        let is_forward = now >= self.context.now;
        self.context
            .check_invariant(is_forward, "time goes forward");
        self.context.now = now.max(self.context.now);
        if matches!(self.phase, Phase::Stopped) {
            return Vec::new();
        }
        self.handle(input);
        self.settle_channels();
        self.context.take_effects()
    }
}
