//! Connections to the platform's relay, which exchange text lines. Each connection has a task of its own.

use crate::events::{EventSender, LoopEvent};
use futures_util::StreamExt;
use rushcourse_director_protocol::relay::MAX_LINE_BYTES;
use rushcourse_director_state::{Input, RelayConnectionId};
use std::fmt;
use std::io;
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio_util::codec::{FramedRead, LinesCodec, LinesCodecError};

/// Capacity of the write queue. At most one call is in flight, and `WATCH` is a single line.
const MAX_QUEUED_LINES: usize = 2;

/// The event loop's handle of a connection. Dropping it closes the connection once it is established.
pub(crate) struct RelayConnection {
    /// Write queue. Lines include their line ends.
    pub(crate) lines: mpsc::Sender<String>,
    /// Aborts the task that reads and writes the connection.
    pub(crate) task: AbortHandle,
}

/// Why a connection could not be established or has ended.
enum EndReason {
    Connect(io::Error),
    Read(LinesCodecError),
    Write(io::Error),
    ClosedByRelay,
    Dropped,
    LoopEnded,
}

impl fmt::Display for EndReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EndReason::Connect(error) | EndReason::Write(error) => write!(f, "{error}"),
            EndReason::Read(error) => write!(f, "{error}"),
            EndReason::ClosedByRelay => write!(f, "closed by the relay"),
            EndReason::Dropped => write!(f, "closed by the director"),
            EndReason::LoopEnded => write!(f, "the event loop has ended"),
        }
    }
}

/// Spawns a task that connects to the relay. Its last input is [`Input::RelayDisconnected`]; all its inputs carry `id`.
pub(crate) fn connect(
    address: SocketAddr,
    id: RelayConnectionId,
    events: EventSender,
) -> RelayConnection {
    let (lines, queued_lines) = mpsc::channel(MAX_QUEUED_LINES);
    let task = tokio::spawn(async move {
        let end_reason = run_connection(address, id, &events, queued_lines).await;
        let disconnected = Input::RelayDisconnected {
            connection: id,
            reason: end_reason.to_string(),
        };
        _ = events.send(LoopEvent::Input(disconnected)).await;
    });
    RelayConnection {
        lines,
        task: task.abort_handle(),
    }
}

/// Connects, then reads and writes lines until the connection ends.
async fn run_connection(
    address: SocketAddr,
    id: RelayConnectionId,
    events: &EventSender,
    mut queued_lines: mpsc::Receiver<String>,
) -> EndReason {
    let mut stream = match TcpStream::connect(address).await {
        Ok(stream) => stream,
        Err(error) => return EndReason::Connect(error),
    };
    _ = stream.set_nodelay(true);
    let connected = LoopEvent::Input(Input::RelayConnected { connection: id });
    if events.send(connected).await.is_err() {
        return EndReason::LoopEnded;
    }
    let (read, mut write) = stream.split();
    let mut lines = FramedRead::new(read, LinesCodec::new_with_max_length(MAX_LINE_BYTES));
    loop {
        let input = tokio::select! {
            line = lines.next() => match line {
                Some(Ok(line)) => Input::RelayLine { connection: id, line },
                Some(Err(error)) => return EndReason::Read(error),
                None => return EndReason::ClosedByRelay,
            },
            line = queued_lines.recv() => match line {
                Some(line) => match write.write_all(line.as_bytes()).await {
                    Ok(()) => Input::RelayWritten { connection: id },
                    Err(error) => return EndReason::Write(error),
                },
                None => return EndReason::Dropped,
            },
        };
        // The send fails only after the event loop has ended; its runtime then drops this task.
        _ = events.send(LoopEvent::Input(input)).await;
    }
}
