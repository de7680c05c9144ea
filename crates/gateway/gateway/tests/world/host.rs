//! Stand-in hosts. All share one script, in the order in which requests come to any of them; what it does not say is
//! answered well.

use super::Signal;
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
pub struct Seen {
    pub host: usize,
    /// Counted over all hosts.
    pub connection: usize,
    pub head: String,
    pub body: Vec<u8>,
}

impl Seen {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|l| l.split_once(": "));
        lines.find(|l| l.0.eq_ignore_ascii_case(name)).map(|l| l.1)
    }

    pub fn id(&self) -> &str {
        self.header("attempt-id").unwrap_or("none")
    }
}

/// What a host does once it has read a request.
pub enum Step {
    Write(Vec<u8>),
    /// Until the test says so.
    Wait(Signal),
    Close,
    Reset,
    /// Says nothing any more, until the other side closes.
    Silence,
}

pub type Reply = Box<dyn FnOnce(&Seen) -> Vec<Step>>;

/// What a host does with a new connection.
#[derive(Clone, Copy, PartialEq)]
pub enum Manner {
    Serves,
    /// Resets after the first byte of a request.
    ResetsAtFirstByte,
    /// Takes the connection and never reads.
    NeverReads,
}

/// The answer that a host in order gives to a request: head with its id, seal and length, then the body.
pub fn answer(id: &str) -> Vec<u8> {
    let body = format!("answer to {id}");
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: seal-{id}\r\nKeep-Alive: timeout=10\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    (head + &body).into_bytes()
}

struct Shared {
    seen: RefCell<Vec<Seen>>,
    script: RefCell<VecDeque<Reply>>,
    manner: Cell<Manner>,
    connections: Cell<usize>,
    closed: RefCell<Vec<usize>>,
    /// Bytes of a request that was not whole.
    begun: Cell<usize>,
}

#[derive(Clone)]
pub struct Hosts {
    shared: Rc<Shared>,
    addresses: Rc<Vec<SocketAddr>>,
}

impl Hosts {
    pub async fn start(at: Ipv4Addr, count: usize) -> Hosts {
        let shared = Rc::new(Shared {
            seen: RefCell::default(),
            script: RefCell::default(),
            manner: Cell::new(Manner::Serves),
            connections: Cell::new(0),
            closed: RefCell::default(),
            begun: Cell::new(0),
        });
        let mut addresses = Vec::new();
        for host in 0..count {
            let listener = TcpListener::bind((at, 0))
                .await
                .expect("an address of loopback");
            addresses.push(listener.local_addr().expect("an address"));
            tokio::task::spawn_local(listen(host, listener, shared.clone()));
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
    pub fn next(&self, reply: impl FnOnce(&Seen) -> Vec<Step> + 'static) {
        self.shared.script.borrow_mut().push_back(Box::new(reply));
    }

    /// The next request gets these bytes as its answer.
    pub fn writes(&self, text: impl FnOnce(&Seen) -> Vec<u8> + 'static) {
        self.next(|seen| vec![Step::Write(text(seen))]);
    }

    pub fn manner(&self, manner: Manner) {
        self.shared.manner.set(manner);
    }

    pub fn seen(&self) -> Vec<Seen> {
        self.shared.seen.borrow().clone()
    }

    /// How often requests with this id came to hosts.
    pub fn arrivals(&self, id: &str) -> usize {
        self.shared
            .seen
            .borrow()
            .iter()
            .filter(|s| s.id() == id)
            .count()
    }

    /// The connection by which a request came.
    pub fn connection(&self, id: &str) -> usize {
        self.shared
            .seen
            .borrow()
            .iter()
            .find(|s| s.id() == id)
            .expect("it came")
            .connection
    }

    pub fn connections(&self) -> usize {
        self.shared.connections.get()
    }

    /// Whether the gateway, or the script, ended a connection.
    pub fn closed(&self, connection: usize) -> bool {
        self.shared.closed.borrow().contains(&connection)
    }

    /// How many requests were begun at hosts that read no whole one.
    pub fn begun(&self) -> usize {
        self.shared.begun.get()
    }
}

fn reset(stream: &TcpStream) {
    SockRef::from(stream)
        .set_linger(Some(Duration::ZERO))
        .expect("a reset");
}

async fn listen(host: usize, listener: TcpListener, shared: Rc<Shared>) {
    loop {
        let (stream, _) = listener.accept().await.expect("a connection");
        let connection = shared.connections.get();
        shared.connections.set(connection + 1);
        let shared = shared.clone();
        tokio::task::spawn_local(async move {
            match shared.manner.get() {
                Manner::Serves => serve(host, connection, stream, &shared).await,
                Manner::ResetsAtFirstByte => {
                    let mut stream = stream;
                    if stream.read(&mut [0]).await.is_ok_and(|n| n > 0) {
                        shared.begun.set(shared.begun.get() + 1);
                    }
                    reset(&stream);
                }
                Manner::NeverReads => std::future::pending().await,
            }
            shared.closed.borrow_mut().push(connection);
        });
    }
}

/// One whole request.
async fn read(host: usize, connection: usize, stream: &mut TcpStream) -> Option<Seen> {
    let mut bytes = Vec::new();
    let head = loop {
        if let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            break end + 4;
        }
        let mut part = [0; 4096];
        let read = stream.read(&mut part).await.ok().filter(|n| *n > 0)?;
        bytes.extend_from_slice(&part[..read]);
    };
    let mut body = bytes.split_off(head);
    let head = String::from_utf8(bytes).expect("a head in text");
    let mut seen = Seen {
        host,
        connection,
        head,
        body: Vec::new(),
    };
    let length: usize = seen
        .header("content-length")
        .map_or(0, |l| l.parse().expect("a length"));
    while body.len() < length {
        let mut part = [0; 4096];
        let read = stream.read(&mut part).await.ok().filter(|n| *n > 0)?;
        body.extend_from_slice(&part[..read]);
    }
    assert_eq!(
        body.len(),
        length,
        "bytes behind a request that waits for its answer"
    );
    seen.body = body;
    Some(seen)
}

async fn serve(host: usize, connection: usize, mut stream: TcpStream, shared: &Shared) {
    stream.set_nodelay(true).expect("small answers at once");
    while let Some(seen) = read(host, connection, &mut stream).await {
        shared.seen.borrow_mut().push(seen.clone());
        let reply = shared.script.borrow_mut().pop_front();
        let steps = reply.map_or_else(
            || vec![Step::Write(answer(seen.id()))],
            |reply| reply(&seen),
        );
        for step in steps {
            match step {
                Step::Write(bytes) => {
                    if stream.write_all(&bytes).await.is_err() {
                        return;
                    }
                }
                Step::Wait(signal) => signal.given().await,
                Step::Close => return,
                Step::Reset => return reset(&stream),
                Step::Silence => {
                    while stream.read(&mut [0; 64]).await.is_ok_and(|n| n > 0) {}
                    return;
                }
            }
        }
    }
}
