//! Claims across changes of the voting set, as timelines: what a gateway hears, and what its claim comes to.

mod common;

use common::{KEY, at, claimant, decision, grant, nodes, report, respond, voting_set};
use rushcourse_messages::{ClaimId, ClaimVerdict, NodeId, VotingSet};
use rushcourse_routing::claims::{CLAIM_TIMEOUT, WITHDRAWAL_RESEND_WINDOW};
use rushcourse_routing::{ClaimActions, ClaimOutcome, ClaimRequest, ClaimWithdrawal, Claims};
use rushcourse_types::Epoch;

const TIMEOUT_MS: u64 = CLAIM_TIMEOUT.as_millis() as u64;
const RESEND_WINDOW_MS: u64 = WITHDRAWAL_RESEND_WINDOW.as_millis() as u64;

/// The voting set that the timelines begin with.
fn first_set() -> VotingSet {
    voting_set(1, &[1, 2, 3, 4])
}

/// The set that follows in most of them: voter 4 left for voter 5.
fn second_set() -> VotingSet {
    voting_set(2, &[1, 2, 3, 5])
}

/// A gateway to which voters 1 to 4 have reported the first set.
fn claimant_of_four() -> Claims {
    let mut claims = claimant(1, first_set());
    for voter in 2..=4 {
        report(&mut claims, 0, voter, first_set());
    }
    claims
}

fn start(claims: &mut Claims, millis: u64) -> ClaimId {
    let request = claims.start(at(millis), KEY, |_| true);
    request.expect("a majority is connected").claim
}

fn abstain(
    claims: &mut Claims,
    millis: u64,
    voter: u32,
    epoch: u64,
    claim: ClaimId,
) -> Option<ClaimOutcome> {
    let decision = respond(claims, millis, voter, epoch, claim, ClaimVerdict::Abstained);
    decision.map(|decision| decision.outcome)
}

fn request(epoch: u64, claim: ClaimId, voters: &[u32]) -> ClaimRequest {
    ClaimRequest {
        epoch: Epoch(epoch),
        key: KEY,
        claim,
        voters: nodes(voters),
    }
}

fn withdrawal(claim: ClaimId, voters: &[u32]) -> ClaimWithdrawal {
    ClaimWithdrawal {
        key: KEY,
        claim,
        voters: nodes(voters),
    }
}

#[test]
fn a_claim_in_flight_wins_under_the_new_set() {
    let mut claims = claimant_of_four();
    let claim = start(&mut claims, 0);
    assert_eq!(grant(&mut claims, 10, 1, 1, claim), None);
    // Voter 4 left for voter 5; voter 2 is the first to report so, then rejects the claim of epoch 1.
    let actions = report(&mut claims, 20, 2, second_set());
    assert_eq!(
        actions.requests,
        [request(2, claim, &[1, 2, 3, 5])],
        "under the same id"
    );
    assert_eq!(actions.decisions, []);
    assert_eq!(
        abstain(&mut claims, 21, 2, 1, claim),
        None,
        "of the former epoch"
    );
    assert_eq!(grant(&mut claims, 30, 2, 2, claim), None);
    assert_eq!(grant(&mut claims, 31, 5, 2, claim), None);
    assert_eq!(
        grant(&mut claims, 32, 1, 2, claim),
        Some(decision(claim, ClaimOutcome::Won))
    );
}

#[test]
fn a_claim_wins_though_voters_adopt_the_new_set_one_after_the_other() {
    let mut claims = claimant_of_four();
    let claim = start(&mut claims, 0);
    report(&mut claims, 20, 2, second_set());
    // Voters 1 and 3 still hold the first set: they can't vote in epoch 2 yet, which is no refusal.
    assert_eq!(abstain(&mut claims, 30, 1, 2, claim), None);
    assert_eq!(
        abstain(&mut claims, 31, 3, 2, claim),
        None,
        "it may still be won"
    );
    assert_eq!(grant(&mut claims, 32, 2, 2, claim), None);
    assert_eq!(grant(&mut claims, 33, 5, 2, claim), None);
    let actions = report(&mut claims, 40, 3, second_set());
    assert_eq!(
        actions.requests,
        [request(2, claim, &[3])],
        "asked again, and nobody else is"
    );
    assert_eq!(
        grant(&mut claims, 50, 3, 2, claim),
        Some(decision(claim, ClaimOutcome::Won))
    );
}

