//! Sessions between directors: a TCP connection with a greeting both ways, then frames. All of a process's sessions
//! end in one queue of events, which their owner works through.

use rushcourse_trunk::{Damage, FORM, Hello, Message, NodeId, decode, encode, length};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc};
use tokio::time::timeout;

/// A connection that can't be made in this time is given up.
const DIAL_WAIT: Duration = Duration::from_millis(350);
/// A listener that could take no connection tries again after this time.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);
/// A greeting comes within this time, or the connection is closed.
const GREETING_WAIT: Duration = Duration::from_secs(2);
/// Each side says something at least this often; a session is over after so long without a word.
const PING_EVERY: Duration = Duration::from_millis(400);
const SILENCE: Duration = Duration::from_millis(1_600);
/// Bytes that may wait for a peer that does not read; beyond, its session is closed (ours).
const WAITING_MOST: usize = 8 << 20;
/// A greeting's bytes at most: nobody who has not greeted makes a director hold more.
const GREETING_MOST: usize = 1_024;

struct Box {
    bytes: RefCell<Vec<u8>>,
    wake: Notify,
    closed: Cell<bool>,
}

/// Where messages to one peer wait to be written.
#[derive(Clone)]
pub struct Outbox(Rc<Box>);

impl Outbox {
    fn new() -> Outbox {
        Outbox(Rc::new(Box { bytes: RefCell::default(), wake: Notify::new(), closed: Cell::new(false) }))
    }

    /// Puts a message behind what waits. A session that can't take it is closed.
    pub fn send(&self, message: &Message) {
        if self.0.closed.get() {
            return;
        }
        let mut bytes = self.0.bytes.borrow_mut();
        if let Err(damage) = encode(message, &mut bytes) {
            log::error!("event=unsendable why={:?}", damage.to_string());
            return;
        }
        if bytes.len() > WAITING_MOST {
            log::warn!("event=peer_does_not_read bytes={}", bytes.len());
            drop(bytes);
            return self.close();
        }
        drop(bytes);
        self.0.wake.notify_one();
    }

    pub fn close(&self) {
        self.0.closed.set(true);
        self.0.wake.notify_one();
    }
}

/// A session that stands.
#[derive(Clone)]
pub struct Session {
    pub id: u64,
    /// Who greeted from the other side.
    pub peer: Hello,
    pub out: Outbox,
}

/// What happens on sessions, in order for each.
pub enum SessionEvent {
    Up(Session),
    Said(u64, Message),
    Down(u64),
}

/// Names sessions within a process.
#[derive(Clone, Default)]
pub struct Numbers(Rc<Cell<u64>>);

impl Numbers {
    fn next(&self) -> u64 {
        self.0.set(self.0.get() + 1);
        self.0.get()
    }
}

/// How a connection between directors is set: small messages at once, and a peer without power is given up.
fn set(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let _ = stream.set_nodelay(true);
    let _ = socket.set_tcp_user_timeout(Some(SILENCE));
}

fn damaged(damage: &Damage) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, damage.to_string())
}

async fn read_frame(from: &mut (impl AsyncReadExt + Unpin), most: usize) -> io::Result<Message> {
    let mut head = [0; 4];
    from.read_exact(&mut head).await?;
    let length = length(head).map_err(|d| damaged(&d))?;
    if length > most {
        return Err(damaged(&Damage::TooLong(length)));
    }
    let mut bytes = vec![0; length];
    from.read_exact(&mut bytes).await?;
    decode(&bytes).map_err(|d| damaged(&d))
}

async fn greet(stream: &mut TcpStream, me: &Hello) -> io::Result<Hello> {
    let mut bytes = Vec::new();
    encode(&Message::Hello(me.clone()), &mut bytes).map_err(|d| damaged(&d))?;
    stream.write_all(&bytes).await?;
    match read_frame(stream, GREETING_MOST).await? {
        Message::Hello(hello) if hello.form == FORM => Ok(hello),
        Message::Hello(hello) => Err(io::Error::other(format!("speaks form {}", hello.form))),
        _ => Err(io::Error::other("did not greet")),
    }
}

