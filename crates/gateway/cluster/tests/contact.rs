//! When a core director may act on what it knows, by timelines of its loop.

use rushcourse_cluster::{Contact, Rounds, STALL};
use rushcourse_messages::VotingSet;
use rushcourse_types::{Epoch, NodeId, RequestToken};

fn turning(contact: &mut Contact, from: u64, until: u64) {
    for now in (from..until).step_by(50) {
        assert!(!contact.turn(now), "at {now}");
    }
}

#[test]
fn nothing_counts_before_a_majority_is_in_session() {
    let mut contact = Contact::default();
    turning(&mut contact, 1_000, 2_000);
    assert!(!contact.is_recent());
    contact.majority(true);
    assert!(contact.is_recent());
    contact.majority(false);
    assert!(!contact.is_recent(), "a cut ends the sessions");
}

#[test]
fn a_thawed_director_counts_only_once_a_majority_has_answered_it() {
    let mut contact = Contact::default();
    contact.majority(true);
    turning(&mut contact, 1_000, 2_000);
    assert!(contact.turn(7_000), "frozen for five seconds");
    assert!(!contact.is_recent(), "its sessions still look alive");
    turning(&mut contact, 7_050, 7_500);
    contact.majority(true);
    assert!(!contact.is_recent(), "sessions alone prove nothing");
    contact.proven(7_000);
    assert!(contact.is_recent());
}

#[test]
fn a_turn_that_is_a_little_late_is_no_freeze() {
    let mut contact = Contact::default();
    contact.majority(true);
    contact.turn(1_000);
    assert!(!contact.turn(1_000 + STALL - 1));
    assert!(contact.is_recent());
    assert!(contact.turn(1_000 + 2 * STALL));
    assert!(!contact.is_recent());
}

#[test]
fn a_second_freeze_before_the_answer_is_one_more_to_prove() {
    let mut contact = Contact::default();
    contact.majority(true);
    contact.turn(1_000);
    assert!(contact.turn(3_000));
    assert!(contact.turn(6_000), "and the question is asked again");
    contact.proven(3_000);
    assert!(
        !contact.is_recent(),
        "that answer is older than the second freeze"
    );
    contact.proven(6_000);
    assert!(contact.is_recent());
}

/// Four core directors, of which the first is asked here.
fn four() -> VotingSet {
    VotingSet {
        epoch: Epoch(1),
        members: vec![NodeId(1), NodeId(2), NodeId(3), NodeId(4)],
    }
}

#[test]
fn a_drain_is_confirmed_once_a_majority_has_handled_what_was_sent_before() {
    let mut rounds = Rounds::default();
    let token = rounds.ask(1_000);
    assert!(rounds.told(NodeId(2), token));
    assert!(rounds.told(NodeId(2), token), "the same one twice is one");
    assert!(
        rounds.over(1_010, NodeId(1), &four()).is_empty(),
        "two of four"
    );
    assert!(rounds.told(NodeId(3), token));
    assert_eq!(rounds.over(1_020, NodeId(1), &four()), [(token, true)]);
    assert!(rounds.over(1_030, NodeId(1), &four()).is_empty(), "once");
}

#[test]
fn an_answer_to_an_earlier_question_proves_nothing_of_a_later_one() {
    let mut rounds = Rounds::default();
    let (early, late) = (rounds.ask(1_000), rounds.ask(1_100));
    for peer in [2, 3, 4] {
        rounds.told(NodeId(peer), early);
    }
    assert_eq!(rounds.over(1_110, NodeId(1), &four()), [(early, true)]);
    assert!(
        rounds.told(NodeId(2), early),
        "late, and still no answer to a read"
    );
    assert!(!rounds.told(NodeId(2), RequestToken(7)), "a read's token");
    assert_eq!(
        rounds.over(1_900, NodeId(1), &four()),
        [(late, false)],
        "cut off meanwhile"
    );
}

#[test]
fn one_that_is_no_member_needs_a_majority_of_the_others() {
    let mut rounds = Rounds::default();
    let token = rounds.ask(1_000);
    rounds.told(NodeId(2), token);
    rounds.told(NodeId(3), token);
    rounds.told(NodeId(9), token);
    assert!(rounds.over(1_010, NodeId(5), &four()).is_empty());
    rounds.told(NodeId(4), token);
    assert_eq!(rounds.over(1_020, NodeId(5), &four()), [(token, true)]);
    let none = rounds.ask(2_000);
    assert!(
        rounds
            .over(2_010, NodeId(1), &VotingSet::default())
            .is_empty(),
        "no set yet, no majority"
    );
    assert_eq!(
        rounds.over(2_700, NodeId(1), &VotingSet::default()),
        [(none, false)]
    );
}
