//! Requests to voters, their responses, and the outcomes of claims.

use rushcourse_messages::{ClaimId, ClaimVerdict, KeyHolder, NodeId};
use rushcourse_types::{Epoch, KeyDigest, OperationKeys};

/// A claim to be sent to each of `voters`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Epoch of the voting set whose majority decides the claim.
    pub epoch: Epoch,
    /// Digests of the operation to claim.
    pub keys: OperationKeys,
    /// Id of the claim. Unchanged when the claim is restarted under a newer epoch.
    pub claim: ClaimId,
    /// The recipients, all of them members of the voting set.
    pub voters: Vec<NodeId>,
}

/// A voter's response to a [`ClaimRequest`] of this incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimResponse {
    /// Epoch under which the voter was asked. Responses with an older epoch than the current one are ignored.
    pub epoch: Epoch,
    /// Number of the claim that the verdict applies to.
    pub claim_number: u64,
    /// Whether the voter granted the claim, reported another holder, or abstained.
    pub verdict: ClaimVerdict,
}

/// A notification to be sent to each of `voters` that no request was sent under a claim, so that they free its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimWithdrawal {
    /// Digest of the operation key to free.
    pub key: KeyDigest,
    /// Id of the withdrawn claim. Voters ignore the withdrawal if another claim holds the key.
    pub claim: ClaimId,
    /// The recipients: every node that may have stored the claim.
    pub voters: Vec<NodeId>,
}

/// The result of a claim, determined by the verdicts of the voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// A majority granted the claim, so the request may be sent to a host.
    Won,
    /// No majority granted the claim. The contained claim holds the key or the alias according to most voters that
    /// reported a holder.
    LostTo(KeyHolder),
    /// No majority granted the claim in time, and no voter reported another holder.
    NoMajority,
}

/// A decided claim, which is no longer pending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimDecision {
    /// Digest of the claimed operation key.
    pub key: KeyDigest,
    /// Id of the decided claim.
    pub claim: ClaimId,
    /// Whether the claim was won, lost to another claim, or failed without a majority.
    pub outcome: ClaimOutcome,
}

/// What the caller must do after a controller has reported its voting set, in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClaimActions {
    /// Requests to send for pending claims.
    pub requests: Vec<ClaimRequest>,
    /// Recent withdrawals to send to voters that have joined with the new voting set.
    pub withdrawals: Vec<ClaimWithdrawal>,
    /// Claims that were decided by the change of the voting set.
    pub decisions: Vec<ClaimDecision>,
}
