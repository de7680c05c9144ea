//! How far a replica without complete state has come in getting it, and what it knows of its disk.

use rushcourse_types::{Epoch, Generation, NodeId, Timestamp};
use std::collections::BTreeSet;

/// How far a replica without complete state has come in getting it.
#[derive(Clone, Debug, Default)]
pub(super) struct SnapshotProgress {
    /// Members whose snapshots have arrived since this replica adopted its voting set.
    pub senders: BTreeSet<NodeId>,
    /// This replica recovers, and the other members that vote are no majority.
    pub is_urgent: bool,
    /// Snapshots of enough members are being written.
    pub is_installing: bool,
    /// When snapshots were last requested; `Timestamp::ZERO`: not since the set was adopted.
    pub requested_at: Timestamp,
    /// Until when a standby that was invited requests snapshots.
    pub invitation_expires_at: Timestamp,
    /// The set whose voters' snapshots this standby holds.
    pub ready_for: Epoch,
}

/// What a member knows of the generations of its disk.
#[derive(Clone, Copy, Debug)]
pub(super) struct KnownGenerations {
    /// What the disk had at the start.
    pub stored: Generation,
    /// The highest one that another voter has heard of.
    pub highest_reported: Generation,
}

impl KnownGenerations {
    /// At the start nobody has reported any.
    pub(super) fn at_start(stored: Generation) -> KnownGenerations {
        KnownGenerations {
            stored,
            highest_reported: Generation::NONE,
        }
    }
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
