//! Restart behavior: synced state is restored, removed rows stay removed, and foreign files are left unchanged.

mod common;

use common::{
    StateFile, batch, claim, duty, epoch, host, prune, prune_duties, remove_claim, store_record,
    version, vote, voting_set,
};
use rushcourse_consensus::{DurableState, WriteOperation};
use rushcourse_messages::{HostRecord, HostState, Slot, SlotRecord};
use rushcourse_storage::{StorageError, Store};
use rushcourse_types::{ConfigurationVersion, Epoch, KeyDigest};
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

/// Opens the file, writes each batch with a separate sync, and closes the file.
fn write(file: &Path, batches: impl IntoIterator<Item = Vec<WriteOperation>>) {
    let (mut store, _) = Store::open(file).expect("open a state file");
    for (number, operations) in (1..).zip(batches) {
        store
            .write(&[batch(number, operations)])
            .expect("write succeeds");
    }
}

fn read(file: &Path) -> DurableState {
    Store::open(file).expect("open a state file").1
}

fn slots(state: &DurableState) -> Vec<Slot> {
    state.records.iter().map(|stored| stored.slot).collect()
}

#[test]
fn written_state_is_restored() {
    let file = StateFile::new();
    let new = read(file.path());
    assert_eq!(
        (
            new.voting_set.epoch,
            new.has_complete_state,
            new.claims.len()
        ),
        (Epoch::NONE, false, 0)
    );

    let voting_set = voting_set(1, &[1, 2, 3]);
    let operations = vec![
        WriteOperation::StoreVotingSet(voting_set.clone()),
        WriteOperation::MarkStateComplete,
        WriteOperation::StoreHost(host("i-1", 1, HostState::Ready)),
    ];
    write(file.path(), [operations]);

    let state = read(file.path());
    assert_eq!(
        (state.voting_set, state.has_complete_state),
        (voting_set, true)
    );
    assert_eq!(state.hosts, vec![host("i-1", 1, HostState::Ready)]);
}

#[test]
fn last_record_of_each_slot_is_restored() {
    let file = StateFile::new();
    let earlier = [version(3), epoch(2), version(5), version(4)]
        .map(|slot| store_record(slot, vote(1, b"earlier")));
    let later = store_record(version(5), vote(2, b"later"));
    write(file.path(), [earlier.to_vec(), vec![later]]);

    let expected = [
        (epoch(2), vote(1, b"earlier")),
        (version(3), vote(1, b"earlier")),
        (version(4), vote(1, b"earlier")),
        (version(5), vote(2, b"later")),
    ]
    .map(|(slot, record)| SlotRecord { slot, record });
    assert_eq!(read(file.path()).records, expected, "sorted by slot");
}

#[test]
fn removed_claims_and_hosts_are_not_restored() {
    let file = StateFile::new();
    let mut stored: Vec<WriteOperation> = (0..100)
        .map(|key| WriteOperation::StoreClaim(claim(key)))
        .collect();
    stored.push(WriteOperation::StoreHost(host("i-1", 1, HostState::Ready)));
    let removed = (0..90).map(remove_claim).collect();
    write(file.path(), [stored, removed]);

    let state = read(file.path());
    let mut keys: Vec<KeyDigest> = state.claims.iter().map(|claim| claim.key).collect();
    keys.sort_unstable();
    assert_eq!(keys, (90..100).map(KeyDigest).collect::<Vec<KeyDigest>>());

    // Removal after a restart relies on the claim positions loaded from the file.
    let operations = vec![remove_claim(95), WriteOperation::RemoveHost("i-1".into())];
    write(file.path(), [operations]);
    let state = read(file.path());
    assert_eq!((state.claims.len(), state.hosts.len()), (9, 0));
}

/// Guards against DRAIN: a host that has signed off was removed from the file, and a restarted controller took its late
/// heartbeat for that of a new host.
#[test]
fn host_that_is_gone_stays_in_the_file() {
    let file = StateFile::new();
    let gone = host("i-1", 1, HostState::Gone);
    let store = |host: &HostRecord| vec![WriteOperation::StoreHost(host.clone())];
    let ready = host("i-1", 1, HostState::Ready);
    write(file.path(), [store(&ready), store(&gone)]);
    assert_eq!(read(file.path()).hosts, [gone]);
}

