//! Events of the event loop's control queue: requests from the HTTP API, outcomes of disk writes, and signals.

use crate::platform_client::FinishedDelivery;
use crate::response_commands::ResponseStorageEvent;
use crate::state_file::OpenedFile;
use rushcourse_messages::HostRecord;
use rushcourse_storage::WriteOutcome;
use rushcourse_types::{ConfigurationVersion, KeyDigest};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// Sends the response to the HTTP handler that waits for it.
pub(crate) type Responder = oneshot::Sender<ControlResponse>;

/// Sender of the event loop's control queue.
pub(crate) type EventSender = mpsc::UnboundedSender<ControlEvent>;

/// An event in the control queue.
pub(crate) enum ControlEvent {
    /// A host or an operator sent a valid request.
    Request(ControlRequest),
    /// The storage thread synced or refused these batches.
    WriteOutcomes(Vec<WriteOutcome>),
    /// The state file, which could not be opened at startup, is now open.
    StateFileOpened(Box<OpenedFile>),
    /// The thread that stores responses has opened its file, stored parts or read some.
    ResponseStorage(Vec<ResponseStorageEvent>),
    /// A call to the platform has ended.
    DeliveryFinished(FinishedDelivery),
    /// SIGHUP was received: reload the settings file.
    SettingsChanged,
}

/// A validated request of a host or an operator, with the responder for its response.
pub(crate) enum ControlRequest {
    /// A registration or heartbeat of a host.
    RegisterHost {
        record: HostRecord,
        responder: Responder,
    },
    /// A host deregisters before it exits.
    DeregisterHost {
        id: Arc<str>,
        responder: Responder,
    },
    /// Commit a configuration submitted by an operator.
    PutConfiguration {
        version: ConfigurationVersion,
        text: Arc<[u8]>,
        responder: Responder,
    },
    /// Read the newest committed configuration.
    GetConfiguration {
        responder: Responder,
    },
    GetStatus {
        responder: Responder,
    },
    /// Look up the claim of an operation in this controller's state only.
    GetClaim {
        key: KeyDigest,
        responder: Responder,
    },
}

/// The outcome of a request.
#[derive(Debug, PartialEq)]
pub(crate) enum ControlResponse {
    /// A host's request was applied.
    Done,
    /// The submitted configuration, or one with a higher version, is committed.
    Acknowledged,
    /// The submitted version is already committed with a different text; the request had no effect.
    OtherTextCommitted,
    /// The requested configuration or status page.
    Text(Arc<[u8]>),
    /// No configuration has been committed yet.
    NoConfiguration,
    /// No majority responded in time; a submitted configuration may or may not be committed.
    Unknown,
    /// This controller has no quorum contact. The request is not acknowledged; the caller may retry at another
    /// controller.
    NoQuorumContact,
}
