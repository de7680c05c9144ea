//! A state file that the build a09c11f wrote (`fixtures/controller.redb`): voting set, acceptor's records, claims and
//! hosts. This build reads it as the same state, writes on in it, and makes the same bytes in every table.

mod common;

use common::batch;
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition, TableHandle};
use rushcourse_consensus::{DurableState, PruneBounds, StoredClaim, WriteBatch, WriteOperation};
use rushcourse_messages::{
    AcceptorRecord, Ballot, ClaimId, HostRecord, HostState, Proposal, Slot, SlotRecord, VotingSet,
};
use rushcourse_storage::Store;
use rushcourse_types::{
    CallSequence, ConfigurationVersion, Epoch, Incarnation, KeyDigest, Millis, NodeId, WallTime,
};
use std::path::{Path, PathBuf};

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const SET_RECORDS: TableDefinition<u64, &[u8]> = TableDefinition::new("set_records");
const VERSION_RECORDS: TableDefinition<u64, &[u8]> = TableDefinition::new("version_records");
/// Key, node, incarnation and number of a claim, and its time of day.
type ClaimRow = (u128, u32, u64, u64, u64);
const CLAIMS: TableDefinition<u64, ClaimRow> = TableDefinition::new("claims");
const HOSTS: TableDefinition<&str, &[u8]> = TableDefinition::new("hosts");

fn claim(number: u64) -> StoredClaim {
    let id = ClaimId {
        node: NodeId(0x0a01_0022),
        incarnation: Incarnation(u64::MAX - 5),
        number,
    };
    StoredClaim {
        key: KeyDigest(u128::from(number) << 90 | 7),
        id,
        claimed_at: WallTime(1_764_000_000_000 + number),
    }
}

fn host(id: &str, state: HostState) -> HostRecord {
    HostRecord {
        id: id.into(),
        service: "wuno96b".into(),
        zone: "recife".into(),
        address: "10.128.0.9:8080".into(),
        slots: 4,
        state,
        sequence: CallSequence(300),
        warm_up: Millis(2_500),
        age: Millis(17),
    }
}

/// The two batches that the file was made of: the second one removes and replaces what the first one wrote.
fn batches() -> Vec<WriteBatch> {
    let ballot = Ballot {
        round: 300,
        node: NodeId(0x0a01_0024),
        incarnation: Incarnation(u64::MAX - 6),
    };
    let lower = Ballot {
        round: 2,
        node: NodeId(0x0a03_0025),
        incarnation: Incarnation(9),
    };
    let accepted = Proposal {
        ballot: lower,
        value: b"{\"version\":9}"[..].into(),
    };
    let vote = AcceptorRecord {
        promised: ballot,
        accepted: Some(accepted),
        is_vote: true,
    };
    let promise = AcceptorRecord {
        promised: ballot,
        accepted: None,
        is_vote: false,
    };
    let first = vec![
        WriteOperation::StoreVotingSet(VotingSet {
            epoch: Epoch(11),
            members: vec![NodeId(1), NodeId(2), NodeId(0x0a00_0001)],
        }),
        WriteOperation::StoreRecord(SlotRecord {
            slot: Slot::Configuration(ConfigurationVersion(7)),
            record: vote.clone(),
        }),
        WriteOperation::StoreRecord(SlotRecord {
            slot: Slot::VotingSet(Epoch(11)),
            record: promise.clone(),
        }),
        WriteOperation::StoreClaim(claim(1)),
        WriteOperation::StoreClaim(claim(2)),
        WriteOperation::StoreClaim(claim(3)),
        WriteOperation::StoreHost(host("i-1", HostState::Ready)),
        WriteOperation::StoreHost(host("i-2", HostState::Ready)),
        WriteOperation::StoreHost(host("i-3", HostState::Ready)),
    ];
    let second = vec![
        WriteOperation::StoreVotingSet(VotingSet {
            epoch: Epoch(12),
            members: vec![NodeId(1), NodeId(2), NodeId(0x0a00_0002)],
        }),
        WriteOperation::MarkStateComplete,
        WriteOperation::StoreRecord(SlotRecord {
            slot: Slot::Configuration(ConfigurationVersion(9)),
            record: vote,
        }),
        WriteOperation::StoreRecord(SlotRecord {
            slot: Slot::VotingSet(Epoch(13)),
            record: promise,
        }),
        WriteOperation::PruneRecords(PruneBounds {
            versions_below: ConfigurationVersion(9),
            epochs_through: Epoch(12),
        }),
        WriteOperation::RemoveClaim(claim(2).key),
        WriteOperation::StoreClaim(StoredClaim {
            key: claim(1).key,
            ..claim(4)
        }),
        WriteOperation::StoreHost(host("i-2", HostState::Draining)),
        WriteOperation::StoreHost(host("i-3", HostState::Gone)),
    ];
    vec![batch(1, first), batch(2, second)]
}

