//! The reporting duty: who holds it, what is settled, and what is sent.

mod common;

use common::{FIRST, LEASE, Node, early_counts, final_counts, first_duty, posts, proposals};
use rushcourse_messages::{DutyState, UsageReport};
use rushcourse_types::{Fence, NodeId, WindowNumber};
use rushcourse_usage::{DeliveryOutcome, Effect};
use std::time::Duration;

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// A holder with counts of one gateway in the first window.
fn holder_with_counts(requests: u32) -> Node {
    let mut node = Node::new(1, &[2, 3]);
    node.reporter.duty_committed(first_duty(1));
    node.record_counts(final_counts(9, FIRST, requests));
    node
}

fn settled(holder: u32, body: &str) -> DutyState {
    let report = UsageReport {
        window: FIRST,
        body: body.as_bytes().into(),
    };
    first_duty(holder).settle(report).expect("a new window")
}

#[test]
fn controller_with_lowest_node_id_becomes_the_first_holder() {
    let lowest = Node::new(1, &[2, 3]).run_until(Duration::from_millis(1_300));
    let next = Node::new(2, &[1, 3]).run_until(Duration::from_millis(1_300));
    assert_eq!(proposals(&lowest), vec![&first_duty(1)]);
    assert!(proposals(&next).is_empty());
}

#[test]
fn nothing_is_proposed_or_sent_without_quorum_contact() {
    let mut node = holder_with_counts(10);
    node.has_quorum_contact = false;
    assert!(node.run_until(seconds(30)).is_empty());
}

/// Two reports for one window with different counts break rule ONE, so a report must be agreed on before it is sent.
#[test]
fn report_is_sent_only_once_it_is_agreed_on() {
    let mut node = holder_with_counts(10);
    let effects = node.run_until(seconds(8));
    assert!(posts(&effects).is_empty());
    let proposed = (*proposals(&effects).first().expect("a settlement")).clone();
    assert_eq!(
        &*proposed.undelivered[0].body,
        br#"{"window_number":200,"counts":{"t":10}}"#
    );
    node.reporter.duty_committed(proposed.clone());
    let effects = node.run_until(seconds(9));
    let call = posts(&effects)[0];
    assert_eq!(call.report, proposed.undelivered[0]);
    assert_eq!(call.fence, proposed.fence);
    assert_eq!(call.holder, "core-1");
}

/// Late counts must not lead to a second report for a window that is settled.
#[test]
fn counts_that_arrive_after_the_settlement_are_not_reported() {
    let mut node = holder_with_counts(10);
    let first = node.run_with_agreement(seconds(9));
    let window = posts(&first)[0].report.window;
    node.reporter
        .finish_delivery(node.now(), Fence(1), window, DeliveryOutcome::Accepted);
    node.record_counts(final_counts(8, FIRST, 90));
    let later = node.run_with_agreement(seconds(20));
    assert!(posts(&later).is_empty());
}

#[test]
fn report_waits_for_unreachable_gateways_until_it_would_be_late() {
    let mut node = holder_with_counts(10);
    node.record_counts(early_counts(8, FIRST, 3));
    let effects = node.run_until(seconds(11));
    assert!(proposals(&effects).is_empty());
    let effects = node.run_until(seconds(13));
    let proposed = proposals(&effects)[0];
    assert_eq!(
        &*proposed.undelivered[0].body,
        br#"{"window_number":200,"counts":{"t":13}}"#
    );
}

#[test]
fn unfinished_counts_are_passed_on_once() {
    let mut node = Node::new(2, &[1, 3]);
    node.reporter.duty_committed(first_duty(1));
    let counts = early_counts(8, FIRST, 3);
    node.record_counts(counts.clone());
    node.record_counts(final_counts(9, FIRST, 10));
    let effects = node.run_until(seconds(20));
    assert_eq!(effects, vec![Effect::Relay(counts)]);
}

/// A holder that acts again shortly after its successor would break the order of holders (rule ONE).
#[test]
fn lost_holder_is_replaced_only_after_the_lease_with_a_higher_fence() {
    let mut node = Node::new(2, &[1, 3]);
    node.reporter.duty_committed(first_duty(1));
    assert!(node.run_until(seconds(5)).is_empty());
    node.connected.remove(0);
    assert!(node.run_until(seconds(5) + LEASE).is_empty());
    let effects = node.run_until(seconds(6) + LEASE);
    let proposed = proposals(&effects)[0];
    assert_eq!(proposed.holder, NodeId(2));
    assert!(proposed.fence > first_duty(1).fence);
}

