//! Ejection and derating of hosts based on scripted reports.

mod common;

use common::load::{HEALTHY, OVERLOADED, demand, observed, one_second_of_reports, run, service};
use common::{delta, host_report, settled, started, with_proxies, zone_bound_settings};

#[test]
fn unresponsive_host_is_ejected_and_returns_by_slow_start() {
    let mut harness = settled();

    run(&mut harness, 3, 6.0, |host| if host == "a1" { service(1.0, 0.0) } else { HEALTHY });
    assert!(!harness.weights(1).contains_key("a1"));

    run(&mut harness, 6, 6.0, |_| HEALTHY);
    let weight = harness.weights(1)["a1"];
    assert!(weight < 0.5, "slow start: {weight}");
    run(&mut harness, 20, 6.0, |_| HEALTHY);
    assert!(harness.weights(1)["a1"] > 0.9);
}

#[test]
fn partitioned_host_is_ejected_only_for_the_unreachable_zone() {
    let mut harness = settled();

    for _ in 0..3 {
        harness.handle(one_second_of_reports(30.0, |zone, host| {
            let is_cut_off = zone == 0 && !host.starts_with('a');
            observed(5.0, if is_cut_off { 5.0 } else { 0.0 }, 200.0)
        }));
        harness.advance(1000.0);
    }

    assert!(!harness.weights(1).contains_key("b1") && harness.weights(1).contains_key("a1"));
    assert!(harness.weights(2).contains_key("b1"));
}

#[test]
fn missing_reports_change_neither_weights_nor_admission() {
    let mut harness = settled();
    run(&mut harness, 3, 8.0, |_| HEALTHY);
    run(&mut harness, 4, 16.0, |_| OVERLOADED);
    harness.advance(2500.0);
    let before = (harness.weights(1), harness.admission.clone());

    harness.advance(15_000.0);

    assert_eq!((harness.weights(1), harness.admission.clone()), before, "old totals are ignored");
}

#[test]
fn saturated_host_is_derated_while_the_rest_are_healthy() {
    let mut harness = settled();

    run(&mut harness, 4, 8.0, |host| if host == "a1" { service(0.3, 900.0) } else { HEALTHY });
    let weight = harness.weights(1)["a1"];
    assert!(weight < 0.8 && weight > 0.1, "{weight}");

    run(&mut harness, 80, 8.0, |_| HEALTHY);
    assert_eq!(harness.weights(1)["a1"], 1.0);
}

#[test]
fn few_healthy_hosts_do_not_cause_ejection_of_the_rest() {
    let mut harness = settled();
    run(&mut harness, 3, 8.0, |_| HEALTHY);

    // An overload in which only two lightly used hosts still respond.
    for _ in 0..6 {
        harness.handle(one_second_of_reports(60.0, |_, host| {
            let is_healthy = host == "a3" || host == "b3";
            if is_healthy { observed(3.0, 0.0, 300.0) } else { observed(20.0, 19.0, 300.0) }
        }));
        harness.advance(1000.0);
    }

    assert_eq!(harness.weights(1).len(), 6, "{:?}", harness.logs);
}

#[test]
fn ejection_spares_the_last_warm_host_of_a_zone() {
    let mut harness = with_proxies(zone_bound_settings());
    let warming = ["a2", "a3"].map(|host| started(host, 0, harness.now));
    harness.handle(vec![delta(&warming)]);

    for _ in 0..4 {
        let mut events = demand(30.0);
        events.push(host_report(0, "a1", 8.0, 8.0, 0.0));
        events.extend(["b1", "b2", "b3"].map(|host| host_report(0, host, 8.0, 0.0, 200.0)));
        harness.handle(events);
        harness.advance(1000.0);
        harness.acknowledge(&[1, 2]);
    }

    let bound = &harness.tables[&harness.bindings[&(1, 2)]];
    assert!(bound.contains_key("a1"), "{bound:?} {:?}", harness.logs);
    let open = &harness.tables[&harness.bindings[&(1, 1)]];
    assert!(!open.contains_key("a1"), "hosts of the other zone can absorb its load");
}
