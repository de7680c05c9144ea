//! Claims across changes of the voting set, as timelines: what a frontend director hears, and what it comes to.

use rushcourse_messages::*;
use rushcourse_routing::claims::{RETOLD_FOR, VOTE_WAIT};
use rushcourse_routing::*;
use rushcourse_types::{Epoch, Incarnation, KeyDigest, NodeId};

const ME: NodeId = NodeId(9);
const KEY: u128 = 5;

#[allow(
    clippy::needless_update,
    reason = "the set gains fields that don't matter here"
)]
fn voting_set(number: u64, members: &[NodeId]) -> VotingSet {
    VotingSet {
        epoch: Epoch(number),
        members: members.to_vec(),
        ..Default::default()
    }
}

/// A frontend director to which voters 1 to 4 have told set 1.
fn director() -> Claims {
    let mut claims = Claims::new(ME, Incarnation(1));
    for voter in 1..=4 {
        claims.set(
            0,
            NodeId(voter),
            voting_set(1, &[NodeId(1), NodeId(2), NodeId(3), NodeId(4)]),
            |_| true,
        );
    }
    claims
}

fn begin(claims: &mut Claims, now: u64) -> ClaimId {
    claims
        .begin(now, KeyDigest(KEY), |_| true)
        .expect("a majority is reached")
        .0
}

fn vote_request(set: Epoch, claim: ClaimId, voters: &[NodeId]) -> VoteRequest {
    VoteRequest {
        set,
        key: KeyDigest(KEY),
        claim,
        voters: voters.to_vec(),
    }
}

fn decision(claim: ClaimId, verdicts: Verdicts) -> Decision {
    Decision {
        key: KeyDigest(KEY),
        claim,
        verdicts,
    }
}

#[test]
fn a_claim_in_flight_wins_under_the_new_set() {
    let mut d = director();
    let claim = begin(&mut d, 0);
    assert_eq!(
        d.vote(
            10,
            NodeId(1),
            Epoch(1),
            KeyDigest(KEY),
            claim,
            ClaimVerdict::Granted
        ),
        None
    );
    // Voter 4 left for voter 5; voter 2 is the first to say so, then refuses the claim of set 1.
    let renewal = d.set(
        20,
        NodeId(2),
        voting_set(2, &[NodeId(1), NodeId(2), NodeId(3), NodeId(5)]),
        |_| true,
    );
    assert_eq!(
        renewal.requests,
        [vote_request(
            Epoch(2),
            claim,
            &[NodeId(1), NodeId(2), NodeId(3), NodeId(5)]
        )],
        "under the same id"
    );
    assert_eq!(renewal.decided, []);
    assert_eq!(
        d.vote(
            21,
            NodeId(2),
            Epoch(1),
            KeyDigest(KEY),
            claim,
            ClaimVerdict::Abstained
        ),
        None,
        "of the former set"
    );
    assert_eq!(
        d.vote(
            30,
            NodeId(2),
            Epoch(2),
            KeyDigest(KEY),
            claim,
            ClaimVerdict::Granted
        ),
        None
    );
    assert_eq!(
        d.vote(
            31,
            NodeId(5),
            Epoch(2),
            KeyDigest(KEY),
            claim,
            ClaimVerdict::Granted
        ),
        None
    );
    assert_eq!(
        d.vote(
            32,
            NodeId(1),
            Epoch(2),
            KeyDigest(KEY),
            claim,
            ClaimVerdict::Granted
        ),
        Some(Verdicts::Won)
    );
}

#[test]
fn a_claim_wins_though_voters_adopt_the_new_set_one_after_the_other() {
    let mut d = director();
    let claim = begin(&mut d, 0);
    d.set(
        20,
        NodeId(2),
        voting_set(2, &[NodeId(1), NodeId(2), NodeId(3), NodeId(5)]),
        |_| true,
    );
    // Voters 1 and 3 still hold set 1: they can't vote under set 2 yet, which is no refusal.
    assert_eq!(
        d.vote(
            30,
            NodeId(1),
            Epoch(2),
            KeyDigest(KEY),
            claim,
            ClaimVerdict::Abstained
        ),
        None
    );
    assert_eq!(
        d.vote(
            31,
            NodeId(3),
            Epoch(2),
            KeyDigest(KEY),
            claim,
            ClaimVerdict::Abstained
        ),
        None,
        "it may still be won"
    );
    assert_eq!(
        d.vote(
            32,
            NodeId(2),
            Epoch(2),
            KeyDigest(KEY),
            claim,
            ClaimVerdict::Granted
        ),
        None
    );
    assert_eq!(
        d.vote(
            33,
            NodeId(5),
            Epoch(2),
            KeyDigest(KEY),
            claim,
            ClaimVerdict::Granted
        ),
        None
    );
    let renewal = d.set(
        40,
        NodeId(3),
        voting_set(2, &[NodeId(1), NodeId(2), NodeId(3), NodeId(5)]),
        |_| true,
    );
    assert_eq!(
        renewal.requests,
        [vote_request(Epoch(2), claim, &[NodeId(3)])],
        "asked again, and nobody else is"
    );
    assert_eq!(
        d.vote(
            50,
            NodeId(3),
            Epoch(2),
            KeyDigest(KEY),
            claim,
            ClaimVerdict::Granted
        ),
        Some(Verdicts::Won)
    );
}

