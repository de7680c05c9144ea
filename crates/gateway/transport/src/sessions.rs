//! Sessions between directors: a TCP connection with a greeting both ways, then frames. All of a process's sessions
//! end in one queue of events, which their owner works through.

use crate::office::{Ended, Office};
use crate::outbox::{Outbox, Session, SessionEvent};
use rushcourse_messages::{
    FrameError, Handshake, Message, NodeId, PresentedIdentity, authorization, decode, encode,
    frame_length,
};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
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
/// A greeting's bytes at most: nobody who has not greeted makes a director hold more.
const GREETING_MOST: usize = 1_024;

/// How a connection between directors is set: small messages at once, and a peer without power is given up.
fn set(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let _ = stream.set_nodelay(true);
    let _ = socket.set_tcp_user_timeout(Some(SILENCE));
}

fn damaged(damage: &FrameError) -> Ended {
    let reason = if matches!(damage, FrameError::TooLong(_)) {
        "too long"
    } else {
        "unreadable"
    };
    Ended::refused(reason, damage.to_string())
}

async fn read_frame(from: &mut (impl AsyncReadExt + Unpin), most: usize) -> Result<Message, Ended> {
    let mut head = [0; 4];
    from.read_exact(&mut head).await?;
    let length = frame_length(head).map_err(|d| damaged(&d))?;
    if length > most {
        return Err(damaged(&FrameError::TooLong(length)));
    }
    let mut bytes = vec![0; length];
    from.read_exact(&mut bytes).await?;
    decode(&bytes).map_err(|d| damaged(&d))
}

/// A thing that must come within a time.
async fn within<T, E: Into<Ended>>(
    time: Duration,
    what: impl Future<Output = Result<T, E>>,
) -> Result<T, Ended> {
    match timeout(time, what).await {
        Ok(done) => done.map_err(Into::into),
        Err(_) => Err(io::Error::from(io::ErrorKind::TimedOut).into()),
    }
}

async fn greet<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    office: &Office,
    shown: PresentedIdentity,
) -> Result<Handshake, Ended> {
    let mut bytes = Vec::new();
    encode(&Message::Handshake(office.me().clone()), &mut bytes).map_err(|d| damaged(&d))?;
    stream.write_all(&bytes).await?;
    stream.flush().await?;
    match read_frame(stream, GREETING_MOST).await? {
        Message::Handshake(hello) => {
            authorization::check_handshake(office.me(), shown, &hello)?;
            Ok(hello)
        }
        _ => Err(Ended::refused("no greeting", "did not greet".into())),
    }
}

/// Runs a connection until it ends. `dialled`: by this side.
async fn run(mut stream: TcpStream, office: &Office, dialled: bool) -> Result<(), Ended> {
    set(&stream);
    let SocketAddr::V4(from) = stream.peer_addr()? else {
        return Err(Ended::refused("other machine", "no IPv4 address".into()));
    };
    if office.secured() {
        let (mut stream, shown) =
            within(GREETING_WAIT, office.secure(stream, *from.ip(), dialled)).await?;
        let peer = within(GREETING_WAIT, greet(&mut stream, office, shown)).await?;
        let (read, write) = tokio::io::split(stream);
        return talk(read, write, office, peer).await;
    }
    let shown = PresentedIdentity {
        address: NodeId(u32::from(*from.ip())),
        certificate: None,
    };
    let peer = within(GREETING_WAIT, greet(&mut stream, office, shown)).await?;
    let (read, write) = stream.into_split();
    talk(read, write, office, peer).await
}

/// A session that stands, until it ends.
async fn talk(
    read: impl AsyncRead + Unpin,
    mut write: impl AsyncWrite + Unpin,
    office: &Office,
    peer: Handshake,
) -> Result<(), Ended> {
    let (id, out) = (office.number(), Outbox::new());
    office.tell(SessionEvent::Up(Session {
        id,
        peer: peer.clone(),
        out: out.clone(),
    }));
    let reading = async {
        let mut read = BufReader::with_capacity(16 << 10, read);
        loop {
            let message = within(
                SILENCE,
                read_frame(&mut read, rushcourse_messages::MAX_FRAME_BYTES),
            )
            .await?;
            authorization::check_message(&peer, office.me().role, &message)?;
            if message != Message::Ping {
                office.tell(SessionEvent::Said(id, message));
            }
        }
    };
    let writing = async {
        loop {
            if timeout(PING_EVERY, out.wake()).await.is_err() {
                out.send(&Message::Ping);
            }
            if out.is_closed() {
                return Err(io::Error::other("closed here").into());
            }
            let bytes = out.take();
            if !bytes.is_empty() {
                let all = async {
                    write.write_all(&bytes).await?;
                    write.flush().await
                };
                within(SILENCE, all).await?;
            }
        }
    };
    let end: Result<(), Ended> = tokio::select! { e = reading => e, e = writing => e };
    out.close();
    office.tell(SessionEvent::Down(id));
    end
}

/// Makes one session with a director and runs it to its end.
async fn dial(to: SocketAddrV4, office: &Office) {
    // From this machine's own address: that is what the other side knows it by, also where machines have several.
    let connect = async {
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddrV4::new(Ipv4Addr::from(office.me().node), 0).into())?;
        socket.connect(to.into()).await
    };
    let Ok(Ok(stream)) = timeout(DIAL_WAIT, connect).await else {
        return;
    };
    if let Err(ended) = run(stream, office, true).await {
        office.ended(&to, &ended);
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
    office: Office,
    port: u16,
    dialling: Rc<RefCell<BTreeSet<NodeId>>>,
}

impl Dialler {
    /// `port`: where directors listen for each other, the same on all machines.
    pub fn new(office: Office, port: u16) -> Dialler {
        Dialler {
            office,
            port,
            dialling: Rc::default(),
        }
    }

    pub fn office(&self) -> &Office {
        &self.office
    }

    pub fn me(&self) -> &Handshake {
        self.office.me()
    }

    /// Makes a session with a director, unless that is under way or stands by an earlier dial.
    pub fn dial(&self, node: NodeId) {
        if !self.dialling.borrow_mut().insert(node) {
            return;
        }
        let to = SocketAddrV4::new(Ipv4Addr::from(node), self.port);
        let (office, dialling) = (self.office.clone(), self.dialling.clone());
        tokio::task::spawn_local(async move {
            dial(to, &office).await;
            dialling.borrow_mut().remove(&node);
        });
    }
}

/// Takes sessions from other directors, `most` at a time.
pub async fn listen(listener: TcpListener, most: usize, office: Office) {
    let open = Rc::new(Cell::new(0));
    loop {
        let (stream, from) = accept(&listener).await;
        if open.get() >= most {
            office.ended(
                &from,
                &Ended::refused("too many", format!("{most} sessions are open")),
            );
            continue;
        }
        open.set(open.get() + 1);
        let (office, open) = (office.clone(), open.clone());
        tokio::task::spawn_local(async move {
            if let Err(ended) = run(stream, &office, false).await {
                office.ended(&from, &ended);
            }
            open.set(open.get() - 1);
        });
    }
}
