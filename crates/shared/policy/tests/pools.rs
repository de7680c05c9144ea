//! Assignment of hosts and proxies to pools in large fleets.

mod common;

use common::{
    Harness, delta, draining, fleet, gone, join, join_by_turns, join_with_rate, settings, started,
    with_fleet, zone_bound_settings,
};
use rushcourse_policy::interface::{Action, HostEntry, ProxyId};
use std::collections::{BTreeMap, BTreeSet};

/// Hosts in the tables of the given proxies. Asserts that each table has fewer than 30 hosts.
fn reached_hosts(harness: &Harness, proxies: std::ops::Range<ProxyId>) -> BTreeSet<String> {
    let mut reached = BTreeSet::new();
    for proxy in proxies {
        let weights = harness.weights(proxy);
        assert!(weights.len() < 30, "{} hosts in a table", weights.len());
        reached.extend(weights.into_keys());
    }
    reached
}

/// Load of each host when proxies distribute their rates by the weights of their tables.
fn loads(harness: &Harness, rates: &BTreeMap<ProxyId, f64>) -> BTreeMap<String, f64> {
    let mut loads = BTreeMap::new();
    for (proxy, rate) in rates {
        let weights = harness.weights(*proxy);
        let all: f64 = weights.values().sum();
        for (host, weight) in weights {
            *loads.entry(host).or_default() += rate * weight / all;
        }
    }
    loads
}

#[test]
fn every_host_of_a_large_fleet_is_in_the_table_of_some_proxy() {
    let mut harness = with_fleet(settings(), 70);
    harness.handle((0..6).map(|proxy| join(proxy, 0)).collect());
    assert_eq!(reached_hosts(&harness, 0..6).len(), 70, "every host is in some table");
}

#[test]
fn tables_of_both_zones_together_contain_every_host() {
    let mut harness = with_fleet(settings(), 100);
    harness.handle(join_by_turns(0..60));
    assert_eq!(reached_hosts(&harness, 0..60).len(), 100);
}

#[test]
fn proxies_are_assigned_to_pools_by_their_traffic() {
    let mut harness = with_fleet(settings(), 96);
    // Every sixth proxy has ten times the rate of the others; assignment by proxy number would put these together.
    let rate = |proxy: ProxyId| if proxy.is_multiple_of(6) { 20.0 } else { 2.0 };
    let rates: BTreeMap<ProxyId, f64> = (0..96).map(|proxy| (proxy, rate(proxy))).collect();

    for (proxy, rate) in &rates {
        harness.handle(vec![join_with_rate(*proxy, *proxy as usize / 2 % 2, *rate)]);
    }

    let loads = loads(&harness, &rates);
    let max_load = loads.values().copied().fold(0.0, f64::max);
    let mean = loads.values().sum::<f64>() / loads.len() as f64;
    assert!(max_load < 1.6 * mean, "the fullest host gets {:.2} times the mean", max_load / mean);
}

#[test]
fn growing_fleet_gets_more_pools_and_proxies_move_to_them() {
    let all: Vec<ProxyId> = (0..40).collect();
    let mut harness = with_fleet(settings(), 24);
    harness.handle(join_by_turns(0..40));
    harness.now += 300.0;
    harness.acknowledge(&all);

    harness.handle(vec![delta(&fleet(72).split_off(24))]);
    for _ in 0..80 {
        harness.advance(500.0);
        if harness.last_ack_number.is_some() {
            harness.acknowledge(&all);
        }
    }

    assert_eq!(reached_hosts(&harness, 0..40).len(), 72, "every host is in some table");
}

#[test]
fn table_with_waiting_binds_is_not_cleared() {
    // Without acknowledgements, binds to the new pools have to wait, and must not cause new tables every round.
    let mut harness = with_fleet(settings(), 24);
    harness.handle(join_by_turns(0..12));

    let mut filled = BTreeSet::new();
    let mut actions = harness.handle(vec![delta(&fleet(60).split_off(24))]);
    for _ in 0..8 {
        filled.extend(actions.iter().filter_map(|action| match action {
            Action::SetEndpoint { table, .. } => Some(*table),
            _ => None,
        }));
        actions = harness.advance(250.0);
    }

    assert!(filled.len() <= 6, "three pools for each of two zones: {filled:?}");
}

#[test]
fn zone_bound_class_uses_all_hosts_of_a_zone_with_few_left() {
    let mut harness = with_fleet(zone_bound_settings(), 96);
    harness.handle(join_by_turns(0..40));

    // All but two hosts of zone 0 terminate.
    let first_zone = fleet(96).into_iter().filter(|entry| entry.zone == 0);
    let ended: Vec<HostEntry> = first_zone.skip(2).map(|entry| gone(&entry.host, 0)).collect();
    harness.handle(vec![delta(&ended)]);

    for proxy in (0..40).step_by(2) {
        let weights = &harness.tables[&harness.bindings[&(proxy, 2)]];
        let left = weights.keys().filter(|host| *host == "h000" || *host == "h002").count();
        assert!(left > 0, "proxy {proxy} has no host for the zone-bound class");
    }
}

#[test]
fn zone_bound_class_uses_warm_hosts_of_other_pools() {
    let mut harness = with_fleet(zone_bound_settings(), 48);
    harness.handle((0..8).map(|proxy| join(proxy, 0)).collect());

    // A release replaces the hosts of the first proxy's pool in two halves; the replacements are still warming.
    let old: Vec<String> = harness.tables[&harness.bindings[&(0, 2)]].keys().cloned().collect();
    let (first, second) = old.split_at(old.len() / 2);
    let drain = |hosts: &[String]| hosts.iter().map(|host| draining(host, 0)).collect::<Vec<_>>();
    let successors: Vec<HostEntry> =
        (0..first.len()).map(|k| started(&format!("n{k}"), 0, harness.now - 500.0)).collect();
    harness.handle(vec![delta(&drain(first))]);
    harness.handle(vec![delta(&successors)]);
    harness.handle(vec![delta(&drain(second))]);
    harness.advance(500.0);

    let weights = &harness.tables[&harness.bindings[&(0, 2)]];
    let live = weights.iter().filter(|(host, _)| !old.contains(host));
    let (warming, warm): (Vec<_>, Vec<_>) = live.partition(|(host, _)| host.starts_with('n'));
    let total = |hosts: &[(&String, &f64)]| hosts.iter().map(|(_, weight)| **weight).sum::<f64>();
    assert!(total(&warm) > 2.0 * total(&warming), "{weights:?}");
}
