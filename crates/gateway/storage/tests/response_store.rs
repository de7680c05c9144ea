//! Shards of responses on disk: restarts, limits and damaged files.

use rushcourse_messages::{MAX_PART_BYTES, ResponsePart};
use rushcourse_storage::{PartQuery, ResponseStore, ResponseStoreLimits, StoredPart};
use rushcourse_types::{ClaimId, Incarnation, KeyDigest, NodeId, ResponseStoreId, Timestamp};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

const LIMITS: ResponseStoreLimits = ResponseStoreLimits {
    retention: Duration::from_secs(70),
    max_bytes: 1_000_000,
};
const KEY: KeyDigest = KeyDigest(5);
const FIRST_ID: ResponseStoreId = ResponseStoreId(11);
const SECOND_ID: ResponseStoreId = ResponseStoreId(12);

fn file(directory: &tempfile::TempDir) -> PathBuf {
    directory.path().join("responses.redb")
}

fn directory() -> tempfile::TempDir {
    tempfile::tempdir().expect("a temporary directory")
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

fn open(path: &Path, new_id: ResponseStoreId) -> ResponseStore {
    ResponseStore::open(path, LIMITS, new_id, at(1)).expect("the file opens")
}

fn claim(number: u64) -> ClaimId {
    ClaimId {
        node: NodeId(9),
        incarnation: Incarnation(1),
        number,
    }
}

/// The first part of a shard of two parts.
fn part(number: u64, bytes: usize) -> StoredPart {
    StoredPart {
        key: KEY,
        claim: claim(number),
        part: ResponsePart {
            offset: 0,
            total_bytes: 2 * bytes as u32,
            bytes: vec![number as u8; bytes].into(),
        },
    }
}

fn query(number: u64) -> PartQuery {
    PartQuery {
        key: KEY,
        claim: claim(number),
        offset: 0,
    }
}

fn read(store: &ResponseStore, query: PartQuery) -> Option<ResponsePart> {
    store.read(query).expect("the file is readable")
}

#[test]
fn parts_survive_a_restart() {
    let directory = directory();
    let path = file(&directory);
    let mut store = open(&path, FIRST_ID);
    store.write(at(1), &[part(1, 100)]).expect("a write");
    drop(store);
    let store = open(&path, SECOND_ID);
    assert_eq!(store.id(), FIRST_ID, "the file is the same");
    assert_eq!((store.part_count(), store.stored_bytes()), (1, 100));
    assert_eq!(read(&store, query(1)), Some(part(1, 100).part));
    let mode = path.metadata().expect("the file exists").permissions();
    assert_eq!(mode.mode() & 0o777, 0o600, "responses hold personal data");
}

/// Guards against a response that another tenant's operation would get.
#[test]
fn part_is_read_only_with_its_key_claim_and_offset() {
    let directory = directory();
    let mut store = open(&file(&directory), FIRST_ID);
    store.write(at(1), &[part(1, 100)]).expect("a write");
    let other_key = PartQuery {
        key: KeyDigest(6),
        ..query(1)
    };
    let other_incarnation = PartQuery {
        claim: ClaimId {
            incarnation: Incarnation(2),
            ..claim(1)
        },
        ..query(1)
    };
    let other_offset = PartQuery {
        offset: 100,
        ..query(1)
    };
    for other in [other_key, other_incarnation, other_offset, query(2)] {
        assert_eq!(read(&store, other), None, "{other:?}");
    }
}

#[test]
fn parts_expire_also_where_nothing_is_written() {
    let directory = directory();
    let path = file(&directory);
    let mut store = open(&path, FIRST_ID);
    store.write(at(1), &[part(1, 100)]).expect("a write");
    store.write(at(30), &[part(2, 100)]).expect("a write");
    assert!(!store.has_expired(at(70)));
    assert!(store.has_expired(at(71)));
    store.write(at(71), &[]).expect("a write");
    assert_eq!(read(&store, query(1)), None);
    assert!(read(&store, query(2)).is_some());
    drop(store);
    // The age of a part is not known after a restart, so it is kept for another retention at most.
    let mut store = open(&path, FIRST_ID);
    assert!(!store.has_expired(at(70)));
    store.write(at(71), &[]).expect("a write");
    assert_eq!((store.part_count(), store.stored_bytes()), (0, 0));
}

#[test]
fn oldest_parts_make_room_for_new_ones() {
    let directory = directory();
    let mut store = open(&file(&directory), FIRST_ID);
    let room = LIMITS.max_bytes / MAX_PART_BYTES as u64;
    for number in 1..=room + 10 {
        let new = part(number, MAX_PART_BYTES);
        store.write(at(1), &[new]).expect("a write");
        assert!(store.stored_bytes() <= LIMITS.max_bytes);
    }
    assert_eq!(store.part_count() as u64, room);
    assert_eq!(read(&store, query(10)), None);
    assert!(read(&store, query(11)).is_some());
    assert!(read(&store, query(room + 10)).is_some());
}

/// Guards against a controller that stores nothing any more because its file was damaged.
#[test]
fn damaged_file_is_replaced() {
    let directory = directory();
    let path = file(&directory);
    std::fs::write(&path, vec![0x5a; 10_000]).expect("a file");
    let mut store = open(&path, SECOND_ID);
    assert_eq!(store.id(), SECOND_ID, "gateways have to send all again");
    store.write(at(1), &[part(1, 100)]).expect("a write");
    assert!(read(&store, query(1)).is_some());
}
