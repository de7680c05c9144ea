//! The response body type of client connections: buffered, streamed or relayed.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::collections::VecDeque;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;
use tokio::time::{Instant, Sleep, sleep_until};

/// Why a body broke off. The connection to the client is closed, so that the response does not look complete.
#[derive(Debug)]
pub enum BodyError {
    /// The host broke off, or its connection did.
    Host(hyper::Error),
    /// The deadline of the request passed while the gateway waited for the host.
    DeadlinePassed,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BodyError::Host(error) => error.fmt(f),
            BodyError::DeadlinePassed => f.write_str("the deadline passed within the response"),
        }
    }
}

impl std::error::Error for BodyError {}

/// Body of a response to a client: held in memory, or streamed from the host.
pub enum ResponseBody {
    /// The whole body, held in memory.
    Complete(Full<Bytes>),
    /// A body that exceeds the buffer limit and is relayed as the host sends it.
    Streaming {
        /// Chunks read before streaming began; sent first.
        buffered: VecDeque<Bytes>,
        /// Remaining body of the host's response. An error in it aborts the response to the client.
        rest: Box<Incoming>,
        /// Ends at the deadline of the request. A silent host would hold the response for ever.
        deadline: Pin<Box<Sleep>>,
    },
    /// A body that a task reads from the host and relays.
    Relayed(mpsc::Receiver<Result<Bytes, BodyError>>),
}

impl ResponseBody {
    /// Creates a body from bytes that are already in memory.
    pub fn complete(bytes: Bytes) -> ResponseBody {
        ResponseBody::Complete(Full::new(bytes))
    }

    /// Creates a body that is streamed from the host until the deadline.
    pub(crate) fn streaming(
        buffered: VecDeque<Bytes>,
        rest: Box<Incoming>,
        deadline: Instant,
    ) -> ResponseBody {
        ResponseBody::Streaming {
            buffered,
            rest,
            deadline: Box::pin(sleep_until(deadline)),
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            ResponseBody::Complete(body) => Pin::new(body)
                .poll_frame(context)
                .map_err(|never| match never {}),
            ResponseBody::Streaming {
                buffered,
                rest,
                deadline,
            } => match buffered.pop_front() {
                Some(bytes) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                None => poll_until(deadline.as_mut(), rest, context),
            },
            ResponseBody::Relayed(chunks) => chunks
                .poll_recv(context)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Complete(body) => body.is_end_stream(),
            ResponseBody::Streaming { buffered, rest, .. } => {
                buffered.is_empty() && rest.is_end_stream()
            }
            // The task ends the channel after the last chunk or an error.
            ResponseBody::Relayed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Complete(body) => body.size_hint(),
            // The host's `Content-Length` header is forwarded if there is one, so no size is needed for framing.
            ResponseBody::Streaming { .. } | ResponseBody::Relayed(_) => SizeHint::default(),
        }
    }
}

/// Polls the body of a host's response, which breaks off once the deadline has passed and no more of it is there.
fn poll_until(
    deadline: Pin<&mut Sleep>,
    body: &mut Incoming,
    context: &mut Context<'_>,
) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
    if let Poll::Ready(frame) = Pin::new(body).poll_frame(context) {
        return Poll::Ready(frame.map(|frame| frame.map_err(BodyError::Host)));
    }
    deadline
        .poll(context)
        .map(|()| Some(Err(BodyError::DeadlinePassed)))
}
