//! A controller's disk. `Store::open` reads what is there; `run` is the work of the storage thread: it takes batches,
//! writes all that wait in one transaction, syncs once, and tells which batches are held and which were refused.

mod claims;
mod damage;
mod health;
mod reading;
mod store;
mod tables;
mod upgrade;
mod writing;

pub use damage::Damaged;
pub use health::{Doing, Health};
pub use store::Store;

use rushcourse_consensus::WriteOperation;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

/// Batches in one sync at most (ours): keeps a transaction under a megabyte.
const BATCHES_MOST: usize = 512;

/// What came of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Done {
    Synced(u64),
    Refused(u64),
}

/// Works through batches until their sender is gone. `tell` is called from this thread.
pub fn run(
    mut store: Store,
    batches: &Receiver<(u64, Vec<WriteOperation>)>,
    health: &Health,
    tell: impl Fn(Vec<Done>),
) {
    loop {
        let first = match batches.recv_timeout(Duration::from_secs(3600)) {
            Ok(batch) => batch,
            Err(RecvTimeoutError::Timeout) => continue,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        let mut all = vec![first];
        all.extend(batches.try_iter().take(BATCHES_MOST - 1));
        let done: Vec<Done> = match health.time(|| store.write(&all)) {
            Ok(()) => all.iter().map(|b| Done::Synced(b.0)).collect(),
            Err(e) => {
                log::error!(
                    "event=disk_refused batches={} error={:?}",
                    all.len(),
                    e.to_string()
                );
                all.iter().map(|b| Done::Refused(b.0)).collect()
            }
        };
        tell(done);
    }
}
