//! Stand-in hosts. All share one script, in the order in which requests come to any of them; what it does not say is
//! answered well.

use super::waiting::Signal;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A request as it came to a host.
#[derive(Clone, Debug)]
pub struct HostRequest {
    pub host: usize,
    /// Counted over all hosts.
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

    /// Its `Attempt-Id`.
    pub fn id(&self) -> &str {
        self.header("attempt-id").unwrap_or("none")
    }
}

/// What a host does once it has read a request.
pub enum HostAction {
    Write(Vec<u8>),
    /// Until the test says so.
    Wait(Signal),
    Close,
    Reset,
    /// Sends nothing any more, until the other side closes.
    StopResponding,
}

type Script = Box<dyn FnOnce(&HostRequest) -> Vec<HostAction>>;

/// What a host does with a new connection.
#[derive(Clone, Copy, PartialEq)]
pub enum ConnectionBehavior {
    Serves,
    /// Resets after the first byte of a request.
    ResetsAtFirstByte,
    /// Takes the connection and never reads.
    NeverReads,
}

/// A response with this status, attempt id, further headers and body.
pub fn response(status: &str, id: &str, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\n{headers}\r\n{body}").into_bytes()
}

/// The response that a host in order gives to a request: head with its id, seal and length, then the body.
pub fn valid_response(id: &str) -> Vec<u8> {
    let body = format!("answer to {id}");
    let headers = format!(
        "Response-Seal: seal-{id}\r\nKeep-Alive: timeout=10\r\nContent-Length: {}\r\n",
        body.len()
    );
    response("200 OK", id, &headers, &body)
}

struct Shared {
    requests: RefCell<Vec<HostRequest>>,
    scripts: RefCell<VecDeque<Script>>,
    behavior: Cell<ConnectionBehavior>,
    connections: Cell<usize>,
    closed: RefCell<Vec<usize>>,
    /// Requests of which bytes came, and not all of them.
    started_requests: Cell<usize>,
}

/// All hosts of a world.
#[derive(Clone)]
pub struct Hosts {
    shared: Rc<Shared>,
    addresses: Rc<Vec<SocketAddr>>,
}

impl Hosts {
    pub async fn start(address: Ipv4Addr, count: usize) -> Hosts {
        let shared = Rc::new(Shared {
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
                .expect("an address of loopback");
            addresses.push(listener.local_addr().expect("an address"));
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

    /// What is done with the next request that the script says nothing of yet.
    pub fn script_next(&self, script: impl FnOnce(&HostRequest) -> Vec<HostAction> + 'static) {
        self.shared.scripts.borrow_mut().push_back(Box::new(script));
    }

    /// The next request gets these bytes as its response.
    pub fn respond_next(&self, bytes: impl FnOnce(&HostRequest) -> Vec<u8> + 'static) {
        self.script_next(|request| vec![HostAction::Write(bytes(request))]);
    }

    /// The next request gets a valid response once the test gives the signal that this returns.
    pub fn delay_next(&self) -> Signal {
        let signal = Signal::default();
        let waits = signal.clone();
        self.script_next(move |request| {
            vec![
                HostAction::Wait(waits),
                HostAction::Write(valid_response(request.id())),
            ]
        });
        signal
    }

    /// What hosts do with connections that come from now on.
    pub fn set_behavior(&self, behavior: ConnectionBehavior) {
        self.shared.behavior.set(behavior);
    }

    /// The whole requests that came, in their order.
    pub fn requests(&self) -> Vec<HostRequest> {
        self.shared.requests.borrow().clone()
    }

    /// How often requests with this id came to hosts.
    pub fn arrivals(&self, id: &str) -> usize {
        let requests = self.shared.requests.borrow();
        requests.iter().filter(|request| request.id() == id).count()
    }

    /// The connection by which a request came.
    pub fn connection_of(&self, id: &str) -> usize {
        let requests = self.shared.requests.borrow();
        let request = requests.iter().find(|request| request.id() == id);
        request.expect("it came").connection
    }

    /// How many connections came.
    pub fn connection_count(&self) -> usize {
        self.shared.connections.get()
    }

    /// Whether the gateway, or the script, ended a connection.
    pub fn is_closed(&self, connection: usize) -> bool {
        self.shared.closed.borrow().contains(&connection)
    }

    /// How many requests were begun at hosts that read no whole one.
    pub fn started_requests(&self) -> usize {
        self.shared.started_requests.get()
    }
}

fn reset(stream: &TcpStream) {
    SockRef::from(stream)
        .set_linger(Some(Duration::ZERO))
        .expect("a reset");
}

async fn accept_connections(host: usize, listener: TcpListener, shared: Rc<Shared>) {
    loop {
        let (stream, _) = listener.accept().await.expect("a connection");
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

async fn serve(host: usize, connection: usize, mut stream: TcpStream, shared: &Shared) {
    stream.set_nodelay(true).expect("small answers at once");
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
                HostAction::Wait(signal) => signal.given().await,
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

/// One whole request.
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
    let head = String::from_utf8(bytes).expect("a head in text");
    let mut request = HostRequest {
        host,
        connection,
        head,
        body: Vec::new(),
    };
    let length: usize = request
        .header("content-length")
        .map_or(0, |length| length.parse().expect("a length"));
    while body.len() < length {
        read_some(stream, &mut body).await?;
    }
    assert_eq!(
        body.len(),
        length,
        "bytes behind a request that waits for its answer"
    );
    request.body = body;
    Some(request)
}

/// Adds what comes next to these bytes. `None`: the connection ended.
async fn read_some(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<()> {
    let mut part = [0; 4096];
    let read = stream.read(&mut part).await.ok().filter(|read| *read > 0)?;
    bytes.extend_from_slice(&part[..read]);
    Some(())
}
