//! Outgoing responses of one server stream. A response is taken from the channel only when HTTP/2 flow control has
//! capacity for it.

use crate::connections::ConnectionHandle;
use crate::events::{EventSender, StreamCommand};
use rushcourse_xds::{Input, Response, StatusCode, StreamId};
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tonic::Status;

/// Encodes a response. Returns `None` if the response belongs to another kind of stream.
pub(crate) type Encode<T> = Box<dyn Fn(Response) -> Option<T> + Send>;

/// Error status of a stream's requests, shared between the task that reads them and the response stream.
#[derive(Clone, Default)]
pub(crate) struct RequestError(Arc<Mutex<Option<Status>>>);

impl RequestError {
    /// Sets the status that ends the response stream.
    pub(crate) fn set(&self, status: Status) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(status);
    }

    fn take(&self) -> Option<Status> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

/// Responses of one stream. Dropping it closes the stream and stops the task that reads its requests.
pub(crate) struct ResponseStream<T> {
    pub(crate) stream: StreamId,
    pub(crate) commands: mpsc::Receiver<StreamCommand>,
    pub(crate) events: EventSender,
    pub(crate) connection: ConnectionHandle,
    pub(crate) encode: Encode<T>,
    /// Task that reads the requests, aborted on drop.
    pub(crate) request_reader: AbortHandle,
    pub(crate) request_error: RequestError,
}

impl<T> tokio_stream::Stream for ResponseStream<T> {
    type Item = Result<T, Status>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        loop {
            match self.commands.poll_recv(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => return Poll::Ready(self.request_error.take().map(Err)),
                Poll::Ready(Some(StreamCommand::End(code, message))) => {
                    self.commands.close();
                    return Poll::Ready(Some(Err(status(code, message))));
                }
                // The transport polls only when it can send, so this response counts as accepted.
                Poll::Ready(Some(StreamCommand::Respond(response))) => {
                    self.events.send_now(Input::ResponseAccepted {
                        stream: self.stream,
                    });
                    if let Some(message) = (self.encode)(response) {
                        return Poll::Ready(Some(Ok(message)));
                    }
                }
            }
        }
    }
}

impl<T> Drop for ResponseStream<T> {
    fn drop(&mut self) {
        self.request_reader.abort();
        self.connection.stream_ended();
        self.events.send_now(Input::StreamClosed {
            stream: self.stream,
            reason: String::new(),
        });
    }
}

fn status(code: StatusCode, message: String) -> Status {
    match code {
        StatusCode::InvalidArgument => Status::invalid_argument(message),
        StatusCode::DeadlineExceeded => Status::deadline_exceeded(message),
        StatusCode::PermissionDenied => Status::permission_denied(message),
        StatusCode::AlreadyExists => Status::already_exists(message),
        StatusCode::ResourceExhausted => Status::resource_exhausted(message),
        StatusCode::Aborted => Status::aborted(message),
        StatusCode::Unavailable => Status::unavailable(message),
    }
}
