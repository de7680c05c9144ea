//! Recorded counterexamples of mutations. Each trace leads to a violation with the mutation and to none without it.

mod common;

use common::scene;
use rushcourse_modelcheck::actions::{
    Action::{self, DeliverAll, Wait},
    begin_claim, break_session, deliver, get, kill, lose_power, pause, propose_duty, put,
    reconnect, restore_old_disk, resume, send_request, start, sync_batch, wipe_disk,
};
use rushcourse_modelcheck::{Bounds, Budget, Mutation, Scene, World, explore};
use rushcourse_types::NodeId;

/// Returns the violation after a trace, if any.
fn violation_after(trace: &[Action], scene: &Scene, mutation: Option<Mutation>) -> Option<String> {
    let mut world = World::after_setup(scene, mutation);
    for action in trace {
        world.apply(*action);
    }
    world.violation().map(ToString::to_string)
}

/// Asserts that a trace violates `rule` with the mutation, and no rule without it.
fn assert_caught(name: &str, mutation: Mutation, rule: &str, trace: &[Action]) {
    let violation = violation_after(trace, scene(name), Some(mutation));
    let violation = violation.unwrap_or_else(|| panic!("{name}: no violation"));
    assert!(violation.starts_with(rule), "{violation}");
    assert_eq!(
        violation_after(trace, scene(name), None),
        None,
        "{name}: without the mutation"
    );
}

#[test]
fn acknowledgement_at_half_is_caught() {
    #[rustfmt::skip]
    let trace = [
        put(5), sync_batch(3), deliver(3, 1), sync_batch(1), deliver(1, 3), sync_batch(3), get(1),
        deliver(1, 2), deliver(3, 2), deliver(2, 1),
    ];
    assert_caught(
        "configuration-wiped",
        Mutation::AcknowledgeAtHalf,
        "LOST",
        &trace,
    );
}

/// Guards against a state of the usage duty that counts as chosen before it is durable.
#[test]
fn duty_state_learned_before_sync_is_caught() {
    #[rustfmt::skip]
    let trace = [
        propose_duty(1), lose_power(1), start(1), lose_power(2), lose_power(3), start(2),
        propose_duty(2),
    ];
    assert_caught("duty-power", Mutation::AnswerBeforeSync, "ONE", &trace);
}

/// Guards against two states of the usage duty at one position when a proposer doesn't ask what was accepted.
#[test]
fn duty_state_of_rival_without_promises_is_caught() {
    #[rustfmt::skip]
    let trace = [
        Wait, propose_duty(1), sync_batch(1), sync_batch(1), deliver(1, 3), sync_batch(3),
        deliver(3, 1), propose_duty(2), sync_batch(2), sync_batch(2), deliver(2, 1), deliver(2, 1),
        deliver(2, 3), sync_batch(1), deliver(1, 3), deliver(2, 3), sync_batch(3),
    ];
    assert_caught("duty-rivals", Mutation::PromisesSkipped, "ONE", &trace);
}

/// Guards against a search that no longer reaches the depth of a full ballot. Without faults and waits, only the order
/// of deliveries varies.
#[test]
fn breadth_first_search_finds_acknowledgement_at_half() {
    let wiped = scene("configuration-wiped");
    let without_faults = Scene {
        budget: Budget {
            power_losses: 0,
            disk_wipes: 0,
            waits: 0,
            ..wiped.budget
        },
        ..*wiped
    };
    let bounds = Bounds {
        states: 8_000,
        walks: 0,
        steps: 0,
        seed: 0,
    };
    let findings = explore(&without_faults, Some(Mutation::AcknowledgeAtHalf), bounds);
    assert!(findings.counterexample.is_some(), "{findings:?}");
}

#[test]
fn vote_after_wipe_is_caught() {
    #[rustfmt::skip]
    let trace = [
        Wait, Wait, Wait, Wait, Wait, Wait, begin_claim(100), deliver(100, 1), sync_batch(1),
        deliver(1, 100), deliver(100, 3), wipe_disk(1), sync_batch(1), sync_batch(3),
        begin_claim(101), deliver(101, 1), deliver(101, 2), deliver(101, 3), sync_batch(1),
        deliver(3, 101), deliver(1, 101), sync_batch(2), deliver(2, 101), deliver(3, 100),
        send_request(101), deliver(100, 2), deliver(2, 100), send_request(100),
    ];
    assert_caught("keys-wiped", Mutation::VoteAfterWipe, "TWICE", &trace);
}

