//! Access to the replicas of stored responses, through a thread that owns their file. The file is apart from the state
//! file, so that a write of responses does not hold up a claim. The thread also reads the parts of a gateway that has
//! ended, a few at a time, to be handed over to other controllers.

use crate::control_request::{ControlEvent, EventSender};
use error_stack::{Report, ResultExt};
use rushcourse_messages::OperationState;
use rushcourse_storage::{
    GatewayRun, HandoverPosition, PartQuery, ResponseStore, ResponseStoreLimits, StoredPart,
};
use rushcourse_transport::{Clock, StartError};
use rushcourse_types::{ReplicaSequence, RequestToken, ResponseStoreId, SessionId};
use std::collections::VecDeque;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::Duration;

/// Name of the file in the data directory.
const FILE_NAME: &str = "responses.redb";
/// Stack size of the thread in bytes.
const STACK_BYTES: usize = 512 << 10;
/// Limit of the bytes that wait for the disk. Further parts are dropped, and their gateways send them elsewhere.
const MAX_QUEUED_BYTES: usize = 16 << 20;
/// Limit of the queries that wait for the disk. Further ones are dropped, and other controllers answer.
const MAX_QUEUED_QUERIES: usize = 4_096;
/// Time for which parts are gathered before they are written, since a write costs as much for one as for many.
const GATHER_TIME: Duration = Duration::from_millis(150);
/// Number of gathered bytes that are written without waiting for more.
const MAX_GATHERED_BYTES: usize = 256 << 10;
/// Bytes of a handover that are sent together, every [`HANDOVER_INTERVAL`].
const HANDOVER_BYTES: usize = 64 << 10;
const HANDOVER_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which expired parts are removed where nothing is written, and a failed opening is repeated.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);

/// A part that a gateway or another controller sent.
pub(crate) struct PartToStore {
    /// Who is told once the part is stored; `None` if a controller sent it.
    pub(crate) receipt: Option<StorageReceipt>,
    pub(crate) stored: StoredPart,
}

/// The confirmation that a part is stored: the session of its gateway and its number there.
#[derive(Clone, Copy)]
pub(crate) struct StorageReceipt {
    pub(crate) session: SessionId,
    pub(crate) sequence: ReplicaSequence,
}

/// A query of a gateway, with the session and the token of the reply.
pub(crate) struct PartToRead {
    pub(crate) session: SessionId,
    pub(crate) token: RequestToken,
    pub(crate) query: PartQuery,
}

enum Command {
    Store(PartToStore),
    Read(PartToRead),
    HandOver(GatewayRun),
}

/// What the thread has done.
pub(crate) enum ResponseStorageEvent {
    /// The file is open.
    Opened(ResponseStoreId),
    /// A part is on disk.
    Stored(StorageReceipt),
    /// Parts of gateways that have ended, for other controllers.
    HandOver(Vec<StoredPart>),
    /// The result of a query.
    Read {
        session: SessionId,
        token: RequestToken,
        state: OperationState,
    },
}

/// Figures of the file, shared with the thread.
#[derive(Debug, Default)]
struct Figures {
    queued_bytes: AtomicUsize,
    queued_queries: AtomicUsize,
    stored_bytes: AtomicU64,
    parts: AtomicUsize,
}

/// Parameters of the thread.
pub(crate) struct ResponseStorageSetup {
    pub(crate) directory: PathBuf,
    pub(crate) limits: ResponseStoreLimits,
    /// Identifier of a file that has to be created.
    pub(crate) new_id: ResponseStoreId,
    pub(crate) clock: Clock,
}

/// Handle to the thread that stores responses.
pub(crate) struct ResponseStorage {
    commands: Sender<Command>,
    figures: Arc<Figures>,
    /// `None` until the file is open.
    pub(crate) store: Option<ResponseStoreId>,
}

impl ResponseStorage {
    /// Starts the thread, which opens the file and tells so by [`ResponseStorageEvent::Opened`].
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

    /// Queues a part for writing. Drops it if too much waits for the disk.
    pub(crate) fn store_part(&self, part: PartToStore) {
        let bytes = part.stored.part.bytes.len();
        let queued = &self.figures.queued_bytes;
        if !part.stored.part.is_valid() || queued.load(Ordering::Relaxed) + bytes > MAX_QUEUED_BYTES
        {
            return;
        }
        queued.fetch_add(bytes, Ordering::Relaxed);
        let _ = self.commands.send(Command::Store(part));
    }

