//! Contents of the state file, and the operations that change it.

use rushcourse_messages::{HostRecord, Slot, SlotRecord, VotingSet};
use rushcourse_types::{
    ClaimId, ConfigurationVersion, DutySequence, Epoch, Generation, KeyAlias, KeyDigest, WallTime,
};
use std::sync::Arc;

/// A claim of an operation key as stored in the state file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredClaim {
    /// Digest of the claimed operation key.
    pub key: KeyDigest,
    /// The second digest of the operation; `None` in claims that earlier releases stored.
    pub alias: Option<KeyAlias>,
    /// The claim that holds the key.
    pub id: ClaimId,
    /// Time at which this machine received the claim, by its wall clock. For display only; no decision depends on it.
    pub claimed_at: WallTime,
}

/// Bounds below which acceptor records belong to decided slots and can be removed. The default removes nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PruneBounds {
    /// Records of configuration versions below this one are removed.
    pub versions_below: ConfigurationVersion,
    /// Records of voting sets up to and including this epoch are removed.
    pub epochs_through: Epoch,
    /// Records of states of the usage duty below this position are removed.
    pub duties_below: DutySequence,
}

impl PruneBounds {
    /// Whether the record of a slot falls within the bounds.
    pub fn contains(&self, slot: Slot) -> bool {
        match slot {
            Slot::Configuration(version) => version < self.versions_below,
            Slot::VotingSet(epoch) => epoch <= self.epochs_through,
            Slot::UsageDuty(sequence) => sequence < self.duties_below,
        }
    }
}

/// A single change of the state file.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteOperation {
    /// Stores the voting set that this replica has adopted; its epoch is higher than that of the stored one.
    StoreVotingSet(VotingSet),
    /// Records that this replica has complete state for its voting set.
    MarkStateComplete,
    /// Records that this replica lacks state, for instance because it was not a member of the previous voting set.
    MarkStateIncomplete,
    /// Stores the generation of the disk; always higher than the stored one.
    StoreGeneration(Generation),
    /// Stores an acceptor's record for a slot and replaces an earlier one.
    StoreRecord(SlotRecord),
    /// Removes acceptor records of decided slots.
    PruneRecords(PruneBounds),
    /// Stores a claim of an operation key and replaces an earlier claim of that key.
    StoreClaim(StoredClaim),
    /// Removes the claim that holds a key.
    RemoveClaim(KeyDigest),
    /// Stores the latest record of a host. Consensus never reads these records.
    StoreHost(HostRecord),
    /// Removes the record of the host with this id.
    RemoveHost(Arc<str>),
}

/// Sequence number of a write batch; a replica numbers its batches from 1 at each start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BatchId(pub u64);

impl BatchId {
    /// Used before the first batch is written.
    pub const NONE: BatchId = BatchId(0);

    /// Returns the number of the following batch.
    #[must_use]
    pub const fn next(self) -> BatchId {
        BatchId(self.0 + 1)
    }
}

/// Operations that are written atomically.
#[derive(Clone, Debug, PartialEq)]
pub struct WriteBatch {
    /// Identifies the batch in [`crate::Input::BatchSynced`] and [`crate::Input::BatchRefused`].
    pub id: BatchId,
    /// Operations in the order in which they apply.
    pub operations: Vec<WriteOperation>,
}

/// Contents of a state file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DurableState {
    /// The voting set that this replica has adopted; epoch 0 before the first one.
    pub voting_set: VotingSet,
    /// Whether this replica had complete state for its voting set.
    pub has_complete_state: bool,
    /// Increases with each batch whose sync the replica acts upon; distinguishes an older copy of the disk.
    pub generation: Generation,
    /// Acceptor records, ordered by slot.
    pub records: Vec<SlotRecord>,
    /// Claims of operation keys, including ones whose key window is over and that have not been removed yet.
    pub claims: Vec<StoredClaim>,
    /// Latest record of each host.
    pub hosts: Vec<HostRecord>,
}

impl DurableState {
    /// Applies operations to the state in memory, as a disk that syncs them would.
    pub fn apply(&mut self, operations: Vec<WriteOperation>) {
        for operation in operations {
            self.apply_one(operation);
        }
    }

    fn apply_one(&mut self, operation: WriteOperation) {
        match operation {
            WriteOperation::StoreVotingSet(voting_set) => self.voting_set = voting_set,
            WriteOperation::MarkStateComplete => self.has_complete_state = true,
            WriteOperation::MarkStateIncomplete => self.has_complete_state = false,
            WriteOperation::StoreGeneration(generation) => self.generation = generation,
            WriteOperation::StoreRecord(stored) => {
                self.records.retain(|record| record.slot != stored.slot);
                self.records.push(stored);
                self.records.sort_unstable_by_key(|record| record.slot);
            }
            WriteOperation::PruneRecords(bounds) => {
                self.records.retain(|record| !bounds.contains(record.slot));
            }
            WriteOperation::StoreClaim(stored) => {
                self.claims.retain(|claim| claim.key != stored.key);
                self.claims.push(stored);
            }
            WriteOperation::RemoveClaim(key) => self.claims.retain(|claim| claim.key != key),
            WriteOperation::StoreHost(stored) => {
                self.hosts.retain(|host| host.id != stored.id);
                self.hosts.push(stored);
            }
            WriteOperation::RemoveHost(id) => self.hosts.retain(|host| host.id != id),
        }
    }
}
