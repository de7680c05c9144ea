//! The crash of each write path at every step: a disk in memory that loses power at its nth operation, with later writes
//! there, missing or torn; that refuses from its nth operation on for a while; and that is churned for ten minutes.

mod common;

use common::disk::{Disk, Refusal};
use common::{
    ballot, batch, claim, epoch, host, promise, prune, remove_claim, store_record, version, vote,
    voting_set,
};
use rushcourse_consensus::{DurableState, StoredClaim, WriteBatch, WriteOperation};
use rushcourse_messages::{HostState, Slot};
use rushcourse_storage::Store;
use rushcourse_types::{ClaimId, Generation, KeyDigest, WallTime};
use std::sync::atomic::{AtomicUsize, Ordering};

/// A vote for a value of this many bytes.
fn store_vote(slot: Slot, round: u64, bytes: usize) -> WriteOperation {
    store_record(slot, vote(round, &vec![round as u8; bytes]))
}

fn store_voting_set(epoch: u64) -> WriteOperation {
    WriteOperation::StoreVotingSet(voting_set(epoch, &[1, 2, epoch as u32 + 2]))
}

fn store_claims(keys: impl Iterator<Item = u64>) -> Vec<WriteOperation> {
    keys.map(|key| WriteOperation::StoreClaim(claim(key)))
        .collect()
}

fn store_host(sequence: u64, state: HostState) -> WriteOperation {
    WriteOperation::StoreHost(host("i-1", sequence, state))
}

/// One batch of each kind of write, in a row, each with the generation that it gives the file.
fn script() -> Vec<Vec<WriteOperation>> {
    let mut batches = writes();
    for (number, batch) in (1..).zip(&mut batches) {
        batch.push(WriteOperation::StoreGeneration(Generation(number)));
    }
    batches
}

/// Each changes what is stored.
fn writes() -> Vec<Vec<WriteOperation>> {
    vec![
        vec![store_voting_set(1), WriteOperation::MarkStateComplete],
        vec![store_record(version(1), promise(1))],
        vec![store_vote(version(1), 1, 3_000)],
        store_claims(0..40),
        vec![
            store_vote(version(1), 2, 3_000),
            store_vote(version(2), 1, 3_000),
            WriteOperation::StoreClaim(claim(40)),
        ],
        (0..30).map(remove_claim).collect(),
        vec![store_vote(epoch(2), 1, 40), store_host(1, HostState::Ready)],
        vec![store_voting_set(2), WriteOperation::MarkStateIncomplete],
        store_claims(41..60),
        vec![store_vote(version(7), 3, 3_000), prune(7, 0)],
        vec![
            prune(0, 2),
            WriteOperation::MarkStateComplete,
            store_host(2, HostState::Gone),
        ],
        vec![
            store_vote(version(8), 4, 20_000),
            store_record(epoch(3), promise(4)),
        ],
    ]
}

/// The script as batches, numbered from 0 on.
fn batches() -> impl Iterator<Item = WriteBatch> {
    (0..)
        .zip(script())
        .map(|(number, operations)| batch(number, operations))
}

fn by_key(mut state: DurableState) -> DurableState {
    state.claims.sort_by_key(|claim| claim.key);
    state
}

/// What a disk holds after the first `count` batches.
fn state_after(count: usize) -> DurableState {
    let mut state = DurableState::default();
    for operations in script().into_iter().take(count) {
        state.apply(operations);
    }
    by_key(state)
}

fn open(disk: &Disk) -> Option<(Store, DurableState)> {
    let disk = disk.clone();
    Store::open_with_backend(move || disk.clone()).ok()
}

/// Plays the script until a write is refused; how many batches were synced. `None`: the file could not be opened.
fn play(disk: &Disk) -> Option<usize> {
    let (mut store, _) = open(disk)?;
    let synced = batches()
        .take_while(|batch| store.write(std::slice::from_ref(batch)).is_ok())
        .count();
    // The process is gone: nothing is tidied up behind it.
    std::mem::forget(store);
    Some(synced)
}

/// Operations of the disk for the whole script.
fn operations_of_the_script() -> usize {
    let disk = Disk::default();
    assert_eq!(play(&disk), Some(script().len()));
    disk.operation_count()
}

#[test]
fn each_batch_of_the_script_leaves_another_state() {
    for count in 0..script().len() {
        let without_generation = |count: usize| DurableState {
            generation: Generation::NONE,
            ..state_after(count)
        };
        assert_ne!(
            without_generation(count),
            without_generation(count + 1),
            "batch {count}"
        );
    }
}

