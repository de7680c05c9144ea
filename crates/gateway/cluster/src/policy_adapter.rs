//! Converts events and settings to the types of the load balancing policy (`rushcourse-policy`), which is shared with
//! the director. Gateways are proxies of the policy, each with a dedicated channel, and each service has one request
//! class.

use crate::host_registry::HostEntry;
use rushcourse_messages::HostState;
use rushcourse_policy::interface::{
    Channel, ChannelSettings, ClassId, Event, FleetSettings, HostEntry as PolicyHost, HostSettings,
    Idempotency, Ms, Readiness, RequestClass, Settings, ZoneId,
};
use rushcourse_types::{NodeId, Timestamp};
use std::time::Duration;

/// Index of [`REQUEST_CLASS`] in the settings.
const CLASS: ClassId = 0;

/// The class of all requests to a service; times in milliseconds.
const REQUEST_CLASS: RequestClass = RequestClass {
    target_latency: 500.0,
    deadline: 2000.0,
    value: 1.0,
    idempotency: Idempotency::Idempotent,
    is_zone_bound: false,
    is_write: false,
};

/// Maximum rate of table entries sent over one gateway session, per second.
const ENTRIES_PER_SECOND: f64 = 4000.0;

/// Maximum number of table entries queued for one gateway session.
const MAX_QUEUED_ENTRIES: f64 = 4000.0;

/// Expected time in milliseconds from sending a table update to its acknowledgement.
/// A session responds within a few milliseconds.
const MEAN_TRANSIT: Ms = 20.0;
const MAX_TRANSIT: Ms = 500.0;

/// Interval in milliseconds at which gateways send load reports.
const REPORT_INTERVAL: Ms = 1000.0;

/// The attempts of one gateway at the hosts of one service during an interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Load {
    pub(crate) attempts: u32,
    /// Number of `attempts` that failed. Timeouts are not included.
    pub(crate) failures: u32,
    pub(crate) interval: Duration,
}

/// Converts a timestamp to fractional milliseconds, the time unit of the policy.
pub(crate) fn policy_time(timestamp: Timestamp) -> Ms {
    timestamp.as_millis() as Ms
}

/// Converts a duration to fractional milliseconds, the time unit of the policy. Whole milliseconds are exact.
fn policy_duration(duration: Duration) -> Ms {
    duration.as_nanos() as Ms / 1e6
}

/// Builds the policy settings, which are the same for all services.
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
            drain_grace: policy_duration(drain_timeout),
            // Hosts report how long they warm up but not their capacity during that time. 1.0 leaves the ramp to the
            // built-in slow start of the policy.
            start_capacity: 1.0,
            has_listed_weights: true,
            ..HostSettings::default()
        },
        report_interval: REPORT_INTERVAL,
        ..Settings::default()
    }
}

/// Converts a host for the policy. Its weight is its number of slots, at least 1.
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

/// The policy event for a gateway whose primary becomes this controller.
pub(crate) fn gateway_joined(gateway: NodeId, zone: ZoneId) -> Event {
    Event::ProxyJoined {
        proxy: gateway.0,
        zone,
        rate: 1.0,
        is_fresh: true,
        channel: Channel::Dedicated,
    }
}

/// The policy event for a gateway whose primary is no longer this controller.
pub(crate) fn gateway_left(gateway: NodeId) -> Event {
    Event::ProxyLeft {
        proxy: gateway.0,
        channel: Channel::Dedicated,
    }
}

/// The policy event for a gateway that applied the update with this revision and all earlier ones.
pub(crate) fn update_acknowledged(gateway: NodeId, revision: u16) -> Event {
    Event::Acknowledged {
        ack_number: revision,
        proxy: gateway.0,
        elapsed: 0.0,
        channel: Channel::Dedicated,
    }
}

/// The policy event for a gateway's load report on one service.
pub(crate) fn load_reported(gateway: NodeId, load: Load) -> Event {
    Event::TrafficReported {
        proxy: gateway.0,
        class: CLASS,
        attempts: f64::from(load.attempts),
        failed: f64::from(load.failures),
        span: policy_duration(load.interval),
    }
}
