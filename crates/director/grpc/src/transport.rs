//! Combines the gRPC servers and the report clients behind one interface: inputs are read from it, effects applied to
//! it.

use crate::connections::{ConnectionHandle, ConnectionLimit};
use crate::events::{self, EventReceiver, EventSender, StreamCommand, TransportEvent};
use crate::report_client::{self, ReportStream};
use crate::server::{self, Acceptor, GrpcServerConfig};
use crate::services::Services;
use crate::tls::TlsSettings;
use rushcourse_policy::interface::HostId;
use rushcourse_tls::TlsError;
use rushcourse_xds::{DialId, Effect, Input, Response, StatusCode, StreamId};
use std::collections::BTreeMap;
use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{AbortHandle, JoinHandle};

/// Capacity of the event channel. Tasks that read requests wait while it is full.
const EVENT_CHANNEL_CAPACITY: usize = 1024;
/// The connection is closed if the peer doesn't read an ended stream's status within this time.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// Error of [`GrpcTransport::listen`].
#[derive(Debug)]
pub enum ListenError {
    /// Binding the listen address failed.
    Bind {
        /// Listen address from the configuration.
        address: SocketAddr,
        /// Error from the operating system.
        source: io::Error,
    },
    /// Querying the local address of the bound socket failed.
    LocalAddress(io::Error),
    /// The certificate files can't be loaded.
    Tls(TlsError),
}

impl fmt::Display for ListenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ListenError::Bind { address, source } => {
                write!(f, "listen: {address} can't be bound: {source}")
            }
            ListenError::LocalAddress(source) => write!(f, "{source}"),
            ListenError::Tls(source) => write!(f, "tls: {source}"),
        }
    }
}

impl Error for ListenError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            ListenError::Bind { source, .. } | ListenError::LocalAddress(source) => Some(source),
            ListenError::Tls(source) => Some(source),
        }
    }
}

/// Server of one listen address. It may have stopped accepting and still serve open connections.
struct Server {
    listen: SocketAddr,
    /// Stops accepting connections. `None` after that.
    stop: Option<oneshot::Sender<()>>,
    task: JoinHandle<()>,
}

struct OpenStream {
    commands: mpsc::Sender<StreamCommand>,
    connection: ConnectionHandle,
}

/// Serves gRPC to proxies and receives load reports from hosts. Each stream runs in its own task.
pub struct GrpcTransport {
    director_name: Arc<str>,
    sender: EventSender,
    receiver: EventReceiver,
    streams: BTreeMap<StreamId, OpenStream>,
    report_streams: BTreeMap<(HostId, DialId), AbortHandle>,
    next_stream_id: Arc<AtomicU64>,
    next_connection_id: Arc<AtomicU64>,
    /// Shared by all listen addresses and created with the first one.
    limit: Option<ConnectionLimit>,
    tls: TlsSettings,
    servers: Vec<Server>,
}

impl GrpcTransport {
    /// Creates a transport that doesn't listen yet. `director_name` is sent to proxies as the control plane identifier.
    pub fn new(director_name: &str) -> GrpcTransport {
        let (sender, receiver) = events::channel(EVENT_CHANNEL_CAPACITY);
        GrpcTransport {
            director_name: director_name.into(),
            sender,
            receiver,
            streams: BTreeMap::new(),
            report_streams: BTreeMap::new(),
            next_stream_id: Arc::new(AtomicU64::new(1)),
            next_connection_id: Arc::new(AtomicU64::new(1)),
            limit: None,
            tls: TlsSettings::default(),
            servers: Vec::new(),
        }
    }

    /// Listens on the configured address and applies the TLS settings; returns the bound address. A server at another
    /// address stops accepting connections, and its open connections stay. If the address is served already, only the
    /// TLS settings change.
    ///
    /// # Errors
    /// Returns an error if the address can't be bound or the certificates can't be loaded. The previous server then
    /// keeps running.
    pub async fn listen(&mut self, config: &GrpcServerConfig) -> Result<SocketAddr, ListenError> {
        let address = config.listen;
        let is_served = self
            .servers
            .iter()
            .any(|server| server.listen == address && server.stop.is_some());
        if is_served {
            self.set_tls(config)?;
            return Ok(address);
        }
        let listener = TcpListener::bind(address)
            .await
            .map_err(|source| ListenError::Bind { address, source })?;
        self.set_tls(config)?;
        let listen = listener.local_addr().map_err(ListenError::LocalAddress)?;
        self.start_server(listener, listen, config);
        Ok(listen)
    }

    fn set_tls(&self, config: &GrpcServerConfig) -> Result<(), ListenError> {
        self.tls.set(config.tls.as_ref()).map_err(ListenError::Tls)
    }

