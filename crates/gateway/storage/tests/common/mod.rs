//! What the tests of the state file share: files in folders of their own, and short ways to what is written.
#![allow(dead_code)]

pub mod disk;
pub mod previous_format;
pub mod tables;

use rushcourse_consensus::{BatchId, PruneBounds, StoredClaim, WriteBatch, WriteOperation};
use rushcourse_messages::{
    AcceptorRecord, Ballot, HostRecord, HostState, Proposal, Slot, SlotRecord, VotingSet,
};
use rushcourse_types::{
    CallSequence, ClaimId, ConfigurationVersion, Epoch, Incarnation, KeyDigest, Millis, NodeId,
    WallTime,
};
use std::path::{Path, PathBuf};
use tempfile::TempDir;

/// The place of a state file in a folder of its own, which goes with this.
pub struct StateFile {
    folder: TempDir,
    path: PathBuf,
}

impl StateFile {
    /// A place where no file is yet.
    pub fn new() -> StateFile {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("controller.redb");
        StateFile { folder, path }
    }

    pub fn path(&self) -> &Path {
        &self.path
    }
}

/// A batch as the storage thread gets it.
pub fn batch(number: u64, operations: Vec<WriteOperation>) -> WriteBatch {
    WriteBatch {
        id: BatchId(number),
        operations,
    }
}

/// A ballot of node 1.
pub fn ballot(round: u64) -> Ballot {
    Ballot {
        round,
        node: NodeId(1),
        incarnation: Incarnation(2),
    }
}

/// A vote under a ballot of this round.
pub fn vote(round: u64, value: &[u8]) -> AcceptorRecord {
    AcceptorRecord {
        promised: ballot(round),
        accepted: Some(Proposal {
            ballot: ballot(round),
            value: value.into(),
        }),
        is_vote: true,
    }
}

/// A promise of this round, and nothing accepted.
pub fn promise(round: u64) -> AcceptorRecord {
    AcceptorRecord {
        promised: ballot(round),
        accepted: None,
        is_vote: false,
    }
}

/// The slot of a version.
pub fn version(number: u64) -> Slot {
    Slot::Configuration(ConfigurationVersion(number))
}

/// The slot of a voting set.
pub fn epoch(number: u64) -> Slot {
    Slot::VotingSet(Epoch(number))
}

pub fn store_record(slot: Slot, record: AcceptorRecord) -> WriteOperation {
    WriteOperation::StoreRecord(SlotRecord { slot, record })
}

pub fn prune(versions_below: u64, epochs_through: u64) -> WriteOperation {
    WriteOperation::PruneRecords(PruneBounds {
        versions_below: ConfigurationVersion(versions_below),
        epochs_through: Epoch(epochs_through),
    })
}

pub fn voting_set(epoch: u64, members: &[u32]) -> VotingSet {
    VotingSet {
        epoch: Epoch(epoch),
        members: members.iter().copied().map(NodeId).collect(),
    }
}

/// A claim of node 1, whose number and time of day follow from its key.
pub fn claim(key: u64) -> StoredClaim {
    StoredClaim {
        key: KeyDigest(u128::from(key)),
        id: ClaimId {
            node: NodeId(1),
            incarnation: Incarnation(2),
            number: key,
        },
        claimed_at: WallTime(1_000 + key),
    }
}

pub fn remove_claim(key: u64) -> WriteOperation {
    WriteOperation::RemoveClaim(KeyDigest(u128::from(key)))
}

pub fn host(id: &str, sequence: u64, state: HostState) -> HostRecord {
    HostRecord {
        id: id.into(),
        service: "s".into(),
        zone: "z".into(),
        address: "10.0.0.1:80".into(),
        slots: 4,
        state,
        sequence: CallSequence(sequence),
        warm_up: Millis(0),
        age: Millis(0),
    }
}