#[test]
fn a_refusal_of_a_voter_that_has_adopted_the_set_is_one() {
    let mut d = director();
    let claim = begin(&mut d, 0);
    d.set(
        20,
        NodeId(2),
        voting_set(2, &[NodeId(1), NodeId(2), NodeId(3), NodeId(5)]),
        |_| true,
    );
    d.set(
        20,
        NodeId(3),
        voting_set(2, &[NodeId(1), NodeId(2), NodeId(3), NodeId(5)]),
        |_| true,
    );
    assert_eq!(
        d.vote(
            30,
            NodeId(2),
            Epoch(2),
            KeyDigest(KEY),
            claim,
            ClaimVerdict::Abstained
        ),
        None
    );
    assert_eq!(
        d.vote(
            31,
            NodeId(3),
            Epoch(2),
            KeyDigest(KEY),
            claim,
            ClaimVerdict::Abstained
        ),
        Some(Verdicts::Unclear)
    );
}

#[test]
fn grants_of_two_sets_never_add_up() {
    let mut d = director();
    let claim = begin(&mut d, 0);
    // Three grants make a majority of either set; two of each are none.
    assert_eq!(
        d.vote(
            10,
            NodeId(1),
            Epoch(1),
            KeyDigest(KEY),
            claim,
            ClaimVerdict::Granted
        ),
        None
    );
    assert_eq!(
        d.vote(
            11,
            NodeId(4),
            Epoch(1),
            KeyDigest(KEY),
            claim,
            ClaimVerdict::Granted
        ),
        None
    );
    d.set(
        20,
        NodeId(2),
        voting_set(2, &[NodeId(1), NodeId(2), NodeId(3), NodeId(5)]),
        |_| true,
    );
    assert_eq!(
        d.vote(
            30,
            NodeId(2),
            Epoch(2),
            KeyDigest(KEY),
            claim,
            ClaimVerdict::Granted
        ),
        None
    );
    assert_eq!(
        d.vote(
            31,
            NodeId(5),
            Epoch(2),
            KeyDigest(KEY),
            claim,
            ClaimVerdict::Granted
        ),
        None
    );
    // Grants of set 1 that were under way count for neither, nor do those of who left.
    assert_eq!(
        d.vote(
            32,
            NodeId(3),
            Epoch(1),
            KeyDigest(KEY),
            claim,
            ClaimVerdict::Granted
        ),
        None
    );
    assert_eq!(
        d.vote(
            33,
            NodeId(4),
            Epoch(2),
            KeyDigest(KEY),
            claim,
            ClaimVerdict::Granted
        ),
        None
    );
    assert_eq!(d.over(VOTE_WAIT), [decision(claim, Verdicts::Unclear)]);
}

#[test]
fn the_end_of_a_claim_counts_from_its_first_begin() {
    let mut d = director();
    let claim = begin(&mut d, 0);
    d.set(
        VOTE_WAIT - 10,
        NodeId(2),
        voting_set(2, &[NodeId(1), NodeId(2), NodeId(3), NodeId(5)]),
        |_| true,
    );
    assert_eq!(
        d.vote(
            VOTE_WAIT - 2,
            NodeId(1),
            Epoch(2),
            KeyDigest(KEY),
            claim,
            ClaimVerdict::Granted
        ),
        None
    );
    assert_eq!(
        d.vote(
            VOTE_WAIT - 1,
            NodeId(2),
            Epoch(2),
            KeyDigest(KEY),
            claim,
            ClaimVerdict::Granted
        ),
        None
    );
    // A voter that lost its disk may vote for another claim from here on.
    assert_eq!(
        d.vote(
            VOTE_WAIT,
            NodeId(3),
            Epoch(2),
            KeyDigest(KEY),
            claim,
            ClaimVerdict::Granted
        ),
        Some(Verdicts::Unclear)
    );
}

