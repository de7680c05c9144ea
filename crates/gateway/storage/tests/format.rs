//! The present form of the file, byte by byte. A type that changes its encoding breaks these tests: the file's form then
//! gets a new number and an upgrade, or files that are already on disks would be read as something else.

mod common;

use common::batch;
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition, TableHandle};
use rushcourse_consensus::WriteOperation;
use rushcourse_messages::{
    AcceptorRecord, Ballot, HostRecord, HostState, Proposal, Slot, SlotRecord, VotingSet,
};
use rushcourse_storage::{StorageError, Store};
use rushcourse_types::{CallSequence, ConfigurationVersion, Epoch, Incarnation, Millis, NodeId};
use std::path::Path;

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const SET_RECORDS: TableDefinition<u64, &[u8]> = TableDefinition::new("set_records");
const VERSION_RECORDS: TableDefinition<u64, &[u8]> = TableDefinition::new("version_records");
const HOSTS: TableDefinition<&str, &[u8]> = TableDefinition::new("hosts");

/// Set 300 of 1, 2 and 10.0.0.1.
const SET: &[u8] = &[0xac, 0x02, 3, 1, 2, 0x81, 0x80, 0x80, 0x50];
/// Promised: round 300, node 7, life 8. Accepted: round 2, node 7, life 9, the value "abc". It counts.
const VOTE: &[u8] = &[0xac, 0x02, 7, 8, 1, 2, 7, 9, 3, b'a', b'b', b'c', 1];
/// Promised: round 1, node 2, life 3. Nothing accepted.
const PROMISE: &[u8] = &[1, 2, 3, 0, 0];
/// The host "i-1" of service "s", zone "z", address "a:80", with 4 slots, draining, sequence 300, cold 2 ms, age 1 ms.
const HOST: &[u8] = &[
    3, b'i', b'-', b'1', 1, b's', 1, b'z', 4, b'a', b':', b'8', b'0', 4, 1, 0xac, 0x02, 2, 1,
];

fn ops() -> Vec<WriteOperation> {
    let vote = AcceptorRecord {
        promised: Ballot {
            round: 300,
            node: NodeId(7),
            incarnation: Incarnation(8),
        },
        accepted: Some(Proposal {
            ballot: Ballot {
                round: 2,
                node: NodeId(7),
                incarnation: Incarnation(9),
            },
            value: b"abc"[..].into(),
        }),
        is_vote: true,
    };
    let promise = AcceptorRecord {
        promised: Ballot {
            round: 1,
            node: NodeId(2),
            incarnation: Incarnation(3),
        },
        accepted: None,
        is_vote: false,
    };
    let host = HostRecord {
        id: "i-1".into(),
        service: "s".into(),
        zone: "z".into(),
        address: "a:80".into(),
        slots: 4,
        state: HostState::Draining,
        sequence: CallSequence(300),
        warm_up: Millis(2),
        age: Millis(1),
    };
    vec![
        WriteOperation::StoreVotingSet(VotingSet {
            epoch: Epoch(300),
            members: vec![NodeId(1), NodeId(2), NodeId(0x0a00_0001)],
        }),
        WriteOperation::MarkStateComplete,
        WriteOperation::StoreRecord(SlotRecord {
            slot: Slot::Configuration(ConfigurationVersion(9)),
            record: vote,
        }),
        WriteOperation::StoreRecord(SlotRecord {
            slot: Slot::VotingSet(Epoch(301)),
            record: promise,
        }),
        WriteOperation::StoreHost(host),
    ]
}

fn make(file: &Path) {
    let (mut store, _) = Store::open(file).expect("a new file");
    store.write(&[batch(1, ops())]).expect("room");
}

fn change(file: &Path, change: impl FnOnce(&redb::WriteTransaction)) {
    let database = Database::open(file).expect("a file");
    let writing = database.begin_write().expect("a transaction");
    change(&writing);
    writing.commit().expect("room");
}

#[test]
fn the_file_holds_these_bytes() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("controller.redb");
    make(&file);
    let database = Database::open(&file).expect("a file");
    let reading = database.begin_read().expect("readable");
    let mut tables: Vec<String> = reading
        .list_tables()
        .expect("readable")
        .map(|t| t.name().to_string())
        .collect();
    tables.sort();
    assert_eq!(
        tables,
        ["claims", "hosts", "meta", "set_records", "version_records"]
    );
    let meta = reading.open_table(META).expect("meta");
    let value = |key: &str| meta.get(key).expect("readable").map(|v| v.value().to_vec());
    assert_eq!(value("format"), Some(vec![0, 0, 0, 0, 0, 0, 0, 2]));
    assert_eq!(value("set"), Some(SET.to_vec()));
    assert_eq!(value("remembers"), Some(vec![1]));
    let rows = |table: TableDefinition<u64, &[u8]>| -> Vec<(u64, Vec<u8>)> {
        let table = reading.open_table(table).expect("there");
        let rows = table
            .iter()
            .expect("readable")
            .map(|row| row.expect("readable"));
        rows.map(|row| (row.0.value(), row.1.value().to_vec()))
            .collect()
    };
    assert_eq!(rows(SET_RECORDS), [(301, PROMISE.to_vec())]);
    assert_eq!(rows(VERSION_RECORDS), [(9, VOTE.to_vec())]);
    let hosts = reading.open_table(HOSTS).expect("hosts");
    assert_eq!(
        hosts
            .get("i-1")
            .expect("readable")
            .map(|v| v.value().to_vec()),
        Some(HOST.to_vec())
    );
}

/// Without a promise or a vote that it gave, a replica could vote again: it doesn't start.
#[test]
fn a_record_or_a_set_that_cannot_be_read_is_told() {
    let damages: [&[u8]; 4] = [
        &VOTE[..VOTE.len() - 1],
        &[],
        &[0xff; 20],
        &[1, 2, 3, 0, 0, 0],
    ];
    for bytes in damages {
        for table in [SET_RECORDS, VERSION_RECORDS] {
            let folder = tempfile::tempdir().expect("a folder");
            let file = folder.path().join("controller.redb");
            make(&file);
            change(&file, |w| {
                w.open_table(table)
                    .expect("there")
                    .insert(9, bytes)
                    .expect("room");
            });
            let Err(report) = Store::open(&file) else {
                panic!("{bytes:?} was taken")
            };
            assert!(
                matches!(report.current_context(), StorageError::Unreadable),
                "{report:?}"
            );
        }
    }
    for bytes in [&SET[..SET.len() - 1], &[1, 1, 1, 0], &[]] {
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("controller.redb");
        make(&file);
        change(&file, |w| {
            w.open_table(META)
                .expect("there")
                .insert("set", bytes)
                .expect("room");
        });
        let Err(report) = Store::open(&file) else {
            panic!("{bytes:?} was taken")
        };
        assert!(
            matches!(report.current_context(), StorageError::Unreadable),
            "{report:?}"
        );
    }
}