/// What the batches leave behind.
fn expected() -> DurableState {
    let mut stored = DurableState::default();
    batches()
        .into_iter()
        .for_each(|batch| stored.apply(batch.operations));
    stored
}

fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/controller.redb")
}

/// All tables, row by row: claims as their fields, all else as bytes.
#[derive(Debug, PartialEq)]
struct Tables {
    names: Vec<String>,
    meta: Vec<(String, Vec<u8>)>,
    set_records: Vec<(u64, Vec<u8>)>,
    version_records: Vec<(u64, Vec<u8>)>,
    claims: Vec<(u64, ClaimRow)>,
    hosts: Vec<(String, Vec<u8>)>,
}

fn tables(file: &Path) -> Tables {
    let database = Database::open(file).expect("a file");
    let reading = database.begin_read().expect("readable");
    let mut names: Vec<String> = reading
        .list_tables()
        .expect("readable")
        .map(|table| table.name().to_string())
        .collect();
    names.sort();
    let by_word = |table: TableDefinition<&str, &[u8]>| -> Vec<(String, Vec<u8>)> {
        let table = reading.open_table(table).expect("there");
        let rows = table
            .iter()
            .expect("readable")
            .map(|row| row.expect("readable"));
        rows.map(|(key, value)| (key.value().to_string(), value.value().to_vec()))
            .collect()
    };
    let by_number = |table: TableDefinition<u64, &[u8]>| -> Vec<(u64, Vec<u8>)> {
        let table = reading.open_table(table).expect("there");
        let rows = table
            .iter()
            .expect("readable")
            .map(|row| row.expect("readable"));
        rows.map(|(key, value)| (key.value(), value.value().to_vec()))
            .collect()
    };
    let claims = reading.open_table(CLAIMS).expect("there");
    let claims = claims
        .iter()
        .expect("readable")
        .map(|row| row.expect("readable"));
    Tables {
        names,
        meta: by_word(META),
        set_records: by_number(SET_RECORDS),
        version_records: by_number(VERSION_RECORDS),
        claims: claims
            .map(|(place, claim)| (place.value(), claim.value()))
            .collect(),
        hosts: by_word(HOSTS),
    }
}

#[test]
fn a_state_file_of_the_earlier_build_is_read_as_the_same_state() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("controller.redb");
    std::fs::copy(fixture(), &file).expect("a copy");
    let (mut store, stored) = Store::open(&file).expect("a file of the present form");
    let mut wanted = expected();
    assert_eq!(stored, wanted);
    // It is written on, and read again with what was added.
    let added = claim(5);
    store
        .write(&[batch(3, vec![WriteOperation::StoreClaim(added)])])
        .expect("room");
    drop(store);
    let (_, again) = Store::open(&file).expect("a file of the present form");
    wanted.claims.push(added);
    assert_eq!(again, wanted);
}

#[test]
fn the_same_operations_make_the_same_bytes_in_every_table() {
    let folder = tempfile::tempdir().expect("a folder");
    let copy = folder.path().join("earlier.redb");
    std::fs::copy(fixture(), &copy).expect("a copy");
    let file = folder.path().join("controller.redb");
    let (mut store, _) = Store::open(&file).expect("a new file");
    for batch in batches() {
        store.write(&[batch]).expect("room");
    }
    drop(store);
    assert_eq!(tables(&file), tables(&copy));
}
