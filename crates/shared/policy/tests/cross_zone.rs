//! What hosts weigh in tables of other zones.

mod common;

use common::{join_by_turns, join_with_rate, settings, settings_with, traffic, with_hosts};
use rushcourse_policy::interface::{ProxyId, Settings};

/// The part of its requests that a proxy of the first zone sends into the second, by the rates of proxies of both:
/// three hosts and two proxies in each zone.
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
fn a_zone_with_more_than_its_share_of_traffic_uses_hosts_of_the_one_with_less() {
    let even = crossing_part(settings(), [5.0, 5.0]);
    let over = crossing_part(settings(), [9.0, 1.0]);
    let under = crossing_part(settings(), [1.0, 9.0]);
    assert!(even > 0.0 && even < 0.2, "{even}");
    assert!(
        (over - 4.0 / 9.0).abs() < 0.1,
        "four ninths of its load is beyond its half of the hosts: {over}"
    );
    assert!(under <= even, "{under}");
}

#[test]
fn where_a_crossing_is_cheap_zones_share_all_but_what_is_bound() {
    let cheap = settings_with(|s| s.cross_zone_price = 0.001);
    assert!((crossing_part(cheap.clone(), [5.0, 5.0]) - 0.5).abs() < 0.05);
    assert!((crossing_part(cheap, [9.0, 1.0]) - 0.5).abs() < 0.05);
}

#[test]
fn a_shift_of_traffic_changes_the_cross_zone_weights() {
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
