//! What the state file holds, and the operations that change it.

use rushcourse_messages::{HostRecord, HostState, Slot, SlotRecord, VotingSet};
use rushcourse_types::{ClaimId, ConfigurationVersion, Epoch, Generation, KeyDigest, WallTime};

/// A claim of an operation key as the state file holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredClaim {
    /// The claimed operation key.
    pub key: KeyDigest,
    /// Who holds it.
    pub id: ClaimId,
    /// When this machine received the claim, by its time of day. Shown to people; nothing is decided by it.
    pub claimed_at: WallTime,
}

/// Which acceptor records are no longer needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PruneBounds {
    /// Records of versions below this one.
    pub versions_below: ConfigurationVersion,
    /// Records of voting sets up to this epoch.
    pub epochs_through: Epoch,
}

impl PruneBounds {
    /// Whether the record of a slot is no longer needed.
    pub fn contains(&self, slot: Slot) -> bool {
        match slot {
            Slot::Configuration(version) => version < self.versions_below,
            Slot::VotingSet(epoch) => epoch <= self.epochs_through,
        }
    }
}

/// One change of the state file.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteOperation {
    /// The voting set that this replica counts in; its epoch is always higher than before.
    StoreVotingSet(VotingSet),
    /// This replica holds what a voter of its set has to hold.
    MarkStateComplete,
    /// It no longer does: it was not a member all the time.
    MarkStateIncomplete,
    /// The generation that the file has with this batch; always higher than before.
    StoreGeneration(Generation),
    /// An acceptor's record for a slot, in place of an earlier one.
    StoreRecord(SlotRecord),
    /// Removes acceptor records that are no longer needed.
    PruneRecords(PruneBounds),
    /// A claim of an operation key, in place of an earlier one of that key.
    StoreClaim(StoredClaim),
    /// Removes the claim of a key.
    RemoveClaim(KeyDigest),
    /// The last record of one run of a host; that of a host that is gone is removed. Nothing waits for these.
    StoreHost(HostRecord),
}

/// The number of a batch, from 1 on, as the replica that writes it counts them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BatchId(pub u64);

impl BatchId {
    /// A batch that nothing waits for.
    pub const NONE: BatchId = BatchId(0);

    /// The number that follows.
    #[must_use]
    pub const fn next(self) -> BatchId {
        BatchId(self.0 + 1)
    }
}

/// Operations that are written together or not at all.
#[derive(Clone, Debug, PartialEq)]
pub struct WriteBatch {
    /// Names the batch when it is synced or refused.
    pub id: BatchId,
    /// In the order in which they take effect.
    pub operations: Vec<WriteOperation>,
}

/// What a state file holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DurableState {
    /// The voting set that this replica counts in; epoch 0: none yet.
    pub voting_set: VotingSet,
    /// Whether this replica holds what a voter of its set has to hold.
    pub has_complete_state: bool,
    /// Rises with each batch that something rests on.
    pub generation: Generation,
    /// The acceptor's records in the order of their slots.
    pub records: Vec<SlotRecord>,
    /// Claims of operation keys.
    pub claims: Vec<StoredClaim>,
    /// The last records of hosts.
    pub hosts: Vec<HostRecord>,
}

impl DurableState {
    /// Applies operations as a disk does that syncs them.
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
                self.hosts
                    .extend((stored.state != HostState::Gone).then_some(stored));
            }
        }
    }
}
