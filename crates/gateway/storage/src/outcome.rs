//! What became of a batch.

use rushcourse_consensus::BatchId;

/// What became of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It is on the disk.
    Synced(BatchId),
    /// The disk refused it: nothing of it counts.
    Refused(BatchId),
}
