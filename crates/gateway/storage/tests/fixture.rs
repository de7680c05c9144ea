//! Compatibility with `fixtures/controller.redb`, a state file written by build a09c11f: this build loads the same
//! state, continues writing the file, and produces the same bytes in every table.

mod common;

use common::tables::{
    ClaimRow, HOSTS, META, SET_RECORDS, VERSION_RECORDS, claim_rows, read, remove_last_claim_row,
    rows_by_number, rows_by_text, table_names,
};
use common::{StateFile, batch, duty, epoch, prune, store_record, version, voting_set};
use rushcourse_consensus::{DurableState, StoredClaim, WriteOperation};
use rushcourse_messages::{AcceptorRecord, Ballot, HostRecord, HostState, Proposal};
use rushcourse_storage::Store;
use rushcourse_types::{
    CallSequence, ClaimId, Incarnation, KeyAlias, KeyDigest, Millis, NodeId, WallTime,
};
use std::path::{Path, PathBuf};

fn claim(number: u64) -> StoredClaim {
    StoredClaim {
        key: KeyDigest(u128::from(number) << 90 | 7),
        alias: None,
        id: ClaimId {
            node: NodeId(0x0a01_0022),
            incarnation: Incarnation(u64::MAX - 5),
            number,
        },
        claimed_at: WallTime(1_764_000_000_000 + number),
    }
}

fn claim_with_alias(number: u64) -> StoredClaim {
    let alias = KeyAlias {
        digest: KeyDigest(u128::from(number) << 80 | 9),
        is_shared: number.is_multiple_of(2),
    };
    StoredClaim {
        alias: Some(alias),
        ..claim(number)
    }
}

fn store_host(id: &str, state: HostState) -> WriteOperation {
    WriteOperation::StoreHost(HostRecord {
        id: id.into(),
        service: "wuno96b".into(),
        zone: "recife".into(),
        address: "10.128.0.9:8080".into(),
        slots: 4,
        state,
        sequence: CallSequence(300),
        warm_up: Millis(2_500),
        age: Millis(17),
    })
}

fn promise() -> AcceptorRecord {
    AcceptorRecord {
        promised: Ballot {
            round: 300,
            node: NodeId(0x0a01_0024),
            incarnation: Incarnation(u64::MAX - 6),
        },
        accepted: None,
        is_vote: false,
    }
}

fn vote() -> AcceptorRecord {
    let lower = Ballot {
        round: 2,
        node: NodeId(0x0a03_0025),
        incarnation: Incarnation(9),
    };
    AcceptorRecord {
        accepted: Some(Proposal {
            ballot: lower,
            value: b"{\"version\":9}"[..].into(),
        }),
        is_vote: true,
        ..promise()
    }
}

/// The batches that the fixture was written with. The second one removes and replaces rows of the first one.
fn batches() -> [Vec<WriteOperation>; 2] {
    let first = vec![
        WriteOperation::StoreVotingSet(voting_set(11, &[1, 2, 0x0a00_0001])),
        store_record(version(7), vote()),
        store_record(epoch(11), promise()),
        WriteOperation::StoreClaim(claim(1)),
        WriteOperation::StoreClaim(claim(2)),
        WriteOperation::StoreClaim(claim(3)),
        store_host("i-1", HostState::Ready),
        store_host("i-2", HostState::Ready),
        store_host("i-3", HostState::Ready),
    ];
    let second = vec![
        WriteOperation::StoreVotingSet(voting_set(12, &[1, 2, 0x0a00_0002])),
        WriteOperation::MarkStateComplete,
        store_record(version(9), vote()),
        store_record(epoch(13), promise()),
        prune(9, 12),
        WriteOperation::RemoveClaim(claim(2).key),
        WriteOperation::StoreClaim(StoredClaim {
            key: claim(1).key,
            ..claim(4)
        }),
        store_host("i-2", HostState::Draining),
        // Earlier releases removed the row of a host that was gone.
        WriteOperation::RemoveHost("i-3".into()),
    ];
    [first, second]
}

/// The state after both batches of the fixture.
fn expected() -> DurableState {
    let mut state = DurableState::default();
    for operations in batches() {
        state.apply(operations);
    }
    state
}

fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/controller.redb")
}

/// Copies the fixture, because opening a file may modify it.
fn copy_of_fixture() -> StateFile {
    let file = StateFile::new();
    std::fs::copy(fixture(), file.path()).expect("copy the fixture");
    file
}

/// Contents of all tables: claim rows as decoded fields, other rows as raw bytes.
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
    read(file, |transaction| Tables {
        names: table_names(transaction),
        meta: rows_by_text(transaction, META),
        set_records: rows_by_number(transaction, SET_RECORDS),
        version_records: rows_by_number(transaction, VERSION_RECORDS),
        claims: claim_rows(transaction),
        hosts: rows_by_text(transaction, HOSTS),
    })
}

#[test]
fn state_file_of_earlier_build_is_read_and_writable() {
    let file = copy_of_fixture();
    let (mut store, state) = Store::open(file.path()).expect("open a file of the current format");
    let mut expected = expected();
    assert_eq!(state, expected);

    // The file stays writable and the added claim is restored.
    let added = WriteOperation::StoreClaim(claim(5));
    store
        .write(&[batch(3, vec![added])])
        .expect("write succeeds");
    drop(store);
    let (_, reloaded) = Store::open(file.path()).expect("open a file of the current format");
    expected.claims.push(claim(5));
    assert_eq!(reloaded, expected);
}

/// Guards against a build that can't go on with a file that has no table of duty records yet.
#[test]
fn state_file_of_earlier_build_takes_duty_records() {
    let file = copy_of_fixture();
    let (mut store, _) = Store::open(file.path()).expect("open a file of the current format");
    let record = store_record(duty(1), vote());
    store
        .write(&[batch(3, vec![record.clone()])])
        .expect("write succeeds");
    drop(store);
    let (_, reloaded) = Store::open(file.path()).expect("open a file of the current format");
    let mut expected = expected();
    expected.apply(vec![record]);
    assert_eq!(reloaded, expected);
}

/// Guards against a build that can't go on with a file that has no table of aliases yet.
#[test]
fn state_file_of_earlier_build_takes_aliases() {
    let file = copy_of_fixture();
    let (mut store, _) = Store::open(file.path()).expect("open a file of the current format");
    let stored = [6, 7].map(|number| WriteOperation::StoreClaim(claim_with_alias(number)));
    let removed = WriteOperation::RemoveClaim(claim(6).key);
    let operations = [stored.to_vec(), vec![removed]].concat();
    store
        .write(&[batch(3, operations.clone())])
        .expect("write succeeds");
    drop(store);
    let (_, reloaded) = Store::open(file.path()).expect("open a file of the current format");
    let mut expected = expected();
    expected.apply(operations);
    assert_eq!(reloaded, expected);
}

/// Guards against a claim that gets the alias of another: an earlier build removes claims and leaves their aliases, and
/// uses their positions again.
#[test]
fn alias_left_behind_by_an_earlier_build_is_ignored() {
    let file = copy_of_fixture();
    let (mut store, _) = Store::open(file.path()).expect("open a file of the current format");
    let with_alias = WriteOperation::StoreClaim(claim_with_alias(6));
    store
        .write(&[batch(3, vec![with_alias])])
        .expect("write succeeds");
    drop(store);
    remove_last_claim_row(file.path());

    let (mut store, _) = Store::open(file.path()).expect("open a file of the current format");
    let without_alias = WriteOperation::StoreClaim(claim(7));
    store
        .write(&[batch(4, vec![without_alias])])
        .expect("write succeeds");
    drop(store);
    let (_, reloaded) = Store::open(file.path()).expect("open a file of the current format");
    let mut expected = expected();
    expected.claims.push(claim(7));
    assert_eq!(reloaded, expected);
}

#[test]
fn same_operations_produce_the_same_table_bytes() {
    let earlier = copy_of_fixture();
    let file = StateFile::new();
    let (mut store, _) = Store::open(file.path()).expect("create a state file");
    for (number, operations) in (1..).zip(batches()) {
        store
            .write(&[batch(number, operations)])
            .expect("write succeeds");
    }
    drop(store);
    assert_eq!(tables(file.path()), tables(earlier.path()));
}