    fn start_server(
        &mut self,
        listener: TcpListener,
        listen: SocketAddr,
        config: &GrpcServerConfig,
    ) {
        let limit = self
            .limit
            .get_or_insert_with(|| {
                ConnectionLimit::new(config.max_connections, config.idle_timeout)
            })
            .clone();
        let acceptor = Acceptor {
            listener,
            limit,
            tls: self.tls.clone(),
            next_connection_id: self.next_connection_id.clone(),
        };
        let services = Services {
            director_name: self.director_name.clone(),
            events: self.sender.clone(),
            next_stream_id: self.next_stream_id.clone(),
        };
        let (stop, stopped) = oneshot::channel();
        let task = tokio::spawn(server::serve(acceptor, config.clone(), services, stopped));
        self.stop_accepting();
        self.servers.push(Server {
            listen,
            stop: Some(stop),
            task,
        });
    }

    /// Stops accepting connections. Open connections receive GOAWAY and stay until their streams have ended.
    pub fn stop_accepting(&mut self) {
        for stop in self
            .servers
            .iter_mut()
            .filter_map(|server| server.stop.take())
        {
            // Sending fails only if the server has stopped already.
            _ = stop.send(());
        }
        self.servers.retain(|server| !server.task.is_finished());
    }

    /// Waits for the next input from a proxy or host. Cancel safe.
    pub async fn next_input(&mut self) -> Option<Input> {
        let event = self.receiver.recv().await?;
        Some(self.track_streams(event))
    }

    /// Returns a queued input without waiting, or `None` if there is none.
    pub fn try_next_input(&mut self) -> Option<Input> {
        let event = self.receiver.try_recv()?;
        Some(self.track_streams(event))
    }

    /// Updates the open streams and returns the event's input.
    fn track_streams(&mut self, event: TransportEvent) -> Input {
        let input = match event {
            TransportEvent::StreamOpened {
                stream,
                input,
                commands,
                connection,
            } => {
                let open = OpenStream {
                    commands,
                    connection,
                };
                self.streams.insert(stream, open);
                return input;
            }
            TransportEvent::Input(input) => input,
        };
        match &input {
            Input::StreamClosed { stream, .. } => _ = self.streams.remove(stream),
            Input::ReportStreamClosed { host, dial, .. } => {
                _ = self.report_streams.remove(&(host.clone(), *dial));
            }
            _ => {}
        }
        input
    }

    /// Sends a response, ends a stream, or opens or closes a report stream. Effects on closed streams are ignored.
    pub fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::SendResponse { stream, response } => self.send_response(stream, response),
            Effect::EndStream {
                stream,
                status,
                message,
            } => self.end_stream(stream, status, message),
            Effect::OpenReportStream {
                host,
                dial,
                address,
                report_interval,
            } => {
                let stream = ReportStream {
                    host: host.clone(),
                    dial,
                    address,
                    report_interval,
                };
                let task = report_client::open(stream, self.sender.clone());
                self.report_streams.insert((host, dial), task);
            }
            Effect::CloseReportStream { host, dial } => {
                if let Some(task) = self.report_streams.remove(&(host, dial)) {
                    task.abort();
                }
            }
        }
    }

    fn send_response(&mut self, stream: StreamId, response: Response) {
        let Some(open) = self.streams.get(&stream) else {
            return;
        };
        open.connection.mark_in_use();
        let command = StreamCommand::Respond(response);
        if open.commands.try_send(command).is_err() {
            self.streams.remove(&stream);
            self.sender.send_now(Input::StreamClosed {
                stream,
                reason: "stream is closed".into(),
            });
        }
    }

    fn end_stream(&mut self, stream: StreamId, status: StatusCode, message: String) {
        let Some(OpenStream {
            commands,
            connection,
        }) = self.streams.remove(&stream)
        else {
            return;
        };
        let command = StreamCommand::End(status, message);
        if commands.try_send(command).is_err() && !commands.is_closed() {
            return connection.abort();
        }
        tokio::spawn(async move {
            let ended = tokio::time::timeout(STATUS_TIMEOUT, commands.closed()).await;
            if ended.is_err() {
                connection.abort();
            }
        });
    }

    /// Closes the report streams, sends GOAWAY on all connections and waits up to `grace` for them to end.
    pub async fn close(mut self, grace: Duration) {
        self.report_streams.values().for_each(AbortHandle::abort);
        self.stop_accepting();
        let tasks = self.servers.into_iter().map(|server| server.task);
        _ = tokio::time::timeout(grace, futures_util::future::join_all(tasks)).await;
    }
}
