//! gRPC server for one listen address: accepts connections, performs TLS handshakes and serves requests.

use crate::connections::ConnectionLimit;
use crate::proto::DESCRIPTORS;
use crate::proto::envoy::service::discovery::v3::aggregated_discovery_service_server::AggregatedDiscoveryServiceServer;
use crate::proto::envoy::service::load_stats::v3::load_reporting_service_server::LoadReportingServiceServer;
use crate::services::Services;
use crate::tls::{ServerStream, TlsSettings};
use rushcourse_tls::TlsFiles;
use rushcourse_xds::ConnectionId;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::Server;

/// Maximum size of a request's header list in bytes.
const MAX_HEADER_SIZE: u32 = 16 << 10;
/// Initial HTTP/2 flow-control window of a stream in bytes.
const STREAM_WINDOW: u32 = 64 << 10;
/// Initial HTTP/2 flow-control window of a connection in bytes.
const CONNECTION_WINDOW: u32 = 4 * STREAM_WINDOW;
/// Capacity of the queue of connections that have completed their handshake and are not yet served.
const READY_CONNECTION_CAPACITY: usize = 16;
/// Maximum number of concurrent streams per connection. A proxy opens two.
const MAX_STREAMS_PER_CONNECTION: u32 = 64;
/// Maximum number of streams per connection that a peer has reset before the server accepted them (protects against
/// rapid reset).
const MAX_PENDING_RESETS: usize = 32;

/// Settings of the gRPC server.
#[derive(Clone, Debug, PartialEq)]
pub struct GrpcServerConfig {
    /// Address to listen on. Port 0 selects a free port.
    pub listen: SocketAddr,
    /// Maximum number of open connections over all listen addresses. Only the value at the first
    /// [`crate::GrpcTransport::listen`] call takes effect.
    pub max_connections: usize,
    /// Maximum size of a request message in bytes.
    pub max_message_size: usize,
    /// Interval between HTTP/2 keepalive pings.
    pub ping_interval: Duration,
    /// A connection is closed if a keepalive ping is not acknowledged within this time.
    pub ping_timeout: Duration,
    /// A connection without open streams is closed after this time. Only the value at the first
    /// [`crate::GrpcTransport::listen`] call takes effect.
    pub idle_timeout: Duration,
    /// Certificate, key and optional client CA. `None` serves plaintext.
    pub tls: Option<TlsFiles>,
}

/// Accepts connections and performs TLS handshakes for one listener.
pub(crate) struct Acceptor {
    pub(crate) listener: TcpListener,
    pub(crate) limit: ConnectionLimit,
    pub(crate) tls: TlsSettings,
    /// ID of the next connection. Shared by all servers of a transport, so that IDs are never reused.
    pub(crate) next_connection_id: Arc<AtomicU64>,
}

impl Acceptor {
    /// Accepts connections and sends each to `ready` once its handshake completes. Handshakes run concurrently.
    async fn run(self, ready: mpsc::Sender<io::Result<ServerStream>>) {
        loop {
            let id = ConnectionId(self.next_connection_id.fetch_add(1, Ordering::Relaxed));
            let stream = self.limit.accept(&self.listener, id).await;
            let (tls, ready) = (self.tls.clone(), ready.clone());
            tokio::spawn(async move {
                if let Some(stream) = tls.handshake(stream).await {
                    _ = ready.send(Ok(stream)).await;
                }
            });
        }
    }
}

/// Serves connections until `stop` fires or its sender is dropped, then shuts down gracefully: open connections receive
/// GOAWAY and may finish their streams.
pub(crate) async fn serve(
    acceptor: Acceptor,
    config: GrpcServerConfig,
    services: Services,
    stop: oneshot::Receiver<()>,
) {
    let (health, health_service) = tonic_health::server::health_reporter();
    health
        .set_serving::<AggregatedDiscoveryServiceServer<Services>>()
        .await;
    health
        .set_serving::<LoadReportingServiceServer<Services>>()
        .await;
    let reflection = tonic_reflection::server::Builder::configure()
        .register_encoded_file_descriptor_set(DESCRIPTORS)
        .register_encoded_file_descriptor_set(tonic_health::pb::FILE_DESCRIPTOR_SET)
        .build_v1();
    let (ready, connections) = mpsc::channel(READY_CONNECTION_CAPACITY);
    let accepting = tokio::spawn(acceptor.run(ready)).abort_handle();
    let stopped = async move {
        _ = stop.await;
        accepting.abort();
    };
    let discovery = AggregatedDiscoveryServiceServer::new(services.clone())
        .max_decoding_message_size(config.max_message_size);
    let load_reporting = LoadReportingServiceServer::new(services)
        .max_decoding_message_size(config.max_message_size);
    let served = Server::builder()
        .http2_keepalive_interval(Some(config.ping_interval))
        .http2_keepalive_timeout(Some(config.ping_timeout))
        .http2_max_header_list_size(MAX_HEADER_SIZE)
        .http2_max_pending_accept_reset_streams(Some(MAX_PENDING_RESETS))
        .max_concurrent_streams(MAX_STREAMS_PER_CONNECTION)
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .add_service(health_service)
        .add_optional_service(reflection.ok())
        .add_service(discovery)
        .add_service(load_reporting)
        .serve_with_incoming_shutdown(ReceiverStream::new(connections), stopped);
    // Connection errors close only the connection concerned.
    _ = served.await;
}
