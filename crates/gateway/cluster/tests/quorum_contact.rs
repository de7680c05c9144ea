//! Quorum contact and stall detection over sequences of event loop iterations.

use rushcourse_cluster::{QuorumContact, STALL_THRESHOLD};
use rushcourse_types::Timestamp;
use std::time::Duration;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Records iterations every 50 ms and checks that none counts as a stall.
fn iterate_regularly(contact: &mut QuorumContact, from: u64, until: u64) {
    for now in (from..until).step_by(50) {
        assert!(!contact.record_iteration(at(now)), "at {now}");
    }
}

#[test]
fn contact_is_not_current_without_quorum_sessions() {
    let mut contact = QuorumContact::default();
    iterate_regularly(&mut contact, 1_000, 2_000);
    assert!(!contact.is_current());
    contact.record_quorum_sessions(true);
    assert!(contact.is_current());
    contact.record_quorum_sessions(false);
    assert!(!contact.is_current(), "the sessions were closed");
}

#[test]
fn stalled_controller_is_current_only_after_a_majority_responds() {
    let mut contact = QuorumContact::default();
    contact.record_quorum_sessions(true);
    iterate_regularly(&mut contact, 1_000, 2_000);

    assert!(
        contact.record_iteration(at(7_000)),
        "stalled for five seconds"
    );
    assert!(!contact.is_current(), "its sessions still look open");

    iterate_regularly(&mut contact, 7_050, 7_500);
    contact.record_quorum_sessions(true);
    assert!(!contact.is_current(), "open sessions are not sufficient");

    contact.confirm(at(7_000));
    assert!(contact.is_current());
}

#[test]
fn delay_below_the_threshold_is_not_a_stall() {
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
fn second_stall_requires_a_newer_confirmation() {
    let mut contact = QuorumContact::default();
    contact.record_quorum_sessions(true);
    contact.record_iteration(at(1_000));
    assert!(contact.record_iteration(at(3_000)));
    assert!(
        contact.record_iteration(at(6_000)),
        "a new probe is required"
    );

    contact.confirm(at(3_000));
    assert!(
        !contact.is_current(),
        "the probe was sent before the second stall"
    );
    contact.confirm(at(6_000));
    assert!(contact.is_current());
}
