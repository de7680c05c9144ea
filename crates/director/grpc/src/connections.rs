//! Limits on connections to the gRPC server: their number, which one is closed when the limit is reached, and the idle
//! timeout. HTTP/2 limits are set in `server.rs`.

use futures_util::task::AtomicWaker;
use rushcourse_xds::ConnectionId;
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, Sleep};
use tonic::transport::server::Connected;

/// Delay after a failed `accept`, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

#[derive(Debug, Default)]
struct ConnectionState {
    /// Number of open streams.
    stream_count: AtomicUsize,
    /// Whether a response was sent to a peer on this connection.
    is_in_use: AtomicBool,
    is_aborted: AtomicBool,
    /// Wakes the task that reads from the connection.
    waker: AtomicWaker,
}

/// Shared handle to a connection, held by its streams.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionHandle {
    id: ConnectionId,
    state: Arc<ConnectionState>,
}

impl ConnectionHandle {
    fn new(id: ConnectionId) -> ConnectionHandle {
        ConnectionHandle {
            id,
            state: Arc::default(),
        }
    }

    pub(crate) fn id(&self) -> ConnectionId {
        self.id
    }

    pub(crate) fn stream_opened(&self) {
        self.state.stream_count.fetch_add(1, Ordering::Relaxed);
    }

    /// Decrements the stream count and wakes the connection, so that its idle timeout starts after the last stream.
    pub(crate) fn stream_ended(&self) {
        self.state.stream_count.fetch_sub(1, Ordering::Relaxed);
        self.state.waker.wake();
    }

    /// Protects the connection from being closed to make room for a new one.
    pub(crate) fn mark_in_use(&self) {
        self.state.is_in_use.store(true, Ordering::Relaxed);
    }

    /// Closes the connection without waiting for its streams.
    pub(crate) fn abort(&self) {
        self.state.is_aborted.store(true, Ordering::Relaxed);
        self.state.waker.wake();
    }

    fn is_in_use(&self) -> bool {
        self.state.is_in_use.load(Ordering::Relaxed)
    }

    fn is_aborted(&self) -> bool {
        self.state.is_aborted.load(Ordering::Relaxed)
    }

    fn has_streams(&self) -> bool {
        self.state.stream_count.load(Ordering::Relaxed) > 0
    }
}

/// Limits the number of open connections. Clones share the same connections.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionLimit {
    max_connections: usize,
    idle_timeout: Duration,
    open: Arc<Mutex<BTreeMap<ConnectionId, ConnectionHandle>>>,
}

impl ConnectionLimit {
    /// Allows at most `max_connections`. A connection without streams is closed after `idle_timeout`.
    pub(crate) fn new(max_connections: usize, idle_timeout: Duration) -> ConnectionLimit {
        ConnectionLimit {
            max_connections,
            idle_timeout,
            open: Arc::default(),
        }
    }

    fn open(&self) -> MutexGuard<'_, BTreeMap<ConnectionId, ConnectionHandle>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Accepts the next connection. At the limit, the oldest connection that is not in use is closed; if all are in
    /// use, the new connection is rejected and the next one is awaited.
    pub(crate) async fn accept(
        &self,
        listener: &TcpListener,
        id: ConnectionId,
    ) -> LimitedConnection {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                // Accept errors are specific to one peer or transient.
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            _ = stream.set_nodelay(true);
            let handle = ConnectionHandle::new(id);
            if !self.admit(&handle) {
                continue;
            }
            return LimitedConnection {
                stream,
                handle,
                idle_deadline: Box::pin(tokio::time::sleep(self.idle_timeout)),
                had_streams: false,
                limit: self.clone(),
            };
        }
    }

    /// Registers a connection, closing another one if the limit is reached. Returns `false` if there is no room.
    fn admit(&self, handle: &ConnectionHandle) -> bool {
        let mut open = self.open();
        if open.len() >= self.max_connections {
            let Some(oldest) = open.values().find(|open| !open.is_in_use()).cloned() else {
                return false;
            };
            open.remove(&oldest.id);
            oldest.abort();
        }
        open.insert(handle.id, handle.clone());
        true
    }
}

/// A TCP connection whose reads fail once it is aborted or its idle timeout expires, which makes the server close it.
pub(crate) struct LimitedConnection {
    stream: TcpStream,
    handle: ConnectionHandle,
    idle_deadline: Pin<Box<Sleep>>,
    /// Whether the connection had open streams at the last check.
    had_streams: bool,
    limit: ConnectionLimit,
}

impl Drop for LimitedConnection {
    fn drop(&mut self) {
        self.limit.open().remove(&self.handle.id);
    }
}

/// Connection details that tonic attaches to each request.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionInfo {
    pub(crate) handle: ConnectionHandle,
    /// Address of the peer for log messages. Empty if it is unknown.
    pub(crate) peer: String,
}

impl Connected for LimitedConnection {
    type ConnectInfo = ConnectionInfo;

    fn connect_info(&self) -> ConnectionInfo {
        let peer = self
            .stream
            .peer_addr()
            .map(|address| address.to_string())
            .unwrap_or_default();
        ConnectionInfo {
            handle: self.handle.clone(),
            peer,
        }
    }
}

fn aborted() -> io::Error {
    io::Error::new(
        io::ErrorKind::ConnectionAborted,
        "connection closed by the server",
    )
}

impl LimitedConnection {
    /// Returns an error if the connection was aborted or its idle timeout has expired.
    fn check_alive(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        self.handle.state.waker.register(cx.waker());
        if self.handle.is_aborted() {
            return Err(aborted());
        }
        // The idle timeout restarts when the last stream ends, so that the stream's final status can still be sent.
        let has_streams = self.handle.has_streams();
        let had_streams = std::mem::replace(&mut self.had_streams, has_streams);
        if had_streams && !has_streams {
            let deadline = Instant::now() + self.limit.idle_timeout;
            self.idle_deadline.as_mut().reset(deadline);
        }
        if has_streams {
            return Ok(());
        }
        match self.idle_deadline.as_mut().poll(cx) {
            Poll::Ready(()) => Err(io::Error::new(io::ErrorKind::TimedOut, "idle timeout")),
            Poll::Pending => Ok(()),
        }
    }
}

impl AsyncRead for LimitedConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Err(error) = self.check_alive(cx) {
            return Poll::Ready(Err(error));
        }
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for LimitedConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.handle.is_aborted() {
            return Poll::Ready(Err(aborted()));
        }
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
