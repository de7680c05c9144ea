//! Table updates: binds, acknowledgements, the safety check, the fallback and slow start.

mod common;

use common::{
    Harness, cached_list, delta, draining, full_list, gone, host, join, left, settings, settings_with,
    settled, started, withdraws, zone_bound_settings,
};
use rushcourse_policy::Director;
use rushcourse_policy::interface::{Action, Channel, Event, HostEntry, Settings};

/// Hosts that the actions remove from a table.
fn removals(actions: &[Action]) -> Vec<String> {
    let removed = actions.iter().filter_map(|action| match action {
        Action::SetEndpoint { host, weight, .. } if *weight == 0.0 => Some(host.to_string()),
        _ => None,
    });
    removed.collect()
}

/// A director with two hosts in zone 0 and no proxies.
fn with_two_hosts(settings: Settings) -> Harness {
    let mut harness = Harness::new(settings);
    harness.handle(vec![cached_list(&[host("a1", 0), host("a2", 0)])]);
    harness
}

#[test]
fn joining_proxy_is_bound_at_once_to_a_filled_table() {
    let mut harness = Harness::new(settings());
    harness.handle(vec![cached_list(&[host("a1", 0), host("b1", 1)])]);

    let actions = harness.handle(vec![join(1, 0)]);

    let position = |is_match: &dyn Fn(&Action) -> bool| actions.iter().position(is_match).expect("sent");
    let filled = position(&|action| matches!(action, Action::SetEndpoint { .. }));
    let bound = position(&|action| matches!(action, Action::BindProxy { proxy: 1, classes: 0, .. }));
    let ack_requested = position(&|action| matches!(action, Action::RequestAck { .. }));
    assert!(filled < bound && bound < ack_requested);
    let weights = harness.weights(1);
    assert!(
        weights["a1"] > weights["b1"] && weights["b1"] > 0.0,
        "hosts of the other zone get a small weight"
    );
}

#[test]
fn proxies_of_a_zone_share_a_table() {
    let mut harness = settled();
    harness.handle(vec![join(3, 0)]);
    assert_eq!(harness.bindings[&(1, 0)], harness.bindings[&(3, 0)]);
    assert_ne!(harness.bindings[&(1, 0)], harness.bindings[&(2, 0)]);
}

#[test]
fn zone_bound_class_uses_only_hosts_of_the_proxys_zone() {
    let mut harness = Harness::new(zone_bound_settings());
    harness.handle(vec![cached_list(&[host("a1", 0), host("b1", 1)])]);
    harness.handle(vec![join(1, 0)]);
    let bound = &harness.tables[&harness.bindings[&(1, 2)]];
    assert_eq!(bound.keys().collect::<Vec<_>>(), ["a1"]);
    assert_eq!(harness.tables[&harness.bindings[&(1, 1)]].len(), 2);
}

#[test]
fn draining_host_is_withdrawn_at_once_and_removed_later() {
    let mut harness = settled();
    let actions = harness.handle(vec![delta(&[draining("a1", 0)])]);
    assert!(withdraws(&actions, "a1", Channel::Shared));
    assert!(matches!(actions.last(), Some(Action::RequestAck { .. })));
    assert!(removals(&harness.advance(1000.0)).contains(&"a1".to_string()));
}

#[test]
fn host_missing_from_a_full_list_is_withdrawn() {
    let mut harness = settled();
    let rest: Vec<HostEntry> = ["a1", "a2", "a3", "b1", "b2"].map(|name| host(name, 0)).to_vec();
    let actions = harness.handle(vec![full_list(&rest)]);
    assert!(withdraws(&actions, "b3", Channel::Shared));
}

#[test]
fn removal_waits_until_another_endpoint_is_certain() {
    let mut harness = with_two_hosts(settings());
    harness.handle(vec![join(1, 0)]);

    harness.handle(vec![delta(&[gone("a1", 0)])]);

    assert!(removals(&harness.advance(1500.0)).is_empty(), "a2 is not acknowledged yet");
    harness.acknowledge(&[1]);
    assert_eq!(removals(&harness.advance(500.0)), ["a1"], "a2 is acknowledged");
}

#[test]
fn unacknowledged_endpoint_becomes_certain_after_the_timeout() {
    let mut harness = with_two_hosts(settings_with(|s| s.fleet.zones = 1));
    harness.handle(vec![join(1, 0)]);
    harness.advance(1600.0);
    harness.handle(vec![delta(&[gone("a1", 0)])]);
    assert!(removals(&harness.advance(1300.0)).is_empty());
    assert_eq!(removals(&harness.advance(500.0)), ["a1"]);
}

