//! A list that drops hosts which still serve.

mod common;

use common::{
    HOSTS, Harness, delta, draining, gone, host, host_report, settings_with, settled, settled_with, zone_of,
};
use rushcourse_policy::interface::Event;

/// Hosts that the list drops.
const DROPPED: [&str; 4] = ["a1", "a2", "b1", "b2"];

fn healthy_reports() -> Vec<Event> {
    HOSTS.iter().map(|host| host_report(0, host, 10.0, 0.0, 200.0)).collect()
}

/// The list's removals do not bind, and every host was just reported on.
fn with_unbinding_removals() -> Harness {
    let mut harness = settled_with(settings_with(|s| s.hosts.may_keep_unlisted = true));
    harness.handle(healthy_reports());
    harness
}

fn drop_most(harness: &mut Harness) {
    harness.handle(vec![delta(&DROPPED.map(|name| gone(name, zone_of(name))))]);
}

#[test]
fn hosts_that_the_list_drops_stay_while_they_answer() {
    let mut harness = with_unbinding_removals();
    drop_most(&mut harness);
    for _ in 0..8 {
        harness.advance(1000.0);
        harness.handle(healthy_reports());
    }
    assert!(harness.withdrawn.is_empty(), "{:?}", harness.withdrawn);
    assert_eq!(harness.weights(1).len(), 6);

    // The true list returns with the same starts: there is no slow start.
    harness.handle(vec![delta(&DROPPED.map(|name| host(name, zone_of(name))))]);
    harness.advance(1000.0);
    assert_eq!(harness.weights(1)["a1"], harness.weights(1)["a3"]);
}

#[test]
fn a_dropped_host_that_fails_or_is_not_reported_on_is_withdrawn() {
    let mut harness = with_unbinding_removals();
    drop_most(&mut harness);
    harness.advance(1000.0);

    let failed = |host: &str| if host == "a1" { 10.0 } else { 0.0 };
    harness.handle(["a1", "b1", "b2"].map(|host| host_report(0, host, 10.0, failed(host), 200.0)).to_vec());
    harness.advance(500.0);

    assert_eq!(harness.withdrawn.get("a1"), Some(&true), "it fails");
    assert_eq!(harness.withdrawn.get("b1"), None, "it answers");
    harness.advance(8000.0);
    assert_eq!(harness.withdrawn.get("a2"), Some(&true), "no report of it");
}

#[test]
fn where_a_removal_binds_a_dropped_host_is_withdrawn_at_once() {
    let mut harness = settled();
    drop_most(&mut harness);
    assert_eq!(harness.withdrawn.len(), 4);
}

#[test]
fn a_draining_host_is_never_kept_when_dropped() {
    let mut harness = with_unbinding_removals();
    harness.handle(vec![delta(&[draining("a1", 0)])]);
    harness.handle(vec![delta(&[gone("a1", 0)])]);
    assert_eq!(harness.withdrawn.get("a1"), Some(&true));
}
