//! Crash tests on an in-memory disk: power loss at every disk operation with unsynced writes kept, lost or torn,
//! temporary write failures at every operation, and file growth under claim churn.

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

/// Stores a vote for a value of `bytes` bytes.
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

/// The batches of [`writes`], each with a generation that counts up from 1.
fn script() -> Vec<Vec<WriteOperation>> {
    let mut batches = writes();
    for (number, batch) in (1..).zip(&mut batches) {
        batch.push(WriteOperation::StoreGeneration(Generation(number)));
    }
    batches
}

/// Batches that cover every kind of write operation; each one changes the stored state.
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
            WriteOperation::RemoveHost("i-1".into()),
        ],
    ]
}

/// The script as write batches with ids from 0.
fn batches() -> impl Iterator<Item = WriteBatch> {
    (0..)
        .zip(script())
        .map(|(number, operations)| batch(number, operations))
}

fn sorted_by_key(mut state: DurableState) -> DurableState {
    state.claims.sort_by_key(|claim| claim.key);
    state
}

/// The expected state after the first `count` batches, with claims sorted by key.
fn state_after(count: usize) -> DurableState {
    let mut state = DurableState::default();
    for operations in script().into_iter().take(count) {
        state.apply(operations);
    }
    sorted_by_key(state)
}

fn open(disk: &Disk) -> Option<(Store, DurableState)> {
    let disk = disk.clone();
    Store::open_with_backend(move || disk.clone()).ok()
}

/// Runs the script until a write fails and returns the number of synced batches; `None` if the file can't be opened.
fn run_script(disk: &Disk) -> Option<usize> {
    let (mut store, _) = open(disk)?;
    let synced = batches()
        .take_while(|batch| store.write(std::slice::from_ref(batch)).is_ok())
        .count();
    // Simulates a killed process: no destructor runs.
    std::mem::forget(store);
    Some(synced)
}

/// Number of disk operations in a complete run of the script.
fn script_operation_count() -> usize {
    let disk = Disk::default();
    assert_eq!(run_script(&disk), Some(script().len()));
    disk.operation_count()
}

#[test]
fn every_batch_of_the_script_changes_the_state() {
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
fn power_loss_at_every_disk_operation_keeps_synced_batches_and_no_partial_batch() {
    let operations = script_operation_count();
    assert!(operations > 60, "{operations} operations");
    let (mut unreported_sync_count, mut opened) = (0, 0);
    for operation_index in 0..operations {
        for seed in 0..4 {
            let disk = Disk::default();
            disk.refuse_after(operation_index);
            let synced = run_script(&disk);
            let after = disk.after_power_loss(seed * 7_919 + operation_index as u64);
            let Some((_, state)) = open(&after) else {
                // The file may be unreadable only if its creation failed, so that no batch was ever synced.
                assert_eq!(
                    synced, None,
                    "operation {operation_index}, seed {seed}: synced batches are unreadable"
                );
                continue;
            };
            opened += 1;
            let synced = synced.unwrap_or(0);
            let state = sorted_by_key(state);
            let matches_next = state == state_after(synced + 1);
            assert!(
                matches_next || state == state_after(synced),
                "operation {operation_index}, seed {seed}: state doesn't match {synced} reported batches"
            );
            unreported_sync_count += usize::from(matches_next);
        }
    }
    assert!(opened > operations, "{opened} files were reopened");
    assert!(
        unreported_sync_count > 0,
        "no power loss fell between a sync and its report"
    );
}

#[test]
fn retried_writes_succeed_after_temporary_disk_failure() {
    const FIRST_REFUSED: usize = 30;
    for operation_index in FIRST_REFUSED..script_operation_count() {
        let disk = Disk::default();
        let (mut store, _) = open(&disk).expect("open an empty disk");
        disk.with(|disk| {
            let after = operation_index.max(disk.operation_count);
            disk.refusal = Some(Refusal { after, count: 3 });
        });
        let mut refused = 0;
        for batch in batches() {
            // The controller retries failed batches; the test retries immediately.
            while store.write(std::slice::from_ref(&batch)).is_err() {
                refused += 1;
                assert!(
                    refused < 20,
                    "operation {operation_index}: writes keep failing"
                );
            }
        }
        drop(store);
        let (_, state) = open(&disk).expect("readable");
        assert_eq!(
            sorted_by_key(state),
            state_after(script().len()),
            "operation {operation_index}: after {refused} refusals"
        );
    }
}

/// A store whose file is empty after reopening has lost its synced state and must reject all writes.
#[test]
fn writes_fail_when_reopened_file_is_empty() {
    let (disk, empty) = (Disk::default(), Disk::default());
    let (first_disk, reopened_disk) = (disk.clone(), empty.clone());
    let openings = AtomicUsize::new(0);
    let make = move || {
        if openings.fetch_add(1, Ordering::Relaxed) == 0 {
            first_disk.clone()
        } else {
            reopened_disk.clone()
        }
    };
    let (mut store, _) = Store::open_with_backend(make).expect("open an empty disk");
    let batches: Vec<WriteBatch> = batches().collect();
    store.write(&batches[..1]).expect("write succeeds");
    disk.refuse_after(disk.operation_count());
    for _ in 0..3 {
        assert!(store.write(&batches[1..2]).is_err());
    }
    drop(store);
    let (_, state) = open(&empty).expect("open an empty disk");
    assert_eq!(state, DurableState::default());
}

/// A key digest whose bits are spread like those of a hash.
fn hashed_key(number: u64) -> KeyDigest {
    let low = number.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    KeyDigest(u128::from(number) << 64 | u128::from(low))
}

/// The operations of one second: 200 new claims, the removal of claims older than 70 s, and every five seconds a
/// configuration version.
fn churn_for_second(second: u64) -> Vec<WriteOperation> {
    const CLAIMS: u64 = 200;
    const WINDOW_S: u64 = 70;
    let numbers_of = |second: u64| second * CLAIMS..(second + 1) * CLAIMS;
    let mut operations: Vec<WriteOperation> = numbers_of(second)
        .map(|number| StoredClaim {
            key: hashed_key(number),
            alias: None,
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
        let expired = numbers_of(old).map(hashed_key);
        operations.extend(expired.map(WriteOperation::RemoveClaim));
    }
    if second.is_multiple_of(5) {
        operations.push(store_vote(version(second + 1), second + 1, 8_000));
        operations.push(prune(second + 1, 0));
    }
    operations
}

#[test]
fn file_size_stays_bounded_under_claim_churn() {
    let disk = Disk::default();
    let (mut store, _) = open(&disk).expect("open an empty disk");
    let mut sizes = Vec::new();
    for second in 0..600 {
        let churn = batch(second, churn_for_second(second));
        store.write(&[churn]).expect("write succeeds");
        if second == 120 || second == 599 {
            sizes.push(disk.with(|disk| disk.visible.len()));
        }
    }
    assert!(
        sizes[1] <= sizes[0] + sizes[0] / 10,
        "file sizes in bytes after 2 and 10 minutes: {sizes:?}"
    );
    assert!(sizes[1] < 16 << 20, "{sizes:?}");
}
