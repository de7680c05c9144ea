//! Client connections: accepts a bounded number, serves their requests, and closes them on timeouts and on shutdown.

use crate::downstream_connection::{
    Activity, CloseMode, DownstreamConnection, TrackedBody, TrackedStream,
};
use crate::request;
use crate::state::GatewayState;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use rushcourse_config::Limits;
use rushcourse_transport::accept;
use rushcourse_types::Timestamp;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Time since the last timeout check above which the process is considered to have stalled.
const STALL_THRESHOLD: Duration = Duration::from_secs(1);
/// Timeouts until a configuration arrives; equal to the configuration's own defaults.
const DEFAULT_TIMEOUTS: Timeouts = Timeouts {
    head: Duration::from_secs(3),
    idle: Duration::from_secs(15),
};
const DEFAULT_HEAD_BYTES: u64 = 16_384;
/// Lower bound of hyper's read buffer, whatever the configured header size; hyper requires at least 8 KiB.
const MIN_BUFFER_BYTES: usize = 8_192;
/// Upper bound of hyper's read buffer, whatever the configured header size.
const MAX_BUFFER_BYTES: usize = 1 << 20;

/// Sequence number of an accepted client connection; unique within the process.
type ConnectionId = u64;

/// Registry of the open client connections.
#[derive(Default)]
pub(crate) struct DownstreamConnections {
    open: RefCell<BTreeMap<ConnectionId, Rc<DownstreamConnection>>>,
    last_id: Cell<ConnectionId>,
    is_closing: Cell<bool>,
    last_sweep: Cell<Timestamp>,
}

impl DownstreamConnections {
    pub(crate) fn is_empty(&self) -> bool {
        self.open.borrow().is_empty()
    }

    /// Closes connections that exceed the header timeout or the idle timeout. `limits` is `None` until a configuration
    /// arrives.
    pub(crate) fn close_timed_out(&self, now: Timestamp, limits: Option<Limits>) {
        let last_sweep = self.last_sweep.replace(now);
        // After a stall, data that arrived meanwhile has to be read before timeouts are applied.
        if now > last_sweep + STALL_THRESHOLD {
            return;
        }
        let timeouts = limits.map_or(DEFAULT_TIMEOUTS, Timeouts::from);
        for connection in self.open.borrow().values() {
            let (timeout, mode) = match connection.activity() {
                Activity::Idle => (timeouts.idle, CloseMode::Graceful),
                Activity::ReceivingHead => (timeouts.head, CloseMode::Immediate),
                Activity::Serving => continue,
            };
            if now - connection.activity_started_at() > timeout {
                connection.close(mode);
            }
        }
    }

    /// Closes each open connection after its current request, and each connection accepted later after its first. A
    /// connection on which a request head has arrived in part stays open for that request.
    pub(crate) fn close_all(&self) {
        if self.is_closing.replace(true) {
            return;
        }
        for connection in self.open.borrow().values() {
            if connection.activity() != Activity::ReceivingHead {
                connection.close(CloseMode::Graceful);
            }
        }
    }

    /// Closes the connections on which no complete request head has arrived since the last response.
    pub(crate) fn close_unused(&self) {
        for connection in self.open.borrow().values() {
            match connection.activity() {
                Activity::Idle => connection.close(CloseMode::Graceful),
                Activity::ReceivingHead => connection.close(CloseMode::Immediate),
                Activity::Serving => {}
            }
        }
    }

    /// Counts the connections with a request that has no complete response yet.
    pub(crate) fn open_requests(&self) -> OpenRequests {
        let mut open_requests = OpenRequests::default();
        for connection in self.open.borrow().values() {
            if connection.activity() == Activity::Serving {
                open_requests.add(connection.time_in_activity());
            }
        }
        open_requests
    }

    fn add(&self, connection: Rc<DownstreamConnection>) -> ConnectionId {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        self.open.borrow_mut().insert(id, connection);
        id
    }

    fn remove(&self, id: ConnectionId) {
        self.open.borrow_mut().remove(&id);
    }
}

/// Requests without a complete response, and how long the oldest has waited.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OpenRequests {
    count: u32,
    longest_wait: Duration,
}

impl OpenRequests {
    fn add(&mut self, waited: Duration) {
        self.count += 1;
        self.longest_wait = self.longest_wait.max(waited);
    }
}

/// Fields of the log line at exit.
impl fmt::Display for OpenRequests {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let waited_ms = self.longest_wait.as_millis();
        write!(
            f,
            "open_requests={} longest_open_ms={waited_ms}",
            self.count
        )
    }
}

/// Timeouts of a client connection.
struct Timeouts {
    /// From the first byte of a request to the end of its head.
    head: Duration,
    /// Between the end of a response and the first byte of the next request.
    idle: Duration,
}

impl From<Limits> for Timeouts {
    fn from(limits: Limits) -> Timeouts {
        Timeouts {
            head: limits.header_timeout,
            idle: limits.idle_timeout,
        }
    }
}

/// Accepts client connections and serves each in a task of its own. Connections beyond `max_connections` are closed at
/// once.
pub(crate) async fn accept_connections(
    listener: TcpListener,
    max_connections: usize,
    gateway: Rc<GatewayState>,
    connections: Rc<DownstreamConnections>,
) {
    loop {
        let (stream, from) = accept(&listener).await;
        if connections.open.borrow().len() >= max_connections {
            log::warn!("event=connection_rejected from={from} open={max_connections}");
            continue;
        }
        let _ = stream.set_nodelay(true);
        let connection = Rc::new(DownstreamConnection::new(gateway.clock()));
        let id = connections.add(connection.clone());
        let (gateway, connections) = (gateway.clone(), connections.clone());
        tokio::task::spawn_local(async move {
            serve_connection(stream, &gateway, connection, &connections).await;
            connections.remove(id);
        });
    }
}

/// Serves the requests of one connection until it is closed. Once `connections` are closing, the request that arrives
/// next is the last.
async fn serve_connection(
    stream: TcpStream,
    gateway: &Rc<GatewayState>,
    connection: Rc<DownstreamConnection>,
    connections: &DownstreamConnections,
) {
    let head_bytes = gateway
        .limits()
        .map_or(DEFAULT_HEAD_BYTES, |limits| limits.max_header_bytes);
    let service = service_fn(|request| {
        connection.request_started();
        if connections.is_closing.get() {
            connection.close(CloseMode::Graceful);
        }
        let connection = connection.clone();
        async move {
            let response = request::handle(gateway, request).await;
            Ok::<_, Infallible>(response.map(|body| TrackedBody::new(body, connection)))
        }
    });
    let serving = http1::Builder::new()
        .max_buf_size((head_bytes as usize).clamp(MIN_BUFFER_BYTES, MAX_BUFFER_BYTES))
        .serve_connection(TrackedStream::new(stream, connection.clone()), service);
    let mut serving = std::pin::pin!(serving);
    loop {
        // Requests that have arrived are read before a close request is looked at.
        tokio::select! {
            biased;
            _ = serving.as_mut() => break,
            mode = connection.close_requested() => match mode {
                CloseMode::Immediate => break,
                CloseMode::Graceful => serving.as_mut().graceful_shutdown(),
            },
        }
    }
}
