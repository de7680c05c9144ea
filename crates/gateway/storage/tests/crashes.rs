//! The crash of each write path at every step: a disk in memory that loses power at its nth operation, with later writes
//! there, missing or torn; that refuses from its nth operation on for a while; and that is churned for ten minutes.

mod common;
mod power;

use common::batch;
use power::Disk;
use rushcourse_consensus::{DurableState, PruneBounds, StoredClaim, WriteBatch, WriteOperation};
use rushcourse_messages::{
    AcceptorRecord, Ballot, ClaimId, HostRecord, HostState, Proposal, Slot, SlotRecord, VotingSet,
};
use rushcourse_storage::Store;
use rushcourse_types::{
    CallSequence, ConfigurationVersion, Epoch, Incarnation, KeyDigest, Millis, NodeId, WallTime,
};
use std::sync::atomic::{AtomicUsize, Ordering};

/// A vote under a ballot of this round, for a value of this many bytes; without one only a promise.
fn record(slot: Slot, round: u64, bytes: usize) -> WriteOperation {
    let ballot = Ballot {
        round,
        node: NodeId(1),
        incarnation: Incarnation(2),
    };
    let accepted = (bytes > 0).then(|| Proposal {
        ballot,
        value: vec![round as u8; bytes].into(),
    });
    WriteOperation::StoreRecord(SlotRecord {
        slot,
        record: AcceptorRecord {
            promised: ballot,
            is_vote: accepted.is_some(),
            accepted,
        },
    })
}

fn host(sequence: u64, state: HostState) -> WriteOperation {
    let word = |w: &str| w.into();
    let (id, service, zone, address) = (word("i-1"), word("s"), word("z"), word("10.0.0.1:80"));
    WriteOperation::StoreHost(HostRecord {
        id,
        service,
        zone,
        address,
        slots: 4,
        state,
        sequence: CallSequence(sequence),
        warm_up: Millis(0),
        age: Millis(0),
    })
}

/// One batch of each kind of write, in a row. Each changes what is held, so that batches can be told apart.
fn script() -> Vec<Vec<WriteOperation>> {
    let set = |number: u64| {
        WriteOperation::StoreVotingSet(VotingSet {
            epoch: Epoch(number),
            members: vec![NodeId(1), NodeId(2), NodeId(number as u32 + 2)],
        })
    };
    let claim = |k: u64| {
        WriteOperation::StoreClaim(StoredClaim {
            key: KeyDigest(u128::from(k)),
            id: ClaimId {
                node: NodeId(1),
                incarnation: Incarnation(2),
                number: k,
            },
            claimed_at: WallTime(k),
        })
    };
    let (version, next_set) = (Slot::Configuration, Slot::VotingSet(Epoch(2)));
    vec![
        vec![set(1), WriteOperation::MarkStateComplete],
        vec![record(version(ConfigurationVersion(1)), 1, 0)],
        vec![record(version(ConfigurationVersion(1)), 1, 3_000)],
        (0..40).map(claim).collect(),
        vec![
            record(version(ConfigurationVersion(1)), 2, 3_000),
            record(version(ConfigurationVersion(2)), 1, 3_000),
            claim(40),
        ],
        (0..30)
            .map(|k| WriteOperation::RemoveClaim(KeyDigest(k)))
            .collect(),
        vec![record(next_set, 1, 40), host(1, HostState::Ready)],
        vec![set(2), WriteOperation::MarkStateIncomplete],
        (41..60).map(claim).collect(),
        vec![
            record(version(ConfigurationVersion(7)), 3, 3_000),
            WriteOperation::PruneRecords(PruneBounds {
                versions_below: ConfigurationVersion(7),
                epochs_through: Epoch(0),
            }),
        ],
        vec![
            WriteOperation::PruneRecords(PruneBounds {
                versions_below: ConfigurationVersion(0),
                epochs_through: Epoch(2),
            }),
            WriteOperation::MarkStateComplete,
            host(2, HostState::Gone),
        ],
        vec![
            record(version(ConfigurationVersion(8)), 4, 20_000),
            record(Slot::VotingSet(Epoch(3)), 4, 0),
        ],
    ]
}

/// What a disk holds after the first `count` batches.
fn held(count: usize) -> DurableState {
    let mut stored = DurableState::default();
    script()
        .into_iter()
        .take(count)
        .for_each(|ops| stored.apply(ops));
    stored.claims.sort_by_key(|claim| claim.key);
    stored
}

fn same(mut found: DurableState, count: usize) -> bool {
    found.claims.sort_by_key(|claim| claim.key);
    found == held(count)
}

#[test]
fn each_batch_of_the_script_leaves_another_state() {
    for count in 0..script().len() {
        assert_ne!(held(count), held(count + 1), "batch {count}");
    }
}

/// Plays the script; how many batches were told as held, by their numbers.
fn play(disk: &Disk) -> Option<usize> {
    let over = disk.clone();
    let (mut store, _) = Store::open_over(move || over.clone()).ok()?;
    let batches = script();
    let done = batches
        .into_iter()
        .enumerate()
        .take_while(|(k, ops)| store.write(&[batch(*k as u64, ops.clone())]).is_ok());
    let count = done.count();
    // The process is gone: nothing is tidied up behind it.
    std::mem::forget(store);
    Some(count)
}

