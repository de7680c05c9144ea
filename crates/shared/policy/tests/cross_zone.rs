//! Weights of hosts in tables of other zones.

mod common;

use common::{join_by_turns, join_with_rate, settings, settings_with, traffic, with_hosts};
use rushcourse_policy::interface::{ProxyId, Settings};

/// Fraction of requests that a proxy of zone 0 sends to zone 1. Each zone has three hosts and two proxies; `rates`
/// holds the request rate of a proxy in each zone.
fn crossing_part(settings: Settings, rates: [f64; 2]) -> f64 {
    let mut harness = with_hosts(settings);
    let join = |proxy: ProxyId| join_with_rate(proxy, proxy as usize % 2, rates[proxy as usize % 2]);
    harness.handle((0..4).map(join).collect());
    for _ in 0..8 {
        harness.advance(500.0);
        harness.acknowledge(&[0, 1, 2, 3]);
    }
    let weights = harness.weights(0);
    let crossing = weights.iter().filter(|(host, _)| host.starts_with('b'));
    crossing.map(|(_, weight)| weight).sum::<f64>() / weights.values().sum::<f64>()
}

#[test]
fn zone_with_excess_traffic_uses_hosts_of_the_other_zone() {
    let even = crossing_part(settings(), [5.0, 5.0]);
    let over = crossing_part(settings(), [9.0, 1.0]);
    let under = crossing_part(settings(), [1.0, 9.0]);
    assert!(even > 0.0 && even < 0.2, "{even}");
    assert!((over - 4.0 / 9.0).abs() < 0.1, "its load exceeds the capacity of its zone by 4/9: {over}");
    assert!(under <= even, "{under}");
}

#[test]
fn zones_share_their_load_evenly_if_crossing_is_cheap() {
    let cheap = settings_with(|s| s.cross_zone_price = 0.001);
    assert!((crossing_part(cheap.clone(), [5.0, 5.0]) - 0.5).abs() < 0.05);
    assert!((crossing_part(cheap, [9.0, 1.0]) - 0.5).abs() < 0.05);
}

#[test]
fn shift_of_traffic_changes_the_cross_zone_weights() {
    let mut harness = with_hosts(settings());
    harness.handle(join_by_turns(0..4));

    for _ in 0..40 {
        let attempts = |proxy: ProxyId| [9.0, 1.0][proxy as usize % 2];
        harness.handle((0..4).map(|proxy| traffic(proxy, 0, attempts(proxy))).collect());
        harness.advance(1000.0);
        harness.acknowledge(&[0, 1, 2, 3]);
    }

    let weights = harness.weights(0);
    assert!(weights["b1"] > 0.5 * weights["a1"], "{weights:?}");
    assert!(harness.weights(1)["a1"] < 0.2 * harness.weights(1)["b1"]);
}
