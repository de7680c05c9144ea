//! The response body type of client connections: buffered, streamed or relayed.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

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
    },
    /// A body that a task reads from the host and relays.
    Relayed(mpsc::Receiver<Result<Bytes, hyper::Error>>),
}

impl ResponseBody {
    /// Creates a body from bytes that are already in memory.
    pub fn complete(bytes: Bytes) -> ResponseBody {
        ResponseBody::Complete(Full::new(bytes))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            ResponseBody::Complete(body) => Pin::new(body)
                .poll_frame(context)
                .map_err(|never| match never {}),
            ResponseBody::Streaming { buffered, rest } => match buffered.pop_front() {
                Some(bytes) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                None => Pin::new(&mut **rest).poll_frame(context),
            },
            ResponseBody::Relayed(chunks) => chunks
                .poll_recv(context)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Complete(body) => body.is_end_stream(),
            ResponseBody::Streaming { buffered, rest } => {
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
