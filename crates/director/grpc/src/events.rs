//! What the tasks of this package report to the owner of the transport, and what goes to a stream's task.

use crate::connections::ConnectionHandle;
use rushcourse_xds::{Input, Response, StatusCode, StreamId};
use tokio::sync::mpsc;

/// What goes to a stream.
#[derive(Debug)]
pub(crate) enum StreamCommand {
    /// A response to send.
    Respond(Response),
    /// The stream ends with this status and message.
    End(StatusCode, String),
}

/// Commands that may wait for a stream's transport: one response is given at a time, and a status after it.
pub(crate) const MAX_WAITING_COMMANDS: usize = 2;

/// What a task reports.
#[derive(Debug)]
pub(crate) enum TransportEvent {
    /// An input as it is.
    Input(Input),
    /// A stream was opened.
    StreamOpened {
        /// Its number.
        stream: StreamId,
        /// The input that says so.
        input: Input,
        /// How to write to it.
        commands: mpsc::Sender<StreamCommand>,
        /// Its connection.
        connection: ConnectionHandle,
    },
}

/// Where tasks report to.
#[derive(Clone, Debug)]
pub(crate) struct EventSender {
    bounded: mpsc::Sender<TransportEvent>,
    unbounded: mpsc::UnboundedSender<TransportEvent>,
}

/// The owner of the transport has gone.
#[derive(Debug)]
pub(crate) struct TransportGone;

impl EventSender {
    /// Reports what peers may bring about in any number: it waits its turn.
    pub(crate) async fn send(&self, event: TransportEvent) -> Result<(), TransportGone> {
        self.bounded.send(event).await.map_err(|_| TransportGone)
    }

    /// Reports what happens at most once for a response or a stream: it waits for nothing.
    pub(crate) fn send_now(&self, input: Input) {
        // Where the owner has gone, nobody misses it.
        _ = self.unbounded.send(TransportEvent::Input(input));
    }
}

/// Where the owner reads.
#[derive(Debug)]
pub(crate) struct EventReceiver {
    bounded: mpsc::Receiver<TransportEvent>,
    unbounded: mpsc::UnboundedReceiver<TransportEvent>,
}

/// A channel on which at most `max_waiting` events wait that peers bring about.
pub(crate) fn channel(max_waiting: usize) -> (EventSender, EventReceiver) {
    let (bounded, bounded_events) = mpsc::channel(max_waiting);
    let (unbounded, unbounded_events) = mpsc::unbounded_channel();
    (
        EventSender { bounded, unbounded },
        EventReceiver {
            bounded: bounded_events,
            unbounded: unbounded_events,
        },
    )
}

impl EventReceiver {
    /// The next event; those that wait for nothing come first.
    pub(crate) async fn recv(&mut self) -> Option<TransportEvent> {
        tokio::select! {
            biased;
            event = self.unbounded.recv() => event,
            event = self.bounded.recv() => event,
        }
    }

    /// An event that is there already.
    pub(crate) fn try_recv(&mut self) -> Option<TransportEvent> {
        self.unbounded
            .try_recv()
            .ok()
            .or_else(|| self.bounded.try_recv().ok())
    }
}
