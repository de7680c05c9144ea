//! The director's address: messages of its own protocol, or HTTP, told apart by the first four bytes.

use super::pages;
use crate::events::{LoopEvent, LoopSender, PeerMessage};
use bytes::Bytes;
use rushcourse_director_protocol::frames;
use rushcourse_director_state::{InboundId, Input, SessionLimits};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot};
use tokio::time::timeout;

/// Messages that may wait to be written to one peer.
const MAX_WAITING_MESSAGES: usize = 64;
/// Connections that are accepted beyond those that the session holds: it closes others for them at once.
const SPARE_CONNECTIONS: usize = 16;
/// Delay after an accept that failed, as when descriptors are short.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// A message that has begun is complete within this: its parts come over one network.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// A peer accepts a message within this.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// What all connections share.
#[derive(Clone)]
struct Shared {
    events: LoopSender,
    /// KiB of messages that may wait for the loop.
    memory: Arc<Semaphore>,
}

/// Binds the address and accepts from then on.
pub(crate) async fn start(
    address: SocketAddr,
    limits: SessionLimits,
    events: LoopSender,
) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    tokio::spawn(accept(listener, limits, events));
    Ok(())
}

async fn accept(listener: TcpListener, limits: SessionLimits, events: LoopSender) {
    let shared = Shared {
        events: events.clone(),
        memory: Arc::new(Semaphore::new(limits.max_buffered_kib)),
    };
    let seats = Arc::new(Semaphore::new(limits.max_inbound + SPARE_CONNECTIONS));
    for inbound in (1..).map(InboundId) {
        // A burst of connections waits outside while the loop closes others, and costs no descriptor.
        let Ok(seat) = seats.clone().acquire_owned().await else {
            return;
        };
        let (stream, peer) = accept_one(&listener).await;
        _ = stream.set_nodelay(true);
        // With a place in the queue first, the loop hears of the connection before what it says.
        let Ok(place) = events.reserve().await else {
            return;
        };
        let (messages, waiting_messages) = mpsc::channel(MAX_WAITING_MESSAGES);
        let connection = Connection {
            inbound,
            shared: shared.clone(),
        };
        let task = tokio::spawn(connection.run(stream, waiting_messages, seat));
        place.send(LoopEvent::Accepted {
            inbound,
            peer: peer.to_string(),
            messages,
            task: task.abort_handle(),
        });
    }
}

async fn accept_one(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            // It is one peer's failure, or it passes: the listener goes on.
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// One connection of a peer.
struct Connection {
    inbound: InboundId,
    shared: Shared,
}

impl Connection {
    /// Reads and writes until the connection ends, and reports its end.
    async fn run(
        self,
        stream: TcpStream,
        waiting_messages: mpsc::Receiver<PeerMessage>,
        seat: OwnedSemaphorePermit,
    ) {
        let ended = self.talk(stream, waiting_messages).await;
        drop(seat);
        let closed = Input::InboundClosed {
            inbound: self.inbound,
            error: ended.err().map(|error| error.to_string()),
        };
        self.report(closed).await;
    }

    async fn report(&self, input: Input) {
        // Where the loop has ended, nobody misses it.
        _ = self.shared.events.send(LoopEvent::Input(input)).await;
    }

    async fn talk(
        &self,
        mut stream: TcpStream,
        waiting_messages: mpsc::Receiver<PeerMessage>,
    ) -> io::Result<()> {
        let mut first = [0; 4];
        if let Err(error) = stream.read_exact(&mut first).await {
            // A peer that sends nothing and goes is no failure.
            return match error.kind() {
                io::ErrorKind::UnexpectedEof => Ok(()),
                _ => Err(error),
            };
        }
        let (read, write) = stream.into_split();
        let read = io::Cursor::new(first).chain(read);
        if frames::is_http(first) {
            let inbound = self.inbound;
            self.report(Input::InboundHttp { inbound }).await;
            return pages::serve(tokio::io::join(read, write), self.shared.events.clone()).await;
        }
        tokio::select! {
            ended = self.read_messages(BufReader::new(read)) => ended,
            ended = write_messages(write, waiting_messages) => ended,
        }
    }

    /// Reads messages, one after the other. Until its peer has registered as a collector, only small ones, after each of which it waits for
    /// the loop to say whether it has.
    async fn read_messages<R: AsyncRead + Unpin>(&self, mut read: R) -> io::Result<()> {
        let mut is_collector = false;
        loop {
            let mut head = [0; 4];
            if read.read(&mut head[..1]).await? == 0 {
                return Ok(());
            }
            let max_size = if is_collector {
                frames::MAX_MESSAGE_BYTES
            } else {
                frames::MAX_UNREGISTERED_MESSAGE_BYTES
            };
            let message = self.read_message(&mut read, head, max_size);
            let (message, memory) = timeout(MESSAGE_TIMEOUT, message)
                .await
                .map_err(|_| io::Error::other("a message that does not end"))??;
            let (verdict, answer) = oneshot::channel();
            let frame = LoopEvent::Frame {
                inbound: self.inbound,
                message,
                is_collector: (!is_collector).then_some(verdict),
                _memory: memory,
            };
            if self.shared.events.send(frame).await.is_err() {
                return Ok(());
            }
            if !is_collector {
                is_collector = answer.await.unwrap_or(false);
            }
        }
    }

    /// Reads the rest of a message whose first byte was read. The memory for it is reserved first: what is not there yet
    /// is not held.
    async fn read_message<R: AsyncRead + Unpin>(
        &self,
        read: &mut R,
        mut head: [u8; 4],
        max_size: usize,
    ) -> io::Result<(Bytes, OwnedSemaphorePermit)> {
        read.read_exact(&mut head[1..]).await?;
        let size = u32::from_le_bytes(head) as usize;
        if size > max_size {
            return Err(io::Error::other(format!(
                "a message of {size} bytes, {max_size} at most"
            )));
        }
        let kib = size as u32 / 1024 + 1;
        let memory = self
            .shared
            .memory
            .clone()
            .acquire_many_owned(kib)
            .await
            .map_err(io::Error::other)?;
        let mut bytes = vec![0; size];
        read.read_exact(&mut bytes).await?;
        Ok((Bytes::from(bytes), memory))
    }
}

/// Writes messages until the last one, or until the loop lets go of the connection.
async fn write_messages(
    mut write: OwnedWriteHalf,
    mut waiting_messages: mpsc::Receiver<PeerMessage>,
) -> io::Result<()> {
    while let Some(message) = waiting_messages.recv().await {
        let (bytes, is_last) = match message {
            PeerMessage::Message(bytes) => (bytes, false),
            PeerMessage::Last(bytes) => (bytes, true),
        };
        timeout(WRITE_TIMEOUT, write.write_all(&bytes))
            .await
            .map_err(io::Error::other)??;
        if is_last {
            return Ok(());
        }
    }
    Ok(())
}
