//! Snapshots: voters send their state in chunks of bounded size to replicas without complete state, which are learners
//! and members that lost their disk.

use crate::ballots::SlotRecord;
use rushcourse_types::{ClaimId, Epoch, Generation, Incarnation, KeyAlias, KeyDigest, Millis};
use serde::{Deserialize, Serialize};

/// A claim granted by the sender of a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The digest of the claimed operation key.
    pub key: KeyDigest,
    /// The second digest of the operation, if it has one.
    pub alias: Option<KeyAlias>,
    /// The claim that holds the key.
    pub claim: ClaimId,
    /// Time since the claim was granted, when the chunk was created.
    pub age: Millis,
}

/// A position in the sequence of claims granted by one incarnation of a voter. An incremental snapshot starts at the
/// cursor where the previous one ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SnapshotCursor {
    /// The incarnation of the voter. Positions of other incarnations can't be compared with this one.
    pub incarnation: Incarnation,
    /// All claims before this position have been received.
    pub position: u64,
}

/// What a voter knows of another member's disk: at or above this generation, the disk holds everything the voter stored
/// before the cursor. A member restarting with such a disk needs only the state after the cursor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RecoveryPoint {
    /// The lowest generation of the member's state file for which the guarantee holds.
    pub generation: Generation,
    /// The start of the voter's incremental snapshot for that member.
    pub cursor: SnapshotCursor,
}

/// A part of a snapshot. All chunks of a snapshot are created in one step, so that together they are consistent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The epoch of the sender's voting set.
    pub epoch: Epoch,
    /// The claims in this chunk; may be empty.
    pub claims: Vec<ClaimRecord>,
    /// Present only in the last chunk of a snapshot.
    pub trailer: Option<SnapshotTrailer>,
}

/// The end of a snapshot: checksums over the claims of all its chunks, and the sender's acceptor state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SnapshotTrailer {
    /// The start of the next incremental snapshot.
    pub cursor: SnapshotCursor,
    /// Total number of claims in all chunks. On a mismatch the receiver does not treat the snapshot as complete.
    pub claim_count: u64,
    /// XOR of the digests of all claims. On a mismatch the receiver does not treat the snapshot as complete.
    pub claims_digest: u64,
    /// The acceptor's record for each slot.
    pub records: Vec<SlotRecord>,
}
