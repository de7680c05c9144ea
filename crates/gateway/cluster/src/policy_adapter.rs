//! The policy (`rushcourse-policy`) was made for a director of proxies. This module says in its terms what happens here:
//! gateways are its proxies, each with a channel of its own, and each service has one class of requests.

use crate::host_registry::HostEntry;
use rushcourse_messages::HostState;
use rushcourse_policy::interface::{
    Channel, ChannelSettings, ClassId, Event, FleetSettings, HostEntry as PolicyHost, HostSettings,
    Idempotency, Ms, Readiness, RequestClass, Settings, ZoneId,
};
use rushcourse_types::{NodeId, Timestamp};
use std::time::Duration;

/// The one class of requests of a service.
const CLASS: ClassId = 0;

/// All requests of a service are of this class; times in ms (ours). The policy's admission levels are off here.
const REQUEST_CLASS: RequestClass = RequestClass {
    target_latency: 500.0,
    deadline: 2000.0,
    value: 1.0,
    idempotency: Idempotency::Idempotent,
    is_zone_bound: false,
    is_write: false,
};

/// Table entries a second that a session carries (ours).
const ENTRIES_PER_SECOND: f64 = 4000.0;

/// Table entries that may wait for a session (ours).
const MAX_QUEUED_ENTRIES: f64 = 4000.0;

/// Mean and longest time from a message to its acknowledgement, ms: a session answers within a few milliseconds (ours).
const MEAN_TRANSIT: Ms = 20.0;
const MAX_TRANSIT: Ms = 500.0;

/// ms; gateways report their requests this often.
const REPORT_INTERVAL: Ms = 1000.0;

/// A gateway's requests to a service during an interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Load {
    /// Attempts at the service's hosts.
    pub(crate) attempts: u32,
    /// Those of them that failed.
    pub(crate) failures: u32,
    /// The span that was counted.
    pub(crate) interval: Duration,
}

/// A moment in the policy's unit, milliseconds with fractions.
pub(crate) fn policy_time(moment: Timestamp) -> Ms {
    moment.as_millis() as Ms
}

/// A span in the policy's unit. Whole milliseconds are converted exactly.
fn policy_span(span: Duration) -> Ms {
    span.as_nanos() as Ms / 1e6
}

/// The settings of a service's policy.
pub(crate) fn policy_settings(
    zone_count: usize,
    local_zone: ZoneId,
    drain_timeout: Duration,
) -> Settings {
    Settings {
        classes: vec![REQUEST_CLASS],
        fleet: FleetSettings {
            zones: zone_count,
            own_zone: Some(local_zone),
            directors: 1,
            ..FleetSettings::default()
        },
        channel: ChannelSettings {
            max_queued_lines: MAX_QUEUED_ENTRIES,
            lines_per_second: ENTRIES_PER_SECOND,
            lines_per_message: 1.0,
            message_window: 10_000.0,
            mean_transit: MEAN_TRANSIT,
            max_transit: MAX_TRANSIT,
            ..ChannelSettings::default()
        },
        hosts: HostSettings {
            drain_grace: policy_span(drain_timeout),
            // Slow start is the policy's: a tenth, rising over 10 s. Hosts say how long they warm up, not how much.
            start_capacity: 1.0,
            has_listed_weights: true,
            ..HostSettings::default()
        },
        report_interval: REPORT_INTERVAL,
        ..Settings::default()
    }
}

/// A host as the policy sees it.
pub(crate) fn policy_host(host: &HostEntry, zone: ZoneId) -> PolicyHost {
    let record = host.record();
    let readiness = match host.state() {
        HostState::Ready => Readiness::Ready,
        HostState::Draining => Readiness::Draining,
        HostState::Gone => Readiness::Gone,
    };
    PolicyHost {
        host: record.id.clone(),
        zone,
        cell: 0,
        readiness,
        weight: f64::from(record.slots.max(1)),
        started_at: host.warming_since().map_or(0.0, policy_time),
    }
}

/// A gateway takes its tables from here from now on.
pub(crate) fn gateway_joined(gateway: NodeId, zone: ZoneId) -> Event {
    Event::ProxyJoined {
        proxy: gateway.0,
        zone,
        rate: 1.0,
        is_fresh: true,
        channel: Channel::Dedicated,
    }
}

/// A gateway no longer takes its tables from here.
pub(crate) fn gateway_left(gateway: NodeId) -> Event {
    Event::ProxyLeft {
        proxy: gateway.0,
        channel: Channel::Dedicated,
    }
}

/// A gateway has applied the update of a revision, and all updates before it.
pub(crate) fn update_acknowledged(gateway: NodeId, revision: u16) -> Event {
    Event::Acknowledged {
        ack_number: revision,
        proxy: gateway.0,
        elapsed: 0.0,
        channel: Channel::Dedicated,
    }
}

/// A gateway reported its requests.
pub(crate) fn load_reported(gateway: NodeId, load: Load) -> Event {
    Event::TrafficReported {
        proxy: gateway.0,
        class: CLASS,
        attempts: f64::from(load.attempts),
        failed: f64::from(load.failures),
        span: policy_span(load.interval),
    }
}
