//! A connection to the relay: lines out, lines in. One task each; whoever drops it aborts the task.

use crate::events::{LoopEvent, LoopSender};
use futures_util::StreamExt;
use rushcourse_director_protocol::relay::MAX_LINE_BYTES;
use rushcourse_director_state::{Input, RelayConnectionId};
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio_util::codec::{FramedRead, LinesCodec};

/// Lines that may wait to be written: one call is in flight, and `WATCH` is one line.
const LINES_MOST: usize = 2;

pub fn connect(
    address: SocketAddr,
    connection: RelayConnectionId,
    to: LoopSender,
) -> (mpsc::Sender<String>, AbortHandle) {
    let (out, lines) = mpsc::channel(LINES_MOST);
    let task = tokio::spawn(async move {
        let reason = talk(address, connection, &to, lines).await;
        _ = to
            .send(LoopEvent::Input(Input::RelayDisconnected {
                connection,
                reason,
            }))
            .await;
    });
    (out, task.abort_handle())
}

/// Talks until the connection ends; says why it did.
async fn talk(
    a: SocketAddr,
    connection: RelayConnectionId,
    to: &LoopSender,
    mut out: mpsc::Receiver<String>,
) -> String {
    let mut stream = match TcpStream::connect(a).await {
        Ok(stream) => stream,
        Err(e) => return e.to_string(),
    };
    _ = stream.set_nodelay(true);
    if to
        .send(LoopEvent::Input(Input::RelayConnected { connection }))
        .await
        .is_err()
    {
        return "the loop has ended".into();
    }
    let (read, mut write) = stream.split();
    let mut lines = FramedRead::new(read, LinesCodec::new_with_max_length(MAX_LINE_BYTES));
    loop {
        tokio::select! {
            line = lines.next() => match line {
                Some(Ok(line)) => _ = to.send(LoopEvent::Input(Input::RelayLine { connection, line })).await,
                Some(Err(e)) => return e.to_string(),
                None => return "closed".into(),
            },
            text = out.recv() => match text {
                Some(text) => match write.write_all(text.as_bytes()).await {
                    Ok(()) => _ = to.send(LoopEvent::Input(Input::RelayWritten { connection })).await,
                    Err(e) => return e.to_string(),
                },
                None => return "dropped".into(),
            },
        }
    }
}
