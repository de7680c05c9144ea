//! What the storage thread is given, and what it reports.

use rushcourse_consensus::Op;

/// Operations that reach the disk together or not at all.
#[derive(Clone, Debug, PartialEq)]
pub struct WriteBatch {
    /// By which the outcome is reported; numbers may repeat where nobody waits for the outcome.
    pub number: u64,
    /// To be applied in this order.
    pub operations: Vec<Op>,
}

/// What became of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The batch of this number is on the disk.
    Synced(u64),
    /// The disk refused the batch of this number: nothing of it counts.
    Failed(u64),
}
