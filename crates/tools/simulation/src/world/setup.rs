//! Settings, limits, list and session of the director.

use super::times::TRANSIT;
use crate::check::Limits;
use crate::proxy::Relay;
use crate::script::{Phase, Proxy, Script};
use rushcourse_director_settings::{Names, Options};
use rushcourse_director_state::{Bounds, Places, Session, Setup};
use rushcourse_xds as xds;
use serde_json::{Value, json};

/// A relay with no tables, whose proxies try again after proof.
pub(super) fn relay() -> Relay {
    let mut relay = Relay::default();
    relay.base_again(1);
    relay
}

fn options(script: &Script) -> Options {
    let value = json!({
        "categories": [
            {"name": "look", "aim-ms": 1000.0, "deadline-ms": 3000.0, "worth": 2.0, "effect": "free"},
            {"name": "pay", "aim-ms": 1500.0, "deadline-ms": 4000.0, "worth": 5.0, "effect": "single_shot"}],
        "family-info": {"backlog": 9000.0, "push-rate": 4500.0, "per-message": 3.0, "proxy-count": 16,
            "update-cap": 12, "counted-over-ms": 10000.0, "late-ms": TRANSIT, "transit-max-ms": 500.0,
            "unserved-max-ms": 3000.0, "report-every-ms": 1000.0, "level-kind": "ratio", "base-mode": 1, "ejects": 8},
        "rules": {"drain-grace-ms": 3000.0, "start-capacity": 0.2, "cold-ms": 12000.0, "fall-multiple": 2.5,
            "overload-for-ms": 2000.0},
        "penalties": {"cross-zone": 0.12}, "reporting": {"source": "inline"}, "zones": script.zones,
        "balancers": 1, "quantum-ms": 4.0, "weight-source": "rough"});
    serde_json::from_value(value).expect("the options")
}

pub(super) fn limits() -> Limits {
    Limits {
        unserved: 3000.0,
        grace: 3000.0,
        start_capacity: 0.2,
        cold: 12_000.0,
        fall_multiple: 2.5,
        overload_for: 2000.0,
        cap: 12,
        counted_over: 10_000.0,
    }
}

pub(super) fn address(host: usize) -> String {
    format!("10.0.{}.{}:8000", host / 200, host % 200 + 1)
}

/// A director that has been started as often as `life` says and knows these members.
pub(super) fn director(script: &Script, members: Vec<Value>, life: u64) -> Session {
    let options = options(script);
    let at = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let names = Names::of(&options);
    Session::new(Setup {
        settings: rushcourse_director_settings::settings(options),
        names,
        seed: script.seed,
        places: Places {
            relay: at,
            discovery: at,
        },
        bounds: Bounds::of(192.0, 1024),
        relay: true,
        streams: Some(xds::StreamConfig {
            identities: xds::NodeIdentities::default(),
            incarnation: life,
            limits: xds::StreamLimits {
                max_streams: 64,
                max_unidentified: 16,
                max_report_streams: 0,
            },
            join_timeout: 1200.0,
            accept_timeout: 10_000.0,
            request_host_reports: false,
        }),
        known: json!({"revision": 1, "complete": true, "members": members})
            .to_string()
            .into(),
    })
}

pub(super) fn joined(script: &Script, p: &Proxy, fresh: bool) -> String {
    format!(
        "* joined {} {} {} {}",
        p.number,
        script.zones[p.zone],
        p.rate,
        u8::from(fresh)
    )
}

pub(super) fn member(script: &Script, host: usize, phase: Phase, up: f64) -> Value {
    let h = &script.hosts[host];
    json!({"id": h.id, "host_port": address(host), "locality": script.zones[h.zone], "flavor": "m", "cell": 0,
        "phase": format!("{phase:?}"), "size": 1.0, "up_since_ms": up})
}

pub(super) fn members(script: &Script, hosts: &[Option<(Phase, f64)>]) -> Vec<Value> {
    let listed = hosts
        .iter()
        .enumerate()
        .filter_map(|(k, h)| h.map(|(phase, up)| (k, phase, up)));
    listed
        .filter(|(_, phase, _)| *phase != Phase::Gone)
        .map(|(k, phase, up)| member(script, k, phase, up))
        .collect()
}
