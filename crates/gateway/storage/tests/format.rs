//! Checks the bytes of the current file format. A change of an encoding fails here; it needs a new format number and an
//! upgrade of existing files.

mod common;

use common::tables::{
    DUTY_RECORDS, HOSTS, META, SET_RECORDS, VERSION_RECORDS, change, read, rows_by_number,
    table_names,
};
use common::{StateFile, batch, duty, epoch, store_record, version, voting_set};
use rushcourse_consensus::WriteOperation;
use rushcourse_messages::{AcceptorRecord, Ballot, HostRecord, HostState, Proposal};
use rushcourse_storage::{StorageError, Store};
use rushcourse_types::{CallSequence, Generation, Incarnation, Millis, NodeId};
use std::path::Path;

/// Encoded voting set of epoch 300 with members 1, 2 and 10.0.0.1.
const SET: &[u8] = &[0xac, 0x02, 3, 1, 2, 0x81, 0x80, 0x80, 0x50];
/// Encoded vote: promised ballot (round 300, node 7, incarnation 8), accepted ballot (2, 7, 9) with value "abc".
const VOTE: &[u8] = &[0xac, 0x02, 7, 8, 1, 2, 7, 9, 3, b'a', b'b', b'c', 1];
/// Encoded promise of the ballot (round 1, node 2, incarnation 3) without an accepted value.
const PROMISE: &[u8] = &[1, 2, 3, 0, 0];
/// Encoded draining host "i-1": service "s", zone "z", address "a:80", 4 slots, sequence 300, warm-up 2 ms, age 1 ms.
const HOST: &[u8] = &[
    3, b'i', b'-', b'1', 1, b's', 1, b'z', 4, b'a', b':', b'8', b'0', 4, 1, 0xac, 0x02, 2, 1,
];

fn vote() -> AcceptorRecord {
    let ballot = |round, incarnation| Ballot {
        round,
        node: NodeId(7),
        incarnation: Incarnation(incarnation),
    };
    AcceptorRecord {
        promised: ballot(300, 8),
        accepted: Some(Proposal {
            ballot: ballot(2, 9),
            value: b"abc"[..].into(),
        }),
        is_vote: true,
    }
}

fn promise() -> AcceptorRecord {
    AcceptorRecord {
        promised: Ballot {
            round: 1,
            node: NodeId(2),
            incarnation: Incarnation(3),
        },
        accepted: None,
        is_vote: false,
    }
}

fn host() -> HostRecord {
    HostRecord {
        id: "i-1".into(),
        service: "s".into(),
        zone: "z".into(),
        address: "a:80".into(),
        slots: 4,
        state: HostState::Draining,
        sequence: CallSequence(300),
        warm_up: Millis(2),
        age: Millis(1),
    }
}

fn make(file: &Path) {
    let operations = vec![
        WriteOperation::StoreVotingSet(voting_set(300, &[1, 2, 0x0a00_0001])),
        WriteOperation::MarkStateComplete,
        store_record(version(9), vote()),
        store_record(epoch(301), promise()),
        WriteOperation::StoreHost(host()),
        WriteOperation::StoreGeneration(Generation(0x0102_0304)),
    ];
    let (mut store, _) = Store::open(file).expect("create a state file");
    store
        .write(&[batch(1, operations)])
        .expect("write succeeds");
}

fn assert_unreadable(file: &Path, bytes: &[u8]) {
    let Err(report) = Store::open(file) else {
        panic!("{bytes:?} was accepted")
    };
    assert!(
        matches!(report.current_context(), StorageError::Unreadable),
        "{report:?}"
    );
}

#[test]
fn current_format_has_expected_bytes() {
    let file = StateFile::new();
    make(file.path());
    read(file.path(), |transaction| {
        assert_eq!(
            table_names(transaction),
            ["claims", "hosts", "meta", "set_records", "version_records"]
        );
        let meta = transaction.open_table(META).expect("open table meta");
        let value = |key: &str| meta.get(key).expect("readable").map(|v| v.value().to_vec());
        assert_eq!(value("format"), Some(vec![0, 0, 0, 0, 0, 0, 0, 2]));
        assert_eq!(value("set"), Some(SET.to_vec()));
        assert_eq!(value("remembers"), Some(vec![1]));
        assert_eq!(value("generation"), Some(vec![0, 0, 0, 0, 1, 2, 3, 4]));
        assert_eq!(
            rows_by_number(transaction, SET_RECORDS),
            [(301, PROMISE.to_vec())]
        );
        assert_eq!(
            rows_by_number(transaction, VERSION_RECORDS),
            [(9, VOTE.to_vec())]
        );
        let hosts = transaction.open_table(HOSTS).expect("open table hosts");
        let host = hosts.get("i-1").expect("readable");
        assert_eq!(
            host.map(|bytes| bytes.value().to_vec()),
            Some(HOST.to_vec())
        );
    });
}

/// Guards against a change of the table of duty records, which later builds have to read.
#[test]
fn duty_records_have_expected_bytes() {
    let file = StateFile::new();
    make(file.path());
    let (mut store, _) = Store::open(file.path()).expect("open the state file");
    let operations = vec![
        store_record(duty(44), vote()),
        store_record(duty(45), promise()),
    ];
    store
        .write(&[batch(2, operations)])
        .expect("write succeeds");
    drop(store);
    read(file.path(), |transaction| {
        assert_eq!(
            rows_by_number(transaction, DUTY_RECORDS),
            [(44, VOTE.to_vec()), (45, PROMISE.to_vec())]
        );
    });
}

/// A replica that skipped a damaged promise or vote could vote twice, so opening must fail.
#[test]
fn damaged_acceptor_record_is_rejected() {
    let damages: [&[u8]; 4] = [
        &VOTE[..VOTE.len() - 1],
        &[],
        &[0xff; 20],
        &[1, 2, 3, 0, 0, 0],
    ];
    for bytes in damages {
        for table in [SET_RECORDS, VERSION_RECORDS, DUTY_RECORDS] {
            let file = StateFile::new();
            make(file.path());
            change(file.path(), |transaction| {
                let mut table = transaction.open_table(table).expect("exists");
                table.insert(9, bytes).expect("write succeeds");
            });
            assert_unreadable(file.path(), bytes);
        }
    }
}

#[test]
fn damaged_voting_set_is_rejected() {
    for bytes in [&SET[..SET.len() - 1], &[1, 1, 1, 0], &[]] {
        let file = StateFile::new();
        make(file.path());
        change(file.path(), |transaction| {
            let mut meta = transaction.open_table(META).expect("exists");
            meta.insert("set", bytes).expect("write succeeds");
        });
        assert_unreadable(file.path(), bytes);
    }
}