#[test]
fn short_absence_of_the_holder_restarts_the_wait() {
    let mut node = Node::new(2, &[1, 3]);
    node.reporter.duty_committed(first_duty(1));
    let holder = node.connected.remove(0);
    assert!(node.run_until(seconds(2)).is_empty());
    node.connected.insert(0, holder);
    assert!(node.run_until(seconds(3)).is_empty());
    node.connected.remove(0);
    assert!(node.run_until(seconds(5)).is_empty());
}

/// The platform may have accepted the report of the lost holder, so its successor has to send the same bytes.
#[test]
fn successor_sends_the_settled_bytes_under_its_own_fence() {
    let duty = settled(1, "agreed bytes");
    let taken_over = duty.take_over(NodeId(2), "core-2");
    let mut node = Node::new(2, &[3]);
    node.record_counts(final_counts(9, FIRST, 999));
    node.reporter.duty_committed(taken_over.clone());
    let effects = node.run_until(Duration::from_millis(200));
    let call = posts(&effects)[0];
    assert_eq!(&*call.report.body, b"agreed bytes");
    assert_eq!(call.fence, taken_over.fence);
    assert!(call.fence > duty.fence);
}

#[test]
fn former_holder_sends_nothing() {
    let mut node = Node::new(1, &[2, 3]);
    node.reporter
        .duty_committed(settled(1, "bytes").take_over(NodeId(2), "core-2"));
    assert!(posts(&node.run_until(seconds(2))).is_empty());
}

#[test]
fn failed_call_is_repeated_with_the_same_bytes_after_a_pause() {
    let mut node = Node::new(1, &[2, 3]);
    node.reporter.duty_committed(settled(1, "bytes"));
    let mut calls = 0;
    for tenth in 1..=100 {
        let effects = node.run_with_agreement(Duration::from_millis(100 * tenth));
        for call in posts(&effects) {
            calls += 1;
            assert_eq!(&*call.report.body, b"bytes");
            let now = node.now();
            node.reporter
                .finish_delivery(now, call.fence, FIRST, DeliveryOutcome::Failed);
        }
    }
    assert!((4..=7).contains(&calls), "{calls} calls in 10 s");
}

#[test]
fn delivered_report_is_not_sent_again_and_leaves_the_state() {
    let mut node = Node::new(1, &[2, 3]);
    node.reporter.duty_committed(settled(1, "bytes"));
    let effects = node.run_with_agreement(Duration::from_millis(100));
    let fence = posts(&effects)[0].fence;
    node.reporter
        .finish_delivery(node.now(), fence, FIRST, DeliveryOutcome::Accepted);
    let effects = node.run_until(seconds(2));
    assert!(posts(&effects).is_empty());
    assert!(proposals(&effects)[0].undelivered.is_empty());
}

/// A machine that was refused because another had used a higher fence must not call again with the same fence.
#[test]
fn refused_fence_is_never_used_again() {
    let mut node = Node::new(1, &[2, 3]);
    node.reporter.duty_committed(settled(1, "bytes"));
    let effects = node.run_until(Duration::from_millis(100));
    let fence = posts(&effects)[0].fence;
    node.reporter
        .finish_delivery(node.now(), fence, FIRST, DeliveryOutcome::FenceRefused);
    let effects = node.run_with_agreement(seconds(5));
    let calls = posts(&effects);
    assert!(!calls.is_empty());
    assert!(calls.iter().all(|call| call.fence > fence));
}

#[test]
fn holder_that_shuts_down_hands_over_at_once_and_sends_nothing() {
    let mut node = holder_with_counts(10);
    node.run_with_agreement(seconds(2));
    node.is_shutting_down = true;
    let effects = node.step();
    assert!(posts(&effects).is_empty());
    assert_eq!(proposals(&effects)[0].holder, NodeId(2));
}

/// Guards against two leaving holders that pass the duty back and forth, so that nobody sends reports.
#[test]
fn holder_that_shuts_down_does_not_hand_over_to_a_controller_that_leaves_too() {
    let mut node = Node::new(1, &[2, 3]);
    node.reporter.duty_committed(first_duty(1));
    node.is_shutting_down = true;
    node.connected[0].is_shutting_down = true;
    let effects = node.step();
    assert_eq!(proposals(&effects)[0].holder, NodeId(3));
    node.connected[1].is_shutting_down = true;
    assert!(proposals(&node.run_until(seconds(5))).is_empty());
}

