//! The thread that owns the file of stored responses. It gathers parts for a write, answers queries between the writes, and
//! reads the parts of a gateway that has ended, a few at a time.

use crate::control_request::{ControlEvent, EventSender};
use crate::response_commands::{
    Command, Figures, PartToRead, PartToStore, ResponseStorageEvent, ResponseStorageSetup,
    StorageReceipt,
};
use rushcourse_messages::OperationState;
use rushcourse_storage::{HandoverPosition, ResponseStore, StoredPart};
use rushcourse_types::Timestamp;
use std::collections::VecDeque;
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
/// Bytes of a handover that are sent together, every [`HANDOVER_INTERVAL`].
const HANDOVER_BYTES: usize = 64 << 10;
const HANDOVER_INTERVAL: Duration = Duration::from_millis(50);
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
        let mut handover = Handover::default();
        loop {
            let now = self.setup.clock.now();
            if batch.is_due(now) {
                let due = std::mem::replace(&mut batch, Batch::new(now));
                self.write(&mut store, &due);
            }
            if handover.is_due(now) {
                let parts = handover.read_next(now, &store);
                self.report(vec![ResponseStorageEvent::HandOver(parts)]);
            }
            let wake_at = batch
                .write_at
                .min(handover.wake_at().unwrap_or(batch.write_at));
            match self.commands.recv_timeout(wake_at - now) {
                Ok(Command::Store(part)) => batch.push(self.setup.clock.now(), part),
                Ok(Command::HandOver(run)) => handover.positions.extend(store.parts_of(run)),
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
                Ok(Command::Store(part)) => self.unqueue(part.stored.part.bytes.len()),
                Ok(Command::Read(_)) => self.unqueue_query(),
                Ok(Command::HandOver(_)) | Err(RecvTimeoutError::Timeout) => {}
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
    /// One for each part that a gateway sent.
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

    fn push(&mut self, now: Timestamp, part: PartToStore) {
        if self.parts.is_empty() {
            self.write_at = now + GATHER_TIME;
        }
        self.bytes += part.stored.part.bytes.len();
        self.receipts.extend(part.receipt);
        self.parts.push(part.stored);
    }

    fn is_due(&self, now: Timestamp) -> bool {
        now >= self.write_at || self.bytes >= MAX_GATHERED_BYTES
    }
}

/// Parts that remain to be handed over.
#[derive(Default)]
struct Handover {
    positions: VecDeque<HandoverPosition>,
    next_at: Timestamp,
}

impl Handover {
    /// When to continue; `None` if nothing remains.
    fn wake_at(&self) -> Option<Timestamp> {
        (!self.positions.is_empty()).then_some(self.next_at)
    }

    fn is_due(&self, now: Timestamp) -> bool {
        self.wake_at().is_some_and(|wake_at| now >= wake_at)
    }

    /// Reads the next parts, up to [`HANDOVER_BYTES`].
    fn read_next(&mut self, now: Timestamp, store: &ResponseStore) -> Vec<StoredPart> {
        self.next_at = now + HANDOVER_INTERVAL;
        let (mut parts, mut bytes) = (Vec::new(), 0);
        while bytes < HANDOVER_BYTES
            && let Some(position) = self.positions.pop_front()
        {
            if let Some(stored) = store.read_for_handover(now, position) {
                bytes += stored.part.bytes.len();
                parts.push(stored);
            }
        }
        parts
    }
}
