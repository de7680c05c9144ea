//! Files of form 1, as earlier builds wrote them, are read and turned into the present form, also through losses of
//! power; files of forms that are not known are left alone.

mod common;
mod power;

use common::batch;
use power::Disk;
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition, TableHandle};
use rushcourse_consensus::{DurableState, StoredClaim, WriteOperation};
use rushcourse_messages::{
    AcceptorRecord, Ballot, ClaimId, HostRecord, HostState, Proposal, Slot, SlotRecord, VotingSet,
};
use rushcourse_storage::{StorageError, Store};
use rushcourse_types::hash::hash64;
use rushcourse_types::{
    CallSequence, ConfigurationVersion, Epoch, Incarnation, KeyDigest, Millis, NodeId, WallTime,
};
use std::path::Path;

// The tables of form 1, as its programs defined them.
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const CONFIGURATIONS: TableDefinition<u64, &[u8]> = TableDefinition::new("configurations");
const CLAIMS: TableDefinition<u64, (u128, u32, u64, u64, u64)> = TableDefinition::new("claims");
const HOSTS: TableDefinition<&str, &[u8]> = TableDefinition::new("hosts");

/// The set 300 of 1, 2 and 10.0.0.1, byte by byte: nothing that encodes today has a part in it.
const SET: &[u8] = &[0xac, 0x02, 3, 1, 2, 0x81, 0x80, 0x80, 0x50];
/// The host "i-1" of service "s", zone "z", address "a:80", with 4 slots, ready, sequence 300, cold for 2 ms, age 1 ms.
const HOST: &[u8] = &[
    3, b'i', b'-', b'1', 1, b's', 1, b'z', 4, b'a', b':', b'8', b'0', 4, 0, 0xac, 0x02, 2, 1,
];

const OLDER: &[u8] = b"an older configuration";
const NEWEST: &[u8] = b"{\"version\": 5}";
/// Digest of `NEWEST` with seed 13, computed apart from the program (FNV-1a and its last mix).
const NEWEST_DIGEST: u64 = 0x53a8_d65e_07bd_bb8f;

/// What a test's file of form 1 holds.
#[derive(Clone, Copy)]
struct Earlier {
    format: u64,
    set: &'static [u8],
    configurations: &'static [(u64, &'static [u8])],
}

const WHOLE: Earlier = Earlier {
    format: 1,
    set: SET,
    configurations: &[(4, OLDER), (5, NEWEST)],
};

impl Earlier {
    fn write(&self, database: &Database) {
        let writing = database.begin_write().expect("a transaction");
        {
            let mut meta = writing.open_table(META).expect("meta");
            meta.insert("format", self.format.to_be_bytes().as_slice())
                .expect("room");
            meta.insert("set", self.set).expect("room");
            meta.insert("remembers", [1].as_slice()).expect("room");
            let mut configurations = writing.open_table(CONFIGURATIONS).expect("configurations");
            for (version, text) in self.configurations {
                configurations.insert(version, *text).expect("room");
            }
            let mut claims = writing.open_table(CLAIMS).expect("claims");
            for place in [3, 4, 9] {
                claims
                    .insert(
                        place,
                        (u128::from(place) << 100, 7, 8, place, 1_000 + place),
                    )
                    .expect("room");
            }
            writing
                .open_table(HOSTS)
                .expect("hosts")
                .insert("i-1", HOST)
                .expect("room");
        }
        writing.commit().expect("room");
    }

    fn make(&self, file: &Path) {
        self.write(&Database::create(file).expect("a new file"));
    }
}

fn vote(text: &[u8], incarnation: u64) -> AcceptorRecord {
    let ballot = Ballot {
        round: 0,
        node: NodeId(0),
        incarnation: Incarnation(incarnation),
    };
    let accepted = Some(Proposal {
        ballot,
        value: text.into(),
    });
    AcceptorRecord {
        promised: ballot,
        accepted,
        is_vote: true,
    }
}

/// What `WHOLE` holds, in today's terms.
fn expected() -> DurableState {
    let claim = |number: u64| {
        let id = ClaimId {
            node: NodeId(7),
            incarnation: Incarnation(8),
            number,
        };
        StoredClaim {
            key: KeyDigest(u128::from(number) << 100),
            id,
            claimed_at: WallTime(1_000 + number),
        }
    };
    let host = HostRecord {
        id: "i-1".into(),
        service: "s".into(),
        zone: "z".into(),
        address: "a:80".into(),
        slots: 4,
        state: HostState::Ready,
        sequence: CallSequence(300),
        warm_up: Millis(2),
        age: Millis(1),
    };
    DurableState {
        voting_set: VotingSet {
            epoch: Epoch(300),
            members: vec![NodeId(1), NodeId(2), NodeId(0x0a00_0001)],
        },
        has_complete_state: true,
        records: vec![SlotRecord {
            slot: Slot::Configuration(ConfigurationVersion(5)),
            record: vote(NEWEST, NEWEST_DIGEST),
        }],
        claims: [3, 4, 9].map(claim).to_vec(),
        hosts: vec![host],
    }
}

