//! How a replica without complete state (a learner, or a voter that lost its disk) is brought up to date: voters send
//! it what they hold, in chunks of bounded size.

use crate::ballots::SlotRecord;
use rushcourse_types::{ClaimId, Epoch, Generation, Incarnation, KeyDigest, Millis};
use serde::{Deserialize, Serialize};

/// A claim that a voter holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The claimed operation key.
    pub key: KeyDigest,
    /// Who holds it.
    pub claim: ClaimId,
    /// Since when, by the sender's steady clock.
    pub age: Millis,
}

/// How far a receiver has read the claims of one incarnation of a voter: its next snapshot begins there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SnapshotCursor {
    /// The voter's incarnation.
    pub incarnation: Incarnation,
    /// Claims before this position were read.
    pub position: u64,
}

/// What a voter knows of another member's disk: a disk of this generation, or a later one, lacks nothing that the voter
/// got before this position. So a member that starts with such a disk is complete once it has what came since.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RecoveryPoint {
    /// The lowest generation that this holds for.
    pub generation: Generation,
    /// Where the voter's snapshot for that member begins.
    pub cursor: SnapshotCursor,
}

/// A part of what a voter holds. All chunks of a snapshot are made in one step, so that they show one state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The voting set that the sender votes in.
    pub epoch: Epoch,
    /// Some of the sender's claims.
    pub claims: Vec<ClaimRecord>,
    /// Stands in the last chunk.
    pub trailer: Option<SnapshotTrailer>,
}

/// The end of a snapshot: what the claims of all its chunks must add up to, and the acceptor's records.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SnapshotTrailer {
    /// Where the next snapshot begins.
    pub cursor: SnapshotCursor,
    /// Claims in all chunks.
    pub claim_count: u64,
    /// Exclusive or of the digests of these claims.
    pub claims_digest: u64,
    /// What the sender's acceptor holds.
    pub records: Vec<SlotRecord>,
}
