//! Claims of operation keys while the voting set changes.

mod common;

use common::{KEY, at, claimant, decision, grant, nodes, report, respond, voting_set};
use rushcourse_messages::{ClaimId, ClaimVerdict, NodeId, VotingSet};
use rushcourse_routing::claims::{CLAIM_TIMEOUT, WITHDRAWAL_RESEND_WINDOW};
use rushcourse_routing::{ClaimActions, ClaimOutcome, ClaimRequest, ClaimWithdrawal, Claims};
use rushcourse_types::Epoch;

const TIMEOUT_MS: u64 = CLAIM_TIMEOUT.as_millis() as u64;
const RESEND_WINDOW_MS: u64 = WITHDRAWAL_RESEND_WINDOW.as_millis() as u64;

/// The initial voting set.
fn first_set() -> VotingSet {
    voting_set(1, &[1, 2, 3, 4])
}

/// The next voting set, in which voter 5 replaces voter 4.
fn second_set() -> VotingSet {
    voting_set(2, &[1, 2, 3, 5])
}

/// A claimant to which voters 1 to 4 have reported the first set.
fn claimant_of_four() -> Claims {
    let mut claims = claimant(1, first_set());
    for voter in 2..=4 {
        report(&mut claims, 0, voter, first_set());
    }
    claims
}

