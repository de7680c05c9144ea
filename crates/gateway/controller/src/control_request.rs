//! What the event loop works through besides sessions, in the order in which it comes.

use crate::state_file::OpenedFile;
use rushcourse_messages::HostRecord;
use rushcourse_storage::WriteOutcome;
use rushcourse_types::{ConfigurationVersion, KeyDigest};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// The way back to the caller of a request.
pub(crate) type Responder = oneshot::Sender<ControlResponse>;

/// The event loop's queue.
pub(crate) type EventSender = mpsc::UnboundedSender<ControlEvent>;

/// One thing for the event loop.
pub(crate) enum ControlEvent {
    /// A host or an operator calls.
    Request(ControlRequest),
    /// The storage thread has worked through these batches.
    Storage(Vec<WriteOutcome>),
    /// The disk refused to open the state file at the start, and has let it be opened now.
    StateFileOpened(Box<OpenedFile>),
    /// The settings file may have changed.
    SettingsChanged,
}

/// A request of a host or an operator, checked, with the way to its answer.
pub(crate) enum ControlRequest {
    /// A host registers, or sends a heartbeat.
    RegisterHost {
        record: HostRecord,
        responder: Responder,
    },
    /// A host ends.
    DeregisterHost { id: Arc<str>, responder: Responder },
    /// An operator's configuration.
    PutConfiguration {
        version: ConfigurationVersion,
        text: Arc<[u8]>,
        responder: Responder,
    },
    /// An operator asks for the newest configuration.
    GetConfiguration { responder: Responder },
    /// The state of this controller as a page.
    GetStatus { responder: Responder },
    /// Who holds an operation key, as far as this controller has it.
    GetKey {
        key: KeyDigest,
        responder: Responder,
    },
}

/// What a request came to.
#[derive(Debug, PartialEq)]
pub(crate) enum ControlResponse {
    /// What a host said is taken.
    Done,
    /// A configuration is acknowledged: it, or a higher version, is committed.
    Acknowledged,
    /// A configuration is acknowledged, but under its number another text is committed: nothing changed.
    OtherTextCommitted,
    /// The configuration or page that was asked for.
    Text(Arc<[u8]>),
    /// No configuration was ever acknowledged.
    NoConfiguration,
    /// No majority in time: the configuration may be committed or not.
    Unknown,
    /// This controller has no recent contact with a majority: nothing was acknowledged, another controller may.
    NoQuorumContact,
}
