//! Tracks the activity of a client connection, on which its timeouts depend.

use crate::response_body::{BodyError, ResponseBody};
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
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Phase of a client connection's request cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Activity {
    /// No byte of the next request has arrived; the idle timeout applies.
    Idle,
    /// A request head has arrived in part; the header timeout applies.
    ReceivingHead,
    /// From a complete request head to the end of the response body; no connection timeout applies.
    Serving,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseMode {
    /// Finish the request in progress, then close.
    Graceful,
    /// Close without waiting for the rest of a request head. [`CloseMode::Graceful`] if the head has become complete.
    Immediate,
}

/// State of a client connection, shared by its task and the timeout check over all connections.
///
/// A single `Notify` signals both timeouts and shutdown, because the connection task polls each wake-up source again
/// with every read and write.
pub(crate) struct DownstreamConnection {
    clock: Clock,
    activity: Cell<Activity>,
    activity_started_at: Cell<Timestamp>,
    close_request: Notify,
    closes_immediately: Cell<bool>,
}

impl DownstreamConnection {
    pub(crate) fn new(clock: Clock) -> DownstreamConnection {
        DownstreamConnection {
            clock,
            activity: Cell::new(Activity::Idle),
            activity_started_at: Cell::new(clock.now()),
            close_request: Notify::new(),
            closes_immediately: Cell::new(false),
        }
    }

    pub(crate) fn activity(&self) -> Activity {
        self.activity.get()
    }

    /// Returns the time of the last change of activity. While idle, each write of response bytes counts as a change.
    pub(crate) fn activity_started_at(&self) -> Timestamp {
        self.activity_started_at.get()
    }

    /// Returns the time since the last change of activity.
    pub(crate) fn time_in_activity(&self) -> Duration {
        self.clock.now() - self.activity_started_at.get()
    }

    /// Called when a complete request head has been parsed.
    pub(crate) fn request_started(&self) {
        self.set_activity(Activity::Serving);
    }

    /// Requests that the connection's task close it. Does not wait.
    pub(crate) fn close(&self, mode: CloseMode) {
        self.closes_immediately.set(mode == CloseMode::Immediate);
        self.close_request.notify_one();
    }

    /// Waits for a call of [`DownstreamConnection::close`]. A request whose head is complete by then is served.
    pub(crate) async fn close_requested(&self) -> CloseMode {
        self.close_request.notified().await;
        if self.closes_immediately.get() && self.activity.get() != Activity::Serving {
            CloseMode::Immediate
        } else {
            CloseMode::Graceful
        }
    }

    fn set_activity(&self, activity: Activity) {
        self.activity.set(activity);
        self.activity_started_at.set(self.clock.now());
    }

    /// Starts the header timeout if the connection was idle.
    fn bytes_received(&self) {
        if self.activity.get() == Activity::Idle {
            self.set_activity(Activity::ReceivingHead);
        }
    }

    /// Restarts the idle timeout, because hyper may still be writing a response whose body has been dropped.
    fn bytes_written(&self) {
        if self.activity.get() == Activity::Idle {
            self.set_activity(Activity::Idle);
        }
    }
}

/// Response body that marks its client connection idle when dropped.
pub(crate) struct TrackedBody {
    body: ResponseBody,
    connection: Rc<DownstreamConnection>,
}

impl TrackedBody {
    pub(crate) fn new(body: ResponseBody, connection: Rc<DownstreamConnection>) -> TrackedBody {
        TrackedBody { body, connection }
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.connection.set_activity(Activity::Idle);
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Client socket that reports reads and writes to its [`DownstreamConnection`].
pub(crate) struct TrackedStream {
    io: TokioIo<TcpStream>,
    connection: Rc<DownstreamConnection>,
}

impl TrackedStream {
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