#[test]
fn vote_from_old_disk_is_caught() {
    #[rustfmt::skip]
    let trace = [
        begin_claim(100), deliver(100, 3), deliver(100, 2), sync_batch(2), restore_old_disk(2),
        sync_batch(2), sync_batch(3), deliver(2, 100), deliver(3, 100), begin_claim(101),
        deliver(101, 1), deliver(101, 2), sync_batch(2), deliver(2, 101), deliver(101, 3),
        deliver(3, 101), sync_batch(1), deliver(1, 101), send_request(101), send_request(100),
    ];
    assert_caught("keys-old-disk", Mutation::OldDiskVotes, "TWICE", &trace);
}

#[test]
fn claim_granted_before_sync_is_caught() {
    #[rustfmt::skip]
    let trace = [
        begin_claim(100), deliver(100, 3), deliver(100, 1), lose_power(1), deliver(1, 100),
        deliver(3, 100), lose_power(3), send_request(100), start(3), Wait, begin_claim(101),
        deliver(101, 2), start(1), deliver(2, 101), deliver(101, 3), sync_batch(2),
        deliver(3, 101), send_request(101),
    ];
    assert_caught(
        "keys-power-twice",
        Mutation::AnswerBeforeSync,
        "TWICE",
        &trace,
    );
}

/// Guards against a voting set that can't complete its state transfer. Member 1 is replaced by 4 while 3 has lost its
/// disk, so that 2 is the only remaining member with complete state; 3 and 4 also need the snapshot of the removed
/// member 1.
#[test]
fn new_member_learns_from_removed_member() {
    #[rustfmt::skip]
    let trace = [
        reconnect(3), deliver(4, 101), deliver(4, 100), deliver(1, 101), deliver(2, 101),
        deliver(3, 101), lose_power(1), deliver(1, 100), Wait, deliver(2, 100), start(1),
        sync_batch(2), deliver(3, 100), deliver(1, 101), deliver(1, 100), sync_batch(3),
        begin_claim(100), deliver(100, 2), deliver(100, 3), wipe_disk(3), Wait, sync_batch(1),
        deliver(100, 2), deliver(100, 1), deliver(3, 100), deliver(100, 1), sync_batch(1),
        deliver(3, 101), sync_batch(1), sync_batch(3), sync_batch(1), deliver(1, 100),
        sync_batch(2), deliver(100, 3), sync_batch(1), sync_batch(1), deliver(1, 100),
        sync_batch(4), sync_batch(2), deliver(4, 101), sync_batch(3), deliver(1, 101),
        deliver(3, 100), deliver(3, 101), deliver(4, 100), Wait, begin_claim(101),
        deliver(101, 2), sync_batch(2), deliver(101, 3), deliver(3, 101), deliver(100, 4),
        deliver(101, 4), deliver(2, 101), sync_batch(2), sync_batch(2), deliver(2, 100),
        deliver(2, 101), deliver(4, 101), deliver(101, 3), deliver(101, 4), deliver(101, 2),
        sync_batch(2), deliver(101, 2), deliver(2, 101), sync_batch(2), Wait, Wait, Wait, Wait,
        Wait,
    ];
    let mut world = World::after_setup(scene("replaced-overlapping"), None);
    for action in trace {
        world.apply(action);
    }
    world.settle();
    assert_eq!(world.violation(), None);
    let members = world.newest_voting_set().members.clone();
    assert_eq!(members, [2, 3, 4].map(NodeId));
}

#[test]
fn vote_that_never_expires_is_caught() {
    #[rustfmt::skip]
    let trace = [
        begin_claim(100), deliver(100, 1), sync_batch(1), deliver(1, 100), wipe_disk(1), Wait,
        Wait, Wait, sync_batch(1), Wait, Wait, Wait, deliver(100, 2), sync_batch(1),
        begin_claim(101), deliver(101, 3), deliver(101, 1), sync_batch(1), deliver(1, 101),
        deliver(100, 3), deliver(3, 100), sync_batch(2), deliver(2, 100), send_request(100),
        sync_batch(3), deliver(3, 101), send_request(101),
    ];
    assert_caught("keys-wiped", Mutation::VotesNeverExpire, "TWICE", &trace);
}