/// The form of a file, and whether the table of configurations is there.
fn form(database: &Database) -> (u64, bool) {
    let reading = database.begin_read().expect("readable");
    let meta = reading.open_table(META).expect("meta");
    let bytes = meta.get("format").expect("readable").expect("a form");
    let form = u64::from_be_bytes(bytes.value().try_into().expect("eight bytes"));
    let tables = reading.list_tables().expect("readable");
    (
        form,
        tables.into_iter().any(|t| t.name() == "configurations"),
    )
}

fn form_of_file(file: &Path) -> (u64, bool) {
    form(&Database::open(file).expect("a file"))
}

#[test]
fn a_file_of_form_1_is_read_and_upgraded() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("controller.redb");
    WHOLE.make(&file);
    assert_eq!(form_of_file(&file), (1, true));
    let (store, stored) = Store::open(&file).expect("a file of form 1");
    assert_eq!(stored, expected());
    drop(store);
    assert_eq!(form_of_file(&file), (2, false));
    // It is as any other file from then on: claims stand where they stood, in their order.
    let (mut store, stored) = Store::open(&file).expect("a file of the present form");
    assert_eq!(stored, expected());
    let claim = |key: u128| {
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
    let ops = vec![
        WriteOperation::RemoveClaim(KeyDigest(4 << 100)),
        claim(1),
        claim(9 << 100),
    ];
    store.write(&[batch(1, ops.clone())]).expect("room");
    drop(store);
    let mut wanted = expected();
    wanted.apply(ops);
    let (_, stored) = Store::open(&file).expect("a file of the present form");
    assert_eq!(stored, wanted);
}

#[test]
fn a_file_of_form_1_without_a_configuration_is_upgraded_to_no_record() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("controller.redb");
    Earlier {
        configurations: &[],
        ..WHOLE
    }
    .make(&file);
    let (store, stored) = Store::open(&file).expect("a file of form 1");
    assert_eq!(
        stored,
        DurableState {
            records: vec![],
            ..expected()
        }
    );
    drop(store);
    assert_eq!(form_of_file(&file), (2, false));
}

#[test]
fn two_texts_under_one_number_are_votes_under_two_ballots_and_one_text_is_one_vote() {
    let record = |text: &'static [u8]| {
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("controller.redb");
        let database = Database::create(&file).expect("a new file");
        WHOLE.write(&database);
        let writing = database.begin_write().expect("a transaction");
        writing
            .open_table(CONFIGURATIONS)
            .expect("there")
            .insert(5, text)
            .expect("room");
        writing.commit().expect("room");
        drop(database);
        Store::open(&file).expect("a file of form 1").1.records
    };
    let (one, same, other) = (record(b"one"), record(b"one"), record(b"other"));
    assert_eq!(
        one,
        vec![SlotRecord {
            slot: Slot::Configuration(ConfigurationVersion(5)),
            record: vote(b"one", hash64(b"one", 13))
        }]
    );
    assert_eq!(one, same);
    assert_ne!(one[0].record.promised, other[0].record.promised);
}

/// A form 1 file on a disk in memory; closed in order, or left as its program was killed.
fn earlier_disk(closed: bool) -> Vec<u8> {
    let disk = Disk::default();
    let database = Database::builder()
        .create_with_backend(disk.clone())
        .expect("an empty disk");
    WHOLE.write(&database);
    if closed {
        drop(database)
    } else {
        std::mem::forget(database)
    }
    disk.at(|p| p.synced.clone())
}

/// Opens the disk, and ends there with nothing tidied up; whether opening was told as done.
fn open_and_end(disk: &Disk) -> bool {
    let over = disk.clone();
    let Ok((store, stored)) = Store::open_over(move || over.clone()) else {
        return false;
    };
    assert_eq!(stored, expected());
    std::mem::forget(store);
    true
}

/// The form that a disk has, seen on a copy of it.
fn form_of_disk(disk: &Disk) -> (u64, bool) {
    let copy = Disk::holding(disk.at(|p| p.seen.clone()));
    form(
        &Database::builder()
            .create_with_backend(copy)
            .expect("a file"),
    )
}

