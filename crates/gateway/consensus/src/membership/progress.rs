//! How far a replica without complete state has come in getting it.

use rushcourse_types::{Epoch, NodeId, Timestamp};
use std::collections::BTreeSet;

/// How far a replica without complete state has come in getting it.
#[derive(Clone, Debug, Default)]
pub(super) struct SnapshotProgress {
    /// Members whose snapshots have arrived since this replica adopted its voting set.
    pub senders: BTreeSet<NodeId>,
    /// Snapshots of enough members are being written.
    pub is_installing: bool,
    /// When snapshots were last requested; `Timestamp::ZERO`: not since the set was adopted.
    pub requested_at: Timestamp,
    /// Until when a standby that was invited requests snapshots.
    pub invitation_expires_at: Timestamp,
    /// The set whose voters' snapshots this standby holds.
    pub ready_for: Epoch,
}

impl SnapshotProgress {
    /// Another voting set is adopted: snapshots of the members of this one are wanted.
    pub(super) fn restart(&mut self) {
        self.abort();
        self.requested_at = Timestamp::ZERO;
    }

    /// The disk refused what arrived: all of it is wanted again.
    pub(super) fn abort(&mut self) {
        self.is_installing = false;
        self.senders.clear();
    }
}
