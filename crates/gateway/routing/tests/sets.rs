//! Claims across changes of the voting set, as timelines: what a frontend director hears, and what it comes to.

use rushcourse_messages::*;
use rushcourse_routing::claims::{RETOLD_FOR, VOTE_WAIT};
use rushcourse_routing::*;

const ME: NodeId = 9;
const KEY: u128 = 5;

#[allow(
    clippy::needless_update,
    reason = "the set gains fields that don't matter here"
)]
fn voting_set(number: u64, members: &[NodeId]) -> VotingSet {
    VotingSet {
        number,
        members: members.to_vec(),
        ..Default::default()
    }
}

/// A frontend director to which voters 1 to 4 have told set 1.
fn director() -> Claims {
    let mut claims = Claims::new(ME, 1);
    for voter in 1..=4 {
        claims.set(0, voter, voting_set(1, &[1, 2, 3, 4]), |_| true);
    }
    claims
}

fn begin(claims: &mut Claims, now: u64) -> ClaimId {
    claims
        .begin(now, KEY, |_| true)
        .expect("a majority is reached")
        .0
}

fn vote_request(set: u64, claim: ClaimId, voters: &[NodeId]) -> VoteRequest {
    VoteRequest {
        set,
        key: KEY,
        claim,
        voters: voters.to_vec(),
    }
}

fn decision(claim: ClaimId, verdicts: Verdicts) -> Decision {
    Decision {
        key: KEY,
        claim,
        verdicts,
    }
}

#[test]
fn a_claim_in_flight_wins_under_the_new_set() {
    let mut d = director();
    let claim = begin(&mut d, 0);
    assert_eq!(d.vote(10, 1, 1, KEY, claim, Verdict::Granted), None);
    // Voter 4 left for voter 5; voter 2 is the first to say so, then refuses the claim of set 1.
    let renewal = d.set(20, 2, voting_set(2, &[1, 2, 3, 5]), |_| true);
    assert_eq!(
        renewal.requests,
        [vote_request(2, claim, &[1, 2, 3, 5])],
        "under the same id"
    );
    assert_eq!(renewal.decided, []);
    assert_eq!(
        d.vote(21, 2, 1, KEY, claim, Verdict::Cannot),
        None,
        "of the former set"
    );
    assert_eq!(d.vote(30, 2, 2, KEY, claim, Verdict::Granted), None);
    assert_eq!(d.vote(31, 5, 2, KEY, claim, Verdict::Granted), None);
    assert_eq!(
        d.vote(32, 1, 2, KEY, claim, Verdict::Granted),
        Some(Verdicts::Won)
    );
}

#[test]
fn a_claim_wins_though_voters_adopt_the_new_set_one_after_the_other() {
    let mut d = director();
    let claim = begin(&mut d, 0);
    d.set(20, 2, voting_set(2, &[1, 2, 3, 5]), |_| true);
    // Voters 1 and 3 still hold set 1: they can't vote under set 2 yet, which is no refusal.
    assert_eq!(d.vote(30, 1, 2, KEY, claim, Verdict::Cannot), None);
    assert_eq!(
        d.vote(31, 3, 2, KEY, claim, Verdict::Cannot),
        None,
        "it may still be won"
    );
    assert_eq!(d.vote(32, 2, 2, KEY, claim, Verdict::Granted), None);
    assert_eq!(d.vote(33, 5, 2, KEY, claim, Verdict::Granted), None);
    let renewal = d.set(40, 3, voting_set(2, &[1, 2, 3, 5]), |_| true);
    assert_eq!(
        renewal.requests,
        [vote_request(2, claim, &[3])],
        "asked again, and nobody else is"
    );
    assert_eq!(
        d.vote(50, 3, 2, KEY, claim, Verdict::Granted),
        Some(Verdicts::Won)
    );
}

#[test]
fn a_refusal_of_a_voter_that_has_adopted_the_set_is_one() {
    let mut d = director();
    let claim = begin(&mut d, 0);
    d.set(20, 2, voting_set(2, &[1, 2, 3, 5]), |_| true);
    d.set(20, 3, voting_set(2, &[1, 2, 3, 5]), |_| true);
    assert_eq!(d.vote(30, 2, 2, KEY, claim, Verdict::Cannot), None);
    assert_eq!(
        d.vote(31, 3, 2, KEY, claim, Verdict::Cannot),
        Some(Verdicts::Unclear)
    );
}