#[test]
fn commit_reported_before_sync_is_caught() {
    #[rustfmt::skip]
    let trace = [
        put(7), deliver(2, 1), deliver(2, 3), deliver(1, 2), deliver(2, 1), deliver(2, 1),
        kill(2), lose_power(1), start(2), deliver(2, 3), sync_batch(3), Wait, start(1),
        deliver(2, 1), deliver(1, 2), deliver(3, 1), deliver(2, 1), deliver(1, 2), deliver(1, 3),
        deliver(1, 3), deliver(3, 2), deliver(3, 2), lose_power(3), start(3), deliver(3, 1),
        deliver(1, 3), deliver(3, 2), sync_batch(1), deliver(2, 1), deliver(1, 2), deliver(3, 1),
        deliver(1, 3), deliver(2, 3), deliver(2, 3), sync_batch(2), deliver(2, 3), sync_batch(3),
        put(5), deliver(3, 2), deliver(3, 1), deliver(1, 3), deliver(3, 2), deliver(3, 2),
        sync_batch(3), deliver(3, 1), sync_batch(2), sync_batch(1), deliver(2, 3), sync_batch(3),
        deliver(3, 2), deliver(2, 3), sync_batch(2), deliver(2, 1), deliver(1, 3), deliver(3, 1),
        sync_batch(1), deliver(1, 2), deliver(1, 3), deliver(3, 2), deliver(1, 3), deliver(3, 1),
        deliver(2, 1), deliver(3, 2), deliver(2, 3), deliver(1, 2), deliver(3, 1), get(3),
        deliver(3, 1), deliver(3, 2), deliver(1, 3),
    ];
    assert_caught(
        "configuration-power",
        Mutation::AnswerBeforeSync,
        "LOST",
        &trace,
    );
}

/// Two operators submit different texts of one version. Votes counted by version alone would give each text a majority.
#[test]
fn vote_for_conflicting_text_is_caught() {
    #[rustfmt::skip]
    let trace = [
        lose_power(4), start(4), deliver(4, 1), deliver(4, 2), deliver(2, 4), deliver(4, 2),
        deliver(3, 4), break_session(3, 4), deliver(1, 4), deliver(3, 4), put(5), deliver(2, 1),
        deliver(2, 3), sync_batch(1), deliver(1, 2), deliver(4, 3), deliver(4, 3), deliver(3, 4),
        sync_batch(2), sync_batch(3), deliver(1, 4), deliver(4, 1), deliver(3, 2), Wait,
        deliver(4, 3), kill(2), deliver(3, 4), sync_batch(4), start(2), deliver(3, 2),
        deliver(2, 4), deliver(4, 2), deliver(2, 4), deliver(2, 3), deliver(2, 3), deliver(3, 2),
        deliver(1, 2), deliver(4, 1), deliver(4, 2), deliver(1, 4), sync_batch(4), deliver(4, 3),
        deliver(4, 1), deliver(2, 1), deliver(4, 2), deliver(2, 1), Wait, deliver(2, 1),
        deliver(3, 2), deliver(1, 3), deliver(3, 4), deliver(1, 4), deliver(1, 2), deliver(3, 1),
        deliver(2, 3), deliver(2, 4), deliver(4, 2), deliver(2, 3), deliver(2, 4), put(106),
        sync_batch(2), deliver(3, 2), deliver(3, 4), sync_batch(3), deliver(1, 2), deliver(3, 1),
        deliver(3, 2), sync_batch(2), deliver(2, 3), deliver(2, 4), sync_batch(4), deliver(2, 1),
        deliver(4, 3), sync_batch(1), deliver(1, 3), deliver(3, 1), deliver(3, 2), sync_batch(1),
        deliver(2, 3), deliver(1, 4), deliver(3, 4), sync_batch(4), deliver(4, 2), deliver(4, 1),
        deliver(4, 3), deliver(1, 3), sync_batch(3), deliver(3, 2),
    ];
    assert_caught(
        "configuration-rivals",
        Mutation::RivalTextsCount,
        "CONFIG",
        &trace,
    );
}

/// Gateway 101 has received the new voting set; gateway 100 has not, and continues its claim with the removed member's
/// grant.
#[test]
fn votes_from_two_epochs_are_caught() {
    #[rustfmt::skip]
    let trace = [
        deliver(1, 101), deliver(2, 101), deliver(1, 101), deliver(2, 101), deliver(1, 101),
        deliver(2, 101), begin_claim(100), begin_claim(101), deliver(100, 3), sync_batch(3),
        deliver(100, 1), sync_batch(1), deliver(3, 100), deliver(3, 100), deliver(1, 100),
        deliver(1, 100), deliver(1, 100), deliver(101, 2), sync_batch(2), deliver(101, 4),
        sync_batch(4), deliver(2, 101), deliver(2, 101), deliver(4, 101), deliver(4, 101),
        deliver(4, 101), send_request(100), send_request(101),
    ];
    assert_caught("replaced-votes", Mutation::EpochUnchecked, "TWICE", &trace);
}

