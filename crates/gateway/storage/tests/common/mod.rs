//! Shared helpers of the storage tests: temporary state files and constructors of operations.
#![allow(dead_code)]

pub mod disk;
pub mod previous_format;
pub mod tables;

use rushcourse_consensus::{BatchId, PruneBounds, StoredClaim, WriteBatch, WriteOperation};
use rushcourse_messages::{
    AcceptorRecord, Ballot, HostRecord, HostState, Proposal, Slot, SlotRecord, VotingSet,
};
use rushcourse_types::{
    CallSequence, ClaimId, ConfigurationVersion, DutySequence, Epoch, Incarnation, KeyDigest,
    Millis, NodeId, WallTime,
};
use std::path::{Path, PathBuf};
use tempfile::TempDir;

/// Path of a state file in a temporary directory, which is deleted on drop.
pub struct StateFile {
    directory: TempDir,
    path: PathBuf,
}

impl StateFile {
    /// Creates the directory, but not the file.
    pub fn new() -> StateFile {
        let directory = tempfile::tempdir().expect("create a temporary directory");
        let path = directory.path().join("controller.redb");
        StateFile { directory, path }
    }

    pub fn path(&self) -> &Path {
        &self.path
    }
}

pub fn batch(number: u64, operations: Vec<WriteOperation>) -> WriteBatch {
    WriteBatch {
        id: BatchId(number),
        operations,
    }
}

/// A ballot of node 1, incarnation 2.
pub fn ballot(round: u64) -> Ballot {
    Ballot {
        round,
        node: NodeId(1),
        incarnation: Incarnation(2),
    }
}

/// A vote for `value` under node 1's ballot of this round.
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

/// A promise of node 1's ballot of this round, without an accepted value.
pub fn promise(round: u64) -> AcceptorRecord {
    AcceptorRecord {
        promised: ballot(round),
        accepted: None,
        is_vote: false,
    }
}

/// The slot of a configuration version.
pub fn version(number: u64) -> Slot {
    Slot::Configuration(ConfigurationVersion(number))
}

/// The slot of a state of the usage duty.
pub fn duty(position: u64) -> Slot {
    Slot::UsageDuty(DutySequence(position))
}

/// The slot of the voting set of an epoch.
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
        ..PruneBounds::default()
    })
}

pub fn prune_duties(duties_below: u64) -> WriteOperation {
    WriteOperation::PruneRecords(PruneBounds {
        duties_below: DutySequence(duties_below),
        ..PruneBounds::default()
    })
}

pub fn voting_set(epoch: u64, members: &[u32]) -> VotingSet {
    VotingSet {
        epoch: Epoch(epoch),
        members: members.iter().copied().map(NodeId).collect(),
    }
}

/// A claim of node 1 with number `key` and wall time 1000 + `key`.
pub fn claim(key: u64) -> StoredClaim {
    StoredClaim {
        key: KeyDigest(u128::from(key)),
        alias: None,
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
