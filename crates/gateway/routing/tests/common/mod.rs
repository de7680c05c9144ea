//! Helpers for tests of claims. Times are in milliseconds, and voters are given by their node numbers.

use rushcourse_messages::{ClaimId, ClaimVerdict, NodeId, VotingSet};
use rushcourse_routing::{ClaimActions, ClaimDecision, ClaimOutcome, ClaimResponse, Claims};
use rushcourse_types::{Epoch, Incarnation, KeyDigest, Timestamp};

/// The gateway that makes the claims.
pub const LOCAL_NODE: NodeId = NodeId(9);
/// The operation key of all claims made by these helpers.
pub const KEY: KeyDigest = KeyDigest(5);

pub fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

pub fn nodes(numbers: &[u32]) -> Vec<NodeId> {
    numbers.iter().copied().map(NodeId).collect()
}

pub fn voting_set(epoch: u64, members: &[u32]) -> VotingSet {
    VotingSet {
        epoch: Epoch(epoch),
        members: nodes(members),
    }
}

/// A claimant to which one voter has reported a voting set at time 0.
pub fn claimant(voter: u32, voting_set: VotingSet) -> Claims {
    let mut claims = Claims::new(LOCAL_NODE, Incarnation(1));
    report(&mut claims, 0, voter, voting_set);
    claims
}

/// Reports a voting set to a claimant that is connected to all voters.
pub fn report(claims: &mut Claims, millis: u64, voter: u32, voting_set: VotingSet) -> ClaimActions {
    claims.voting_set_reported(at(millis), NodeId(voter), voting_set, |_| true)
}

/// Delivers a voter's response to a claim of [`KEY`].
pub fn respond(
    claims: &mut Claims,
    millis: u64,
    voter: u32,
    epoch: u64,
    claim: ClaimId,
    verdict: ClaimVerdict,
) -> Option<ClaimDecision> {
    let response = ClaimResponse {
        epoch: Epoch(epoch),
        claim_number: claim.number,
        verdict,
    };
    claims.record_response(at(millis), NodeId(voter), response)
}

/// Delivers a voter's grant of a claim of [`KEY`].
pub fn grant(
    claims: &mut Claims,
    millis: u64,
    voter: u32,
    epoch: u64,
    claim: ClaimId,
) -> Option<ClaimDecision> {
    respond(claims, millis, voter, epoch, claim, ClaimVerdict::Granted)
}

pub fn decision(claim: ClaimId, outcome: ClaimOutcome) -> ClaimDecision {
    ClaimDecision {
        key: KEY,
        claim,
        outcome,
    }
}
