//! The state file as the event loop sees it: the thread that works on it, or the lack of one.

use crate::control_request::{ControlEvent, EventSender};
use error_stack::{Report, ResultExt};
use rushcourse_consensus::{BatchId, WriteBatch, WriteOperation};
use rushcourse_storage::{DiskHealth, DiskStatistics, Store, WriteOutcome, run_writer};
use rushcourse_transport::StartError;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::mpsc;
use std::thread;

/// The stack of the storage thread.
const STACK_BYTES: usize = 512 << 10;

/// The state file. While the disk does not let it be opened, each batch is refused.
pub(crate) struct Storage {
    file: PathBuf,
    events: EventSender,
    thread: Option<StorageThread>,
}

/// A way to the storage thread.
struct StorageThread {
    batches: mpsc::Sender<WriteBatch>,
    health: Arc<DiskHealth>,
}

impl Storage {
    /// The state file before it is open. Outcomes of batches go to `events`.
    pub(crate) fn new(file: &Path, events: EventSender) -> Storage {
        Storage {
            file: file.to_path_buf(),
            events,
            thread: None,
        }
    }

    /// The file is open: starts the thread that works on it.
    ///
    /// # Errors
    /// [`StartError::Disk`] where the operating system gives no thread.
    pub(crate) fn start(&mut self, store: Store) -> Result<(), Report<StartError>> {
        let (batches, queue) = mpsc::channel();
        let health = Arc::new(DiskHealth::default());
        let thread_health = health.clone();
        let events = self.events.clone();
        let report = move |outcomes| {
            // The event loop is gone only where the process ends.
            let _ = events.send(ControlEvent::Storage(outcomes));
        };
        thread::Builder::new()
            .name("storage".into())
            .stack_size(STACK_BYTES)
            .spawn(move || run_writer(store, &queue, &thread_health, report))
            .change_context(StartError::Disk)?;
        self.thread = Some(StorageThread { batches, health });
        Ok(())
    }

    /// Whether the file is open.
    pub(crate) fn is_open(&self) -> bool {
        self.thread.is_some()
    }

    /// Hands a batch to the thread, which reports by its number once it is on disk.
    pub(crate) fn write(&self, batch: WriteBatch) {
        let Some(thread) = &self.thread else {
            let refused = vec![WriteOutcome::Refused(batch.id)];
            let _ = self.events.send(ControlEvent::Storage(refused));
            return;
        };
        if thread.batches.send(batch).is_err() {
            log::error!("event=storage_thread_gone");
        }
    }

    /// Hands an operation to the thread that nobody waits for.
    pub(crate) fn write_untracked(&self, operation: WriteOperation) {
        if let Some(thread) = &self.thread {
            let _ = thread.batches.send(WriteBatch {
                id: BatchId::NONE,
                operations: vec![operation],
            });
        }
    }

    /// What the thread has done so far.
    pub(crate) fn statistics(&self) -> DiskStatistics {
        let thread = self.thread.as_ref();
        thread.map_or(DiskStatistics::default(), |thread| {
            thread.health.statistics()
        })
    }

    /// Bytes of the state file.
    pub(crate) fn file_bytes(&self) -> u64 {
        std::fs::metadata(&self.file).map_or(0, |metadata| metadata.len())
    }
}
