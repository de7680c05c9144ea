//! Access to the state file through the storage thread, which does not run until the file is open.

use crate::control_request::{ControlEvent, EventSender};
use error_stack::{Report, ResultExt};
use rushcourse_consensus::{BatchId, WriteBatch, WriteOperation};
use rushcourse_storage::{DiskHealth, DiskStatistics, Store, WriteOutcome, run_writer};
use rushcourse_transport::StartError;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::mpsc;
use std::thread;

/// Stack size of the storage thread in bytes.
const STACK_BYTES: usize = 512 << 10;

/// Write access to the state file. Refuses all batches until the file is open.
pub(crate) struct Storage {
    file: PathBuf,
    events: EventSender,
    thread: Option<StorageThread>,
}

/// Channel to the running storage thread, and the disk statistics that it updates.
struct StorageThread {
    batches: mpsc::Sender<WriteBatch>,
    health: Arc<DiskHealth>,
}

impl Storage {
    /// Creates the access to a file that is not open yet. `events` receives the outcomes of batches.
    pub(crate) fn new(file: &Path, events: EventSender) -> Storage {
        Storage {
            file: file.to_path_buf(),
            events,
            thread: None,
        }
    }

    /// Spawns the storage thread, which takes ownership of the open file.
    ///
    /// # Errors
    /// Returns [`StartError::Disk`] if the thread can't be spawned.
    pub(crate) fn start(&mut self, store: Store) -> Result<(), Report<StartError>> {
        let (batches, queue) = mpsc::channel();
        let health = Arc::new(DiskHealth::default());
        let thread_health = health.clone();
        let events = self.events.clone();
        let report = move |outcomes| {
            // The receiver is dropped only at process exit.
            let _ = events.send(ControlEvent::WriteOutcomes(outcomes));
        };
        thread::Builder::new()
            .name("storage".into())
            .stack_size(STACK_BYTES)
            .spawn(move || run_writer(store, &queue, &thread_health, report))
            .change_context(StartError::Disk)?;
        self.thread = Some(StorageThread { batches, health });
        Ok(())
    }

    /// Whether the state file is open and the storage thread was started.
    pub(crate) fn is_open(&self) -> bool {
        self.thread.is_some()
    }

    /// Queues a batch for writing. Its outcome, identified by the batch id, follows as `ControlEvent::WriteOutcomes`.
    pub(crate) fn write(&self, batch: WriteBatch) {
        let Some(thread) = &self.thread else {
            let refused = vec![WriteOutcome::Refused(batch.id)];
            let _ = self.events.send(ControlEvent::WriteOutcomes(refused));
            return;
        };
        if thread.batches.send(batch).is_err() {
            log::error!("event=storage_thread_gone");
        }
    }

    /// Queues an operation whose outcome is ignored. Drops it if the file is not open.
    pub(crate) fn write_untracked(&self, operation: WriteOperation) {
        if let Some(thread) = &self.thread {
            let _ = thread.batches.send(WriteBatch {
                id: BatchId::NONE,
                operations: vec![operation],
            });
        }
    }

    /// Statistics of the storage thread; all zero until the file is open.
    pub(crate) fn statistics(&self) -> DiskStatistics {
        let thread = self.thread.as_ref();
        thread.map_or(DiskStatistics::default(), |thread| {
            thread.health.statistics()
        })
    }

    /// Size of the state file in bytes; 0 if it doesn't exist.
    pub(crate) fn file_bytes(&self) -> u64 {
        std::fs::metadata(&self.file).map_or(0, |metadata| metadata.len())
    }
}