#[test]
fn an_abstention_of_a_voter_that_has_adopted_the_set_counts() {
    let mut claims = claimant_of_four();
    let claim = start(&mut claims, 0);
    report(&mut claims, 20, 2, second_set());
    report(&mut claims, 20, 3, second_set());
    assert_eq!(abstain(&mut claims, 30, 2, 2, claim), None);
    assert_eq!(
        abstain(&mut claims, 31, 3, 2, claim),
        Some(ClaimOutcome::NoMajority)
    );
}

#[test]
fn grants_of_two_epochs_never_add_up() {
    let mut claims = claimant_of_four();
    let claim = start(&mut claims, 0);
    // Three grants make a majority of either set; two of each are none.
    assert_eq!(grant(&mut claims, 10, 1, 1, claim), None);
    assert_eq!(grant(&mut claims, 11, 4, 1, claim), None);
    report(&mut claims, 20, 2, second_set());
    assert_eq!(grant(&mut claims, 30, 2, 2, claim), None);
    assert_eq!(grant(&mut claims, 31, 5, 2, claim), None);
    // Grants of epoch 1 that were under way count for neither, nor do those of a voter that left.
    assert_eq!(grant(&mut claims, 32, 3, 1, claim), None);
    assert_eq!(grant(&mut claims, 33, 4, 2, claim), None);
    assert_eq!(
        claims.take_decided(at(TIMEOUT_MS)),
        [decision(claim, ClaimOutcome::NoMajority)]
    );
}

#[test]
fn the_end_of_a_claim_counts_from_its_first_start() {
    let mut claims = claimant_of_four();
    let claim = start(&mut claims, 0);
    report(&mut claims, TIMEOUT_MS - 10, 2, second_set());
    assert_eq!(grant(&mut claims, TIMEOUT_MS - 2, 1, 2, claim), None);
    assert_eq!(grant(&mut claims, TIMEOUT_MS - 1, 2, 2, claim), None);
    // A voter that lost its disk may vote for another claim from here on.
    assert_eq!(
        grant(&mut claims, TIMEOUT_MS, 3, 2, claim),
        Some(decision(claim, ClaimOutcome::NoMajority))
    );
}

#[test]
fn a_change_does_not_restart_a_claim_whose_time_is_over() {
    let mut claims = claimant_of_four();
    let claim = start(&mut claims, 0);
    let actions = report(&mut claims, TIMEOUT_MS, 2, second_set());
    assert_eq!(actions.requests, []);
    assert_eq!(
        actions.decisions,
        [decision(claim, ClaimOutcome::NoMajority)]
    );
    assert!(claims.is_idle());
}

#[test]
fn a_claim_ends_at_once_where_no_majority_of_the_new_set_is_connected() {
    let mut claims = claimant_of_four();
    let claim = start(&mut claims, 0);
    let new_set = voting_set(2, &[2, 5, 6]);
    let actions = claims.voting_set_reported(at(20), NodeId(2), new_set, |node| node == NodeId(2));
    assert_eq!(actions.requests, []);
    assert_eq!(
        actions.decisions,
        [decision(claim, ClaimOutcome::NoMajority)]
    );
}

#[test]
fn a_member_that_connects_is_asked() {
    let mut claims = claimant_of_four();
    let claim = start(&mut claims, 0);
    let actions =
        claims.voting_set_reported(at(20), NodeId(2), second_set(), |node| node != NodeId(5));
    assert_eq!(actions.requests, [request(2, claim, &[1, 2, 3])]);
    let actions = report(&mut claims, 30, 5, second_set());
    assert_eq!(actions.requests, [request(2, claim, &[5])]);
    grant(&mut claims, 40, 1, 2, claim);
    grant(&mut claims, 41, 2, 2, claim);
    assert_eq!(
        grant(&mut claims, 42, 5, 2, claim),
        Some(decision(claim, ClaimOutcome::Won))
    );
}