#[test]
fn power_lost_at_every_operation_leaves_what_was_told_and_no_half_batch() {
    let whole = Disk::default();
    assert_eq!(play(&whole), Some(script().len()));
    let operations = whole.at(|p| p.done);
    assert!(operations > 60, "{operations} operations");
    let (mut between, mut opened) = (0, 0);
    for at in 0..operations {
        for lot in 0..4 {
            let disk = Disk::default();
            disk.at(|p| p.refuses = Some((at, usize::MAX)));
            let told = play(&disk);
            let after = disk.after_power(lot * 7_919 + at as u64);
            let Ok((_, stored)) = Store::open_over(move || after.clone()) else {
                // Only a file that never came to be may be unreadable: it is told, and nothing was promised.
                assert_eq!(
                    told, None,
                    "operation {at}, lot {lot}: what was told can't be read any more"
                );
                continue;
            };
            opened += 1;
            let told = told.unwrap_or(0);
            let next = same(stored.clone(), told + 1);
            assert!(
                next || same(stored, told),
                "operation {at}, lot {lot}: {told} batches were told"
            );
            between += usize::from(next);
        }
    }
    assert!(opened > operations, "{opened} files were read again");
    assert!(
        between > 0,
        "some losses fall between the sync and its telling"
    );
}

#[test]
fn a_disk_that_refuses_for_a_while_loses_nothing_and_takes_what_comes_then() {
    let whole = Disk::default();
    play(&whole);
    let (operations, first) = (whole.at(|p| p.done), 30);
    for at in first..operations {
        let disk = Disk::default();
        let over = disk.clone();
        let (mut store, _) = Store::open_over(move || over.clone()).expect("an empty disk");
        disk.at(|p| p.refuses = Some((at.max(p.done), 3)));
        let mut refused = 0;
        for (k, ops) in script().into_iter().enumerate() {
            // The register tries again what has to be held; here at once, until it is.
            while store.write(&[batch(k as u64, ops.clone())]).is_err() {
                refused += 1;
                assert!(refused < 20, "operation {at}: it never takes a write again");
            }
        }
        drop(store);
        let (_, stored) = Store::open_over(move || disk.clone()).expect("readable");
        assert!(
            same(stored, script().len()),
            "operation {at}: after {refused} refusals"
        );
    }
}

/// After a refused write the file is opened anew. If it is empty then, what was told before is gone: nothing that counts
/// on it is held any more.
#[test]
fn a_disk_that_comes_back_empty_takes_no_write() {
    let (disk, empty) = (Disk::default(), Disk::default());
    let (over, then) = (disk.clone(), empty.clone());
    let openings = AtomicUsize::new(0);
    let make = move || {
        if openings.fetch_add(1, Ordering::Relaxed) == 0 {
            over.clone()
        } else {
            then.clone()
        }
    };
    let (mut store, _) = Store::open_over(make).expect("an empty disk");
    let batches: Vec<WriteBatch> = script()
        .into_iter()
        .enumerate()
        .map(|(k, ops)| batch(k as u64, ops))
        .collect();
    store.write(&batches[..1]).expect("room");
    disk.at(|p| p.refuses = Some((p.done, usize::MAX)));
    for _ in 0..3 {
        assert!(store.write(&batches[1..2]).is_err());
    }
    drop(store);
    let (_, stored) = Store::open_over(move || empty.clone()).expect("an empty disk");
    assert_eq!(stored, DurableState::default());
}

/// Ten minutes at 200 claims a second, each kept for its window of 70 s, a version every five seconds.
#[test]
fn ten_minutes_of_churn_leave_the_file_as_large_as_two() {
    let disk = Disk::default();
    let over = disk.clone();
    let (mut store, _) = Store::open_over(move || over.clone()).expect("an empty disk");
    let mut sizes = Vec::new();
    for second in 0..600_u64 {
        let key = |n: u64| u128::from(n) << 64 | u128::from(n.wrapping_mul(0x9E37_79B9_7F4A_7C15));
        let claim = |n: u64| {
            WriteOperation::StoreClaim(StoredClaim {
                key: KeyDigest(key(n)),
                id: ClaimId {
                    node: NodeId(1),
                    incarnation: Incarnation(2),
                    number: n,
                },
                claimed_at: WallTime(second * 1_000),
            })
        };
        let release = |n: u64| WriteOperation::RemoveClaim(KeyDigest(key(n)));
        let mut ops: Vec<WriteOperation> = (second * 200..second * 200 + 200).map(claim).collect();
        if let Some(old) = second.checked_sub(70) {
            ops.extend((old * 200..old * 200 + 200).map(release));
        }
        if second.is_multiple_of(5) {
            ops.push(record(
                Slot::Configuration(ConfigurationVersion(second + 1)),
                second + 1,
                8_000,
            ));
            ops.push(WriteOperation::PruneRecords(PruneBounds {
                versions_below: ConfigurationVersion(second + 1),
                epochs_through: Epoch(0),
            }));
        }
        store.write(&[batch(second, ops)]).expect("room");
        if second == 120 || second == 599 {
            sizes.push(disk.at(|p| p.seen.len()));
        }
    }
    assert!(
        sizes[1] <= sizes[0] + sizes[0] / 10,
        "{sizes:?} bytes after two and ten minutes"
    );
    assert!(sizes[1] < 16 << 20, "{sizes:?}");
}
