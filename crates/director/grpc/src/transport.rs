//! The server and the report clients as one: effects in, inputs out.

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

/// Inputs that may wait; readers wait beyond that.
const MAX_WAITING_INPUTS: usize = 1024;
/// A stream that was ended and whose peer does not read its status has its connection closed after this.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// Why an address is not served. Nothing has changed then.
#[derive(Debug)]
pub enum ListenError {
    /// The address can't be bound.
    Bind {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The system does not say which address was bound.
    LocalAddress(io::Error),
    /// The certificates or keys can't be used.
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

/// One address that is served, or was.
struct Server {
    listen: SocketAddr,
    /// Gone once it accepts no new connection.
    stop: Option<oneshot::Sender<()>>,
    task: JoinHandle<()>,
}

struct OpenStream {
    commands: mpsc::Sender<StreamCommand>,
    connection: ConnectionHandle,
}

/// gRPC on sockets. Streams of proxies and report streams of hosts live in tasks of their own, which end with it.
pub struct GrpcTransport {
    name: Arc<str>,
    sender: EventSender,
    receiver: EventReceiver,
    streams: BTreeMap<StreamId, OpenStream>,
    report_streams: BTreeMap<(HostId, DialId), AbortHandle>,
    next_stream: Arc<AtomicU64>,
    next_connection: Arc<AtomicU64>,
    /// One for all addresses, made with the first.
    limit: Option<ConnectionLimit>,
    tls: TlsSettings,
    servers: Vec<Server>,
}

impl GrpcTransport {
    /// A transport that serves no address yet. `name` is the director's, for the responses.
    pub fn new(name: &str) -> GrpcTransport {
        let (sender, receiver) = events::channel(MAX_WAITING_INPUTS);
        GrpcTransport {
            name: name.into(),
            sender,
            receiver,
            streams: BTreeMap::new(),
            report_streams: BTreeMap::new(),
            next_stream: Arc::new(AtomicU64::new(1)),
            next_connection: Arc::new(AtomicU64::new(1)),
            limit: None,
            tls: TlsSettings::default(),
            servers: Vec::new(),
        }
    }

    /// Serves an address from now on, with these certificates. Where another address was served, it accepts no new
    /// connection any more, and those that are open go on: make before break. Returns the address that was bound.
    ///
    /// # Errors
    /// The address can't be bound, or the certificates can't be used; nothing has changed then.
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
            next_connection: self.next_connection.clone(),
        };
        let services = Services {
            name: self.name.clone(),
            events: self.sender.clone(),
            next_stream: self.next_stream.clone(),
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

    /// Accepts no new connection any more; those that are open go on until no stream is on them.
    pub fn stop_accepting(&mut self) {
        for stop in self
            .servers
            .iter_mut()
            .filter_map(|server| server.stop.take())
        {
            // A server that has ended needs no telling.
            _ = stop.send(());
        }
        self.servers.retain(|server| !server.task.is_finished());
    }

    /// The next input.
    pub async fn next_input(&mut self) -> Option<Input> {
        let event = self.receiver.recv().await?;
        Some(self.record(event))
    }

    /// An input that is there already.
    pub fn try_next_input(&mut self) -> Option<Input> {
        let event = self.receiver.try_recv()?;
        Some(self.record(event))
    }

    /// Keeps track of the streams that are open.
    fn record(&mut self, event: TransportEvent) -> Input {
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

    /// Does what the state asks for.
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
        open.connection.mark_useful();
        let command = StreamCommand::Respond(response);
        if open.commands.try_send(command).is_err() {
            self.streams.remove(&stream);
            self.sender.send_now(Input::StreamClosed {
                stream,
                reason: "it is gone".into(),
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
            return connection.kill();
        }
        tokio::spawn(async move {
            let ended = tokio::time::timeout(STATUS_TIMEOUT, commands.closed()).await;
            if ended.is_err() {
                connection.kill();
            }
        });
    }

    /// Sends GOAWAY on all connections, and gives them this long to end.
    pub async fn close(mut self, grace: Duration) {
        self.report_streams.values().for_each(AbortHandle::abort);
        self.stop_accepting();
        let tasks = self.servers.into_iter().map(|server| server.task);
        _ = tokio::time::timeout(grace, futures_util::future::join_all(tasks)).await;
    }
}
