//! The server and its clients as one front: effects in, events out.

use crate::connections::{ConnectionHandle, ConnectionLimit};
use crate::events::{EventSender, FrontEvent, Out};
use crate::host;
use crate::proto::envoy::service::discovery::v3::aggregated_discovery_service_server::AggregatedDiscoveryServiceServer;
use crate::proto::envoy::service::load_stats::v3::load_reporting_service_server::LoadReportingServiceServer;
use crate::services::Services;
use crate::tls::{Io, Keys, Tls};
use rushcourse_policy::interface::HostId;
use rushcourse_xds::{DialId, Effect, Input, StreamId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{AbortHandle, JoinHandle};
use tonic::transport::Server;

/// Inputs that may wait; readers wait beyond that.
const INPUTS_MOST: usize = 1024;
/// A stream that was ended and whose peer does not read its status has its connection ended.
const STATUS_WITHIN: Duration = Duration::from_secs(1);
/// Bytes of a message's head; frames and windows are HTTP/2's smallest.
const HEADERS_MOST: u32 = 16 << 10;
const WINDOW: u32 = 64 << 10;
/// Connections that were greeted and wait for the server.
const GREETED_MOST: usize = 16;
/// Streams on one connection: a relay takes two.
const STREAMS_EACH: u32 = 64;

/// What operators set, and what follows from the limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Serving {
    pub listen: SocketAddr,
    /// Connections at that address.
    pub connections: usize,
    /// Bytes of one message of a relay.
    pub message: usize,
    /// How often HTTP/2 asks whether a peer is there, and for how long it waits.
    pub ping_every: Duration,
    pub ping_within: Duration,
    /// A connection that bears no stream is ended after this.
    pub idle: Duration,
    /// Keys and certificates, where connections are to be greeted.
    pub tls: Option<Tls>,
}

/// One address that is served.
struct Listening {
    listen: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    task: JoinHandle<()>,
}

struct Held {
    out: mpsc::Sender<Out>,
    handle: ConnectionHandle,
}

pub struct Front {
    name: Arc<str>,
    to: EventSender,
    bounded: mpsc::Receiver<FrontEvent>,
    unbounded: mpsc::UnboundedReceiver<FrontEvent>,
    streams: BTreeMap<StreamId, Held>,
    hosts: BTreeMap<(HostId, DialId), AbortHandle>,
    last: Arc<AtomicU64>,
    connections: Arc<AtomicU64>,
    limit: Option<ConnectionLimit>,
    keys: Keys,
    listening: Vec<Listening>,
}

impl Front {
    pub fn new(name: &str) -> Front {
        let (bounded, bounded_events) = mpsc::channel(INPUTS_MOST);
        let (unbounded, unbounded_events) = mpsc::unbounded_channel();
        Front {
            name: name.into(),
            to: EventSender { bounded, unbounded },
            bounded: bounded_events,
            unbounded: unbounded_events,
            streams: BTreeMap::new(),
            hosts: BTreeMap::new(),
            last: Arc::new(AtomicU64::new(1)),
            connections: Arc::new(AtomicU64::new(1)),
            limit: None,
            keys: Keys::default(),
            listening: Vec::new(),
        }
    }

    /// Serves at an address from now on, with these keys. Where another one was served before, it takes no new
    /// connection any more, and those that stand there go on: make before break. What can't be used changes nothing.
    pub async fn listen(&mut self, options: &Serving) -> Result<SocketAddr, String> {
        let listen = options.listen;
        let same = self
            .listening
            .iter()
            .any(|l| l.listen == listen && l.stop.is_some());
        let bound = if same {
            None
        } else {
            Some(TcpListener::bind(listen).await)
        };
        let listener = bound
            .transpose()
            .map_err(|e| format!("listen: {listen} can't be bound: {e}"))?;
        self.keys
            .set(options.tls.as_ref())
            .map_err(|e| format!("tls: {e}"))?;
        let Some(listener) = listener else {
            return Ok(listen);
        };
        let listen = listener.local_addr().map_err(|e| e.to_string())?;
        let limit = self
            .limit
            .get_or_insert_with(|| ConnectionLimit::new(options.connections, options.idle))
            .clone();
        let (stop, stopped) = oneshot::channel();
        let (keys, connections) = (self.keys.clone(), self.connections.clone());
        let accepting = Accepting {
            listener,
            limit,
            keys,
            connections,
        };
        let task = tokio::spawn(serve(accepting, options.clone(), self.services(), stopped));
        self.stop();
        self.listening.push(Listening {
            listen,
            stop: Some(stop),
            task,
        });
        Ok(listen)
    }

    fn services(&self) -> Services {
        Services {
            name: self.name.clone(),
            to: self.to.clone(),
            last: self.last.clone(),
        }
    }

    /// Takes no new connection any more; those that stand go on until nobody is on them.
    pub fn stop(&mut self) {
        for stop in self.listening.iter_mut().filter_map(|l| l.stop.take()) {
            _ = stop.send(());
        }
        self.listening.retain(|l| !l.task.is_finished());
    }

    /// The next event, as an input.
    pub async fn next(&mut self) -> Option<Input> {
        let event = tokio::select! {
            biased;
            event = self.unbounded.recv() => event?,
            event = self.bounded.recv() => event?,
        };
        Some(self.take(event))
    }

