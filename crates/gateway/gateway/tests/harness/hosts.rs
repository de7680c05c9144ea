//! Fake hosts. They share one queue of scripts: each request to any host takes the next script, or gets a valid
//! response if the queue is empty.

use super::waiting::Signal;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Half of a streamed response; longer than what the gateway buffers.
pub const STREAMED_HALF_BYTES: usize = 300 << 10;

/// A complete request received by a host.
#[derive(Clone, Debug)]
pub struct HostRequest {
    pub host: usize,
    /// Number of the connection, from 0 across all hosts.
    pub connection: usize,
    pub head: String,
    pub body: Vec<u8>,
}

impl HostRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.head.lines().filter_map(|line| line.split_once(": "));
        headers
            .find(|(header, _)| header.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// Returns the values of all headers with this name, in order.
    pub fn header_values(&self, name: &str) -> Vec<&str> {
        let headers = self.head.lines().filter_map(|line| line.split_once(": "));
        headers
            .filter(|(header, _)| header.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
            .collect()
    }

    /// Returns the `Attempt-Id`, or "none" if the header is absent.
    pub fn id(&self) -> &str {
        self.header("attempt-id").unwrap_or("none")
    }
}

/// A step of a host's script, run after it has read a request.
pub enum HostAction {
    Write(Vec<u8>),
    /// Waits until the test notifies the signal.
    Wait(Signal),
    /// Closes the connection with FIN.
    Close,
    /// Closes the connection with RST.
    Reset,
    /// Sends nothing more and closes once the gateway closes the connection.
    StopResponding,
}

type Script = Box<dyn FnOnce(&HostRequest) -> Vec<HostAction>>;

/// How a host treats a new connection.
#[derive(Clone, Copy, PartialEq)]
pub enum ConnectionBehavior {
    /// Reads requests and runs their scripts.
    Serves,
    /// Resets the connection after the first byte of a request.
    ResetsAtFirstByte,
    /// Accepts the connection and never reads from it.
    NeverReads,
}

/// Encodes a response. `status` is code and reason phrase; each line of `headers` ends with CRLF.
pub fn response(status: &str, id: &str, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\n{headers}\r\n{body}").into_bytes()
}

/// Encodes the default response to the request with this id: 200 with attempt id, seal, keep-alive timeout and length.
pub fn valid_response(id: &str) -> Vec<u8> {
    let body = format!("answer to {id}");
    let headers = format!(
        "Response-Seal: seal-{id}\r\nKeep-Alive: timeout=10\r\nContent-Length: {}\r\n",
        body.len()
    );
    response("200 OK", id, &headers, &body)
}

struct SharedState {
    requests: RefCell<Vec<HostRequest>>,
    scripts: RefCell<VecDeque<Script>>,
    behavior: Cell<ConnectionBehavior>,
    connections: Cell<usize>,
    closed: RefCell<Vec<usize>>,
    /// Requests of which a host with `ResetsAtFirstByte` received the first byte.
    started_requests: Cell<usize>,
}

/// Handle to all fake hosts of a harness.
#[derive(Clone)]
pub struct Hosts {
    shared: Rc<SharedState>,
    addresses: Rc<Vec<SocketAddr>>,
}

impl Hosts {
    pub async fn start(address: Ipv4Addr, count: usize) -> Hosts {
        let shared = Rc::new(SharedState {
            requests: RefCell::default(),
            scripts: RefCell::default(),
            behavior: Cell::new(ConnectionBehavior::Serves),
            connections: Cell::new(0),
            closed: RefCell::default(),
            started_requests: Cell::new(0),
        });
        let mut addresses = Vec::new();
        for host in 0..count {
            let listener = TcpListener::bind((address, 0))
                .await
                .expect("a loopback port is free");
            addresses.push(listener.local_addr().expect("the listener is bound"));
            tokio::task::spawn_local(accept_connections(host, listener, shared.clone()));
        }
        Hosts {
            shared,
            addresses: Rc::new(addresses),
        }
    }

    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Appends a script for the next request without one.
    pub fn script_next(&self, script: impl FnOnce(&HostRequest) -> Vec<HostAction> + 'static) {
        self.shared.scripts.borrow_mut().push_back(Box::new(script));
    }

    /// Appends a script that writes these bytes as the response.
    pub fn respond_next(&self, bytes: impl FnOnce(&HostRequest) -> Vec<u8> + 'static) {
        self.script_next(|request| vec![HostAction::Write(bytes(request))]);
    }

    /// Appends a script that sends half of a streamed response, and the other half once the signal is notified.
    pub fn stream_next(&self, signal: &Signal) {
        let host_signal = signal.clone();
        self.script_next(move |request| {
            let headers = format!(
                "Response-Seal: s\r\nContent-Length: {}\r\n",
                2 * STREAMED_HALF_BYTES
            );
            let half = "x".repeat(STREAMED_HALF_BYTES);
            vec![
                HostAction::Write(response("200 OK", request.id(), &headers, &half)),
                HostAction::Wait(host_signal),
                HostAction::Write(half.into_bytes()),
            ]
        });
    }

    /// Appends a script that sends a valid response once the returned signal is notified.
    pub fn delay_next(&self) -> Signal {
        let signal = Signal::default();
        let host_signal = signal.clone();
        self.script_next(move |request| {
            vec![
                HostAction::Wait(host_signal),
                HostAction::Write(valid_response(request.id())),
            ]
        });
        signal
    }

    /// Sets how hosts treat connections accepted from now on.
    pub fn set_behavior(&self, behavior: ConnectionBehavior) {
        self.shared.behavior.set(behavior);
    }

    /// Returns all complete requests in the order of their arrival.
    pub fn requests(&self) -> Vec<HostRequest> {
        self.shared.requests.borrow().clone()
    }

    /// Returns the first request with this attempt id.
    pub fn request(&self, id: &str) -> HostRequest {
        let requests = self.shared.requests.borrow();
        let request = requests.iter().find(|request| request.id() == id);
        request.expect("a host received the request").clone()
    }

    /// Returns how many requests with this attempt id hosts received.
    pub fn request_count(&self, id: &str) -> usize {
        let requests = self.shared.requests.borrow();
        requests.iter().filter(|request| request.id() == id).count()
    }

    /// Returns the number of the connection on which the first request with this attempt id arrived.
    pub fn connection_of(&self, id: &str) -> usize {
        self.request(id).connection
    }

    /// Returns how many connections hosts accepted.
    pub fn connection_count(&self) -> usize {
        self.shared.connections.get()
    }

    /// Whether the gateway or a script closed a connection.
    pub fn is_closed(&self, connection: usize) -> bool {
        self.shared.closed.borrow().contains(&connection)
    }

    /// Returns how many requests were reset after their first byte.
    pub fn started_requests(&self) -> usize {
        self.shared.started_requests.get()
    }
}

fn reset(stream: &TcpStream) {
    SockRef::from(stream)
        .set_linger(Some(Duration::ZERO))
        .expect("SO_LINGER is set");
}

async fn accept_connections(host: usize, listener: TcpListener, shared: Rc<SharedState>) {
    loop {
        let (stream, _) = listener.accept().await.expect("accept succeeds");
        let connection = shared.connections.get();
        shared.connections.set(connection + 1);
        let shared = shared.clone();
        tokio::task::spawn_local(async move {
            match shared.behavior.get() {
                ConnectionBehavior::Serves => serve(host, connection, stream, &shared).await,
                ConnectionBehavior::ResetsAtFirstByte => {
                    let mut stream = stream;
                    if stream.read(&mut [0]).await.is_ok_and(|read| read > 0) {
                        shared
                            .started_requests
                            .set(shared.started_requests.get() + 1);
                    }
                    reset(&stream);
                }
                ConnectionBehavior::NeverReads => std::future::pending().await,
            }
            shared.closed.borrow_mut().push(connection);
        });
    }
}

async fn serve(host: usize, connection: usize, mut stream: TcpStream, shared: &SharedState) {
    stream.set_nodelay(true).expect("TCP_NODELAY is set");
    while let Some(request) = read_request(host, connection, &mut stream).await {
        shared.requests.borrow_mut().push(request.clone());
        let script = shared.scripts.borrow_mut().pop_front();
        let actions = script.map_or_else(
            || vec![HostAction::Write(valid_response(request.id()))],
            |script| script(&request),
        );
        for action in actions {
            match action {
                HostAction::Write(bytes) => {
                    if stream.write_all(&bytes).await.is_err() {
                        return;
                    }
                }
                HostAction::Wait(signal) => signal.notified().await,
                HostAction::Close => return,
                HostAction::Reset => return reset(&stream),
                HostAction::StopResponding => {
                    while stream.read(&mut [0; 64]).await.is_ok_and(|read| read > 0) {}
                    return;
                }
            }
        }
    }
}

/// Reads a request by its `Content-Length`. `None` if the connection ends before its last byte.
async fn read_request(
    host: usize,
    connection: usize,
    stream: &mut TcpStream,
) -> Option<HostRequest> {
    let mut bytes = Vec::new();
    let head_end = loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
        read_some(stream, &mut bytes).await?;
    };
    let mut body = bytes.split_off(head_end);
    let head = String::from_utf8(bytes).expect("the head is UTF-8");
    let mut request = HostRequest {
        host,
        connection,
        head,
        body: Vec::new(),
    };
    let length: usize = request.header("content-length").map_or(0, |length| {
        length.parse().expect("Content-Length is a number")
    });
    while body.len() < length {
        read_some(stream, &mut body).await?;
    }
    assert_eq!(
        body.len(),
        length,
        "the gateway sent bytes beyond a request that has no response yet"
    );
    request.body = body;
    Some(request)
}

/// Reads available bytes into `bytes`. `None` if the connection has ended.
async fn read_some(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<()> {
    let mut part = [0; 4096];
    let read = stream.read(&mut part).await.ok().filter(|read| *read > 0)?;
    bytes.extend_from_slice(&part[..read]);
    Some(())
}