#[test]
fn vote_of_removed_member_is_caught() {
    #[rustfmt::skip]
    let trace = [
        deliver(1, 101), deliver(2, 101), deliver(1, 101), deliver(2, 101), deliver(1, 101),
        deliver(2, 101), deliver(1, 100), deliver(2, 100), deliver(1, 100), deliver(2, 100),
        deliver(1, 100), deliver(2, 100), begin_claim(100), begin_claim(101), deliver(100, 2),
        sync_batch(2), deliver(100, 4), sync_batch(4), deliver(2, 100), deliver(4, 100),
        deliver(4, 100), deliver(4, 100), deliver(101, 1), sync_batch(1), deliver(101, 4),
        deliver(101, 3), sync_batch(3), deliver(1, 101), deliver(3, 101), deliver(3, 101),
        deliver(3, 101), send_request(100), send_request(101),
    ];
    assert_caught("replaced-votes", Mutation::RemovedCounts, "TWICE", &trace);
}

/// Gateway 100 wins with the grants of the removed member 3 and of member 1; the new member 4 doesn't know of the
/// claim.
#[test]
fn vote_of_learner_without_snapshots_is_caught() {
    #[rustfmt::skip]
    let trace = [
        begin_claim(100), deliver(100, 3), sync_batch(3), deliver(100, 1), sync_batch(1),
        deliver(1, 100), deliver(1, 100), deliver(3, 100), deliver(3, 100), Wait, DeliverAll,
        deliver(1, 101), deliver(2, 101), deliver(1, 101), deliver(2, 101), deliver(1, 101),
        deliver(2, 101), begin_claim(101), deliver(101, 2), sync_batch(2), deliver(101, 4),
        sync_batch(4), deliver(2, 101), deliver(4, 101), deliver(4, 101), deliver(4, 101),
        deliver(4, 101), send_request(100), send_request(101),
    ];
    assert_caught("replaced-keys", Mutation::LearnerCounts, "TWICE", &trace);
}

#[test]
fn proposal_without_promises_is_caught() {
    #[rustfmt::skip]
    let trace = [
        put(106), sync_batch(2), sync_batch(2), put(5), deliver(2, 1), deliver(2, 3),
        deliver(2, 1), sync_batch(3), sync_batch(3), deliver(3, 2), sync_batch(2), deliver(3, 2),
        deliver(3, 2), sync_batch(1),
    ];
    assert_caught(
        "rivals-unprepared",
        Mutation::PromisesSkipped,
        "CONFIG",
        &trace,
    );
}

/// Members 2, 4 and 5 choose submission 106. Then 3 votes for submission 5, and 1 still counts the vote that 2 reported
/// before it lost its disk.
#[rustfmt::skip]
const LATE_REPORT: [Action; 39] = [
    put(106), deliver(2, 4), deliver(2, 5), deliver(2, 4), deliver(2, 5), sync_batch(2),
    sync_batch(4), sync_batch(5), deliver(4, 2), deliver(5, 2), deliver(4, 2), deliver(5, 2),
    sync_batch(2), deliver(2, 4), deliver(2, 5), deliver(2, 4), deliver(2, 5), sync_batch(2),
    sync_batch(4), sync_batch(5), deliver(2, 4), deliver(2, 5), deliver(2, 4), deliver(2, 5),
    deliver(5, 4), deliver(5, 4), deliver(4, 5), deliver(1, 3), deliver(1, 3), deliver(1, 3),
    deliver(1, 3), deliver(1, 3), sync_batch(3), resume(1), deliver(3, 1), deliver(3, 1),
    deliver(3, 1), deliver(3, 1), deliver(3, 1),
];

#[test]
fn report_that_never_expires_is_caught() {
    assert_caught(
        "reported-late",
        Mutation::ReportsNeverExpire,
        "CONFIG",
        &LATE_REPORT,
    );
}

/// Like `reported-late`, but the report of 2 is still in flight when 1 is paused, and is delivered after 2 has lost its
/// disk, installed snapshots and voted for the other text.
#[test]
fn queued_report_from_before_wipe_is_not_counted() {
    #[rustfmt::skip]
    const QUEUED_REPORT: [Action; 26] = [
        put(5), deliver(1, 2), deliver(1, 3), sync_batch(1), sync_batch(2), sync_batch(3),
        deliver(2, 1), deliver(3, 1), sync_batch(1), deliver(1, 2), sync_batch(2),
        break_session(1, 4), break_session(1, 5), pause(1), wipe_disk(2), DeliverAll, Wait,
        DeliverAll, Wait, DeliverAll, Wait, DeliverAll, Wait, DeliverAll, Wait, DeliverAll,
    ];
    let scene = Scene {
        setup_actions: &QUEUED_REPORT,
        ..*scene("reported-late")
    };
    let mut world = World::after_setup(&scene, None);
    for action in LATE_REPORT {
        world.apply(action);
        if action == resume(1) {
            world.apply(deliver(2, 1));
        }
    }
    assert_eq!(world.violation(), None);
}
