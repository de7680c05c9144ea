//! Upgrade of format 1 files, and rejection of damaged files and of unknown formats.

mod common;

use common::previous_format::{
    CURRENT, FileFormat, PREVIOUS, PreviousFile, SET, VALID, expected_state, file_format,
    upgraded_vote,
};
use common::tables::{
    CONFIGURATIONS, META, change, read, rows_by_number, rows_by_text, table_names,
};
use common::{StateFile, batch, version};
use rushcourse_consensus::{DurableState, StoredClaim, WriteOperation};
use rushcourse_messages::SlotRecord;
use rushcourse_storage::{StorageError, Store};
use rushcourse_types::hash::hash64;
use rushcourse_types::{ClaimId, Incarnation, KeyDigest, NodeId, WallTime};
use std::path::Path;

/// Returns the error of opening a file; panics if it opens.
fn refusal(file: &Path) -> StorageError {
    let Err(report) = Store::open(file) else {
        panic!("the file was opened")
    };
    *report.current_context()
}

/// Text of the table names and of the rows in the metadata and configurations tables.
fn dump(file: &Path) -> String {
    read(file, |transaction| {
        let tables = table_names(transaction);
        let meta = rows_by_text(transaction, META);
        let configurations = rows_by_number(transaction, CONFIGURATIONS);
        format!("{tables:?} {meta:?} {configurations:?}")
    })
}

#[test]
fn format_1_file_is_read_and_upgraded() {
    let file = StateFile::new();
    VALID.make(file.path());
    assert_eq!(file_format(file.path()), PREVIOUS);
    let (store, state) = Store::open(file.path()).expect("open a file of format 1");
    assert_eq!(state, expected_state());
    drop(store);
    assert_eq!(file_format(file.path()), CURRENT);
}

/// Claim positions survive the upgrade, so claims can be removed and replaced afterwards.
#[test]
fn upgraded_file_accepts_claim_changes() {
    let file = StateFile::new();
    VALID.make(file.path());
    drop(Store::open(file.path()).expect("open a file of format 1"));
    let (mut store, state) = Store::open(file.path()).expect("open a file of the current format");
    assert_eq!(state, expected_state());

    let store_claim = |key: u128| {
        WriteOperation::StoreClaim(StoredClaim {
            key: KeyDigest(key),
            alias: None,
            id: ClaimId {
                node: NodeId(1),
                incarnation: Incarnation(2),
                number: 3,
            },
            claimed_at: WallTime(4),
        })
    };
    let operations = vec![
        WriteOperation::RemoveClaim(KeyDigest(4 << 100)),
        store_claim(1),
        store_claim(9 << 100),
    ];
    store
        .write(&[batch(1, operations.clone())])
        .expect("write succeeds");
    drop(store);

    let mut expected = expected_state();
    expected.apply(operations);
    let (_, state) = Store::open(file.path()).expect("open a file of the current format");
    assert_eq!(state, expected);
}

#[test]
fn format_1_file_without_configuration_gets_no_record() {
    let file = StateFile::new();
    let without_configuration = PreviousFile {
        configurations: &[],
        ..VALID
    };
    without_configuration.make(file.path());
    let (store, state) = Store::open(file.path()).expect("open a file of format 1");
    let expected = DurableState {
        records: vec![],
        ..expected_state()
    };
    assert_eq!(state, expected);
    drop(store);
    assert_eq!(file_format(file.path()), CURRENT);
}

#[test]
fn upgrade_ballot_depends_on_configuration_text() {
    let upgraded = |text: &'static [u8]| {
        let file = StateFile::new();
        VALID.make(file.path());
        change(file.path(), |transaction| {
            let mut configurations = transaction.open_table(CONFIGURATIONS).expect("exists");
            configurations.insert(5, text).expect("write succeeds");
        });
        let (_, state) = Store::open(file.path()).expect("open a file of format 1");
        state.records
    };
    let (one, same, other) = (upgraded(b"one"), upgraded(b"one"), upgraded(b"other"));
    let expected = SlotRecord {
        slot: version(5),
        record: upgraded_vote(b"one", hash64(b"one", 13)),
    };
    assert_eq!(one, vec![expected]);
    assert_eq!(one, same);
    assert_ne!(one[0].record.promised, other[0].record.promised);
}

#[test]
fn unknown_format_is_rejected_and_left_unchanged() {
    // The voting set isn't decoded if the format is unknown, so undecodable bytes give the same error.
    for (format, set) in [(0, SET), (3, SET), (3, &[0xff_u8; 3][..]), (u64::MAX, SET)] {
        let file = StateFile::new();
        let unknown = PreviousFile {
            format,
            set,
            ..VALID
        };
        unknown.make(file.path());
        let before = dump(file.path());
        assert_eq!(refusal(file.path()), StorageError::UnknownFormat(format));
        assert_eq!(dump(file.path()), before);
    }
}

#[test]
fn damaged_format_1_file_is_rejected_and_left_unchanged() {
    // Truncated, with trailing bytes, undecodable, and empty.
    for set in [&SET[..SET.len() - 1], &[1, 1, 1, 0], &[0xff; 12], &[]] {
        let file = StateFile::new();
        PreviousFile { set, ..VALID }.make(file.path());
        let before = dump(file.path());
        assert_eq!(refusal(file.path()), StorageError::Unreadable);
        assert_eq!(dump(file.path()), before);
    }
}

#[test]
fn format_1_file_without_configurations_table_is_rejected() {
    let file = StateFile::new();
    VALID.make(file.path());
    change(file.path(), |transaction| {
        transaction.delete_table(CONFIGURATIONS).expect("exists");
    });
    assert_eq!(refusal(file.path()), StorageError::Unreadable);
    let unchanged = FileFormat {
        number: 1,
        has_configurations: false,
    };
    assert_eq!(file_format(file.path()), unchanged);
}
