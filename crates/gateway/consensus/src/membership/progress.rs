//! Progress of state transfer, and the known generations of this replica's disk.

use rushcourse_types::{Epoch, Generation, NodeId, Timestamp};
use std::collections::BTreeSet;

/// Progress of state transfer to this replica in the current voting set.
#[derive(Clone, Debug, Default)]
pub(super) struct SnapshotProgress {
    /// Members whose complete snapshots have arrived since this replica adopted its voting set.
    pub senders: BTreeSet<NodeId>,
    /// Whether the other voters are too few for a majority, so that this recovering replica must not wait.
    pub is_needed_for_majority: bool,
    /// Whether the snapshots of enough members are being written.
    pub is_installing: bool,
    /// Time of the last request for snapshots; zero if there was none since the set was adopted.
    pub requested_at: Timestamp,
    /// End of the period in which an invited standby requests snapshots.
    pub invitation_expires_at: Timestamp,
    /// Epoch of the voting set whose members' snapshots this standby has installed.
    pub ready_for: Epoch,
}

/// Generations of this replica's disk, as stored and as reported by other voters.
#[derive(Clone, Copy, Debug)]
pub(super) struct KnownGenerations {
    /// Generation that the disk had at the start.
    pub stored: Generation,
    /// Highest generation that another voter has reported.
    pub highest_reported: Generation,
}

impl KnownGenerations {
    /// Creates the value for a start, when no voter has reported yet.
    pub(super) fn at_start(stored: Generation) -> KnownGenerations {
        KnownGenerations {
            stored,
            highest_reported: Generation::NONE,
        }
    }
}

impl SnapshotProgress {
    /// Starts over after another voting set was adopted: only snapshots of its members count.
    pub(super) fn restart(&mut self) {
        self.abort();
        self.requested_at = Timestamp::ZERO;
    }

    /// Discards received snapshots after the disk refused to store them.
    pub(super) fn abort(&mut self) {
        self.is_installing = false;
        self.senders.clear();
    }
}
