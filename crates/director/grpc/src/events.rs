//! What the tasks of this package tell whoever holds the streams' state.

use rushcourse_xds::{Input, Response, StatusCode, StreamId};
use tokio::sync::mpsc;

/// What goes to a stream.
#[derive(Debug)]
pub enum Out {
    Response(Response),
    /// The stream ends with this status.
    End(StatusCode, String),
}

/// Responses and a status that may wait for a stream's transport: one is given at a time.
pub const OUT_MOST: usize = 2;

#[derive(Debug)]
pub enum FrontEvent {
    Input(Input),
    /// A stream was opened: the input that says so, how to write to it, and its connection.
    Opened {
        stream: StreamId,
        input: Input,
        out: mpsc::Sender<Out>,
        handle: crate::connections::ConnectionHandle,
    },
}

/// What may come in any number waits its turn; what comes at most once for a response or a stream does not.
#[derive(Clone, Debug)]
pub struct EventSender {
    pub bounded: mpsc::Sender<FrontEvent>,
    pub unbounded: mpsc::UnboundedSender<FrontEvent>,
}
