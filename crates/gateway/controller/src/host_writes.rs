//! Writes of leaving hosts whose outcome somebody waits for.

use rushcourse_consensus::BatchId;
use rushcourse_storage::WriteOutcome;
use rushcourse_types::{NodeId, RequestToken};
use std::collections::BTreeMap;

/// Set in the ids of these batches and clear in those of `rushcourse-consensus`, which counts from 1.
const HOST_BATCH_BIT: u64 = 1 << 63;
/// Maximum number of pending writes. Beyond it, the oldest is not confirmed any more.
const MAX_PENDING: usize = 16_384;

/// Who waits for a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HostWriteRequester {
    /// The probe of this controller with this token.
    Local { token: RequestToken },
    /// The probe of another controller.
    Peer { peer: NodeId, token: RequestToken },
}

/// Pending writes of leaving hosts.
#[derive(Debug, Default)]
pub(crate) struct HostWrites {
    last_number: u64,
    pending: BTreeMap<BatchId, HostWriteRequester>,
}

impl HostWrites {
    /// Whether the outcome is that of such a write.
    pub(crate) fn contains(outcome: WriteOutcome) -> bool {
        let (WriteOutcome::Synced(batch) | WriteOutcome::Refused(batch)) = outcome;
        batch.0 & HOST_BATCH_BIT != 0
    }

    /// Returns the id for the batch of a new write.
    pub(crate) fn begin(&mut self, requester: HostWriteRequester) -> BatchId {
        if self.pending.len() >= MAX_PENDING {
            self.pending.pop_first();
        }
        self.last_number += 1;
        let id = BatchId(HOST_BATCH_BIT | self.last_number);
        self.pending.insert(id, requester);
        id
    }

    /// Removes a write that has ended. Returns who has to be told that it is on disk.
    pub(crate) fn finish(&mut self, outcome: WriteOutcome) -> Option<HostWriteRequester> {
        match outcome {
            WriteOutcome::Synced(batch) => self.pending.remove(&batch),
            WriteOutcome::Refused(batch) => {
                self.pending.remove(&batch);
                None
            }
        }
    }
}
