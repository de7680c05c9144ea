//! What the thread that stores responses is asked to do, and what it reports.

use rushcourse_messages::OperationState;
use rushcourse_storage::{PartQuery, ResponseStoreLimits, StoredPart};
use rushcourse_transport::Clock;
use rushcourse_types::{ReplicaSequence, RequestToken, ResponseStoreId, SessionId};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, AtomicUsize};

/// Parts of shards that a gateway sent in one message.
pub(crate) struct PartsToStore {
    /// Who is told once the parts are stored.
    pub(crate) receipt: StorageReceipt,
    pub(crate) parts: Vec<StoredPart>,
}

impl PartsToStore {
    pub(crate) fn bytes(&self) -> usize {
        self.parts.iter().map(|part| part.part.bytes.len()).sum()
    }
}

/// The confirmation that the parts of a message are stored: the session of its gateway and its number there.
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

/// What the thread is asked to do.
pub(crate) enum Command {
    Store(PartsToStore),
    Read(PartToRead),
}

/// What the thread has done.
pub(crate) enum ResponseStorageEvent {
    /// The file is open.
    Opened(ResponseStoreId),
    /// The parts of a message are on disk.
    Stored(StorageReceipt),
    /// The result of a query.
    Read {
        session: SessionId,
        token: RequestToken,
        state: OperationState,
    },
}

/// Figures of the file, shared with the thread.
#[derive(Debug, Default)]
pub(crate) struct Figures {
    pub(crate) queued_bytes: AtomicUsize,
    pub(crate) queued_queries: AtomicUsize,
    pub(crate) stored_bytes: AtomicU64,
    pub(crate) parts: AtomicUsize,
}

/// Parameters of the thread.
pub(crate) struct ResponseStorageSetup {
    pub(crate) directory: PathBuf,
    pub(crate) limits: ResponseStoreLimits,
    /// Identifier of a file that has to be created.
    pub(crate) new_id: ResponseStoreId,
    pub(crate) clock: Clock,
}