    /// An event that waits already, as an input.
    pub fn try_next(&mut self) -> Option<Input> {
        let event = self
            .unbounded
            .try_recv()
            .ok()
            .or_else(|| self.bounded.try_recv().ok())?;
        Some(self.take(event))
    }

    fn take(&mut self, event: FrontEvent) -> Input {
        match event {
            FrontEvent::Opened {
                stream,
                input,
                out,
                handle,
            } => {
                self.streams.insert(stream, Held { out, handle });
                input
            }
            FrontEvent::Input(input) => {
                match &input {
                    Input::StreamClosed { stream, .. } => _ = self.streams.remove(stream),
                    Input::ReportStreamClosed { host, dial, .. } => {
                        _ = self.hosts.remove(&(host.clone(), *dial))
                    }
                    _ => {}
                }
                input
            }
        }
    }

    pub fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::SendResponse { stream, response } => {
                let Some(held) = self.streams.get(&stream) else {
                    return;
                };
                held.handle.mark_useful();
                if held.out.try_send(Out::Response(response)).is_err() {
                    self.streams.remove(&stream);
                    let reason = "it is gone".into();
                    _ = self
                        .to
                        .unbounded
                        .send(FrontEvent::Input(Input::StreamClosed { stream, reason }));
                }
            }
            Effect::EndStream {
                stream,
                status,
                message,
            } => {
                let Some(Held { out, handle }) = self.streams.remove(&stream) else {
                    return;
                };
                if out.try_send(Out::End(status, message)).is_err() && !out.is_closed() {
                    return handle.kill();
                }
                tokio::spawn(async move {
                    if tokio::time::timeout(STATUS_WITHIN, out.closed())
                        .await
                        .is_err()
                    {
                        handle.kill();
                    }
                });
            }
            Effect::OpenReportStream {
                host,
                dial,
                address,
                report_interval,
            } => {
                let task = host::open(
                    host.clone(),
                    dial,
                    address,
                    report_interval,
                    self.to.clone(),
                );
                self.hosts.insert((host, dial), task);
            }
            Effect::CloseReportStream { host, dial } => {
                self.hosts
                    .remove(&(host, dial))
                    .into_iter()
                    .for_each(|task| task.abort());
            }
        }
    }

    /// Says goodbye (GOAWAY) on all connections, and waits a moment for them to go.
    pub async fn close(mut self, grace: Duration) {
        self.hosts.values().for_each(AbortHandle::abort);
        self.stop();
        let tasks = self.listening.into_iter().map(|l| l.task);
        _ = tokio::time::timeout(grace, futures_util::future::join_all(tasks)).await;
    }
}

/// What new connections come through.
struct Accepting {
    listener: TcpListener,
    limit: ConnectionLimit,
    keys: Keys,
    /// Numbers of connections, never used twice.
    connections: Arc<AtomicU64>,
}

/// Accepts and greets; who greets slowly holds up nobody.
async fn accept(accepting: Accepting, greeted: mpsc::Sender<Result<Io, std::io::Error>>) {
    loop {
        let connection = accepting.connections.fetch_add(1, Ordering::Relaxed);
        let Ok(stream) = accepting
            .limit
            .accept(&accepting.listener, connection)
            .await
        else {
            continue;
        };
        let (keys, greeted) = (accepting.keys.clone(), greeted.clone());
        tokio::spawn(async move {
            if let Some(io) = keys.greet(stream).await {
                _ = greeted.send(Ok(io)).await;
            }
        });
    }
}

async fn serve(
    accepting: Accepting,
    options: Serving,
    services: Services,
    stopped: oneshot::Receiver<()>,
) {
    let (health, health_service) = tonic_health::server::health_reporter();
    health
        .set_serving::<AggregatedDiscoveryServiceServer<Services>>()
        .await;
    health
        .set_serving::<LoadReportingServiceServer<Services>>()
        .await;
    let reflection = tonic_reflection::server::Builder::configure()
        .register_encoded_file_descriptor_set(crate::proto::DESCRIPTORS)
        .register_encoded_file_descriptor_set(tonic_health::pb::FILE_DESCRIPTOR_SET)
        .build_v1();
    let (greeted, incoming) = mpsc::channel(GREETED_MOST);
    let accepting = tokio::spawn(accept(accepting, greeted)).abort_handle();
    let stopped = async move {
        _ = stopped.await;
        accepting.abort();
    };
    let incoming = tokio_stream::wrappers::ReceiverStream::new(incoming);
    let tables = AggregatedDiscoveryServiceServer::new(services.clone())
        .max_decoding_message_size(options.message);
    let loads =
        LoadReportingServiceServer::new(services).max_decoding_message_size(options.message);
    let served = Server::builder()
        .http2_keepalive_interval(Some(options.ping_every))
        .http2_keepalive_timeout(Some(options.ping_within))
        .http2_max_header_list_size(HEADERS_MOST)
        .http2_max_pending_accept_reset_streams(Some(32))
        .max_concurrent_streams(STREAMS_EACH)
        .initial_stream_window_size(WINDOW)
        .initial_connection_window_size(4 * WINDOW)
        .add_service(health_service)
        .add_optional_service(reflection.ok())
        .add_service(tables)
        .add_service(loads)
        .serve_with_incoming_shutdown(incoming, stopped);
    _ = served.await;
}
