//! Messages between the network tasks and the event loop.

use bytes::Bytes;
use rushcourse_director_state::{InboundId, Input};
use tokio::sync::{OwnedSemaphorePermit, mpsc, oneshot};
use tokio::task::AbortHandle;

/// An event that a network task sends to the event loop.
pub(crate) enum LoopEvent {
    /// An input that is passed to the session unchanged.
    Input(Input),
    /// A message from a peer.
    Frame {
        inbound: InboundId,
        /// The JSON message, without the length prefix.
        message: Bytes,
        /// Receives whether the peer is registered as a collector, after the message was handled. `None` if it is
        /// already known to be one.
        is_collector: Option<oneshot::Sender<bool>>,
        /// Keeps the message's memory reserved until the event is dropped.
        _memory: OwnedSemaphorePermit,
    },
    /// A connection to the director's own address was accepted.
    Accepted {
        inbound: InboundId,
        /// Address of the peer, for the log.
        peer: String,
        /// The connection's write queue.
        messages: mpsc::Sender<PeerMessage>,
        /// Aborts the task that reads and writes the connection.
        task: AbortHandle,
    },
    /// An HTTP client requested a page.
    PageRequested {
        page: Page,
        /// Receives the page's body.
        response: oneshot::Sender<String>,
    },
}

/// The sending half of the event loop's queue. Sending waits while the queue is full.
pub(crate) type EventSender = mpsc::Sender<LoopEvent>;

/// An encoded frame to write to a peer.
pub(crate) enum PeerMessage {
    Message(Bytes),
    /// The connection is closed after this frame.
    Last(Bytes),
}

/// An HTTP page of the director.
#[derive(Clone, Copy)]
pub(crate) enum Page {
    /// `/healthz`
    Health,
    /// `/metrics`
    Metrics,
    /// `/tables`
    Tables,
}
