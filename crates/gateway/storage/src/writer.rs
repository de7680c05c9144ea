//! The loop of the storage thread: many batches to a sync.

use crate::disk_health::DiskHealth;
use crate::store::Store;
use rushcourse_consensus::{BatchId, WriteBatch};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

/// Batches in one sync at most (ours): keeps a transaction under a megabyte.
const MAX_BATCHES_PER_SYNC: usize = 512;

/// The longest single wait for a batch. The next wait follows at once.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(3600);

/// The outcome of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It is on the disk.
    Synced(BatchId),
    /// The disk refused it: nothing of it counts.
    Refused(BatchId),
}

/// Writes batches until their sender is gone. Batches that wait are written together and synced once, 512 at most.
/// `report` is called from this thread after each sync, with the outcomes in the order of the batches.
pub fn run_writer(
    mut store: Store,
    batches: &Receiver<WriteBatch>,
    health: &DiskHealth,
    report: impl Fn(Vec<WriteOutcome>),
) {
    loop {
        let first = match batches.recv_timeout(RECEIVE_TIMEOUT) {
            Ok(batch) => batch,
            Err(RecvTimeoutError::Timeout) => continue,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        let mut waiting = vec![first];
        waiting.extend(batches.try_iter().take(MAX_BATCHES_PER_SYNC - 1));
        report(write(&mut store, &waiting, health));
    }
}

fn write(store: &mut Store, batches: &[WriteBatch], health: &DiskHealth) -> Vec<WriteOutcome> {
    let outcome = match health.measure(|| store.write(batches)) {
        Ok(()) => WriteOutcome::Synced,
        Err(error) => {
            log::error!(
                "event=disk_refused batches={} error={:?}",
                batches.len(),
                error.to_string()
            );
            WriteOutcome::Refused
        }
    };
    batches.iter().map(|batch| outcome(batch.id)).collect()
}