#[test]
fn grants_of_two_sets_never_add_up() {
    let mut d = director();
    let claim = begin(&mut d, 0);
    // Three grants make a majority of either set; two of each are none.
    assert_eq!(d.vote(10, 1, 1, KEY, claim, Verdict::Granted), None);
    assert_eq!(d.vote(11, 4, 1, KEY, claim, Verdict::Granted), None);
    d.set(20, 2, voting_set(2, &[1, 2, 3, 5]), |_| true);
    assert_eq!(d.vote(30, 2, 2, KEY, claim, Verdict::Granted), None);
    assert_eq!(d.vote(31, 5, 2, KEY, claim, Verdict::Granted), None);
    // Grants of set 1 that were under way count for neither, nor do those of who left.
    assert_eq!(d.vote(32, 3, 1, KEY, claim, Verdict::Granted), None);
    assert_eq!(d.vote(33, 4, 2, KEY, claim, Verdict::Granted), None);
    assert_eq!(d.over(VOTE_WAIT), [decision(claim, Verdicts::Unclear)]);
}

#[test]
fn the_end_of_a_claim_counts_from_its_first_begin() {
    let mut d = director();
    let claim = begin(&mut d, 0);
    d.set(VOTE_WAIT - 10, 2, voting_set(2, &[1, 2, 3, 5]), |_| true);
    assert_eq!(
        d.vote(VOTE_WAIT - 2, 1, 2, KEY, claim, Verdict::Granted),
        None
    );
    assert_eq!(
        d.vote(VOTE_WAIT - 1, 2, 2, KEY, claim, Verdict::Granted),
        None
    );
    // A voter that lost its disk may vote for another claim from here on.
    assert_eq!(
        d.vote(VOTE_WAIT, 3, 2, KEY, claim, Verdict::Granted),
        Some(Verdicts::Unclear)
    );
}

#[test]
fn a_change_does_not_wake_a_claim_whose_time_is_over() {
    let mut d = director();
    let claim = begin(&mut d, 0);
    let renewal = d.set(VOTE_WAIT, 2, voting_set(2, &[1, 2, 3, 5]), |_| true);
    assert_eq!(renewal.requests, []);
    assert_eq!(renewal.decided, [decision(claim, Verdicts::Unclear)]);
    assert!(d.idle());
}

#[test]
fn a_claim_is_unclear_at_once_where_no_majority_of_the_new_set_is_reached() {
    let mut d = director();
    let claim = begin(&mut d, 0);
    let renewal = d.set(20, 2, voting_set(2, &[2, 5, 6]), |n| n == 2);
    assert_eq!(renewal.requests, []);
    assert_eq!(renewal.decided, [decision(claim, Verdicts::Unclear)]);
}

#[test]
fn a_member_that_comes_into_reach_is_asked() {
    let mut d = director();
    let claim = begin(&mut d, 0);
    let renewal = d.set(20, 2, voting_set(2, &[1, 2, 3, 5]), |n| n != 5);
    assert_eq!(renewal.requests, [vote_request(2, claim, &[1, 2, 3])]);
    let renewal = d.set(30, 5, voting_set(2, &[1, 2, 3, 5]), |_| true);
    assert_eq!(renewal.requests, [vote_request(2, claim, &[5])]);
    d.vote(40, 1, 2, KEY, claim, Verdict::Granted);
    d.vote(41, 2, 2, KEY, claim, Verdict::Granted);
    assert_eq!(
        d.vote(42, 5, 2, KEY, claim, Verdict::Granted),
        Some(Verdicts::Won)
    );
}

