//! gRPC services for proxies. Each stream has a task that reads its requests one at a time.

use crate::connections::ConnectionInfo;
use crate::convert;
use crate::events::{COMMAND_CHANNEL_CAPACITY, EventSender, TransportClosed, TransportEvent};
use crate::proto::envoy::service::discovery::v3 as discovery;
use crate::proto::envoy::service::load_stats::v3 as load_stats;
use crate::response_stream::{Encode, RequestError, ResponseStream};
use discovery::aggregated_discovery_service_server::AggregatedDiscoveryService;
use load_stats::load_reporting_service_server::LoadReportingService;
use rushcourse_xds::{Input, Request, Response, StreamId, StreamKind};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::mpsc;
use tokio_stream::StreamExt;
use tonic::{Status, Streaming};

/// Maximum length of the close reason kept from a stream's error status, in characters.
const MAX_REASON_CHARS: usize = 200;

/// Implements the discovery and load reporting services.
#[derive(Clone, Debug)]
pub(crate) struct Services {
    /// Control plane identifier sent in discovery responses.
    pub(crate) director_name: Arc<str>,
    pub(crate) events: EventSender,
    /// ID of the next stream. Shared by all servers of a transport, so that IDs are never reused.
    pub(crate) next_stream_id: Arc<AtomicU64>,
}

type Decode<M> = fn(M) -> Request;

/// Reads the requests of one stream and reports them as events.
struct RequestReader<M> {
    stream: StreamId,
    messages: Streaming<M>,
    decode: Decode<M>,
    events: EventSender,
    error: RequestError,
}

impl<M: Send + 'static> RequestReader<M> {
    /// Sends `opened`, then an event for each request, then [`Input::StreamClosed`].
    async fn run(mut self, opened: TransportEvent) {
        if self.events.send(opened).await.is_err() {
            return;
        }
        let reason = loop {
            match self.messages.next().await {
                Some(Ok(message)) => {
                    let received = Input::RequestReceived {
                        stream: self.stream,
                        request: (self.decode)(message),
                    };
                    if self.report(received).await.is_err() {
                        return;
                    }
                }
                Some(Err(status)) => {
                    let reason = status.message().chars().take(MAX_REASON_CHARS).collect();
                    self.error.set(status);
                    break reason;
                }
                None => break String::new(),
            }
        };
        // The state machine treats a half-closed stream as closed.
        let closed = Input::StreamClosed {
            stream: self.stream,
            reason,
        };
        _ = self.report(closed).await;
    }

    async fn report(&self, input: Input) -> Result<(), TransportClosed> {
        self.events.send(TransportEvent::Input(input)).await
    }
}

impl Services {
    fn open_stream<M: Send + 'static, T>(
        &self,
        request: tonic::Request<Streaming<M>>,
        kind: StreamKind,
        decode: Decode<M>,
        encode: Encode<T>,
    ) -> Result<tonic::Response<ResponseStream<T>>, Status> {
        let info = request.extensions().get::<ConnectionInfo>().cloned();
        let ConnectionInfo {
            handle: connection,
            peer,
        } = info.ok_or_else(|| Status::internal("a connection of unknown origin"))?;
        let stream = StreamId(self.next_stream_id.fetch_add(1, Ordering::Relaxed));
        let (command_sender, commands) = mpsc::channel(COMMAND_CHANNEL_CAPACITY);
        connection.stream_opened();
        let opened = TransportEvent::StreamOpened {
            stream,
            input: Input::StreamOpened {
                stream,
                connection: connection.id(),
                kind,
                peer,
            },
            commands: command_sender,
            connection: connection.clone(),
        };
        let request_error = RequestError::default();
        let reader = RequestReader {
            stream,
            messages: request.into_inner(),
            decode,
            events: self.events.clone(),
            error: request_error.clone(),
        };
        Ok(tonic::Response::new(ResponseStream {
            stream,
            commands,
            events: self.events.clone(),
            connection,
            encode,
            request_reader: tokio::spawn(reader.run(opened)).abort_handle(),
            request_error,
        }))
    }
}

#[tonic::async_trait]
impl AggregatedDiscoveryService for Services {
    type StreamAggregatedResourcesStream = ResponseStream<discovery::DiscoveryResponse>;
    type DeltaAggregatedResourcesStream = ResponseStream<discovery::DeltaDiscoveryResponse>;

    async fn stream_aggregated_resources(
        &self,
        request: tonic::Request<Streaming<discovery::DiscoveryRequest>>,
    ) -> Result<tonic::Response<Self::StreamAggregatedResourcesStream>, Status> {
        let director = self.director_name.clone();
        let encode = move |response| match response {
            Response::Discovery(response) => Some(convert::encode_response(&director, response)),
            _ => None,
        };
        self.open_stream(
            request,
            StreamKind::StateOfTheWorld,
            |message| Request::Discovery(convert::decode_request(message)),
            Box::new(encode),
        )
    }

    async fn delta_aggregated_resources(
        &self,
        request: tonic::Request<Streaming<discovery::DeltaDiscoveryRequest>>,
    ) -> Result<tonic::Response<Self::DeltaAggregatedResourcesStream>, Status> {
        let director = self.director_name.clone();
        let encode = move |response| match response {
            Response::Delta(response) => Some(convert::encode_delta_response(&director, response)),
            _ => None,
        };
        self.open_stream(
            request,
            StreamKind::Delta,
            |message| Request::Delta(convert::decode_delta_request(message)),
            Box::new(encode),
        )
    }
}

#[tonic::async_trait]
impl LoadReportingService for Services {
    type StreamLoadStatsStream = ResponseStream<load_stats::LoadStatsResponse>;

    async fn stream_load_stats(
        &self,
        request: tonic::Request<Streaming<load_stats::LoadStatsRequest>>,
    ) -> Result<tonic::Response<Self::StreamLoadStatsStream>, Status> {
        let encode = |response| match response {
            Response::LoadStats(response) => Some(convert::encode_load_stats_response(response)),
            _ => None,
        };
        self.open_stream(
            request,
            StreamKind::LoadReporting,
            |message| Request::LoadStats(convert::decode_load_stats(message)),
            Box::new(encode),
        )
    }
}
