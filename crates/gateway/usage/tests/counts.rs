//! Counts of gateways and their sums.

mod common;

use common::{FIRST, early_counts, final_counts};
use rushcourse_types::{Incarnation, NodeId, WallTime, WindowNumber};
use rushcourse_usage::{ReportWindows, UsageCounter, UsageLedger};
use std::sync::Arc;
use std::time::Duration;

fn total(ledger: &UsageLedger) -> u64 {
    ledger.totals(FIRST).values().sum()
}

#[test]
fn window_numbers_count_from_the_start_of_1970() {
    let windows = ReportWindows::new(Duration::from_secs(5));
    assert_eq!(windows.at(WallTime(9_999)), WindowNumber(1));
    assert_eq!(windows.at(WallTime(10_000)), WindowNumber(2));
    assert_eq!(windows.end_of(WindowNumber(1)), WallTime(10_000));
}

#[test]
fn retracted_request_is_not_counted() {
    let mut counter = UsageCounter::new(NodeId(1), Incarnation(1));
    let tenant: Arc<str> = "t".into();
    let executed = counter.start(FIRST, &tenant);
    let rejected = counter.start(FIRST, &tenant);
    counter.retract(&rejected);
    let counts = counter.take_progress(FIRST).expect("changed counts");
    assert_eq!(counts.counts[0].requests, 1);
    assert!(
        counter.take_progress(FIRST).is_none(),
        "nothing has changed"
    );
    drop(executed);
}

#[test]
fn ended_window_is_taken_once_and_again_after_a_change() {
    let mut counter = UsageCounter::new(NodeId(1), Incarnation(1));
    let request = counter.start(FIRST, &"t".into());
    let next = WindowNumber(FIRST.0 + 1);
    assert!(counter.take_progress(FIRST).is_some());
    let first = counter.take_ended(next);
    assert_eq!(
        first.len(),
        1,
        "also without a change since the last report"
    );
    assert!(first[0].has_ended);
    assert!(counter.take_ended(next).is_empty());
    counter.retract(&request);
    let second = counter.take_ended(next);
    assert!(second[0].revision > first[0].revision);
    assert_eq!(counter.ended(next).len(), 1);
}

/// A count that is told again, or that arrives after a newer one, must neither double nor reduce a total.
#[test]
fn repeated_and_outdated_counts_change_nothing() {
    let mut ledger = UsageLedger::default();
    ledger.record(FIRST, final_counts(1, FIRST, 10));
    ledger.record(FIRST, final_counts(1, FIRST, 10));
    ledger.record(FIRST, early_counts(1, FIRST, 4));
    assert_eq!(total(&ledger), 10);
}

#[test]
fn counts_of_a_restarted_gateway_add_up() {
    let mut ledger = UsageLedger::default();
    ledger.record(FIRST, final_counts(1, FIRST, 10));
    let mut restarted = final_counts(1, FIRST, 5);
    restarted.incarnation = Incarnation(77);
    ledger.record(FIRST, restarted);
    assert_eq!(total(&ledger), 15);
}

#[test]
fn window_is_complete_once_all_gateways_have_sent_their_final_counts() {
    let mut ledger = UsageLedger::default();
    let next = WindowNumber(FIRST.0 + 1);
    ledger.record(FIRST, final_counts(1, FIRST, 10));
    ledger.record(FIRST, final_counts(2, FIRST, 10));
    assert!(ledger.is_complete(FIRST));
    ledger.record(FIRST, final_counts(1, next, 10));
    assert!(!ledger.is_complete(next), "gateway 2 is missing");
    ledger.record(FIRST, early_counts(2, next, 3));
    assert!(!ledger.is_complete(next), "gateway 2 has not finished");
    ledger.record(FIRST, final_counts(2, next, 6));
    assert!(ledger.is_complete(next));
}

/// Guards against late reports: a gateway that restarted in a window never sends the final counts of its first run.
#[test]
fn window_is_complete_without_the_first_run_of_a_restarted_gateway() {
    let mut ledger = UsageLedger::default();
    ledger.record(FIRST, early_counts(1, FIRST, 3));
    let mut restarted = final_counts(1, FIRST, 5);
    restarted.incarnation = Incarnation(77);
    ledger.record(FIRST, restarted);
    assert!(ledger.is_complete(FIRST));
    assert_eq!(total(&ledger), 8);
}

/// Guards against late reports: controllers wait for a gateway that sends nothing because it had no requests.
#[test]
fn idle_gateway_sends_empty_counts_once_for_each_window() {
    let mut counter = UsageCounter::new(NodeId(1), Incarnation(1));
    let next = WindowNumber(FIRST.0 + 1);
    let ended = counter.take_ended(next);
    assert_eq!(ended.len(), 1);
    assert!(ended[0].has_ended && ended[0].counts.is_empty());
    assert!(counter.take_ended(next).is_empty());
}

#[test]
fn counts_are_bounded_in_windows() {
    let mut ledger = UsageLedger::default();
    let mut counter = UsageCounter::new(NodeId(1), Incarnation(1));
    for number in 0..1_000 {
        let window = WindowNumber(number);
        ledger.record(window, final_counts(1, window, 1));
        counter.start(WindowNumber(number), &"t".into());
    }
    assert!(ledger.windows_after(None).count() < 100);
    assert!(counter.ended(WindowNumber(1_000)).len() < 100);
}

/// Guards against missing reports: one gateway whose clock is ahead pushed the counts of all others out of the ledger.
#[test]
fn counts_of_a_clock_far_ahead_do_not_displace_those_of_other_gateways() {
    let mut ledger = UsageLedger::default();
    for ahead in 0..32 {
        let window = WindowNumber(FIRST.0 + 100 + ahead);
        ledger.record(FIRST, final_counts(7, window, 1));
    }
    ledger.record(FIRST, final_counts(8, FIRST, 12));
    assert_eq!(total(&ledger), 12);
}