/// Runs a connection until it ends.
async fn run(
    mut stream: TcpStream,
    me: Hello,
    numbers: Numbers,
    events: mpsc::UnboundedSender<SessionEvent>,
) -> io::Result<()> {
    set(&stream);
    let peer = timeout(GREETING_WAIT, greet(&mut stream, &me)).await??;
    // The address of a machine is its name among directors: a greeting that names another one is false.
    if let Ok(std::net::SocketAddr::V4(from)) = stream.peer_addr()
        && !from.ip().is_loopback()
        && u32::from(*from.ip()) != peer.node
    {
        return Err(io::Error::other(format!("greets as another machine: {}", peer.name)));
    }
    let (id, out) = (numbers.next(), Outbox::new());
    let _ = events.send(SessionEvent::Up(Session { id, peer, out: out.clone() }));
    let (read, mut write) = stream.into_split();
    let reading = async {
        let mut read = BufReader::with_capacity(16 << 10, read);
        loop {
            let message = timeout(SILENCE, read_frame(&mut read, rushcourse_trunk::FRAME_MOST)).await??;
            if message != Message::Ping {
                let _ = events.send(SessionEvent::Said(id, message));
            }
        }
    };
    let writing = async {
        loop {
            if timeout(PING_EVERY, out.0.wake.notified()).await.is_err() {
                out.send(&Message::Ping);
            }
            if out.0.closed.get() {
                return io::Result::<()>::Err(io::Error::other("closed here"));
            }
            let bytes = std::mem::take(&mut *out.0.bytes.borrow_mut());
            if !bytes.is_empty() {
                timeout(SILENCE, write.write_all(&bytes)).await??;
            }
        }
    };
    let end: io::Result<()> = tokio::select! { e = reading => e, e = writing => e };
    out.0.closed.set(true);
    let _ = events.send(SessionEvent::Down(id));
    end
}

/// Makes one session with a director and runs it to its end.
async fn dial(to: SocketAddrV4, me: Hello, numbers: Numbers, events: mpsc::UnboundedSender<SessionEvent>) {
    let Ok(Ok(stream)) = timeout(DIAL_WAIT, TcpStream::connect(to)).await else { return };
    if let Err(e) = run(stream, me, numbers, events).await {
        log::debug!("event=session_ended to={to} why={:?}", e.to_string());
    }
}

/// The next connection. Where none can be taken (out of descriptors), it waits a little and tries again.
pub async fn accept(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(came) => return came,
            Err(_) => tokio::time::sleep(ACCEPT_AGAIN).await,
        }
    }
}

/// Dials directors by their nodes, each once at a time.
pub struct Dialler {
    me: Hello,
    port: u16,
    numbers: Numbers,
    events: mpsc::UnboundedSender<SessionEvent>,
    dialling: Rc<RefCell<BTreeSet<NodeId>>>,
}

impl Dialler {
    /// `port`: where directors listen for each other, the same on all machines.
    pub fn new(
        me: Hello,
        port: u16,
        numbers: Numbers,
        events: mpsc::UnboundedSender<SessionEvent>,
    ) -> Dialler {
        Dialler { me, port, numbers, events, dialling: Rc::default() }
    }

    pub fn me(&self) -> &Hello {
        &self.me
    }

    /// Makes a session with a director, unless that is under way or stands by an earlier dial.
    pub fn dial(&self, node: NodeId) {
        if !self.dialling.borrow_mut().insert(node) {
            return;
        }
        let to = SocketAddrV4::new(Ipv4Addr::from(node), self.port);
        let (me, numbers, events) = (self.me.clone(), self.numbers.clone(), self.events.clone());
        let dialling = self.dialling.clone();
        tokio::task::spawn_local(async move {
            dial(to, me, numbers, events).await;
            dialling.borrow_mut().remove(&node);
        });
    }
}

/// Takes sessions from other directors, `most` at a time.
pub async fn listen(
    listener: TcpListener,
    most: usize,
    me: Hello,
    numbers: Numbers,
    events: mpsc::UnboundedSender<SessionEvent>,
) {
    let open = Rc::new(Cell::new(0));
    loop {
        let (stream, from) = accept(&listener).await;
        if open.get() >= most {
            log::warn!("event=session_refused from={from} open={}", open.get());
            continue;
        }
        open.set(open.get() + 1);
        let (me, numbers, events, open) = (me.clone(), numbers.clone(), events.clone(), open.clone());
        tokio::task::spawn_local(async move {
            if let Err(e) = run(stream, me, numbers, events).await {
                log::debug!("event=session_ended from={from} why={:?}", e.to_string());
            }
            open.set(open.get() - 1);
        });
    }
}
