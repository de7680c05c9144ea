//! A claimant and its voters, for the tests of claims. Times are in milliseconds, voters go by the numbers of their nodes.

use rushcourse_messages::{ClaimId, ClaimVerdict, NodeId, VotingSet};
use rushcourse_routing::{ClaimActions, ClaimDecision, ClaimOutcome, ClaimResponse, Claims};
use rushcourse_types::{Epoch, Incarnation, KeyDigest, Timestamp};

/// The gateway that claims.
pub const ME: NodeId = NodeId(9);
/// The key that it claims.
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

/// A claimant that one voter has reported a voting set to.
pub fn claimant(voter: u32, voting_set: VotingSet) -> Claims {
    let mut claims = Claims::new(ME, Incarnation(1));
    report(&mut claims, 0, voter, voting_set);
    claims
}

/// A voter reports a voting set; all voters are connected.
pub fn report(claims: &mut Claims, millis: u64, voter: u32, voting_set: VotingSet) -> ClaimActions {
    claims.voting_set_reported(at(millis), NodeId(voter), voting_set, |_| true)
}

/// A voter of the claim's epoch answers a claim of [`KEY`].
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
        key: KEY,
        claim,
        verdict,
    };
    claims.record_response(at(millis), NodeId(voter), response)
}

/// A voter grants a claim of [`KEY`].
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
