//! Upgrade of format 1 files under power loss and disk failures.

mod common;

use common::disk::{Disk, Refusal};
use common::previous_format::{CURRENT, FileFormat, PREVIOUS, VALID, expected_state, format_of};
use redb::Database;
use rushcourse_storage::Store;

/// How the process that last used a database ended.
#[derive(Clone, Copy)]
enum LeftBy {
    /// The database was closed properly.
    Close,
    /// The process was killed before closing the database.
    Kill,
}

/// The synced bytes of a disk that holds a format 1 file.
fn previous_disk(left_by: LeftBy) -> Vec<u8> {
    let disk = Disk::default();
    let database = Database::builder()
        .create_with_backend(disk.clone())
        .expect("open an empty disk");
    VALID.write(&database);
    match left_by {
        LeftBy::Close => drop(database),
        LeftBy::Kill => std::mem::forget(database),
    }
    disk.with(|disk| disk.synced.clone())
}

/// Opens the store and drops it as a killed process would, without destructors. Returns whether opening succeeded.
fn open_and_kill(disk: &Disk) -> bool {
    let disk = disk.clone();
    let Ok((store, state)) = Store::open_with_backend(move || disk.clone()) else {
        return false;
    };
    assert_eq!(state, expected_state());
    std::mem::forget(store);
    true
}

/// Number of disk operations in a complete upgrade.
fn upgrade_operation_count(previous: &[u8]) -> usize {
    let disk = Disk::with_bytes(previous.to_vec());
    assert!(open_and_kill(&disk));
    disk.operation_count()
}

/// Reads the format from a copy of the disk, so that reading doesn't change the original.
fn disk_format(disk: &Disk) -> FileFormat {
    let copy = Disk::with_bytes(disk.with(|disk| disk.visible.clone()));
    let database = Database::builder()
        .create_with_backend(copy)
        .expect("open the database");
    format_of(&database)
}

fn assert_valid_format_after_power_loss(left_by: LeftBy) {
    let previous = previous_disk(left_by);
    let operations = upgrade_operation_count(&previous);
    assert!(operations > 5, "{operations} operations");
    let (mut kept_previous, mut upgraded) = (0, 0);
    for operation_index in 0..=operations {
        for seed in 0..16 {
            let disk = Disk::with_bytes(previous.clone());
            disk.refuse_after(operation_index);
            let opened = open_and_kill(&disk);
            let after = disk.after_power_loss(seed * 7_919 + operation_index as u64);
            let format = disk_format(&after);
            assert!(
                format == PREVIOUS || format == CURRENT,
                "operation {operation_index}, seed {seed}: {format:?}"
            );
            assert!(
                !opened || format == CURRENT,
                "operation {operation_index}, seed {seed}: opened without a durable upgrade"
            );
            if format == PREVIOUS {
                kept_previous += 1;
            } else {
                upgraded += 1;
            }
            assert!(
                open_and_kill(&after),
                "operation {operation_index}, seed {seed}: file is unreadable"
            );
            assert_eq!(disk_format(&after), CURRENT);
        }
    }
    assert!(
        kept_previous > 0 && upgraded > 0,
        "power losses before the upgrade was durable: {kept_previous}, after: {upgraded}"
    );
}

#[test]
fn power_loss_during_upgrade_leaves_one_valid_format() {
    assert_valid_format_after_power_loss(LeftBy::Close);
}

#[test]
fn second_power_loss_during_upgrade_leaves_one_valid_format() {
    assert_valid_format_after_power_loss(LeftBy::Kill);
}

#[test]
fn upgrade_refused_by_the_disk_completes_at_next_opening() {
    let previous = previous_disk(LeftBy::Close);
    let mut refused = 0;
    for after in 0..upgrade_operation_count(&previous) {
        let disk = Disk::with_bytes(previous.clone());
        disk.with(|disk| disk.refusal = Some(Refusal { after, count: 3 }));
        refused += usize::from(!open_and_kill(&disk));
        disk.with(|disk| disk.refusal = None);
        assert!(
            open_and_kill(&disk),
            "operation {after}: file is unreadable"
        );
        assert_eq!(disk_format(&disk), CURRENT);
    }
    assert!(refused > 0, "no opening failed");
}