#[test]
fn blocked_removal_falls_back_to_a_new_table() {
    let mut harness = with_two_hosts(settings());
    harness.handle(vec![join(1, 0)]);
    let old = harness.bindings[&(1, 0)];

    harness.handle(vec![delta(&[gone("a1", 0)])]);
    harness.advance(2600.0);
    assert!(harness.logs.iter().any(|line| line.starts_with("event=fallback")), "{:?}", harness.logs);
    harness.advance(1500.0);

    assert_ne!(harness.bindings[&(1, 0)], old);
    assert_eq!(harness.weights(1).keys().collect::<Vec<_>>(), ["a2"]);
    assert!(!harness.tables.contains_key(&old), "the unused table is cleared");
}

#[test]
fn endpoint_is_added_again_only_after_its_removal_is_complete() {
    let mut harness = settled();
    harness.handle(vec![delta(&[gone("a1", 0)])]);
    harness.advance(500.0);
    harness.acknowledge(&[1, 2]);

    harness.handle(vec![delta(&[started("a1", 0, harness.now)])]);

    harness.advance(700.0);
    assert!(!harness.weights(1).contains_key("a1"), "the removal delay has not passed");
    harness.advance(700.0);
    assert!(harness.weights(1).contains_key("a1"));
}

#[test]
fn started_host_begins_at_a_tenth_and_rises_in_steps() {
    let mut harness = settled();
    harness.handle(vec![delta(&[started("a4", 0, harness.now)])]);
    harness.advance(500.0);
    let first = harness.weights(1)["a4"];
    assert!(first <= 0.1 * harness.weights(1)["a1"] + 1e-9, "{first}");

    let mut last = first;
    for _ in 0..30 {
        harness.advance(500.0);
        let weight = harness.weights(1)["a4"];
        assert!(weight >= last && weight - last <= 0.25, "{last} to {weight}");
        last = weight;
    }
    assert!(last > 0.9);
}

#[test]
fn warming_host_is_not_overloaded_when_most_others_are_gone() {
    let mut harness = settled();
    harness.handle(vec![delta(&["a1", "a2", "b1", "b2"].map(|name| gone(name, 0)))]);
    harness.handle(vec![delta(&["c1", "c2", "c3", "c4"].map(|name| started(name, 0, harness.now)))]);
    harness.advance(500.0);
    let weights = harness.weights(1);
    let total: f64 = weights.values().sum();
    assert!(weights["c1"] / total < 0.1, "{weights:?}");
}

#[test]
fn restarted_host_loses_weight_in_the_same_batch() {
    let mut harness = settled();
    let actions = harness.handle(vec![delta(&[started("a1", 0, harness.now)])]);
    let is_cut = |action: &Action| match action {
        Action::SetEndpoint { host, weight, .. } => &**host == "a1" && *weight <= 0.1,
        _ => false,
    };
    assert!(actions.iter().any(is_cut), "{actions:?}");
}

#[test]
fn returning_host_is_restored_with_a_small_weight() {
    let mut harness = settled();
    harness.handle(vec![delta(&[gone("a1", 0)])]);
    harness.handle(vec![delta(&[started("a1", 0, harness.now)])]);
    harness.advance(4500.0);
    assert!(!harness.withdrawn["a1"]);
    assert!(harness.weights(1)["a1"] < 0.5);
}

#[test]
fn departed_proxy_does_not_block_removals() {
    let mut harness = with_two_hosts(settings());
    harness.handle(vec![join(1, 0), join(2, 0)]);
    harness.handle(vec![delta(&[gone("a1", 0)])]);
    harness.acknowledge(&[1]);
    assert!(removals(&harness.advance(500.0)).is_empty(), "proxy 2 has not acknowledged");

    harness.handle(vec![left(2)]);

    assert_eq!(removals(&harness.advance(500.0)), ["a1"]);
}

#[test]
fn proxy_from_another_director_is_bound_at_once() {
    let mut harness = settled();
    let (zone, rate, channel) = (1, 5.0, Channel::Shared);
    let actions = harness.handle(vec![Event::ProxyJoined { proxy: 9, zone, rate, is_fresh: false, channel }]);
    assert!(actions.iter().any(|action| matches!(action, Action::BindProxy { proxy: 9, .. })));
}

#[test]
fn restarted_director_recovers_from_a_cached_list() {
    let mut harness = settled();
    harness.director = Director::new(settings());
    (harness.tables, harness.bindings) = Default::default();
    harness.handle(vec![cached_list(&[host("a1", 0), host("old", 0)])]);
    let actions = harness.handle(vec![join(1, 0)]);
    let is_bind = |action: &Action| matches!(action, Action::BindProxy { .. });
    assert!(!actions.iter().any(is_bind), "no updates in the first round");
    harness.advance(300.0);
    assert!(harness.bindings.contains_key(&(1, 0)), "bound a round after the start");

    let actions = harness.handle(vec![delta(&[gone("old", 0), host("a2", 0)])]);

    assert!(withdraws(&actions, "old", Channel::Shared));
    assert!(removals(&harness.advance(1000.0)).is_empty(), "all endpoints are uncertain");
    harness.acknowledge(&[1]);
    harness.advance(1000.0);
    assert_eq!(harness.weights(1).keys().collect::<Vec<_>>(), ["a1", "a2"]);
}