    /// Queues a query. [`ResponseStorageEvent::Read`] follows, unless too many wait for the disk.
    pub(crate) fn read_part(&self, part: PartToRead) {
        let queued = &self.figures.queued_queries;
        if queued.load(Ordering::Relaxed) < MAX_QUEUED_QUERIES {
            queued.fetch_add(1, Ordering::Relaxed);
            let _ = self.commands.send(Command::Read(part));
        }
    }

    /// Starts to read the parts of a gateway that has ended. [`ResponseStorageEvent::HandOver`] follows, several times.
    pub(crate) fn hand_over(&self, run: GatewayRun) {
        let _ = self.commands.send(Command::HandOver(run));
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

/// The thread's side.
struct Worker {
    setup: ResponseStorageSetup,
    commands: Receiver<Command>,
    figures: Arc<Figures>,
    events: EventSender,
}

impl Worker {
    fn run(self) {
        let Some(store) = self.open() else {
            return;
        };
        self.report(vec![ResponseStorageEvent::Opened(store.id())]);
        self.serve(store);
    }

    /// Answers queries at once, and gathers parts for [`GATHER_TIME`] before it writes them.
    fn serve(&self, mut store: ResponseStore) {
        let mut parts = Vec::new();
        let mut gathered_bytes = 0;
        let mut handover = VecDeque::new();
        let mut write_at = self.setup.clock.now() + MAINTENANCE_INTERVAL;
        loop {
            let now = self.setup.clock.now();
            if now >= write_at || gathered_bytes >= MAX_GATHERED_BYTES {
                self.write(&mut store, std::mem::take(&mut parts));
                gathered_bytes = 0;
                write_at = now + MAINTENANCE_INTERVAL;
            }
            let wait = if handover.is_empty() {
                write_at - now
            } else {
                self.hand_over(&store, &mut handover);
                HANDOVER_INTERVAL.min(write_at - now)
            };
            match self.commands.recv_timeout(wait) {
                Ok(Command::HandOver(run)) => handover.extend(store.parts_of(run)),
                Ok(Command::Store(part)) => {
                    if parts.is_empty() {
                        write_at = self.setup.clock.now() + GATHER_TIME;
                    }
                    gathered_bytes += part.stored.part.bytes.len();
                    parts.push(part);
                }
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
                Ok(Command::Store(part)) => self.unqueue(&part),
                Ok(Command::Read(_)) => self.unqueue_query(),
                Ok(Command::HandOver(_)) | Err(RecvTimeoutError::Timeout) => {}
            }
        }
    }

    /// Reads the next parts of a handover, up to [`HANDOVER_BYTES`].
    fn hand_over(&self, store: &ResponseStore, handover: &mut VecDeque<HandoverPosition>) {
        let now = self.setup.clock.now();
        let (mut parts, mut bytes) = (Vec::new(), 0);
        while bytes < HANDOVER_BYTES
            && let Some(position) = handover.pop_front()
        {
            if let Some(stored) = store.read_for_handover(now, position) {
                bytes += stored.part.bytes.len();
                parts.push(stored);
            }
        }
        self.report(vec![ResponseStorageEvent::HandOver(parts)]);
    }

    /// Writes parts, removes expired ones and reports those that are stored. After a failure no part is reported, and the
    /// gateways send them elsewhere.
    fn write(&self, store: &mut ResponseStore, parts: Vec<PartToStore>) {
        let now = self.setup.clock.now();
        if parts.is_empty() && !store.has_expired(now) {
            return;
        }
        let stored: Vec<StoredPart> = parts.iter().map(|part| part.stored.clone()).collect();
        let written = store.write(now, &stored);
        for part in &parts {
            self.unqueue(part);
        }
        if let Err(report) = written {
            log::warn!("event=responses_not_stored why={:?}", report.to_string());
            return;
        }
        let figures = &self.figures;
        figures
            .stored_bytes
            .store(store.stored_bytes(), Ordering::Relaxed);
        figures.parts.store(store.part_count(), Ordering::Relaxed);
        let receipts = parts.iter().filter_map(|part| part.receipt);
        self.report(receipts.map(ResponseStorageEvent::Stored).collect());
    }

    fn unqueue(&self, part: &PartToStore) {
        let bytes = part.stored.part.bytes.len();
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
