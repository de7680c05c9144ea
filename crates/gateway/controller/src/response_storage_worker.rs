//! The thread that owns the file of stored responses. It gathers parts for a write, and answers queries between the writes.

use crate::control_request::{ControlEvent, EventSender};
use crate::response_commands::{
    Command, Figures, PartToRead, PartsToStore, ResponseStorageEvent, ResponseStorageSetup,
    StorageReceipt,
};
use rushcourse_messages::OperationState;
use rushcourse_storage::{ResponseStore, StoredPart};
use rushcourse_types::Timestamp;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

/// Name of the file in the data directory.
const FILE_NAME: &str = "responses.redb";
/// Time for which parts are gathered before they are written, since a write costs as much for one as for many.
const GATHER_TIME: Duration = Duration::from_millis(150);
/// Number of gathered bytes that are written without waiting for more.
const MAX_GATHERED_BYTES: usize = 256 << 10;
/// Interval at which expired parts are removed where nothing is written, and a failed opening is repeated.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);

/// The thread's side of `ResponseStorage`.
pub(crate) struct Worker {
    pub(crate) setup: ResponseStorageSetup,
    pub(crate) commands: Receiver<Command>,
    pub(crate) figures: Arc<Figures>,
    pub(crate) events: EventSender,
}

impl Worker {
    /// Opens the file and serves commands until the process ends.
    pub(crate) fn run(self) {
        let Some(store) = self.open() else {
            return;
        };
        self.report(vec![ResponseStorageEvent::Opened(store.id())]);
        self.serve(store);
    }

    /// Answers queries at once, and gathers parts before it writes them.
    fn serve(&self, mut store: ResponseStore) {
        let mut batch = Batch::new(self.setup.clock.now());
        loop {
            let now = self.setup.clock.now();
            if batch.is_due(now) {
                let due = std::mem::replace(&mut batch, Batch::new(now));
                self.write(&mut store, &due);
            }
            match self.commands.recv_timeout(batch.write_at - now) {
                Ok(Command::Store(parts)) => batch.push(self.setup.clock.now(), parts),
                Ok(Command::Read(query)) => {
                    self.unqueue_query();
                    self.report(vec![read(&store, &query)]);
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    /// Opens the file, as often as it takes. `None` if the process ends meanwhile. Parts that arrive until then are
    /// dropped; the controller has not announced a store yet.
    fn open(&self) -> Option<ResponseStore> {
        let path = self.setup.directory.join(FILE_NAME);
        let ResponseStorageSetup {
            limits,
            new_id,
            clock,
            ..
        } = &self.setup;
        let mut has_logged = false;
        loop {
            match ResponseStore::open(&path, *limits, *new_id, clock.now()) {
                Ok(store) => return Some(store),
                Err(report) if !has_logged => {
                    has_logged = true;
                    log::error!(
                        "event=response_store_unavailable why={:?}",
                        report.to_string()
                    );
                }
                Err(_) => {}
            }
            match self.commands.recv_timeout(MAINTENANCE_INTERVAL) {
                Err(RecvTimeoutError::Disconnected) => return None,
                Ok(Command::Store(parts)) => self.unqueue(parts.bytes()),
                Ok(Command::Read(_)) => self.unqueue_query(),
                Err(RecvTimeoutError::Timeout) => {}
            }
        }
    }

    /// Writes parts, removes expired ones and reports those that are stored. After a failure no part is reported, and the
    /// gateways send them elsewhere.
    fn write(&self, store: &mut ResponseStore, batch: &Batch) {
        let now = self.setup.clock.now();
        if batch.parts.is_empty() && !store.has_expired(now) {
            return;
        }
        let written = store.write(now, &batch.parts);
        self.unqueue(batch.bytes);
        if let Err(report) = written {
            log::warn!("event=responses_not_stored why={:?}", report.to_string());
            return;
        }
        let figures = &self.figures;
        figures
            .stored_bytes
            .store(store.stored_bytes(), Ordering::Relaxed);
        figures.parts.store(store.part_count(), Ordering::Relaxed);
        let receipts = batch.receipts.iter().copied();
        self.report(receipts.map(ResponseStorageEvent::Stored).collect());
    }

    fn unqueue(&self, bytes: usize) {
        self.figures
            .queued_bytes
            .fetch_sub(bytes, Ordering::Relaxed);
    }

    fn unqueue_query(&self) {
        self.figures.queued_queries.fetch_sub(1, Ordering::Relaxed);
    }

    fn report(&self, events: Vec<ResponseStorageEvent>) {
        // The receiver is dropped only at process exit.
        let _ = self.events.send(ControlEvent::ResponseStorage(events));
    }
}

fn read(store: &ResponseStore, part: &PartToRead) -> ResponseStorageEvent {
    let state = match store.read(part.query) {
        Ok(Some(found)) => OperationState::Completed(found),
        Ok(None) => OperationState::NotFound,
        Err(report) => {
            log::warn!("event=response_not_read why={:?}", report.to_string());
            OperationState::NotFound
        }
    };
    ResponseStorageEvent::Read {
        session: part.session,
        token: part.token,
        state,
    }
}

/// Parts that are gathered for one write.
struct Batch {
    parts: Vec<StoredPart>,
    /// One for each message that a gateway sent.
    receipts: Vec<StorageReceipt>,
    bytes: usize,
    write_at: Timestamp,
}

impl Batch {
    /// Creates an empty batch, which is due after [`MAINTENANCE_INTERVAL`].
    fn new(now: Timestamp) -> Batch {
        Batch {
            parts: Vec::new(),
            receipts: Vec::new(),
            bytes: 0,
            write_at: now + MAINTENANCE_INTERVAL,
        }
    }

    fn push(&mut self, now: Timestamp, parts: PartsToStore) {
        if self.parts.is_empty() {
            self.write_at = now + GATHER_TIME;
        }
        self.bytes += parts.bytes();
        self.receipts.push(parts.receipt);
        self.parts.extend(parts.parts);
    }

    fn is_due(&self, now: Timestamp) -> bool {
        now >= self.write_at || self.bytes >= MAX_GATHERED_BYTES
    }
}
