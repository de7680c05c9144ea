//! The thread that works on the state file, as the event loop sees it.

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

/// A way to the storage thread.
pub(crate) struct StorageThread {
    batches: mpsc::Sender<WriteBatch>,
    health: Arc<DiskHealth>,
    file: PathBuf,
}

impl StorageThread {
    /// Starts the thread, which calls `report` with the batches that it has worked through.
    ///
    /// # Errors
    /// [`StartError::Disk`] where the operating system gives no thread.
    pub(crate) fn spawn(
        store: Store,
        file: &Path,
        report: impl Fn(Vec<WriteOutcome>) + Send + 'static,
    ) -> Result<StorageThread, Report<StartError>> {
        let (batches, queue) = mpsc::channel();
        let health = Arc::new(DiskHealth::default());
        let thread_health = health.clone();
        thread::Builder::new()
            .name("storage".into())
            .stack_size(STACK_BYTES)
            .spawn(move || run_writer(store, &queue, &thread_health, report))
            .change_context(StartError::Disk)?;
        Ok(StorageThread {
            batches,
            health,
            file: file.to_path_buf(),
        })
    }

    /// Hands a batch to the thread, which reports by its number once it is on disk.
    pub(crate) fn write(&self, batch: WriteBatch) {
        if self.batches.send(batch).is_err() {
            log::error!("event=storage_thread_gone");
        }
    }

    /// Hands an operation to the thread that nobody waits for.
    pub(crate) fn write_untracked(&self, operation: WriteOperation) {
        let _ = self.batches.send(WriteBatch {
            id: BatchId::NONE,
            operations: vec![operation],
        });
    }

    /// What the thread has done so far.
    pub(crate) fn statistics(&self) -> DiskStatistics {
        self.health.statistics()
    }

    /// Bytes of the state file.
    pub(crate) fn file_bytes(&self) -> u64 {
        std::fs::metadata(&self.file).map_or(0, |metadata| metadata.len())
    }
}