#[test]
fn a_claimant_that_hears_only_voters_of_the_former_set_wins_nothing_of_the_new_one() {
    let mut d = director();
    let claim = begin(&mut d, 0);
    d.set(20, 2, voting_set(2, &[1, 2, 3, 5]), |_| true);
    // It is cut off from all but the member that left and one that lags; both still vote under set 1.
    for lost in [2, 3, 5] {
        d.lost_voter(30, lost);
    }
    assert!(
        d.idle(),
        "one member of four is no majority, whatever set it is in"
    );
    assert_eq!(d.vote(40, 4, 1, KEY, claim, Verdict::Granted), None);
    // An older set that is told late changes nothing.
    let renewal = d.set(50, 4, voting_set(1, &[1, 2, 3, 4]), |_| true);
    assert_eq!((renewal, d.voting_set().number), (Renewal::default(), 2));
    assert!(
        d.begin(60, KEY, |n| n == 1 || n == 4).is_none(),
        "nor is one of four a majority to begin with"
    );
    // What it begins as soon as it reaches enough counts votes of set 2 only.
    let claim = begin(&mut d, 70);
    for voter in 1..=4 {
        assert_eq!(d.vote(80, voter, 1, KEY, claim, Verdict::Granted), None);
    }
    assert_eq!(d.over(70 + VOTE_WAIT), [decision(claim, Verdicts::Unclear)]);
}

#[test]
fn sets_may_be_skipped_and_come_twice() {
    let mut d = director();
    let claim = begin(&mut d, 0);
    d.set(10, 2, voting_set(2, &[1, 2, 3, 5]), |_| true);
    d.vote(11, 2, 2, KEY, claim, Verdict::Granted);
    d.set(12, 3, voting_set(4, &[2, 3, 5, 6, 7]), |_| true);
    d.set(13, 1, voting_set(3, &[2, 3, 5, 6]), |_| true);
    assert_eq!(
        d.set(14, 3, voting_set(4, &[2, 3, 5, 6, 7]), |_| true)
            .requests,
        [vote_request(4, claim, &[3])]
    );
    d.vote(20, 2, 4, KEY, claim, Verdict::Granted);
    d.vote(21, 6, 4, KEY, claim, Verdict::Granted);
    assert_eq!(
        d.vote(22, 7, 4, KEY, claim, Verdict::Granted),
        Some(Verdicts::Won),
        "three of five"
    );
}

#[test]
fn a_withdrawn_claim_leaves_the_voters_of_every_set_that_it_was_sent_to() {
    let mut d = director();
    let claim = begin(&mut d, 0);
    d.set(20, 2, voting_set(2, &[1, 2, 3, 5]), |_| true);
    d.over(VOTE_WAIT);
    // Voter 4 left with the claim; voter 5 came and has it; voter 6 may have been taught it since.
    d.set(500, 2, voting_set(3, &[1, 2, 5, 6]), |_| true);
    let withdrawal = d.withdraw(600, KEY, claim);
    assert_eq!(
        withdrawal,
        Withdrawal {
            key: KEY,
            claim,
            voters: vec![1, 2, 3, 4, 5, 6]
        }
    );
    // One that began after the changes was sent to nobody else.
    let claim = begin(&mut d, 700);
    assert_eq!(d.withdraw(800, KEY, claim).voters, [1, 2, 5, 6]);
}

#[test]
fn a_voter_that_joins_is_told_of_what_was_withdrawn_while_it_was_taught() {
    let mut d = director();
    let claim = begin(&mut d, 0);
    d.withdraw(100, KEY, claim);
    let renewal = d.set(200, 2, voting_set(2, &[1, 2, 3, 5]), |_| true);
    assert_eq!(
        renewal.withdrawals,
        [Withdrawal {
            key: KEY,
            claim,
            voters: vec![5]
        }]
    );
    let renewal = d.set(100 + RETOLD_FOR, 2, voting_set(3, &[1, 2, 3, 6]), |_| true);
    assert_eq!(
        renewal.withdrawals,
        [],
        "long past what a voter is taught in"
    );
}

#[test]
fn the_majority_is_that_of_the_new_set() {
    let mut d = Claims::new(ME, 1);
    d.set(0, 1, voting_set(1, &[1, 2, 3]), |_| true);
    let claim = begin(&mut d, 0);
    d.set(10, 1, voting_set(2, &[1, 2, 3, 4]), |_| true);
    d.vote(20, 1, 2, KEY, claim, Verdict::Granted);
    assert_eq!(
        d.vote(21, 2, 2, KEY, claim, Verdict::Granted),
        None,
        "two of four, enough of three"
    );
    assert_eq!(
        d.vote(22, 4, 2, KEY, claim, Verdict::Granted),
        Some(Verdicts::Won)
    );
}
