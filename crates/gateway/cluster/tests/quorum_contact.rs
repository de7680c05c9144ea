//! When a controller may act on what it knows, by timelines of its loop.

use rushcourse_cluster::{QuorumContact, STALL_THRESHOLD};
use rushcourse_types::Timestamp;
use std::time::Duration;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Turns of the loop at its usual pace; none of them is a stall.
fn turn_regularly(contact: &mut QuorumContact, from: u64, until: u64) {
    for now in (from..until).step_by(50) {
        assert!(!contact.record_iteration(at(now)), "at {now}");
    }
}

#[test]
fn nothing_counts_before_a_majority_is_in_session() {
    let mut contact = QuorumContact::default();
    turn_regularly(&mut contact, 1_000, 2_000);
    assert!(!contact.is_current());
    contact.record_quorum_sessions(true);
    assert!(contact.is_current());
    contact.record_quorum_sessions(false);
    assert!(!contact.is_current(), "a partition ends the sessions");
}

#[test]
fn a_controller_that_was_frozen_counts_only_once_a_majority_has_answered_it() {
    let mut contact = QuorumContact::default();
    contact.record_quorum_sessions(true);
    turn_regularly(&mut contact, 1_000, 2_000);

    assert!(
        contact.record_iteration(at(7_000)),
        "frozen for five seconds"
    );
    assert!(!contact.is_current(), "its sessions still look alive");

    turn_regularly(&mut contact, 7_050, 7_500);
    contact.record_quorum_sessions(true);
    assert!(!contact.is_current(), "sessions alone prove nothing");

    contact.confirm(at(7_000));
    assert!(contact.is_current());
}

#[test]
fn a_turn_that_is_a_little_late_is_no_stall() {
    let mut contact = QuorumContact::default();
    contact.record_quorum_sessions(true);
    contact.record_iteration(at(1_000));

    let just_in_time = at(1_000) + (STALL_THRESHOLD - Duration::from_millis(1));
    assert!(!contact.record_iteration(just_in_time));
    assert!(contact.is_current());

    assert!(contact.record_iteration(at(1_000) + 2 * STALL_THRESHOLD));
    assert!(!contact.is_current());
}

#[test]
fn a_second_stall_before_the_answer_needs_an_answer_of_its_own() {
    let mut contact = QuorumContact::default();
    contact.record_quorum_sessions(true);
    contact.record_iteration(at(1_000));
    assert!(contact.record_iteration(at(3_000)));
    assert!(
        contact.record_iteration(at(6_000)),
        "and the majority is probed again"
    );

    contact.confirm(at(3_000));
    assert!(
        !contact.is_current(),
        "that answer is older than the second stall"
    );
    contact.confirm(at(6_000));
    assert!(contact.is_current());
}
