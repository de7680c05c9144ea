//! Files of format 1 are read and turned into the present format; files of formats that are not known are left alone.

mod common;

use common::previous_format::{
    FormatOfFile, PRESENT, PREVIOUS, PreviousFile, SET, VALID, expected_state, format_of_file,
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

/// Why a file is not opened.
fn refusal(file: &Path) -> StorageError {
    let Err(report) = Store::open(file) else {
        panic!("it was opened")
    };
    *report.current_context()
}

/// All that the tables of metadata and configurations hold, and the names of all tables.
fn dump(file: &Path) -> String {
    read(file, |reading| {
        let tables = table_names(reading);
        let meta = rows_by_text(reading, META);
        let configurations = rows_by_number(reading, CONFIGURATIONS);
        format!("{tables:?} {meta:?} {configurations:?}")
    })
}

#[test]
fn a_file_of_format_1_is_read_and_upgraded() {
    let file = StateFile::new();
    VALID.make(file.path());
    assert_eq!(format_of_file(file.path()), PREVIOUS);
    let (store, state) = Store::open(file.path()).expect("a file of format 1");
    assert_eq!(state, expected_state());
    drop(store);
    assert_eq!(format_of_file(file.path()), PRESENT);
}

/// Claims stand where they stood, in their order: they are removed and replaced as in any other file.
#[test]
fn an_upgraded_file_is_as_any_other() {
    let file = StateFile::new();
    VALID.make(file.path());
    drop(Store::open(file.path()).expect("a file of format 1"));
    let (mut store, state) = Store::open(file.path()).expect("a file of the present format");
    assert_eq!(state, expected_state());

    let store_claim = |key: u128| {
        WriteOperation::StoreClaim(StoredClaim {
            key: KeyDigest(key),
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
    store.write(&[batch(1, operations.clone())]).expect("room");
    drop(store);

    let mut expected = expected_state();
    expected.apply(operations);
    let (_, state) = Store::open(file.path()).expect("a file of the present format");
    assert_eq!(state, expected);
}

#[test]
fn a_file_of_format_1_without_a_configuration_is_upgraded_to_no_record() {
    let file = StateFile::new();
    let without_configuration = PreviousFile {
        configurations: &[],
        ..VALID
    };
    without_configuration.make(file.path());
    let (store, state) = Store::open(file.path()).expect("a file of format 1");
    let expected = DurableState {
        records: vec![],
        ..expected_state()
    };
    assert_eq!(state, expected);
    drop(store);
    assert_eq!(format_of_file(file.path()), PRESENT);
}

#[test]
fn two_texts_under_one_number_are_votes_under_two_ballots_and_one_text_is_one_vote() {
    let upgraded = |text: &'static [u8]| {
        let file = StateFile::new();
        VALID.make(file.path());
        change(file.path(), |writing| {
            let mut configurations = writing.open_table(CONFIGURATIONS).expect("there");
            configurations.insert(5, text).expect("room");
        });
        let (_, state) = Store::open(file.path()).expect("a file of format 1");
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
fn a_file_of_a_format_that_is_not_known_is_refused_and_left_as_it_is() {
    // What a later format means by its tables is not asked: its set need be none to this program.
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
fn a_damaged_file_of_format_1_is_refused_and_left_as_it_is() {
    // Cut short, with bytes left over, no set at all.
    for set in [&SET[..SET.len() - 1], &[1, 1, 1, 0], &[0xff; 12], &[]] {
        let file = StateFile::new();
        PreviousFile { set, ..VALID }.make(file.path());
        let before = dump(file.path());
        assert_eq!(refusal(file.path()), StorageError::Unreadable);
        assert_eq!(dump(file.path()), before);
    }
}

#[test]
fn a_file_of_format_1_that_lacks_its_configurations_is_refused() {
    let file = StateFile::new();
    VALID.make(file.path());
    change(file.path(), |writing| {
        writing.delete_table(CONFIGURATIONS).expect("there");
    });
    assert_eq!(refusal(file.path()), StorageError::Unreadable);
    let unchanged = FormatOfFile {
        number: 1,
        has_configurations: false,
    };
    assert_eq!(format_of_file(file.path()), unchanged);
}
