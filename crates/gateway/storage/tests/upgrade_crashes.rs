//! The upgrade of files of format 1 through losses of power and refusals of the disk.

mod common;

use common::disk::{Disk, Refusal};
use common::previous_format::{FormatOfFile, PRESENT, PREVIOUS, VALID, expected_state, format_of};
use redb::Database;
use rushcourse_storage::Store;

/// How a database was left.
#[derive(Clone, Copy)]
enum LeftBy {
    /// It was closed in order.
    Close,
    /// Its program was killed.
    Kill,
}

/// The bytes of a disk with a file of format 1.
fn previous_disk(left_by: LeftBy) -> Vec<u8> {
    let disk = Disk::default();
    let database = Database::builder()
        .create_with_backend(disk.clone())
        .expect("an empty disk");
    VALID.write(&database);
    match left_by {
        LeftBy::Close => drop(database),
        LeftBy::Kill => std::mem::forget(database),
    }
    disk.with(|disk| disk.synced.clone())
}

/// Opens the disk, and ends there with nothing tidied up; whether opening succeeded.
fn open_and_end(disk: &Disk) -> bool {
    let disk = disk.clone();
    let Ok((store, state)) = Store::open_with_backend(move || disk.clone()) else {
        return false;
    };
    assert_eq!(state, expected_state());
    std::mem::forget(store);
    true
}

/// Operations of the disk for the whole upgrade.
fn operations_of_the_upgrade(previous: &[u8]) -> usize {
    let disk = Disk::holding(previous.to_vec());
    assert!(open_and_end(&disk));
    disk.operation_count()
}

/// The format that a disk has, seen on a copy of it.
fn format_of_disk(disk: &Disk) -> FormatOfFile {
    let copy = Disk::holding(disk.with(|disk| disk.visible.clone()));
    let database = Database::builder()
        .create_with_backend(copy)
        .expect("a file");
    format_of(&database)
}

fn assert_one_format_or_the_other_after_power_loss(left_by: LeftBy) {
    let previous = previous_disk(left_by);
    let operations = operations_of_the_upgrade(&previous);
    assert!(operations > 5, "{operations} operations");
    let (mut before_the_upgrade, mut after_it) = (0, 0);
    for at in 0..=operations {
        for seed in 0..16 {
            let disk = Disk::holding(previous.clone());
            disk.refuse_after(at);
            let is_opened = open_and_end(&disk);
            let after = disk.after_power_loss(seed * 7_919 + at as u64);
            let format = format_of_disk(&after);
            assert!(
                format == PREVIOUS || format == PRESENT,
                "operation {at}, seed {seed}: {format:?}"
            );
            assert!(
                !is_opened || format == PRESENT,
                "operation {at}, seed {seed}: it was opened"
            );
            if format == PREVIOUS {
                before_the_upgrade += 1;
            } else {
                after_it += 1;
            }
            assert!(
                open_and_end(&after),
                "operation {at}, seed {seed}: it can't be read any more"
            );
            assert_eq!(format_of_disk(&after), PRESENT);
        }
    }
    assert!(
        before_the_upgrade > 0 && after_it > 0,
        "{before_the_upgrade} losses before the upgrade counts, {after_it} after"
    );
}

#[test]
fn power_lost_at_every_operation_of_the_upgrade_leaves_the_one_format_or_the_other() {
    assert_one_format_or_the_other_after_power_loss(LeftBy::Close);
}

#[test]
fn power_lost_again_in_the_upgrade_after_a_loss_of_power_leaves_the_one_format_or_the_other() {
    assert_one_format_or_the_other_after_power_loss(LeftBy::Kill);
}

#[test]
fn an_upgrade_that_the_disk_refuses_is_an_error_and_done_at_the_next_opening() {
    let previous = previous_disk(LeftBy::Close);
    let mut refused = 0;
    for after in 0..operations_of_the_upgrade(&previous) {
        let disk = Disk::holding(previous.clone());
        disk.with(|disk| disk.refusal = Some(Refusal { after, count: 3 }));
        refused += usize::from(!open_and_end(&disk));
        disk.with(|disk| disk.refusal = None);
        assert!(
            open_and_end(&disk),
            "operation {after}: it can't be read any more"
        );
        assert_eq!(format_of_disk(&disk), PRESENT);
    }
    assert!(refused > 0, "none was refused");
}
