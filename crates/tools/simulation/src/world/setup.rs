//! Settings, limits, host list and session of the director.

use super::list::{HostList, ListedHost};
use super::times::TRANSIT_TIME;
use crate::check::Limits;
use crate::proxy::PlatformRelay;
use crate::script::{Phase, Proxy, Script};
use rushcourse_director_settings::{DeploymentSettings, Names};
use rushcourse_director_state::{ProcessLimits, ServiceAddresses, Session, SessionConfig};
use rushcourse_policy::interface::{Ms, RetryPolicy};
use rushcourse_xds as xds;
use serde_json::{Value, json};
use std::net::SocketAddr;

/// Limits that the checker enforces and that the director's settings are derived from.
const LIMITS: Limits = Limits {
    max_unserved: 3000.0,
    drain_grace: 3000.0,
    start_capacity: 0.2,
    warm_up: 12_000.0,
    overload_multiple: 2.5,
    overload_duration: 2000.0,
    max_messages: 12,
    message_window: 10_000.0,
};
/// Retry policy of proxies for classes without an admission order.
const DEFAULT_RETRY_POLICY: u8 = RetryPolicy::OnceIfNotRun as u8;
const PROCESS_LIMITS: ProcessLimits = ProcessLimits {
    memory_mb: 192.0,
    descriptors: 1024,
};
const HOST_PORT: u16 = 8000;
/// Number of host addresses for each value of the third byte.
const HOSTS_PER_SUBNET: usize = 200;

pub(super) fn new_relay() -> PlatformRelay {
    PlatformRelay::new(DEFAULT_RETRY_POLICY)
}

pub(super) fn limits() -> Limits {
    LIMITS
}

fn settings(script: &Script) -> DeploymentSettings {
    let value = json!({
        "categories": [
            {"name": "look", "aim-ms": 1000.0, "deadline-ms": 3000.0, "worth": 2.0, "effect": "free"},
            {"name": "pay", "aim-ms": 1500.0, "deadline-ms": 4000.0, "worth": 5.0, "effect": "single_shot"}],
        "family-info": {"backlog": 9000.0, "push-rate": 4500.0, "per-message": 3.0, "proxy-count": 16,
            "update-cap": LIMITS.max_messages, "counted-over-ms": LIMITS.message_window, "late-ms": TRANSIT_TIME,
            "transit-max-ms": 500.0, "unserved-max-ms": LIMITS.max_unserved, "report-every-ms": 1000.0,
            "level-kind": "ratio", "base-mode": DEFAULT_RETRY_POLICY, "ejects": 8},
        "rules": {"drain-grace-ms": LIMITS.drain_grace, "start-capacity": LIMITS.start_capacity,
            "cold-ms": LIMITS.warm_up, "fall-multiple": LIMITS.overload_multiple,
            "overload-for-ms": LIMITS.overload_duration},
        "penalties": {"cross-zone": 0.12}, "reporting": {"source": "inline"}, "zones": script.zones,
        "balancers": 1, "quantum-ms": 4.0, "weight-source": "rough"});
    serde_json::from_value(value).expect("the settings are complete")
}

/// The unique address of the host with this index.
pub(super) fn address(host: usize) -> String {
    let (third, fourth) = (host / HOSTS_PER_SUBNET, host % HOSTS_PER_SUBNET + 1);
    format!("10.0.{third}.{fourth}:{HOST_PORT}")
}

/// Creates the session of a director that has cached a list of hosts. `starts` is its incarnation, counted from 1.
pub(super) fn new_session(script: &Script, list: &HostList, starts: u64) -> Session {
    let settings = settings(script);
    let unused_address = SocketAddr::from(([127, 0, 0, 1], 1));
    let cached_list = json!({"revision": 1, "complete": true, "members": members(script, list)});
    Session::new(SessionConfig {
        settings: settings.to_policy(),
        names: Names::from(&settings),
        batch_interval: settings.batch_interval(),
        addresses: ServiceAddresses {
            relay: unused_address,
            discovery: unused_address,
        },
        limits: PROCESS_LIMITS.session_limits(),
        has_relay: true,
        streams: Some(stream_config(starts)),
        cached_endpoints: cached_list.to_string().into(),
    })
}

fn stream_config(incarnation: u64) -> xds::StreamConfig {
    xds::StreamConfig {
        identities: xds::NodeIdentities::default(),
        incarnation,
        limits: xds::StreamLimits {
            max_streams: 64,
            max_unidentified: 16,
            max_report_streams: 0,
        },
        join_timeout: 1200.0,
        accept_timeout: 10_000.0,
        request_host_reports: false,
    }
}

/// Line of the relay's watch that announces a proxy. `is_fresh`: the proxy has no tables yet.
pub(super) fn joined_line(script: &Script, proxy: &Proxy, is_fresh: bool) -> String {
    let (zone, is_fresh) = (&script.zones[proxy.zone], u8::from(is_fresh));
    format!("* joined {} {zone} {} {is_fresh}", proxy.number, proxy.rate)
}

/// The JSON object of a host in the list of hosts.
pub(super) fn member(script: &Script, index: usize, listed: ListedHost) -> Value {
    let host = &script.hosts[index];
    let (zone, phase) = (&script.zones[host.zone], format!("{:?}", listed.phase));
    let started_at: Ms = listed.started_at;
    json!({"id": host.id, "host_port": address(index), "locality": zone, "flavor": "m", "cell": 0,
        "phase": phase, "size": 1.0, "up_since_ms": started_at})
}

/// The JSON objects of all listed hosts, except those that are gone.
pub(super) fn members(script: &Script, list: &HostList) -> Vec<Value> {
    let listed = list.hosts.iter().enumerate();
    let present = listed.filter_map(|(index, host)| Some((index, (*host)?)));
    present
        .filter(|(_, host)| host.phase != Phase::Gone)
        .map(|(index, host)| member(script, index, host))
        .collect()
}
