//! The server at one address: connections are accepted, made private, and served.

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

/// Bytes of a request's headers. Frames and windows are HTTP/2's smallest.
const MAX_HEADER_SIZE: u32 = 16 << 10;
const STREAM_WINDOW: u32 = 64 << 10;
const CONNECTION_WINDOW: u32 = 4 * STREAM_WINDOW;
/// Connections that have finished their handshake and wait for the server.
const MAX_WAITING_CONNECTIONS: usize = 16;
/// Streams on one connection: a proxy opens two.
const MAX_STREAMS_PER_CONNECTION: u32 = 64;
/// Streams that a peer has reset and the server has not yet looked at.
const MAX_PENDING_RESETS: usize = 32;

/// How the server is set up.
#[derive(Clone, Debug, PartialEq)]
pub struct GrpcServerConfig {
    /// The address that it listens on.
    pub listen: SocketAddr,
    /// Connections at that address.
    pub max_connections: usize,
    /// Bytes of one message of a proxy.
    pub max_message_size: usize,
    /// How often HTTP/2 asks whether a peer is there.
    pub ping_interval: Duration,
    /// How long it waits for the answer.
    pub ping_timeout: Duration,
    /// A connection that carries no stream is closed after this.
    pub idle_timeout: Duration,
    /// Certificates and keys; without, connections are plain.
    pub tls: Option<TlsFiles>,
}

/// What a new connection goes through.
pub(crate) struct Acceptor {
    pub(crate) listener: TcpListener,
    pub(crate) limit: ConnectionLimit,
    pub(crate) tls: TlsSettings,
    /// The number of the next connection; numbers are never used twice.
    pub(crate) next_connection: Arc<AtomicU64>,
}

impl Acceptor {
    /// Accepts connections and hands on those that have finished their handshake. A slow handshake holds up no other.
    async fn run(self, ready: mpsc::Sender<io::Result<ServerStream>>) {
        loop {
            let id = ConnectionId(self.next_connection.fetch_add(1, Ordering::Relaxed));
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

/// Serves until it is told to stop, and then until the connections that are open have ended.
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
    let (ready, connections) = mpsc::channel(MAX_WAITING_CONNECTIONS);
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
    // It ends with the connections; their own failures end them alone.
    _ = served.await;
}