fn start(claims: &mut Claims, millis: u64) -> ClaimId {
    let request = claims.start(at(millis), KEY.into(), |_| true);
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
        keys: KEY.into(),
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
fn pending_claim_is_won_under_the_new_set() {
    let mut claims = claimant_of_four();
    let claim = start(&mut claims, 0);
    assert_eq!(grant(&mut claims, 10, 1, 1, claim), None);
    // Voter 2 is the first to report the second set; it then abstains from the claim under epoch 1.
    let actions = report(&mut claims, 20, 2, second_set());
    assert_eq!(
        actions.requests,
        [request(2, claim, &[1, 2, 3, 5])],
        "the claim keeps its id"
    );
    assert_eq!(actions.decisions, []);
    assert_eq!(
        abstain(&mut claims, 21, 2, 1, claim),
        None,
        "verdicts of the former epoch are ignored"
    );
    assert_eq!(grant(&mut claims, 30, 2, 2, claim), None);
    assert_eq!(grant(&mut claims, 31, 5, 2, claim), None);
    assert_eq!(
        grant(&mut claims, 32, 1, 2, claim),
        Some(decision(claim, ClaimOutcome::Won))
    );
}

#[test]
fn claim_is_won_while_voters_adopt_the_new_set_one_by_one() {
    let mut claims = claimant_of_four();
    let claim = start(&mut claims, 0);
    report(&mut claims, 20, 2, second_set());
    // Voters 1 and 3 still have the first set and can't vote in epoch 2 yet, so their abstentions don't count.
    assert_eq!(abstain(&mut claims, 30, 1, 2, claim), None);
    assert_eq!(
        abstain(&mut claims, 31, 3, 2, claim),
        None,
        "a majority is still possible"
    );
    assert_eq!(grant(&mut claims, 32, 2, 2, claim), None);
    assert_eq!(grant(&mut claims, 33, 5, 2, claim), None);
    let actions = report(&mut claims, 40, 3, second_set());
    assert_eq!(
        actions.requests,
        [request(2, claim, &[3])],
        "only the voter that reported the new set is asked again"
    );
    assert_eq!(
        grant(&mut claims, 50, 3, 2, claim),
        Some(decision(claim, ClaimOutcome::Won))
    );
}

#[test]
fn abstention_of_a_voter_that_adopted_the_set_counts() {
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
fn grants_of_different_epochs_are_not_combined() {
    let mut claims = claimant_of_four();
    let claim = start(&mut claims, 0);
    // Three grants are a majority of either set; two grants in each set are not.
    assert_eq!(grant(&mut claims, 10, 1, 1, claim), None);
    assert_eq!(grant(&mut claims, 11, 4, 1, claim), None);
    report(&mut claims, 20, 2, second_set());
    assert_eq!(grant(&mut claims, 30, 2, 2, claim), None);
    assert_eq!(grant(&mut claims, 31, 5, 2, claim), None);
    // Late grants of epoch 1 don't count in epoch 2, nor do grants of a voter that left the set.
    assert_eq!(grant(&mut claims, 32, 3, 1, claim), None);
    assert_eq!(grant(&mut claims, 33, 4, 2, claim), None);
    assert_eq!(
        claims.take_decided(at(TIMEOUT_MS)),
        [decision(claim, ClaimOutcome::NoMajority)]
    );
}

#[test]
fn restart_does_not_extend_the_claim_timeout() {
    let mut claims = claimant_of_four();
    let claim = start(&mut claims, 0);
    report(&mut claims, TIMEOUT_MS - 10, 2, second_set());
    assert_eq!(grant(&mut claims, TIMEOUT_MS - 2, 1, 2, claim), None);
    assert_eq!(grant(&mut claims, TIMEOUT_MS - 1, 2, 2, claim), None);
    // From here on a voter that lost its disk may grant the key to another claim.
    assert_eq!(
        grant(&mut claims, TIMEOUT_MS, 3, 2, claim),
        Some(decision(claim, ClaimOutcome::NoMajority))
    );
}

#[test]
fn expired_claim_is_not_restarted() {
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
fn claim_ends_without_a_connected_majority_of_the_new_set() {
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
fn newly_connected_member_is_sent_the_pending_claim() {
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
fn claimant_connected_only_to_former_voters_wins_nothing() {
    let mut claims = claimant_of_four();
    let claim = start(&mut claims, 0);
    report(&mut claims, 20, 2, second_set());
    // The claimant stays connected only to voters 1 and 4, which still vote in epoch 1. Voter 4 has left the set.
    for lost in [2, 3, 5] {
        claims.voter_disconnected(at(30), NodeId(lost));
    }
    assert!(
        claims.is_idle(),
        "one connected member of four ends the claim"
    );
    assert_eq!(grant(&mut claims, 40, 4, 1, claim), None);
    // A late report of an older set is ignored.
    let actions = report(&mut claims, 50, 4, first_set());
    assert_eq!(
        (actions, claims.voting_set().epoch),
        (ClaimActions::default(), Epoch(2))
    );
    let is_connected = |node: NodeId| node == NodeId(1) || node == NodeId(4);
    assert!(
        claims.start(at(60), KEY.into(), is_connected).is_none(),
        "a claim is not started with one connected member of four"
    );
    // A claim started after voters have reconnected counts only grants of epoch 2.
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
fn voting_sets_may_be_skipped_and_reported_twice() {
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
        "three of five voters are a majority"
    );
}

#[test]
fn withdrawal_is_sent_to_the_voters_of_every_set_since_the_claim() {
    let mut claims = claimant_of_four();
    let claim = start(&mut claims, 0);
    report(&mut claims, 20, 2, second_set());
    claims.take_decided(at(TIMEOUT_MS));
    // Voter 4 left after it was sent the claim, voter 5 was sent the claim, and voter 6 may have it from a snapshot.
    report(&mut claims, 500, 2, voting_set(3, &[1, 2, 5, 6]));
    assert_eq!(
        claims.withdraw(at(600), KEY, claim),
        withdrawal(claim, &[1, 2, 3, 4, 5, 6])
    );
    // A claim that started after the changes was sent only to the current members.
    let claim = start(&mut claims, 700);
    assert_eq!(
        claims.withdraw(at(800), KEY, claim).voters,
        nodes(&[1, 2, 5, 6])
    );
}

#[test]
fn joining_voter_is_sent_recent_withdrawals() {
    let mut claims = claimant_of_four();
    let claim = start(&mut claims, 0);
    claims.withdraw(at(100), KEY, claim);
    let actions = report(&mut claims, 200, 2, second_set());
    assert_eq!(actions.withdrawals, [withdrawal(claim, &[5])]);
    let third_set = voting_set(3, &[1, 2, 3, 6]);
    let actions = report(&mut claims, 100 + RESEND_WINDOW_MS, 2, third_set);
    assert_eq!(actions.withdrawals, [], "the resend window has ended");
}

#[test]
fn majority_is_computed_from_the_new_set() {
    let mut claims = claimant(1, voting_set(1, &[1, 2, 3]));
    let claim = start(&mut claims, 0);
    report(&mut claims, 10, 1, voting_set(2, &[1, 2, 3, 4]));
    grant(&mut claims, 20, 1, 2, claim);
    assert_eq!(
        grant(&mut claims, 21, 2, 2, claim),
        None,
        "two grants are a majority of three voters but not of four"
    );
    assert_eq!(
        grant(&mut claims, 22, 4, 2, claim),
        Some(decision(claim, ClaimOutcome::Won))
    );
}