#[test]
fn windows_without_requests_are_not_reported() {
    let mut node = Node::new(1, &[2, 3]);
    node.reporter.duty_committed(first_duty(1));
    node.record_counts(final_counts(9, WindowNumber(FIRST.0 + 3), 5));
    node.record_counts(final_counts(9, FIRST, 0));
    let effects = node.run_with_agreement(seconds(40));
    let windows: Vec<WindowNumber> = posts(&effects)
        .iter()
        .map(|call| call.report.window)
        .collect();
    assert!(windows.iter().all(|window| window.0 == FIRST.0 + 3));
    assert!(!windows.is_empty());
}

/// Guards against a takeover without the wait for a lost holder: each holder has to be missing for the lease duration
/// itself, and the absence of the one before it does not count.
#[test]
fn absence_of_an_earlier_holder_does_not_shorten_the_wait_for_the_next() {
    let mut node = Node::new(3, &[4]);
    node.reporter.duty_committed(first_duty(1));
    let before = node.run_until(Duration::from_millis(3_150));
    assert!(proposals(&before).is_empty());
    node.reporter
        .duty_committed(first_duty(1).take_over(NodeId(2), "core-2"));
    let after = node.run_until(Duration::from_millis(3_150) + LEASE);
    assert!(proposals(&after).is_empty(), "{after:?}");
}

/// Guards against a takeover after a cut: what a controller saw of the holder without quorum contact does not count.
#[test]
fn loss_of_quorum_contact_restarts_the_wait_for_the_holder() {
    let mut node = Node::new(2, &[3]);
    node.reporter.duty_committed(first_duty(1));
    node.run_until(seconds(2));
    node.has_quorum_contact = false;
    node.run_until(seconds(3));
    node.has_quorum_contact = true;
    let effects = node.run_until(seconds(3) + LEASE);
    assert!(proposals(&effects).is_empty(), "{effects:?}");
}

/// Guards against a report without the counts that gateways still have to send to a controller that was cut off.
#[test]
fn report_is_not_settled_right_after_quorum_contact_begins() {
    let mut node = holder_with_counts(10);
    node.has_quorum_contact = false;
    node.run_until(seconds(20));
    node.has_quorum_contact = true;
    let effects = node.run_until(Duration::from_millis(21_400));
    assert!(proposals(&effects).is_empty(), "{effects:?}");
    let later = node.run_until(seconds(22));
    assert!(!proposals(&later).is_empty());
}

/// Guards against ONE: a holder that has handed over must not act while its successor does.
#[test]
fn holder_that_shuts_down_does_not_send_a_settled_report() {
    let mut node = Node::new(1, &[2, 3]);
    node.reporter.duty_committed(settled(1, "{}"));
    node.is_shutting_down = true;
    let effects = node.run_until(seconds(2));
    assert!(posts(&effects).is_empty(), "{effects:?}");
}

/// Guards against ONE: a call that was delayed by a stall must not leave once a successor may act.
#[test]
fn call_may_leave_only_for_a_time_shorter_than_the_lease() {
    let mut node = Node::new(1, &[2, 3]);
    node.reporter.duty_committed(settled(1, "{}"));
    let effects = node.run_until(seconds(1));
    let call = posts(&effects)[0];
    assert!(call.send_before < node.now() + LEASE, "{call:?}");
}

/// Guards against a former holder that acts again because an older state arrives late.
#[test]
fn older_state_does_not_replace_a_newer_one() {
    let mut node = Node::new(1, &[2, 3]);
    let held = settled(1, "{}");
    node.reporter
        .duty_committed(held.take_over(NodeId(2), "core-2"));
    node.reporter.duty_committed(held);
    let effects = node.run_until(seconds(20));
    assert!(effects.is_empty(), "{effects:?}");
}

/// Guards against two calls at once: the next one waits for the outcome of the first.
#[test]
fn one_call_is_under_way_at_a_time() {
    let mut node = Node::new(1, &[2, 3]);
    node.reporter.duty_committed(settled(1, "{}"));
    let effects = node.run_until(seconds(5));
    assert_eq!(posts(&effects).len(), 1);
}
