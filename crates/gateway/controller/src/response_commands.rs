//! What the thread that stores responses is asked to do, and what it reports.

use rushcourse_messages::OperationState;
use rushcourse_storage::{GatewayRun, PartQuery, ResponseStoreLimits, StoredPart};
use rushcourse_transport::Clock;
use rushcourse_types::{ReplicaSequence, RequestToken, ResponseStoreId, SessionId};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, AtomicUsize};

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

/// What the thread is asked to do.
pub(crate) enum Command {
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
