//! The watch of the relay: disconnects, inactivity, unreadable lines, and reconciliation of joined proxies after a gap.

mod common;

use common::harness::Harness;
use rushcourse_director_state::RelayLink;

/// Snapshot of a new watch in which both proxies hold the tables that were ordered.
const BOTH: [&str; 2] = ["* joined 1 east 5.0 0", "* joined 2 west 5.0 0"];

/// Creates a session with two bound proxies and sets the snapshot for new watches.
fn with_joined(lines: &[&str]) -> Harness {
    let mut harness = Harness::with_bound_proxies();
    set_joined(&mut harness, lines);
    harness
}

fn set_joined(harness: &mut Harness, lines: &[&str]) {
    harness.relay.joined = lines.iter().map(|line| line.to_string()).collect();
}

/// Number of orders that bind each proxy, starting with the call at index `first_call`.
fn bind_counts(harness: &Harness, first_call: usize, proxies: [u32; 2]) -> [usize; 2] {
    proxies.map(|proxy| harness.relay.bind_count(first_call, proxy))
}

/// Number of watches that the session requested and that it closed.
fn watches(harness: &Harness) -> (usize, usize) {
    (
        harness.relay.connect_count(RelayLink::Watch),
        harness.relay.disconnect_count(RelayLink::Watch),
    )
}

#[test]
fn joined_and_rejoined_proxies_are_bound() {
    let mut harness = Harness::with_bound_proxies();
    assert_eq!(bind_counts(&harness, 0, [1, 2]), [1, 1]);
    harness.notify("* left 1");
    let before = harness.relay.calls.len();
    harness.notify("* joined 1 east 5.0 0");
    harness.run_for(100.0);
    assert_eq!(
        harness.relay.bind_count(before, 1),
        1,
        "a rejoined proxy has no bindings"
    );
}

#[test]
fn short_disconnect_does_not_rebind_proxies() {
    let mut harness = with_joined(&BOTH);
    let before = harness.relay.calls.len();
    harness.disconnect(RelayLink::Watch);
    harness.run_for(1500.0);
    assert_eq!(bind_counts(&harness, before, [1, 2]), [0, 0]);
    assert_eq!(watches(&harness).0, 2, "a new watch is requested at once");
}

#[test]
fn after_a_gap_missing_proxies_have_left_and_new_ones_are_bound() {
    // Given a relay where proxy 1 has left and proxy 3 has joined.
    let mut harness = with_joined(&["* joined 2 west 5.0 0", "* joined 3 east 5.0 1"]);
    let before = harness.relay.calls.len();
    // When the watch is lost and established again.
    harness.disconnect(RelayLink::Watch);
    harness.run_for(50.0);
    harness.notify("*");
    harness.run_for(100.0);
    // Then the session binds proxy 3 and removes proxy 1.
    assert_eq!(bind_counts(&harness, before, [2, 3]), [0, 1]);
    assert_eq!(harness.gauge("proxies_joined"), 2.0, "proxy 1 has left");
    // When proxy 1 joins again, then it is bound as a new one.
    harness.notify("* joined 1 east 5.0 0");
    harness.run_for(100.0);
    assert_eq!(harness.relay.bind_count(before, 1), 1);
}

#[test]
fn proxy_restarted_during_a_gap_is_bound() {
    let mut harness = with_joined(&["* joined 1 east 5.0 1", "* joined 2 west 5.0 0"]);
    let before = harness.relay.calls.len();
    harness.disconnect(RelayLink::Watch);
    harness.run_for(500.0);
    assert_eq!(bind_counts(&harness, before, [1, 2]), [1, 0]);
}

#[test]
fn all_proxies_are_rebound_after_a_long_gap() {
    let mut harness = with_joined(&BOTH);
    let before = harness.relay.calls.len();
    harness.relay.is_reachable = false;
    harness.disconnect(RelayLink::Watch);
    harness.run_for(2000.0);
    harness.relay.is_reachable = true;
    harness.run_for(1500.0);
    assert_eq!(bind_counts(&harness, before, [1, 2]), [1, 1]);
    assert_eq!(harness.counter("proxies_bound_anew"), 2);
}

#[test]
fn inactive_watch_is_replaced_unless_keep_alives_arrive() {
    let mut harness = Harness::with_bound_proxies();
    for _ in 0..10 {
        harness.run_for(1000.0);
        harness.notify("*");
    }
    assert_eq!(watches(&harness).0, 1);
    harness.run_for(2500.0);
    assert_eq!(
        watches(&harness),
        (2, 1),
        "an inactive watch is closed and replaced"
    );
    assert!(harness.has_logged(&["watch lost", "no sign of life"]));
}

#[test]
fn unreadable_notification_restarts_the_watch() {
    for line in [
        "garbage",
        "* joined 1",
        "* joined x east 5.0 1",
        "* applied 1 70000 2.0",
        "* left -3",
        "",
    ] {
        let mut harness = Harness::with_bound_proxies();
        harness.notify(line);
        harness.run_for(10.0);
        assert_eq!(watches(&harness), (2, 1), "{line:?}");
    }
}

#[test]
fn notifications_before_an_unreadable_one_are_kept() {
    let mut harness = Harness::with_bound_proxies();
    harness.run_for(900.0);
    set_joined(&mut harness, &BOTH);
    harness.notify("* left ?");
    harness.run_for(1000.0);
    assert_eq!(
        harness.counter("proxies_bound_anew"),
        0,
        "proxies announced again without a gap have stayed"
    );
}

#[test]
fn notifications_of_unknown_kind_or_zone_are_skipped() {
    let mut harness = Harness::with_bound_proxies();
    harness.notify("* moved 1 5");
    harness.notify("* joined 9 nowhere 5.0 1");
    harness.run_for(10.0);
    assert_eq!(watches(&harness).0, 1);
}

#[test]
fn failed_watch_is_retried() {
    let mut harness = Harness::new();
    harness.relay.is_reachable = false;
    harness.start();
    harness.run_for(5000.0);
    let attempts = watches(&harness).0;
    assert!(
        (8..40).contains(&attempts),
        "{attempts} attempts in six seconds"
    );
    harness.relay.is_reachable = true;
    set_joined(&mut harness, &["* joined 1 east 5.0 0"]);
    harness.run_for(2000.0);
    assert_eq!(harness.relay.bind_count(0, 1), 1);
}

#[test]
fn snapshot_is_complete_after_a_quiet_period() {
    let mut harness = with_joined(&["* joined 1 east 5.0 0"]);
    harness.disconnect(RelayLink::Watch);
    harness.run_for(100.0);
    harness.notify("* joined 2 west 5.0 0");
    harness.run_for(1000.0);
    assert_eq!(
        harness.gauge("proxies_joined"),
        2.0,
        "the snapshot includes a line that came 100 ms after the first"
    );
}

#[test]
fn short_lived_watches_are_retried_with_backoff() {
    let mut harness = Harness::with_bound_proxies();
    let before = watches(&harness).0;
    for _ in 0..100 {
        harness.notify("* left 7");
        harness.disconnect(RelayLink::Watch);
        harness.run_for(20.0);
    }
    let watches = watches(&harness).0 - before;
    assert!(
        (3..=20).contains(&watches),
        "{watches} watches in two seconds"
    );
}
