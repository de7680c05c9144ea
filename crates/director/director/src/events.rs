//! Messages between the network tasks and the loop.

use bytes::Bytes;
use rushcourse_director_state::{InboundId, Input};
use tokio::sync::{OwnedSemaphorePermit, mpsc, oneshot};
use tokio::task::AbortHandle;

/// A message of a network task to the loop.
pub enum LoopEvent {
    Input(Input),
    /// A message of a peer; its bytes count against what may wait until this is dropped.
    Frame {
        inbound: InboundId,
        message: Bytes,
        /// Where to say whether it has joined.
        verdict: Option<oneshot::Sender<bool>>,
        _room: OwnedSemaphorePermit,
    },
    /// Somebody connected; how to write to them and how to end it.
    Accepted {
        inbound: InboundId,
        peer: String,
        out: mpsc::Sender<Out>,
        task: AbortHandle,
    },
    /// A page is asked for.
    Page {
        what: Page,
        to: oneshot::Sender<String>,
    },
}

pub type LoopSender = mpsc::Sender<LoopEvent>;

/// What goes to a peer.
pub enum Out {
    Answer(Bytes),
    /// The connection ends with it.
    Last(Bytes),
}

/// A page for people or monitors.
#[derive(Clone, Copy)]
pub enum Page {
    Health,
    Metrics,
    Tables,
}