#[test]
fn a_change_does_not_wake_a_claim_whose_time_is_over() {
    let mut d = director();
    let claim = begin(&mut d, 0);
    let renewal = d.set(
        VOTE_WAIT,
        NodeId(2),
        voting_set(2, &[NodeId(1), NodeId(2), NodeId(3), NodeId(5)]),
        |_| true,
    );
    assert_eq!(renewal.requests, []);
    assert_eq!(renewal.decided, [decision(claim, Verdicts::Unclear)]);
    assert!(d.idle());
}

#[test]
fn a_claim_is_unclear_at_once_where_no_majority_of_the_new_set_is_reached() {
    let mut d = director();
    let claim = begin(&mut d, 0);
    let renewal = d.set(
        20,
        NodeId(2),
        voting_set(2, &[NodeId(2), NodeId(5), NodeId(6)]),
        |n| n == NodeId(2),
    );
    assert_eq!(renewal.requests, []);
    assert_eq!(renewal.decided, [decision(claim, Verdicts::Unclear)]);
}

#[test]
fn a_member_that_comes_into_reach_is_asked() {
    let mut d = director();
    let claim = begin(&mut d, 0);
    let renewal = d.set(
        20,
        NodeId(2),
        voting_set(2, &[NodeId(1), NodeId(2), NodeId(3), NodeId(5)]),
        |n| n != NodeId(5),
    );
    assert_eq!(
        renewal.requests,
        [vote_request(
            Epoch(2),
            claim,
            &[NodeId(1), NodeId(2), NodeId(3)]
        )]
    );
    let renewal = d.set(
        30,
        NodeId(5),
        voting_set(2, &[NodeId(1), NodeId(2), NodeId(3), NodeId(5)]),
        |_| true,
    );
    assert_eq!(
        renewal.requests,
        [vote_request(Epoch(2), claim, &[NodeId(5)])]
    );
    d.vote(
        40,
        NodeId(1),
        Epoch(2),
        KeyDigest(KEY),
        claim,
        ClaimVerdict::Granted,
    );
    d.vote(
        41,
        NodeId(2),
        Epoch(2),
        KeyDigest(KEY),
        claim,
        ClaimVerdict::Granted,
    );
    assert_eq!(
        d.vote(
            42,
            NodeId(5),
            Epoch(2),
            KeyDigest(KEY),
            claim,
            ClaimVerdict::Granted
        ),
        Some(Verdicts::Won)
    );
}

#[test]
fn a_claimant_that_hears_only_voters_of_the_former_set_wins_nothing_of_the_new_one() {
    let mut d = director();
    let claim = begin(&mut d, 0);
    d.set(
        20,
        NodeId(2),
        voting_set(2, &[NodeId(1), NodeId(2), NodeId(3), NodeId(5)]),
        |_| true,
    );
    // It is cut off from all but the member that left and one that lags; both still vote under set 1.
    for lost in [2, 3, 5] {
        d.lost_voter(30, NodeId(lost));
    }
    assert!(
        d.idle(),
        "one member of four is no majority, whatever set it is in"
    );
    assert_eq!(
        d.vote(
            40,
            NodeId(4),
            Epoch(1),
            KeyDigest(KEY),
            claim,
            ClaimVerdict::Granted
        ),
        None
    );
    // An older set that is told late changes nothing.
    let renewal = d.set(
        50,
        NodeId(4),
        voting_set(1, &[NodeId(1), NodeId(2), NodeId(3), NodeId(4)]),
        |_| true,
    );
    assert_eq!(
        (renewal, d.voting_set().epoch),
        (Renewal::default(), Epoch(2))
    );
    assert!(
        d.begin(60, KeyDigest(KEY), |n| n == NodeId(1) || n == NodeId(4))
            .is_none(),
        "nor is one of four a majority to begin with"
    );
    // What it begins as soon as it reaches enough counts votes of set 2 only.
    let claim = begin(&mut d, 70);
    for voter in 1..=4 {
        assert_eq!(
            d.vote(
                80,
                NodeId(voter),
                Epoch(1),
                KeyDigest(KEY),
                claim,
                ClaimVerdict::Granted
            ),
            None
        );
    }
    assert_eq!(d.over(70 + VOTE_WAIT), [decision(claim, Verdicts::Unclear)]);
}

