//! Connections at the gRPC address: how many there may be, who has to go, and what becomes of those that say
//! nothing. What HTTP/2 itself bounds is set where the server is built.

use futures_util::task::AtomicWaker;
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, Sleep};
use tonic::transport::server::Connected;

/// Pause after an accept that failed, as when descriptors are short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

#[derive(Debug, Default)]
struct Standing {
    /// Streams that are open on it.
    streams: AtomicUsize,
    /// Somebody on it has said who it is, and was answered.
    useful: AtomicBool,
    dead: AtomicBool,
    waker: AtomicWaker,
}

/// A hold on a connection.
#[derive(Clone, Debug)]
pub struct ConnectionHandle {
    pub connection: u64,
    standing: Arc<Standing>,
}

impl ConnectionHandle {
    /// A stream was opened on it, or has ended.
    pub fn opened(&self) {
        self.standing.streams.fetch_add(1, Ordering::Relaxed);
    }

    pub fn ended(&self) {
        self.standing.streams.fetch_sub(1, Ordering::Relaxed);
        self.standing.waker.wake();
    }

    /// Somebody on it was answered: it is not the first to go.
    pub fn mark_useful(&self) {
        self.standing.useful.store(true, Ordering::Relaxed);
    }

    /// Ends the connection, whatever its peer does.
    pub fn kill(&self) {
        self.standing.dead.store(true, Ordering::Relaxed);
        self.standing.waker.wake();
    }
}

/// Who is connected.
#[derive(Clone, Debug)]
pub struct ConnectionLimit {
    most: usize,
    idle: Duration,
    open: Arc<Mutex<BTreeMap<u64, ConnectionHandle>>>,
}

impl ConnectionLimit {
    /// At most so many connections; one with no stream on it is ended after `idle`.
    pub fn new(most: usize, idle: Duration) -> ConnectionLimit {
        ConnectionLimit {
            most,
            idle,
            open: Arc::default(),
        }
    }

    fn open(&self) -> MutexGuard<'_, BTreeMap<u64, ConnectionHandle>> {
        self.open.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Takes the next connection. Where there are too many, the first of those goes that nobody is served on; where
    /// all are of use, the newcomer does.
    pub async fn accept(&self, listener: &TcpListener, connection: u64) -> io::Result<Bounded> {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                // It is one peer's, or it passes: the server goes on.
                Err(_) => {
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            _ = stream.set_nodelay(true);
            let mut open = self.open();
            if open.len() >= self.most {
                let idle = |t: &ConnectionHandle| !t.standing.useful.load(Ordering::Relaxed);
                match open.iter().find(|(_, t)| idle(t)).map(|(id, _)| *id) {
                    Some(first) => open.remove(&first).into_iter().for_each(|t| t.kill()),
                    None => continue,
                }
            }
            let handle = ConnectionHandle {
                connection,
                standing: Arc::default(),
            };
            open.insert(connection, handle.clone());
            let until = Box::pin(tokio::time::sleep(self.idle));
            return Ok(Bounded {
                stream,
                handle,
                until,
                busy: false,
                limit: self.clone(),
            });
        }
    }
}

/// A connection that ends when it is told to, or when nobody has opened a stream on it for too long.
pub struct Bounded {
    stream: TcpStream,
    handle: ConnectionHandle,
    until: Pin<Box<Sleep>>,
    /// It bore a stream when it was last looked at.
    busy: bool,
    limit: ConnectionLimit,
}

impl Drop for Bounded {
    fn drop(&mut self) {
        self.limit.open().remove(&self.handle.connection);
    }
}

impl Connected for Bounded {
    type ConnectInfo = Info;

    fn connect_info(&self) -> Info {
        let peer = self
            .stream
            .peer_addr()
            .map(|a| a.to_string())
            .unwrap_or_default();
        Info {
            handle: self.handle.clone(),
            peer,
        }
    }
}

/// What a request knows of its connection.
#[derive(Clone, Debug)]
pub struct Info {
    pub handle: ConnectionHandle,
    pub peer: String,
}

impl Bounded {
    /// Whether the connection has to end now.
    fn over(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        let standing = self.handle.standing.clone();
        standing.waker.register(context.waker());
        if standing.dead.load(Ordering::Relaxed) {
            return Err(io::Error::new(
                io::ErrorKind::ConnectionAborted,
                "told to end",
            ));
        }
        // While it bears a stream, time does not run; it runs anew from the end of the last one, so that a status
        // still goes out.
        let busy = standing.streams.load(Ordering::Relaxed) > 0;
        if std::mem::replace(&mut self.busy, busy) && !busy {
            let until = Instant::now() + self.limit.idle;
            self.until.as_mut().reset(until);
        }
        if busy {
            return Ok(());
        }
        match self.until.as_mut().poll(context) {
            Poll::Ready(()) => Err(io::Error::new(io::ErrorKind::TimedOut, "no stream on it")),
            Poll::Pending => Ok(()),
        }
    }
}

impl AsyncRead for Bounded {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        to: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Err(e) = self.over(cx) {
            return Poll::Ready(Err(e));
        }
        Pin::new(&mut self.stream).poll_read(cx, to)
    }
}

impl AsyncWrite for Bounded {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.handle.standing.dead.load(Ordering::Relaxed) {
            return Poll::Ready(Err(io::Error::new(
                io::ErrorKind::ConnectionAborted,
                "told to end",
            )));
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
