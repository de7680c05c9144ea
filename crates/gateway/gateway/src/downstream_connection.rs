//! What a client's connection is doing, as its time-outs go by it.

use crate::response_body::ResponseBody;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use rushcourse_transport::Clock;
use rushcourse_types::Timestamp;
use std::cell::Cell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Where a connection is between one request and the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Activity {
    /// It waits for a request.
    Idle,
    /// The head of a request is coming.
    ReceivingHead,
    /// A request is on its way through the gateway, or its response on its way to the client.
    Serving,
}

/// How a connection is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Closing {
    /// After the request that is on it.
    Graceful,
    /// With whatever of a request has come.
    Immediate,
}

/// A client's connection, as it and the sweep of all connections share it.
///
/// One `Notify` is all that wakes it from outside, for time-outs and for the end of the process alike: a token of its own
/// for the latter would be polled with each read and write.
pub(crate) struct DownstreamConnection {
    clock: Clock,
    activity: Cell<Activity>,
    /// Since when it is at that.
    since: Cell<Timestamp>,
    close_request: Notify,
    closes_immediately: Cell<bool>,
}

impl DownstreamConnection {
    /// A connection that was accepted just now.
    pub(crate) fn new(clock: Clock) -> DownstreamConnection {
        DownstreamConnection {
            clock,
            activity: Cell::new(Activity::Idle),
            since: Cell::new(clock.now()),
            close_request: Notify::new(),
            closes_immediately: Cell::new(false),
        }
    }

    /// What it is doing.
    pub(crate) fn activity(&self) -> Activity {
        self.activity.get()
    }

    /// Since when it is doing that; an idle one since its last byte.
    pub(crate) fn since(&self) -> Timestamp {
        self.since.get()
    }

    /// A request's head is here.
    pub(crate) fn request_started(&self) {
        self.enter(Activity::Serving);
    }

    /// Asks its task to close it.
    pub(crate) fn close(&self, closing: Closing) {
        self.closes_immediately.set(closing == Closing::Immediate);
        self.close_request.notify_one();
    }

    /// Waits until it is to be closed.
    pub(crate) async fn close_requested(&self) -> Closing {
        self.close_request.notified().await;
        if self.closes_immediately.get() {
            Closing::Immediate
        } else {
            Closing::Graceful
        }
    }

    fn enter(&self, activity: Activity) {
        self.activity.set(activity);
        self.since.set(self.clock.now());
    }

    /// Bytes came in: if it was idle, they begin a request.
    fn bytes_received(&self) {
        if self.activity.get() == Activity::Idle {
            self.enter(Activity::ReceivingHead);
        }
    }

    /// Bytes go out: a response may still be leaving whose body is gone already.
    fn bytes_written(&self) {
        if self.activity.get() == Activity::Idle {
            self.enter(Activity::Idle);
        }
    }
}

/// The body of a response on its way to a client; the connection is idle once this is dropped.
pub(crate) struct TrackedBody {
    body: ResponseBody,
    connection: Rc<DownstreamConnection>,
}

impl TrackedBody {
    /// A body that leaves by this connection.
    pub(crate) fn new(body: ResponseBody, connection: Rc<DownstreamConnection>) -> TrackedBody {
        TrackedBody { body, connection }
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.connection.enter(Activity::Idle);
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A client's socket, which says when bytes come and go.
pub(crate) struct TrackedStream {
    io: TokioIo<TcpStream>,
    connection: Rc<DownstreamConnection>,
}

impl TrackedStream {
    /// The socket of this connection.
    pub(crate) fn new(stream: TcpStream, connection: Rc<DownstreamConnection>) -> TrackedStream {
        TrackedStream {
            io: TokioIo::new(stream),
            connection,
        }
    }
}

impl Read for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let read = Pin::new(&mut self.io).poll_read(context, buffer);
        if matches!(read, Poll::Ready(Ok(()))) {
            self.connection.bytes_received();
        }
        read
    }
}

impl Write for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.connection.bytes_written();
        Pin::new(&mut self.io).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.connection.bytes_written();
        Pin::new(&mut self.io).poll_write_vectored(context, parts)
    }
}
