//! Access to the shards of stored responses, through a thread that owns their file. The file is apart from the state
//! file, so that a write of responses does not hold up a claim.

use crate::control_request::EventSender;
use crate::response_commands::{Command, Figures, PartToRead, PartsToStore, ResponseStorageSetup};
use crate::response_storage_worker::Worker;
use error_stack::{Report, ResultExt};
use rushcourse_transport::StartError;
use rushcourse_types::ResponseStoreId;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Sender, channel};
use std::thread;

/// Stack size of the thread in bytes.
const STACK_BYTES: usize = 512 << 10;
/// Limit of the bytes that wait for the disk. Further parts are dropped, and their gateways send them elsewhere.
const MAX_QUEUED_BYTES: usize = 16 << 20;
/// Limit of the queries that wait for the disk. Further ones are dropped, and other controllers answer.
const MAX_QUEUED_QUERIES: usize = 4_096;

/// Handle to the thread that stores responses.
pub(crate) struct ResponseStorage {
    commands: Sender<Command>,
    figures: Arc<Figures>,
    /// `None` until the file is open.
    pub(crate) store: Option<ResponseStoreId>,
}

impl ResponseStorage {
    /// Starts the thread, which opens the file and tells so by `ResponseStorageEvent::Opened`.
    ///
    /// # Errors
    /// [`StartError::Disk`] if the thread can't be spawned.
    pub(crate) fn start(
        setup: ResponseStorageSetup,
        events: EventSender,
    ) -> Result<ResponseStorage, Report<StartError>> {
        let (commands, receiver) = channel();
        let figures = Arc::new(Figures::default());
        let worker = Worker {
            setup,
            commands: receiver,
            figures: figures.clone(),
            events,
        };
        thread::Builder::new()
            .name("responses".into())
            .stack_size(STACK_BYTES)
            .spawn(move || worker.run())
            .change_context(StartError::Disk)?;
        Ok(ResponseStorage {
            commands,
            figures,
            store: None,
        })
    }

    /// Queues the parts of a message for writing. Drops them if too much waits for the disk.
    pub(crate) fn store_parts(&self, parts: PartsToStore) {
        let bytes = parts.bytes();
        let are_valid = parts.parts.iter().all(|stored| stored.part.is_valid());
        let queued = &self.figures.queued_bytes;
        if !are_valid || queued.load(Ordering::Relaxed) + bytes > MAX_QUEUED_BYTES {
            return;
        }
        queued.fetch_add(bytes, Ordering::Relaxed);
        let _ = self.commands.send(Command::Store(parts));
    }

    /// Queues a query. `ResponseStorageEvent::Read` follows, unless too many wait for the disk.
    pub(crate) fn read_part(&self, part: PartToRead) {
        let queued = &self.figures.queued_queries;
        if queued.load(Ordering::Relaxed) < MAX_QUEUED_QUERIES {
            queued.fetch_add(1, Ordering::Relaxed);
            let _ = self.commands.send(Command::Read(part));
        }
    }

    /// The bytes of all stored parts.
    pub(crate) fn stored_bytes(&self) -> u64 {
        self.figures.stored_bytes.load(Ordering::Relaxed)
    }

    /// The number of stored parts.
    pub(crate) fn part_count(&self) -> usize {
        self.figures.parts.load(Ordering::Relaxed)
    }
}