#[test]
fn power_lost_at_every_operation_leaves_what_was_synced_and_no_half_batch() {
    let operations = operations_of_the_script();
    assert!(operations > 60, "{operations} operations");
    let (mut lost_before_the_report, mut opened) = (0, 0);
    for at in 0..operations {
        for seed in 0..4 {
            let disk = Disk::default();
            disk.refuse_after(at);
            let synced = play(&disk);
            let after = disk.after_power_loss(seed * 7_919 + at as u64);
            let Some((_, state)) = open(&after) else {
                // Only a file that never came to be may be unreadable: it is told, and nothing was promised.
                assert_eq!(
                    synced, None,
                    "operation {at}, seed {seed}: what was synced can't be read any more"
                );
                continue;
            };
            opened += 1;
            let synced = synced.unwrap_or(0);
            let state = by_key(state);
            let has_next = state == state_after(synced + 1);
            assert!(
                has_next || state == state_after(synced),
                "operation {at}, seed {seed}: {synced} batches were reported"
            );
            lost_before_the_report += usize::from(has_next);
        }
    }
    assert!(opened > operations, "{opened} files were read again");
    assert!(
        lost_before_the_report > 0,
        "some losses fall between the sync and its report"
    );
}

#[test]
fn a_disk_that_refuses_for_a_while_loses_nothing_and_takes_what_comes_then() {
    const FIRST_REFUSED: usize = 30;
    for at in FIRST_REFUSED..operations_of_the_script() {
        let disk = Disk::default();
        let (mut store, _) = open(&disk).expect("an empty disk");
        disk.with(|disk| {
            let after = at.max(disk.operation_count);
            disk.refusal = Some(Refusal { after, count: 3 });
        });
        let mut refused = 0;
        for batch in batches() {
            // The controller tries again what has to be stored; here at once, until it is.
            while store.write(std::slice::from_ref(&batch)).is_err() {
                refused += 1;
                assert!(refused < 20, "operation {at}: it never takes a write again");
            }
        }
        drop(store);
        let (_, state) = open(&disk).expect("readable");
        assert_eq!(
            by_key(state),
            state_after(script().len()),
            "operation {at}: after {refused} refusals"
        );
    }
}

/// After a refused write the file is opened anew. If it is empty then, what was synced before is gone: nothing that
/// counts on it is written any more.
#[test]
fn a_disk_that_comes_back_empty_takes_no_write() {
    let (disk, empty) = (Disk::default(), Disk::default());
    let (at_first, then) = (disk.clone(), empty.clone());
    let openings = AtomicUsize::new(0);
    let make = move || {
        if openings.fetch_add(1, Ordering::Relaxed) == 0 {
            at_first.clone()
        } else {
            then.clone()
        }
    };
    let (mut store, _) = Store::open_with_backend(make).expect("an empty disk");
    let batches: Vec<WriteBatch> = batches().collect();
    store.write(&batches[..1]).expect("room");
    disk.refuse_after(disk.operation_count());
    for _ in 0..3 {
        assert!(store.write(&batches[1..2]).is_err());
    }
    drop(store);
    let (_, state) = open(&empty).expect("an empty disk");
    assert_eq!(state, DurableState::default());
}

/// A key as a hash makes it: spread over all of its bits.
fn spread_key(number: u64) -> KeyDigest {
    let low = number.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    KeyDigest(u128::from(number) << 64 | u128::from(low))
}

/// What comes within a second at 200 claims a second, each kept for its window of 70 s, a version every five seconds.
fn second_of_churn(second: u64) -> Vec<WriteOperation> {
    const CLAIMS: u64 = 200;
    const WINDOW_S: u64 = 70;
    let numbers_of = |second: u64| second * CLAIMS..(second + 1) * CLAIMS;
    let mut operations: Vec<WriteOperation> = numbers_of(second)
        .map(|number| StoredClaim {
            key: spread_key(number),
            id: ClaimId {
                node: ballot(1).node,
                incarnation: ballot(1).incarnation,
                number,
            },
            claimed_at: WallTime(second * 1_000),
        })
        .map(WriteOperation::StoreClaim)
        .collect();
    if let Some(old) = second.checked_sub(WINDOW_S) {
        let expired = numbers_of(old).map(spread_key);
        operations.extend(expired.map(WriteOperation::RemoveClaim));
    }
    if second.is_multiple_of(5) {
        operations.push(store_vote(version(second + 1), second + 1, 8_000));
        operations.push(prune(second + 1, 0));
    }
    operations
}

#[test]
fn ten_minutes_of_churn_leave_the_file_as_large_as_two() {
    let disk = Disk::default();
    let (mut store, _) = open(&disk).expect("an empty disk");
    let mut sizes = Vec::new();
    for second in 0..600 {
        let churn = batch(second, second_of_churn(second));
        store.write(&[churn]).expect("room");
        if second == 120 || second == 599 {
            sizes.push(disk.with(|disk| disk.visible.len()));
        }
    }
    assert!(
        sizes[1] <= sizes[0] + sizes[0] / 10,
        "{sizes:?} bytes after two and ten minutes"
    );
    assert!(sizes[1] < 16 << 20, "{sizes:?}");
}
