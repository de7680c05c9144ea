//! What the network tasks report to the loop, and what the loop gives them.

use bytes::Bytes;
use rushcourse_director_state::{InboundId, Input};
use tokio::sync::{OwnedSemaphorePermit, mpsc, oneshot};
use tokio::task::AbortHandle;

/// What a network task reports.
pub(crate) enum LoopEvent {
    /// An input of the session as it is.
    Input(Input),
    /// A message of a peer.
    Frame {
        /// The peer's connection.
        inbound: InboundId,
        /// The message.
        message: Bytes,
        /// Asks whether the peer has registered as a collector, once the message was handled.
        is_collector: Option<oneshot::Sender<bool>>,
        /// Its bytes count against what may wait until this is dropped.
        _memory: OwnedSemaphorePermit,
    },
    /// A peer connected.
    Accepted {
        /// Its connection.
        inbound: InboundId,
        /// Its address, for the log.
        peer: String,
        /// How to write to it.
        messages: mpsc::Sender<PeerMessage>,
        /// How to end it.
        task: AbortHandle,
    },
    /// A page is asked for.
    PageRequested {
        /// Which one.
        page: Page,
        /// Where its text goes.
        text: oneshot::Sender<String>,
    },
}

/// Where tasks report to.
pub(crate) type LoopSender = mpsc::Sender<LoopEvent>;

/// What goes to a peer.
pub(crate) enum PeerMessage {
    /// A message.
    Message(Bytes),
    /// A message after which the connection ends.
    Last(Bytes),
}

/// A page for people or monitors.
#[derive(Clone, Copy)]
pub(crate) enum Page {
    /// `/healthz`
    Health,
    /// `/metrics`
    Metrics,
    /// `/tables`
    Tables,
}
