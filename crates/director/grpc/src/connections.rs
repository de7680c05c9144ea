//! Connections at the gRPC address: how many there may be, which is closed where there are too many, and when one that
//! carries no stream is closed. What HTTP/2 itself bounds is set where the server is built.

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

/// Delay after an accept that failed, as when descriptors are short.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

#[derive(Debug, Default)]
struct ConnectionState {
    /// Streams that are open on it.
    stream_count: AtomicUsize,
    /// A peer on it has identified itself and was answered.
    is_useful: AtomicBool,
    is_killed: AtomicBool,
    waker: AtomicWaker,
}

/// What streams know of their connection.
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

    /// The connection's number.
    pub(crate) fn id(&self) -> ConnectionId {
        self.id
    }

    /// A stream was opened on it.
    pub(crate) fn stream_opened(&self) {
        self.state.stream_count.fetch_add(1, Ordering::Relaxed);
    }

    /// A stream on it has ended.
    pub(crate) fn stream_ended(&self) {
        self.state.stream_count.fetch_sub(1, Ordering::Relaxed);
        self.state.waker.wake();
    }

    /// A peer on it was answered: it is not the first to be closed.
    pub(crate) fn mark_useful(&self) {
        self.state.is_useful.store(true, Ordering::Relaxed);
    }

    /// Closes the connection, whatever its peer does.
    pub(crate) fn kill(&self) {
        self.state.is_killed.store(true, Ordering::Relaxed);
        self.state.waker.wake();
    }

    fn is_useful(&self) -> bool {
        self.state.is_useful.load(Ordering::Relaxed)
    }

    fn is_killed(&self) -> bool {
        self.state.is_killed.load(Ordering::Relaxed)
    }

    fn has_streams(&self) -> bool {
        self.state.stream_count.load(Ordering::Relaxed) > 0
    }
}

/// The connections that are open, and how many there may be.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionLimit {
    max_connections: usize,
    idle_timeout: Duration,
    open: Arc<Mutex<BTreeMap<ConnectionId, ConnectionHandle>>>,
}

impl ConnectionLimit {
    /// At most `max_connections`; one that carries no stream is closed after `idle_timeout`.
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

    /// Accepts the next connection. Where there are too many, the oldest of those is closed that no peer is served on;
    /// where all are useful, the new one is.
    pub(crate) async fn accept(
        &self,
        listener: &TcpListener,
        id: ConnectionId,
    ) -> LimitedConnection {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                // It is one peer's failure, or it passes: the server goes on.
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

    /// Makes room for a connection. Returns whether there is some.
    fn admit(&self, handle: &ConnectionHandle) -> bool {
        let mut open = self.open();
        if open.len() >= self.max_connections {
            let Some(oldest) = open.values().find(|open| !open.is_useful()).cloned() else {
                return false;
            };
            open.remove(&oldest.id);
            oldest.kill();
        }
        open.insert(handle.id, handle.clone());
        true
    }
}

/// A connection that ends when it is killed, or when it has carried no stream for too long.
pub(crate) struct LimitedConnection {
    stream: TcpStream,
    handle: ConnectionHandle,
    idle_deadline: Pin<Box<Sleep>>,
    /// It carried a stream when it was last looked at.
    had_streams: bool,
    limit: ConnectionLimit,
}

impl Drop for LimitedConnection {
    fn drop(&mut self) {
        self.limit.open().remove(&self.handle.id);
    }
}

/// What a request knows of its connection.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionInfo {
    pub(crate) handle: ConnectionHandle,
    /// The peer's address, for the log.
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

fn killed() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, "told to end")
}

impl LimitedConnection {
    /// Fails if the connection has to end now.
    fn check_alive(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        self.handle.state.waker.register(cx.waker());
        if self.handle.is_killed() {
            return Err(killed());
        }
        // While it carries a stream, it is not idle. The time runs anew from the end of the last stream, so that a
        // status still goes out.
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
            Poll::Ready(()) => Err(io::Error::new(io::ErrorKind::TimedOut, "no stream on it")),
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
        if self.handle.is_killed() {
            return Poll::Ready(Err(killed()));
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
