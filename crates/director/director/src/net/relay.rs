//! A connection to the platform's relay: lines out, lines in. One task each; whoever drops it aborts the task.

use crate::events::{LoopEvent, LoopSender};
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

/// Lines that may wait to be written: one call is in flight, and `WATCH` is one line.
const MAX_WAITING_LINES: usize = 2;

/// A connection that the loop holds.
pub(crate) struct RelayConnection {
    /// Lines to write.
    pub(crate) lines: mpsc::Sender<String>,
    /// Reads and writes.
    pub(crate) task: AbortHandle,
}

/// Why a connection has ended.
enum End {
    Connect(io::Error),
    Read(LinesCodecError),
    Write(io::Error),
    ClosedByRelay,
    Dropped,
    LoopEnded,
}

impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            End::Connect(error) | End::Write(error) => write!(f, "{error}"),
            End::Read(error) => write!(f, "{error}"),
            End::ClosedByRelay => write!(f, "closed"),
            End::Dropped => write!(f, "dropped"),
            End::LoopEnded => write!(f, "the loop has ended"),
        }
    }
}

/// Connects in a task of its own, which reports the connection's end last. `id` tells it from earlier ones.
pub(crate) fn connect(
    address: SocketAddr,
    id: RelayConnectionId,
    events: LoopSender,
) -> RelayConnection {
    let (lines, waiting_lines) = mpsc::channel(MAX_WAITING_LINES);
    let task = tokio::spawn(async move {
        let end = talk(address, id, &events, waiting_lines).await;
        let disconnected = Input::RelayDisconnected {
            connection: id,
            reason: end.to_string(),
        };
        _ = events.send(LoopEvent::Input(disconnected)).await;
    });
    RelayConnection {
        lines,
        task: task.abort_handle(),
    }
}

/// Reads and writes lines until the connection ends.
async fn talk(
    address: SocketAddr,
    id: RelayConnectionId,
    events: &LoopSender,
    mut waiting_lines: mpsc::Receiver<String>,
) -> End {
    let mut stream = match TcpStream::connect(address).await {
        Ok(stream) => stream,
        Err(error) => return End::Connect(error),
    };
    _ = stream.set_nodelay(true);
    let connected = LoopEvent::Input(Input::RelayConnected { connection: id });
    if events.send(connected).await.is_err() {
        return End::LoopEnded;
    }
    let (read, mut write) = stream.split();
    let mut lines = FramedRead::new(read, LinesCodec::new_with_max_length(MAX_LINE_BYTES));
    loop {
        let input = tokio::select! {
            line = lines.next() => match line {
                Some(Ok(line)) => Input::RelayLine { connection: id, line },
                Some(Err(error)) => return End::Read(error),
                None => return End::ClosedByRelay,
            },
            line = waiting_lines.recv() => match line {
                Some(line) => match write.write_all(line.as_bytes()).await {
                    Ok(()) => Input::RelayWritten { connection: id },
                    Err(error) => return End::Write(error),
                },
                None => return End::Dropped,
            },
        };
        // Where the loop has ended, so does this task, with the lines that it reads.
        _ = events.send(LoopEvent::Input(input)).await;
    }
}
