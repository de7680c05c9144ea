//! Channels between stream tasks and the transport: events to the transport, commands to a stream.

use crate::connections::ConnectionHandle;
use rushcourse_xds::{Input, Response, StatusCode, StreamId};
use tokio::sync::mpsc;

/// Command from the transport to a stream's task.
#[derive(Debug)]
pub(crate) enum StreamCommand {
    Respond(Response),
    /// Ends the stream with this status and message.
    End(StatusCode, String),
}

/// Capacity of a stream's command channel: at most one response is pending, and a final status may follow it.
pub(crate) const COMMAND_CHANNEL_CAPACITY: usize = 2;

/// Event from a stream's task to the transport.
#[derive(Debug)]
pub(crate) enum TransportEvent {
    /// An input that the transport returns unchanged.
    Input(Input),
    /// A proxy opened a stream. The transport keeps its command channel and returns `input`.
    StreamOpened {
        stream: StreamId,
        input: Input,
        commands: mpsc::Sender<StreamCommand>,
        connection: ConnectionHandle,
    },
}

/// Sender of transport events. The bounded channel applies backpressure to peers; the unbounded one is for events whose
/// number is limited otherwise.
#[derive(Clone, Debug)]
pub(crate) struct EventSender {
    bounded: mpsc::Sender<TransportEvent>,
    unbounded: mpsc::UnboundedSender<TransportEvent>,
}

/// The transport was dropped, so the event has no receiver.
#[derive(Debug)]
pub(crate) struct TransportClosed;

impl EventSender {
    /// Sends an event that peers can cause in any number. Waits while the channel is full.
    pub(crate) async fn send(&self, event: TransportEvent) -> Result<(), TransportClosed> {
        self.bounded.send(event).await.map_err(|_| TransportClosed)
    }

    /// Sends an input that occurs at most once per response or stream, without waiting. It is discarded if the
    /// transport was dropped.
    pub(crate) fn send_now(&self, input: Input) {
        _ = self.unbounded.send(TransportEvent::Input(input));
    }
}

/// Receiver of transport events.
#[derive(Debug)]
pub(crate) struct EventReceiver {
    bounded: mpsc::Receiver<TransportEvent>,
    unbounded: mpsc::UnboundedReceiver<TransportEvent>,
}

/// Creates an event channel. `capacity` limits the queued events of [`EventSender::send`].
pub(crate) fn channel(capacity: usize) -> (EventSender, EventReceiver) {
    let (bounded, bounded_events) = mpsc::channel(capacity);
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
    /// Waits for the next event. Events of [`EventSender::send_now`] take precedence.
    pub(crate) async fn recv(&mut self) -> Option<TransportEvent> {
        tokio::select! {
            biased;
            event = self.unbounded.recv() => event,
            event = self.bounded.recv() => event,
        }
    }

    /// Returns a queued event, or `None` if both channels are empty.
    pub(crate) fn try_recv(&mut self) -> Option<TransportEvent> {
        self.unbounded
            .try_recv()
            .ok()
            .or_else(|| self.bounded.try_recv().ok())
    }
}
