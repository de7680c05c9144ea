//! Connections of clients: accepted within a bound, served request by request, closed by their time-outs or at the end of
//! the process.

use crate::downstream_connection::{
    Activity, Closing, DownstreamConnection, TrackedBody, TrackedStream,
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
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// So long after the last sweep this process, or its machine, stood still (ours).
const STANDSTILL: Duration = Duration::from_secs(1);
/// Time-outs and size of the head as long as there is no configuration: those that one without limits has.
const DEFAULT_TIMEOUTS: Timeouts = Timeouts {
    head: Duration::from_secs(3),
    idle: Duration::from_secs(15),
};
const DEFAULT_HEAD_BYTES: u64 = 16_384;
/// What hyper's buffer may be set to, whatever the configuration says of the head.
const MIN_BUFFER_BYTES: usize = 8_192;
const MAX_BUFFER_BYTES: usize = 1 << 20;

/// Numbers the connections of clients.
type ConnectionId = u64;

/// The open connections of clients.
#[derive(Default)]
pub(crate) struct DownstreamConnections {
    open: RefCell<BTreeMap<ConnectionId, Rc<DownstreamConnection>>>,
    last_id: Cell<ConnectionId>,
    is_closing: Cell<bool>,
    last_sweep: Cell<Timestamp>,
}

impl DownstreamConnections {
    /// Whether no connection is open.
    pub(crate) fn is_empty(&self) -> bool {
        self.open.borrow().is_empty()
    }

    /// Closes connections whose request does not come whole in time, or that are idle for too long.
    pub(crate) fn close_timed_out(&self, now: Timestamp, limits: Option<Limits>) {
        let last_sweep = self.last_sweep.replace(now);
        // After a standstill, what came during it is read first.
        if now > last_sweep + STANDSTILL {
            return;
        }
        let timeouts = limits.map_or(DEFAULT_TIMEOUTS, Timeouts::from);
        for connection in self.open.borrow().values() {
            let (timeout, closing) = match connection.activity() {
                Activity::Idle => (timeouts.idle, Closing::Graceful),
                Activity::ReceivingHead => (timeouts.head, Closing::Immediate),
                Activity::Serving => continue,
            };
            if now - connection.since() > timeout {
                connection.close(closing);
            }
        }
    }

    /// Closes each connection after what is on it, now and as it is accepted.
    pub(crate) fn close_all(&self) {
        if self.is_closing.replace(true) {
            return;
        }
        for connection in self.open.borrow().values() {
            connection.close(Closing::Graceful);
        }
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

/// How long a connection may take for a request's head, and how long it may be idle.
struct Timeouts {
    head: Duration,
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

/// Accepts connections of clients, `max_connections` at a time, and serves each in a task of its own.
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
            let is_closing = connections.is_closing.get();
            serve_connection(stream, &gateway, connection, is_closing).await;
            connections.remove(id);
        });
    }
}

/// Serves the requests of one connection until it ends. `is_closing`: after the first.
async fn serve_connection(
    stream: TcpStream,
    gateway: &Rc<GatewayState>,
    connection: Rc<DownstreamConnection>,
    is_closing: bool,
) {
    let head_bytes = gateway
        .limits()
        .map_or(DEFAULT_HEAD_BYTES, |limits| limits.max_header_bytes);
    let service = service_fn(|request| {
        connection.request_started();
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
    if is_closing {
        serving.as_mut().graceful_shutdown();
    }
    loop {
        tokio::select! {
            _ = serving.as_mut() => break,
            closing = connection.close_requested() => match closing {
                Closing::Immediate => break,
                Closing::Graceful => serving.as_mut().graceful_shutdown(),
            },
        }
    }
}
