//! The loop of the storage thread, which commits pending batches in groups.

use crate::disk_health::DiskHealth;
use crate::store::Store;
use rushcourse_consensus::{BatchId, WriteBatch};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

/// Maximum number of batches per sync, which bounds the size of a transaction.
const MAX_BATCHES_PER_SYNC: usize = 512;

/// Timeout of a single receive call. A timeout has no effect other than another call.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(3600);

/// Outcome of writing one batch, reported by [`run_writer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The batch is committed and synced to disk.
    Synced(BatchId),
    /// The write failed; none of the batch's operations is stored.
    Refused(BatchId),
}

/// Writes batches until the sender disconnects. Up to 512 pending batches share one transaction and one sync. Calls
/// `report` on this thread after each sync, with the outcomes in the order of the batches.
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
        let mut pending = vec![first];
        pending.extend(batches.try_iter().take(MAX_BATCHES_PER_SYNC - 1));
        report(write(&mut store, &pending, health));
    }
}

fn write(store: &mut Store, batches: &[WriteBatch], health: &DiskHealth) -> Vec<WriteOutcome> {
    let outcome = match health.measure_write(|| store.write(batches)) {
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