#[test]
fn a_claimant_that_hears_only_voters_of_the_former_set_wins_nothing_of_the_new_one() {
    let mut claims = claimant_of_four();
    let claim = start(&mut claims, 0);
    report(&mut claims, 20, 2, second_set());
    // It is cut off from all but the member that left and one that lags; both still vote in epoch 1.
    for lost in [2, 3, 5] {
        claims.voter_disconnected(at(30), NodeId(lost));
    }
    assert!(
        claims.is_idle(),
        "one member of four is no majority, whatever set it is in"
    );
    assert_eq!(grant(&mut claims, 40, 4, 1, claim), None);
    // An older set that is reported late changes nothing.
    let actions = report(&mut claims, 50, 4, first_set());
    assert_eq!(
        (actions, claims.voting_set().epoch),
        (ClaimActions::default(), Epoch(2))
    );
    let is_connected = |node: NodeId| node == NodeId(1) || node == NodeId(4);
    assert!(
        claims.start(at(60), KEY, is_connected).is_none(),
        "nor is one of four a majority to start with"
    );
    // What it starts as soon as enough are connected counts grants of epoch 2 only.
    let claim = start(&mut claims, 70);
    for voter in 1..=4 {
        assert_eq!(grant(&mut claims, 80, voter, 1, claim), None);
    }
    assert_eq!(
        claims.take_decided(at(70 + TIMEOUT_MS)),
        [decision(claim, ClaimOutcome::NoMajority)]
    );
}

#[test]
fn sets_may_be_skipped_and_reported_twice() {
    let mut claims = claimant_of_four();
    let claim = start(&mut claims, 0);
    let third_set = voting_set(3, &[2, 3, 5, 6]);
    let fourth_set = voting_set(4, &[2, 3, 5, 6, 7]);
    report(&mut claims, 10, 2, second_set());
    grant(&mut claims, 11, 2, 2, claim);
    report(&mut claims, 12, 3, fourth_set.clone());
    report(&mut claims, 13, 1, third_set);
    let actions = report(&mut claims, 14, 3, fourth_set);
    assert_eq!(actions.requests, [request(4, claim, &[3])]);
    grant(&mut claims, 20, 2, 4, claim);
    grant(&mut claims, 21, 6, 4, claim);
    assert_eq!(
        grant(&mut claims, 22, 7, 4, claim),
        Some(decision(claim, ClaimOutcome::Won)),
        "three of five"
    );
}

#[test]
fn a_withdrawn_claim_leaves_the_voters_of_every_set_that_it_was_sent_to() {
    let mut claims = claimant_of_four();
    let claim = start(&mut claims, 0);
    report(&mut claims, 20, 2, second_set());
    claims.take_decided(at(TIMEOUT_MS));
    // Voter 4 left with the claim; voter 5 came and has it; a snapshot may have brought it to voter 6 since.
    report(&mut claims, 500, 2, voting_set(3, &[1, 2, 5, 6]));
    assert_eq!(
        claims.withdraw(at(600), KEY, claim),
        withdrawal(claim, &[1, 2, 3, 4, 5, 6])
    );
    // One that started after the changes was sent to nobody else.
    let claim = start(&mut claims, 700);
    assert_eq!(
        claims.withdraw(at(800), KEY, claim).voters,
        nodes(&[1, 2, 5, 6])
    );
}

#[test]
fn a_voter_that_joins_is_told_of_what_was_withdrawn_while_it_got_its_snapshot() {
    let mut claims = claimant_of_four();
    let claim = start(&mut claims, 0);
    claims.withdraw(at(100), KEY, claim);
    let actions = report(&mut claims, 200, 2, second_set());
    assert_eq!(actions.withdrawals, [withdrawal(claim, &[5])]);
    let third_set = voting_set(3, &[1, 2, 3, 6]);
    let actions = report(&mut claims, 100 + RESEND_WINDOW_MS, 2, third_set);
    assert_eq!(actions.withdrawals, [], "long past what a snapshot takes");
}

#[test]
fn the_majority_is_that_of_the_new_set() {
    let mut claims = claimant(1, voting_set(1, &[1, 2, 3]));
    let claim = start(&mut claims, 0);
    report(&mut claims, 10, 1, voting_set(2, &[1, 2, 3, 4]));
    grant(&mut claims, 20, 1, 2, claim);
    assert_eq!(
        grant(&mut claims, 21, 2, 2, claim),
        None,
        "two of four, enough of three"
    );
    assert_eq!(
        grant(&mut claims, 22, 4, 2, claim),
        Some(decision(claim, ClaimOutcome::Won))
    );
}
