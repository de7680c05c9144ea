//! The server's streams: messages in, responses out. A stream's messages are read one at a time, and its response is
//! taken from the events' owner only when the transport has room for it.

use crate::connections::{ConnectionHandle, Info};
use crate::convert;
use crate::events::{EventSender, FrontEvent, OUT_MOST, Out};
use crate::proto::envoy::service::discovery::v3 as discovery;
use crate::proto::envoy::service::load_stats::v3 as load_stats;
use discovery::aggregated_discovery_service_server::AggregatedDiscoveryService;
use load_stats::load_reporting_service_server::LoadReportingService;
use rushcourse_xds::{
    ConnectionId, Input, Request as StreamRequest, Response, StatusCode, StreamId, StreamKind,
};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use tokio::sync::mpsc;
use tokio_stream::StreamExt;
use tonic::{Request, Status, Streaming};

pub fn status(code: StatusCode, why: String) -> Status {
    match code {
        StatusCode::InvalidArgument => Status::invalid_argument(why),
        StatusCode::DeadlineExceeded => Status::deadline_exceeded(why),
        StatusCode::PermissionDenied => Status::permission_denied(why),
        StatusCode::AlreadyExists => Status::already_exists(why),
        StatusCode::ResourceExhausted => Status::resource_exhausted(why),
        StatusCode::Aborted => Status::aborted(why),
        StatusCode::Unavailable => Status::unavailable(why),
    }
}

/// What streams have in common.
#[derive(Clone, Debug)]
pub struct Services {
    pub name: Arc<str>,
    pub to: EventSender,
    /// Numbers of streams, never used twice.
    pub last: Arc<AtomicU64>,
}

/// What goes out on one stream; when it is dropped, the stream has ended.
pub struct Answers<T> {
    stream: StreamId,
    out: mpsc::Receiver<Out>,
    to: EventSender,
    handle: ConnectionHandle,
    write: Box<dyn Fn(Response) -> Option<T> + Send>,
    /// Reads what comes in; it ends with the answers.
    reader: tokio::task::AbortHandle,
    /// What was wrong with what came in, if that ended the stream.
    wrong: Arc<Mutex<Option<Status>>>,
}

impl<T> tokio_stream::Stream for Answers<T> {
    type Item = Result<T, Status>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        loop {
            return match self.out.poll_recv(cx) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(None) => {
                    let wrong = self.wrong.lock().unwrap_or_else(|e| e.into_inner()).take();
                    Poll::Ready(wrong.map(Err))
                }
                Poll::Ready(Some(Out::End(code, why))) => {
                    self.out.close();
                    Poll::Ready(Some(Err(status(code, why))))
                }
                // It is asked for only when the transport has room.
                Poll::Ready(Some(Out::Response(response))) => {
                    _ = self
                        .to
                        .unbounded
                        .send(FrontEvent::Input(Input::ResponseAccepted {
                            stream: self.stream,
                        }));
                    match (self.write)(response) {
                        Some(message) => Poll::Ready(Some(Ok(message))),
                        None => continue,
                    }
                }
            };
        }
    }
}

impl<T> Drop for Answers<T> {
    fn drop(&mut self) {
        self.reader.abort();
        self.handle.ended();
        _ = self
            .to
            .unbounded
            .send(FrontEvent::Input(Input::StreamClosed {
                stream: self.stream,
                reason: String::new(),
            }));
    }
}

impl Services {
    async fn open<M: Send + 'static, T>(
        &self,
        request: Request<Streaming<M>>,
        kind: StreamKind,
        read: fn(M) -> StreamRequest,
        write: Box<dyn Fn(Response) -> Option<T> + Send>,
    ) -> Result<tonic::Response<Answers<T>>, Status> {
        let info = request.extensions().get::<Info>().cloned();
        let Info { handle, peer } =
            info.ok_or_else(|| Status::internal("a connection of unknown origin"))?;
        let stream = StreamId(self.last.fetch_add(1, Ordering::Relaxed));
        let (to, (out, answers)) = (self.to.clone(), mpsc::channel(OUT_MOST));
        handle.opened();
        let input = Input::StreamOpened {
            stream,
            connection: ConnectionId(handle.connection),
            kind,
            peer,
        };
        let event = FrontEvent::Opened {
            stream,
            input,
            out,
            handle: handle.clone(),
        };
        let (mut messages, events) = (request.into_inner(), self.to.clone());
        let wrong: Arc<Mutex<Option<Status>>> = Arc::default();
        let failed = wrong.clone();
        let reader = tokio::spawn(async move {
            if events.bounded.send(event).await.is_err() {
                return;
            }
            let why = loop {
                match messages.next().await {
                    Some(Ok(message)) => {
                        let said = FrontEvent::Input(Input::RequestReceived {
                            stream,
                            request: read(message),
                        });
                        if events.bounded.send(said).await.is_err() {
                            return;
                        }
                    }
                    Some(Err(e)) => {
                        let why = e.message().chars().take(200).collect();
                        *failed.lock().unwrap_or_else(|e| e.into_inner()) = Some(e);
                        break why;
                    }
                    None => break String::new(),
                }
            };
            // Its peer says nothing more: it is no stream any more.
            _ = events
                .bounded
                .send(FrontEvent::Input(Input::StreamClosed {
                    stream,
                    reason: why,
                }))
                .await;
        });
        let reader = reader.abort_handle();
        Ok(tonic::Response::new(Answers {
            stream,
            out: answers,
            to,
            handle,
            write,
            reader,
            wrong,
        }))
    }
}

#[tonic::async_trait]
impl AggregatedDiscoveryService for Services {
    type StreamAggregatedResourcesStream = Answers<discovery::DiscoveryResponse>;
    type DeltaAggregatedResourcesStream = Answers<discovery::DeltaDiscoveryResponse>;

    async fn stream_aggregated_resources(
        &self,
        request: Request<Streaming<discovery::DiscoveryRequest>>,
    ) -> Result<tonic::Response<Self::StreamAggregatedResourcesStream>, Status> {
        let name = self.name.clone();
        let write = move |response| match response {
            Response::Discovery(response) => Some(convert::whole(&name, response)),
            _ => None,
        };
        self.open(
            request,
            StreamKind::StateOfTheWorld,
            |m| StreamRequest::Discovery(convert::of_whole(m)),
            Box::new(write),
        )
        .await
    }

    async fn delta_aggregated_resources(
        &self,
        request: Request<Streaming<discovery::DeltaDiscoveryRequest>>,
    ) -> Result<tonic::Response<Self::DeltaAggregatedResourcesStream>, Status> {
        let name = self.name.clone();
        let write = move |response| match response {
            Response::Delta(response) => Some(convert::delta(&name, response)),
            _ => None,
        };
        self.open(
            request,
            StreamKind::Delta,
            |m| StreamRequest::Delta(convert::of_delta(m)),
            Box::new(write),
        )
        .await
    }
}

#[tonic::async_trait]
impl LoadReportingService for Services {
    type StreamLoadStatsStream = Answers<load_stats::LoadStatsResponse>;

    async fn stream_load_stats(
        &self,
        request: Request<Streaming<load_stats::LoadStatsRequest>>,
    ) -> Result<tonic::Response<Self::StreamLoadStatsStream>, Status> {
        let write = |response| match response {
            Response::LoadStats(response) => Some(convert::load_response(response)),
            _ => None,
        };
        self.open(
            request,
            StreamKind::LoadReporting,
            |m| StreamRequest::LoadStats(convert::of_load(m)),
            Box::new(write),
        )
        .await
    }
}
