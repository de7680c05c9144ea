//! Claims of operation keys under one voting set.

mod common;

use common::{KEY, at, claimant, decision, grant, nodes, respond, voting_set};
use rushcourse_messages::{ClaimId, ClaimVerdict, KeyHolder, NodeId};
use rushcourse_routing::claims::CLAIM_TIMEOUT;
use rushcourse_routing::{ClaimDecision, ClaimOutcome, Claims};
use rushcourse_types::{Incarnation, KeyDigest};

fn claimant_of_four() -> Claims {
    claimant(1, voting_set(1, &[1, 2, 3, 4]))
}

#[test]
fn claim_granted_by_a_majority_in_time_is_won() {
    let mut claims = claimant_of_four();
    let request = claims
        .start(at(0), KEY.into(), |_| true)
        .expect("all are connected");
    assert_eq!(request.voters, nodes(&[1, 2, 3, 4]));
    let claim = request.claim;
    assert_eq!(grant(&mut claims, 10, 1, 1, claim), None);
    assert_eq!(
        grant(&mut claims, 10, 1, 1, claim),
        None,
        "one voter counts once"
    );
    assert_eq!(grant(&mut claims, 11, 2, 1, claim), None);
    assert_eq!(
        grant(&mut claims, 12, 3, 2, claim),
        None,
        "grants of another epoch are ignored"
    );
    assert_eq!(
        grant(&mut claims, 13, 3, 1, claim),
        Some(decision(claim, ClaimOutcome::Won))
    );
}

#[test]
fn grant_after_the_timeout_is_ignored() {
    let mut claims = claimant_of_four();
    let request = claims
        .start(at(0), KEY.into(), |_| true)
        .expect("all are connected");
    let claim = request.claim;
    grant(&mut claims, 10, 1, 1, claim);
    grant(&mut claims, 11, 2, 1, claim);
    // The third grant arrived in time but is processed late, as after a suspension of the process.
    let timeout = CLAIM_TIMEOUT.as_millis() as u64;
    assert_eq!(
        grant(&mut claims, timeout, 3, 1, claim),
        Some(decision(claim, ClaimOutcome::NoMajority))
    );
}

#[test]
fn claim_is_lost_once_a_majority_is_impossible() {
    let mut claims = claimant_of_four();
    let holder = KeyHolder {
        key: KEY,
        claim: ClaimId {
            node: NodeId(8),
            incarnation: Incarnation(1),
            number: 1,
        },
    };
    let request = claims
        .start(at(0), KEY.into(), |_| true)
        .expect("all are connected");
    let held = ClaimVerdict::HeldBy(holder);
    respond(&mut claims, 10, 1, 1, request.claim, held);
    assert_eq!(
        respond(&mut claims, 11, 2, 1, request.claim, held),
        Some(decision(request.claim, ClaimOutcome::LostTo(holder)))
    );
}

#[test]
fn claim_without_a_connected_majority_is_not_started_or_ends() {
    let mut claims = claimant_of_four();
    let request = claims
        .start(at(20), KeyDigest(6).into(), |node| node != NodeId(4))
        .expect("three are connected");
    assert_eq!(
        claims.voter_disconnected(at(30), NodeId(2)),
        vec![ClaimDecision {
            key: KeyDigest(6),
            claim: request.claim,
            outcome: ClaimOutcome::NoMajority
        }]
    );
    let third = claims.start(at(40), KeyDigest(7).into(), |node| node < NodeId(3));
    assert!(third.is_none(), "two of four are not a majority");
}