fn power_lost_at_every_operation_of_the_upgrade(closed: bool) {
    let earlier = earlier_disk(closed);
    let whole = Disk::holding(earlier.clone());
    assert!(open_and_end(&whole));
    let operations = whole.at(|p| p.done);
    assert!(operations > 5, "{operations} operations");
    let (mut old, mut new) = (0, 0);
    for at in 0..=operations {
        for lot in 0..16 {
            let disk = Disk::holding(earlier.clone());
            disk.at(|p| p.refuses = Some((at, usize::MAX)));
            let told = open_and_end(&disk);
            let after = disk.after_power(lot * 7_919 + at as u64);
            let form = form_of_disk(&after);
            assert!(
                form == (1, true) || form == (2, false),
                "operation {at}, lot {lot}: {form:?}"
            );
            assert!(
                !told || form == (2, false),
                "operation {at}, lot {lot}: told as done"
            );
            if form == (1, true) {
                old += 1
            } else {
                new += 1
            }
            assert!(
                open_and_end(&after),
                "operation {at}, lot {lot}: it can't be read any more"
            );
            assert_eq!(form_of_disk(&after), (2, false));
        }
    }
    assert!(
        old > 0 && new > 0,
        "{old} losses before the upgrade counts, {new} after"
    );
}

#[test]
fn power_lost_at_every_operation_of_the_upgrade_leaves_the_one_form_or_the_other() {
    power_lost_at_every_operation_of_the_upgrade(true);
}

#[test]
fn power_lost_again_in_the_upgrade_after_a_loss_of_power_leaves_the_one_form_or_the_other() {
    power_lost_at_every_operation_of_the_upgrade(false);
}

#[test]
fn an_upgrade_that_the_disk_refuses_is_told_and_done_at_the_next_opening() {
    let earlier = earlier_disk(true);
    let whole = Disk::holding(earlier.clone());
    assert!(open_and_end(&whole));
    let mut refused = 0;
    for at in 0..whole.at(|p| p.done) {
        let disk = Disk::holding(earlier.clone());
        disk.at(|p| p.refuses = Some((at, 3)));
        refused += usize::from(!open_and_end(&disk));
        disk.at(|p| p.refuses = None);
        assert!(
            open_and_end(&disk),
            "operation {at}: it can't be read any more"
        );
        assert_eq!(form_of_disk(&disk), (2, false));
    }
    assert!(refused > 0, "none was refused");
}

/// Everything that a file's tables hold, by their names.
fn dump(file: &Path) -> String {
    let database = Database::open(file).expect("a file");
    let reading = database.begin_read().expect("readable");
    let mut tables: Vec<String> = reading
        .list_tables()
        .expect("readable")
        .map(|t| t.name().to_string())
        .collect();
    tables.sort();
    let meta: Vec<(String, Vec<u8>)> = reading
        .open_table(META)
        .expect("meta")
        .iter()
        .expect("readable")
        .map(|e| {
            e.map(|(k, v)| (k.value().to_string(), v.value().to_vec()))
                .expect("readable")
        })
        .collect();
    let configurations: Vec<(u64, Vec<u8>)> = reading
        .open_table(CONFIGURATIONS)
        .expect("configurations")
        .iter()
        .expect("readable")
        .map(|e| {
            e.map(|(k, v)| (k.value(), v.value().to_vec()))
                .expect("readable")
        })
        .collect();
    format!("{tables:?} {meta:?} {configurations:?}")
}

#[test]
fn a_file_of_a_form_that_is_not_known_is_refused_and_left_as_it_is() {
    // What a later form means by its tables is not asked: its set need be none to this program.
    for (format, set) in [(0, SET), (3, SET), (3, &[0xff_u8; 3][..]), (u64::MAX, SET)] {
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("controller.redb");
        Earlier {
            format,
            set,
            ..WHOLE
        }
        .make(&file);
        let before = dump(&file);
        let Err(report) = Store::open(&file) else {
            panic!("form {format} was taken")
        };
        assert!(
            matches!(report.current_context(), StorageError::UnknownFormat(f) if *f == format),
            "{report:?}"
        );
        assert_eq!(dump(&file), before);
    }
}

#[test]
fn a_damaged_file_of_form_1_is_refused_and_left_as_it_is() {
    // Cut short, with bytes left over, no set at all.
    for set in [&SET[..SET.len() - 1], &[1, 1, 1, 0], &[0xff; 12], &[]] {
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("controller.redb");
        Earlier { set, ..WHOLE }.make(&file);
        let before = dump(&file);
        let Err(report) = Store::open(&file) else {
            panic!("{set:?} was taken")
        };
        assert!(
            matches!(report.current_context(), StorageError::Unreadable),
            "{report:?}"
        );
        assert_eq!(dump(&file), before);
    }
}

#[test]
fn a_file_of_form_1_that_lacks_its_configurations_is_refused() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("controller.redb");
    let database = Database::create(&file).expect("a new file");
    WHOLE.write(&database);
    let writing = database.begin_write().expect("a transaction");
    writing.delete_table(CONFIGURATIONS).expect("there");
    writing.commit().expect("room");
    drop(database);
    let Err(report) = Store::open(&file) else {
        panic!("it was taken")
    };
    assert!(
        matches!(report.current_context(), StorageError::Unreadable),
        "{report:?}"
    );
    assert_eq!(form_of_file(&file), (1, false));
}