#[test]
fn sets_may_be_skipped_and_come_twice() {
    let mut d = director();
    let claim = begin(&mut d, 0);
    d.set(
        10,
        NodeId(2),
        voting_set(2, &[NodeId(1), NodeId(2), NodeId(3), NodeId(5)]),
        |_| true,
    );
    d.vote(
        11,
        NodeId(2),
        Epoch(2),
        KeyDigest(KEY),
        claim,
        ClaimVerdict::Granted,
    );
    d.set(
        12,
        NodeId(3),
        voting_set(4, &[NodeId(2), NodeId(3), NodeId(5), NodeId(6), NodeId(7)]),
        |_| true,
    );
    d.set(
        13,
        NodeId(1),
        voting_set(3, &[NodeId(2), NodeId(3), NodeId(5), NodeId(6)]),
        |_| true,
    );
    assert_eq!(
        d.set(
            14,
            NodeId(3),
            voting_set(4, &[NodeId(2), NodeId(3), NodeId(5), NodeId(6), NodeId(7)]),
            |_| true
        )
        .requests,
        [vote_request(Epoch(4), claim, &[NodeId(3)])]
    );
    d.vote(
        20,
        NodeId(2),
        Epoch(4),
        KeyDigest(KEY),
        claim,
        ClaimVerdict::Granted,
    );
    d.vote(
        21,
        NodeId(6),
        Epoch(4),
        KeyDigest(KEY),
        claim,
        ClaimVerdict::Granted,
    );
    assert_eq!(
        d.vote(
            22,
            NodeId(7),
            Epoch(4),
            KeyDigest(KEY),
            claim,
            ClaimVerdict::Granted
        ),
        Some(Verdicts::Won),
        "three of five"
    );
}

#[test]
fn a_withdrawn_claim_leaves_the_voters_of_every_set_that_it_was_sent_to() {
    let mut d = director();
    let claim = begin(&mut d, 0);
    d.set(
        20,
        NodeId(2),
        voting_set(2, &[NodeId(1), NodeId(2), NodeId(3), NodeId(5)]),
        |_| true,
    );
    d.over(VOTE_WAIT);
    // Voter 4 left with the claim; voter 5 came and has it; voter 6 may have been taught it since.
    d.set(
        500,
        NodeId(2),
        voting_set(3, &[NodeId(1), NodeId(2), NodeId(5), NodeId(6)]),
        |_| true,
    );
    let withdrawal = d.withdraw(600, KeyDigest(KEY), claim);
    assert_eq!(
        withdrawal,
        Withdrawal {
            key: KeyDigest(KEY),
            claim,
            voters: vec![
                NodeId(1),
                NodeId(2),
                NodeId(3),
                NodeId(4),
                NodeId(5),
                NodeId(6)
            ]
        }
    );
    // One that began after the changes was sent to nobody else.
    let claim = begin(&mut d, 700);
    assert_eq!(
        d.withdraw(800, KeyDigest(KEY), claim).voters,
        [1, 2, 5, 6].map(NodeId)
    );
}

#[test]
fn a_voter_that_joins_is_told_of_what_was_withdrawn_while_it_was_taught() {
    let mut d = director();
    let claim = begin(&mut d, 0);
    d.withdraw(100, KeyDigest(KEY), claim);
    let renewal = d.set(
        200,
        NodeId(2),
        voting_set(2, &[NodeId(1), NodeId(2), NodeId(3), NodeId(5)]),
        |_| true,
    );
    assert_eq!(
        renewal.withdrawals,
        [Withdrawal {
            key: KeyDigest(KEY),
            claim,
            voters: vec![NodeId(5)]
        }]
    );
    let renewal = d.set(
        100 + RETOLD_FOR,
        NodeId(2),
        voting_set(3, &[NodeId(1), NodeId(2), NodeId(3), NodeId(6)]),
        |_| true,
    );
    assert_eq!(
        renewal.withdrawals,
        [],
        "long past what a voter is taught in"
    );
}

#[test]
fn the_majority_is_that_of_the_new_set() {
    let mut d = Claims::new(ME, Incarnation(1));
    d.set(
        0,
        NodeId(1),
        voting_set(1, &[NodeId(1), NodeId(2), NodeId(3)]),
        |_| true,
    );
    let claim = begin(&mut d, 0);
    d.set(
        10,
        NodeId(1),
        voting_set(2, &[NodeId(1), NodeId(2), NodeId(3), NodeId(4)]),
        |_| true,
    );
    d.vote(
        20,
        NodeId(1),
        Epoch(2),
        KeyDigest(KEY),
        claim,
        ClaimVerdict::Granted,
    );
    assert_eq!(
        d.vote(
            21,
            NodeId(2),
            Epoch(2),
            KeyDigest(KEY),
            claim,
            ClaimVerdict::Granted
        ),
        None,
        "two of four, enough of three"
    );
    assert_eq!(
        d.vote(
            22,
            NodeId(4),
            Epoch(2),
            KeyDigest(KEY),
            claim,
            ClaimVerdict::Granted
        ),
        Some(Verdicts::Won)
    );
}