#[test]
fn pruning_removes_only_records_within_bounds() {
    let file = StateFile::new();
    let all = (0..10).map(epoch).chain((0..10).map(version));
    let records = all
        .map(|slot| store_record(slot, vote(1, b"text")))
        .collect();
    // No version is below 0, so only voting-set records are pruned.
    write(file.path(), [records, vec![prune(0, 3)]]);
    let mut expected: Vec<Slot> = (4..10).map(epoch).chain((0..10).map(version)).collect();
    assert_eq!(slots(&read(file.path())), expected);

    // A record stored after the pruning in the same batch is kept.
    let again = store_record(version(2), vote(3, b"again"));
    write(file.path(), [vec![prune(7, 0), again]]);
    expected.retain(|slot| {
        *slot == version(2) || !matches!(slot, Slot::Configuration(ConfigurationVersion(0..7)))
    });
    let state = read(file.path());
    assert_eq!(slots(&state), expected);
    let mut records = state.records.into_iter();
    let rewritten = records.find(|stored| stored.slot == version(2));
    assert_eq!(
        rewritten.map(|stored| stored.record),
        Some(vote(3, b"again"))
    );

    let all_gone = vec![
        WriteOperation::MarkStateIncomplete,
        prune(u64::MAX, u64::MAX),
        WriteOperation::MarkStateComplete,
    ];
    write(file.path(), [all_gone]);
    let state = read(file.path());
    assert_eq!((state.records, state.has_complete_state), (vec![], true));
}

/// Guards against the loss of promises and votes on the usage duty: the newest records are read back, and pruning them
/// leaves the records of other slots.
#[test]
fn duty_records_are_restored_and_pruned() {
    let file = StateFile::new();
    let records = (1..6).map(|position| store_record(duty(position), vote(1, b"state")));
    let others = [epoch(2), version(3)].map(|slot| store_record(slot, vote(1, b"text")));
    write(file.path(), [others.into_iter().chain(records).collect()]);
    let all: Vec<Slot> = [epoch(2), version(3)]
        .into_iter()
        .chain((1..6).map(duty))
        .collect();
    assert_eq!(slots(&read(file.path())), all);

    let next = store_record(duty(6), vote(4, b"next"));
    write(file.path(), [vec![next, prune_duties(5)]]);
    let state = read(file.path());
    assert_eq!(slots(&state), [epoch(2), version(3), duty(5), duty(6)]);
    let newest = state.records.last().map(|stored| &stored.record);
    assert_eq!(newest, Some(&vote(4, b"next")));

    // Other bounds leave them.
    write(file.path(), [vec![prune(9, 9)]]);
    assert_eq!(slots(&read(file.path())), [duty(5), duty(6)]);
}

#[test]
fn incomplete_state_keeps_the_voting_set() {
    let file = StateFile::new();
    let voting_set = voting_set(1, &[1, 2, 3]);
    let complete = vec![
        WriteOperation::StoreVotingSet(voting_set.clone()),
        WriteOperation::MarkStateComplete,
    ];
    write(file.path(), [complete]);
    assert!(read(file.path()).has_complete_state);

    write(file.path(), [vec![WriteOperation::MarkStateIncomplete]]);
    let state = read(file.path());
    assert_eq!(
        (state.voting_set, state.has_complete_state),
        (voting_set, false)
    );
}

#[test]
fn foreign_file_is_rejected_and_left_unchanged() {
    let file = StateFile::new();
    let other = b"something else that somebody keeps here, longer than a header";
    std::fs::write(file.path(), other).expect("write the file");
    let Err(report) = Store::open(file.path()) else {
        panic!("the file was opened")
    };
    assert!(
        matches!(report.current_context(), StorageError::Unreadable),
        "{report:?}"
    );
    assert_eq!(std::fs::read(file.path()).expect("exists"), other);
}

/// Guards against other users of the machine who read tenants' API keys in the stored configuration.
#[test]
fn new_state_file_is_accessible_to_its_owner_only() {
    let file = StateFile::new();
    write(file.path(), [Vec::new()]);
    let metadata = std::fs::metadata(file.path()).expect("the file exists");
    assert_eq!(metadata.permissions().mode() & 0o777, 0o600);
}
