//! Hosts that disappear from the host list while they still serve requests.

mod common;

use common::{
    HOSTS, Harness, delta, draining, gone, host, host_report, settings_with, settled, settled_with, zone_of,
};
use rushcourse_policy::interface::Event;

/// Hosts that are removed from the list.
const UNLISTED: [&str; 4] = ["a1", "a2", "b1", "b2"];

fn healthy_reports() -> Vec<Event> {
    HOSTS.iter().map(|host| host_report(0, host, 10.0, 0.0, 200.0)).collect()
}

/// A director that keeps unlisted hosts and has just received healthy reports about every host.
fn with_nonbinding_removals() -> Harness {
    let mut harness = settled_with(settings_with(|s| s.hosts.may_keep_unlisted = true));
    harness.handle(healthy_reports());
    harness
}

fn unlist_most(harness: &mut Harness) {
    harness.handle(vec![delta(&UNLISTED.map(|name| gone(name, zone_of(name))))]);
}

#[test]
fn unlisted_hosts_stay_while_they_respond() {
    let mut harness = with_nonbinding_removals();
    unlist_most(&mut harness);
    for _ in 0..8 {
        harness.advance(1000.0);
        harness.handle(healthy_reports());
    }
    assert!(harness.withdrawn.is_empty(), "{:?}", harness.withdrawn);
    assert_eq!(harness.weights(1).len(), 6);

    // The hosts are listed again with unchanged start times, so there is no slow start.
    harness.handle(vec![delta(&UNLISTED.map(|name| host(name, zone_of(name))))]);
    harness.advance(1000.0);
    assert_eq!(harness.weights(1)["a1"], harness.weights(1)["a3"]);
}

#[test]
fn unlisted_host_is_withdrawn_if_it_fails_or_reports_stop() {
    let mut harness = with_nonbinding_removals();
    unlist_most(&mut harness);
    harness.advance(1000.0);

    let failed = |host: &str| if host == "a1" { 10.0 } else { 0.0 };
    harness.handle(["a1", "b1", "b2"].map(|host| host_report(0, host, 10.0, failed(host), 200.0)).to_vec());
    harness.advance(500.0);

    assert_eq!(harness.withdrawn.get("a1"), Some(&true), "attempts fail");
    assert_eq!(harness.withdrawn.get("b1"), None, "attempts succeed");
    harness.advance(8000.0);
    assert_eq!(harness.withdrawn.get("a2"), Some(&true), "no recent report");
}

#[test]
fn unlisted_host_is_withdrawn_at_once_if_removals_are_binding() {
    let mut harness = settled();
    unlist_most(&mut harness);
    assert_eq!(harness.withdrawn.len(), 4);
}

#[test]
fn unlisted_draining_host_is_withdrawn() {
    let mut harness = with_nonbinding_removals();
    harness.handle(vec![delta(&[draining("a1", 0)])]);
    harness.handle(vec![delta(&[gone("a1", 0)])]);
    assert_eq!(harness.withdrawn.get("a1"), Some(&true));
}
