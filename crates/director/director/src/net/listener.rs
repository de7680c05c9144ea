//! Listener of the director's own address. The first four bytes of a connection decide whether it carries frames or
//! HTTP.

use super::pages;
use crate::events::{EventSender, LoopEvent, PeerMessage};
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

/// Capacity of a connection's write queue.
const MAX_QUEUED_MESSAGES: usize = 64;
/// Connections that are accepted beyond the session's limit, for which the session closes others.
const SPARE_CONNECTIONS: usize = 16;
/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time between the first and the last byte of a message, after which the connection is closed.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for writing one message, after which the connection is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// State that all connections share.
#[derive(Clone)]
struct Shared {
    events: EventSender,
    /// Limits the memory of messages that are being read or queued for the event loop; one permit is 1 KiB.
    memory: Arc<Semaphore>,
}

/// Binds the address and spawns the task that accepts connections.
pub(crate) async fn start(
    address: SocketAddr,
    limits: SessionLimits,
    events: EventSender,
) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    tokio::spawn(accept(listener, limits, events));
    Ok(())
}

async fn accept(listener: TcpListener, limits: SessionLimits, events: EventSender) {
    let shared = Shared {
        events: events.clone(),
        memory: Arc::new(Semaphore::new(limits.max_buffered_kib)),
    };
    let connection_permits = Arc::new(Semaphore::new(limits.max_inbound + SPARE_CONNECTIONS));
    for inbound in (1..).map(InboundId) {
        // Further connections stay in the listen backlog, where they use no descriptor, until others are closed.
        let Ok(connection_permit) = connection_permits.clone().acquire_owned().await else {
            return;
        };
        let (stream, peer) = accept_one(&listener).await;
        _ = stream.set_nodelay(true);
        // Reserving the queue slot before spawning the task puts this event ahead of those from the connection.
        let Ok(event_permit) = events.reserve().await else {
            return;
        };
        let (messages, queued_messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let connection = Connection {
            inbound,
            shared: shared.clone(),
        };
        let task = tokio::spawn(connection.run(stream, queued_messages, connection_permit));
        event_permit.send(LoopEvent::Accepted {
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
            // Accept errors concern a single connection or are temporary.
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// An accepted connection to the director's own address.
struct Connection {
    inbound: InboundId,
    shared: Shared,
}

impl Connection {
    /// Serves the connection until it ends, then reports [`Input::InboundClosed`].
    async fn run(
        self,
        stream: TcpStream,
        queued_messages: mpsc::Receiver<PeerMessage>,
        connection_permit: OwnedSemaphorePermit,
    ) {
        let result = self.serve(stream, queued_messages).await;
        drop(connection_permit);
        let closed = Input::InboundClosed {
            inbound: self.inbound,
            error: result.err().map(|error| error.to_string()),
        };
        self.report(closed).await;
    }

    async fn report(&self, input: Input) {
        // The send fails only after the event loop has ended.
        _ = self.shared.events.send(LoopEvent::Input(input)).await;
    }

    async fn serve(
        &self,
        mut stream: TcpStream,
        queued_messages: mpsc::Receiver<PeerMessage>,
    ) -> io::Result<()> {
        let mut first = [0; 4];
        if let Err(error) = stream.read_exact(&mut first).await {
            // A connection that closes before it sends four bytes is not an error.
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
            result = self.read_messages(BufReader::new(read)) => result,
            result = write_messages(write, queued_messages) => result,
        }
    }

    /// Reads messages and sends them to the event loop. Until the peer has registered as a collector, messages have a
    /// smaller size limit, and the next one is read only after the loop has handled the previous one.
    async fn read_messages<R: AsyncRead + Unpin>(&self, mut read: R) -> io::Result<()> {
        let mut is_collector = false;
        loop {
            let mut length_prefix = [0; 4];
            if read.read(&mut length_prefix[..1]).await? == 0 {
                return Ok(());
            }
            let max_size = if is_collector {
                frames::MAX_MESSAGE_BYTES
            } else {
                frames::MAX_UNREGISTERED_MESSAGE_BYTES
            };
            let message = self.read_message(&mut read, length_prefix, max_size);
            let (message, memory) = timeout(MESSAGE_TIMEOUT, message)
                .await
                .map_err(|_| io::Error::other("a message was not complete in time"))??;
            let (is_collector_sender, is_collector_receiver) = oneshot::channel();
            let frame = LoopEvent::Frame {
                inbound: self.inbound,
                message,
                is_collector: (!is_collector).then_some(is_collector_sender),
                _memory: memory,
            };
            if self.shared.events.send(frame).await.is_err() {
                return Ok(());
            }
            if !is_collector {
                is_collector = is_collector_receiver.await.unwrap_or(false);
            }
        }
    }

    /// Reads the rest of a message whose first byte is in `length_prefix`. Waits for a reservation of its memory before
    /// the buffer is allocated.
    async fn read_message<R: AsyncRead + Unpin>(
        &self,
        read: &mut R,
        mut length_prefix: [u8; 4],
        max_size: usize,
    ) -> io::Result<(Bytes, OwnedSemaphorePermit)> {
        read.read_exact(&mut length_prefix[1..]).await?;
        let size = u32::from_le_bytes(length_prefix) as usize;
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

/// Writes queued messages until [`PeerMessage::Last`], or until the event loop drops the queue's sender.
async fn write_messages(
    mut write: OwnedWriteHalf,
    mut queued_messages: mpsc::Receiver<PeerMessage>,
) -> io::Result<()> {
    while let Some(message) = queued_messages.recv().await {
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
