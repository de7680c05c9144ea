//! The body of a response on its way to a client.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll};

/// The body of a response: complete, or streamed from the host as it comes.
pub enum ResponseBody {
    /// All of it is here.
    Complete(Full<Bytes>),
    /// A long one, of which the host has sent the beginning.
    Streaming {
        /// What was read before the streaming began.
        buffered: VecDeque<Bytes>,
        /// The rest. If the host breaks off, the client's connection breaks off too.
        rest: Box<Incoming>,
    },
}

impl ResponseBody {
    /// A body that is all here.
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
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Complete(body) => body.is_end_stream(),
            ResponseBody::Streaming { buffered, rest } => {
                buffered.is_empty() && rest.is_end_stream()
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Complete(body) => body.size_hint(),
            // The host's `Content-Length` goes along, if there is one.
            ResponseBody::Streaming { .. } => SizeHint::default(),
        }
    }
}
