//! Sample settings, lists of hosts and addresses in the platform's encoding.

use rushcourse_director_settings::DeploymentSettings;
use rushcourse_director_state::ServiceAddresses;
use std::net::SocketAddr;

/// Addresses of relay and discovery service; each index yields distinct ports.
pub fn addresses(index: u16) -> ServiceAddresses {
    let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port + index));
    ServiceAddresses {
        relay: at(7000),
        discovery: at(8000),
    }
}

/// Settings with two zones, two classes and eight proxies; health checks are enabled.
pub fn settings() -> DeploymentSettings {
    let text = r#"{
      "categories": [
        {"name": "look", "aim-ms": 1000.0, "deadline-ms": 3000.0, "worth": 2.0, "effect": "free"},
        {"name": "pay", "aim-ms": 1500.0, "deadline-ms": 4000.0, "worth": 5.0, "effect": "single_shot"}],
      "family-info": {"backlog": 9000.0, "push-rate": 4500.0, "per-message": 3.0, "proxy-count": 8,
        "update-cap": 12, "counted-over-ms": 10000.0, "late-ms": 200.0, "transit-max-ms": 500.0,
        "unserved-max-ms": 7000.0, "report-every-ms": 1000.0, "level-kind": "ratio", "zonal": true},
      "rules": {"drain-grace-ms": 3000.0, "start-capacity": 0.2, "cold-ms": 12000.0, "fall-multiple": 2.5,
        "overload-for-ms": 2000.0},
      "caps": {"may-probe": true},
      "penalties": {"cross-zone": 0.12},
      "reporting": {"source": "inline"},
      "zones": ["east", "west"], "my-zone": 0, "balancers": 2, "quantum-ms": 4.0, "weight-source": "rough"}"#;
    serde_json::from_str(text).expect("valid settings")
}

/// An encoded entry of discovery's list.
pub fn member(id: &str, zone: &str, phase: &str, up_since_ms: f64) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"127.0.0.1:8100","locality":"{zone}","flavor":"m","cell":1,"phase":"{phase}","size":1.0,"up_since_ms":{up_since_ms}}}"#
    )
}

/// An encoded list of discovery with the given entries.
pub fn list(revision: u64, is_complete: bool, members: &[String]) -> String {
    format!(
        r#"{{"revision":{revision},"complete":{is_complete},"members":[{}]}}"#,
        members.join(",")
    )
}

/// Names and zones of the sample hosts, two in each zone.
pub const HOSTS: [(&str, &str); 4] = [
    ("a1", "east"),
    ("a2", "east"),
    ("b1", "west"),
    ("b2", "west"),
];

/// List entries of all sample hosts, ready and started long ago.
pub fn all_members() -> Vec<String> {
    HOSTS
        .map(|(id, zone)| member(id, zone, "Ready", 0.0))
        .to_vec()
}

/// Number of the last acknowledgement request in these calls, if any.
pub fn last_ack_number(calls: &[String]) -> Option<u16> {
    calls
        .iter()
        .flat_map(|call| call.split(';'))
        .filter_map(|order| order.strip_prefix("mark,")?.split(',').next()?.parse().ok())
        .next_back()
}
