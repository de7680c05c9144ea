//! What is to be sent to voters, what they answer, and what a claim came to.

use rushcourse_messages::{ClaimId, ClaimVerdict, NodeId};
use rushcourse_types::{Epoch, KeyDigest};

/// A claim that is to be sent to these voters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Of the voting set that grants are counted in.
    pub epoch: Epoch,
    /// The key that is claimed.
    pub key: KeyDigest,
    /// The claim's id.
    pub claim: ClaimId,
    /// Who is to be asked.
    pub voters: Vec<NodeId>,
}

/// A voter's answer to a [`ClaimRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimResponse {
    /// As in the request.
    pub epoch: Epoch,
    /// As in the request.
    pub key: KeyDigest,
    /// As in the request.
    pub claim: ClaimId,
    /// Granted or not.
    pub verdict: ClaimVerdict,
}

/// Voters that are to be told that nothing was sent under a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimWithdrawal {
    /// The key that was claimed.
    pub key: KeyDigest,
    /// The claim that ends.
    pub claim: ClaimId,
    /// Who may hold it.
    pub voters: Vec<NodeId>,
}

/// What the verdicts of the voters come to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// A majority granted it: the request may be sent.
    Won,
    /// No majority granted it, and this other claim holds the key at most of the voters that named one.
    LostTo(ClaimId),
    /// No majority granted it in time, and no voter named another claim.
    NoMajority,
}

/// A claim that came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimDecision {
    /// The key that was claimed.
    pub key: KeyDigest,
    /// The claim's id.
    pub claim: ClaimId,
    /// What it came to.
    pub outcome: ClaimOutcome,
}

/// What is to be done after a controller reported its voting set: in this order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClaimActions {
    /// Pending claims that are to be sent (again).
    pub requests: Vec<ClaimRequest>,
    /// Withdrawals that members which joined the voting set are to be told of.
    pub withdrawals: Vec<ClaimWithdrawal>,
    /// Claims that the change ended.
    pub decisions: Vec<ClaimDecision>,
}
