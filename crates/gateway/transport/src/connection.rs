//! One connection between two nodes, from its handshake to its end: a handshake both ways, then frames.

use crate::error::SessionError;
use crate::session::{SendHandle, Session, SessionEvent};
use crate::session_context::SessionContext;
use crate::tls::Direction;
use rushcourse_messages::{
    FrameError, Handshake, MAX_FRAME_BYTES, Message, PeerIdentity, authorization, decode, encode,
    frame_length,
};
use rushcourse_types::{NodeId, SessionId};
use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A handshake comes within this time, or the connection is closed.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Each side sends something at least this often.
const PING_INTERVAL: Duration = Duration::from_millis(400);
/// A session is over after so long without a message.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Bytes of a handshake at most: no peer that has not opened a session makes a node hold more.
const MAX_HANDSHAKE_BYTES: usize = 1_024;
/// Bytes that are read of a connection at once.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Runs a connection until it ends, on whichever side that is.
///
/// # Errors
/// Why it ended; it always does.
pub(crate) async fn run(
    mut stream: TcpStream,
    context: &SessionContext,
    direction: Direction,
) -> Result<(), SessionError> {
    configure_socket(&stream);
    let SocketAddr::V4(peer_address) = stream.peer_addr()? else {
        return Err(SessionError::NotIpv4);
    };
    let address = *peer_address.ip();
    if let Some(keys) = context.keys() {
        let securing = keys.secure(stream, address, direction);
        let (mut stream, identity) = within(HANDSHAKE_TIMEOUT, securing).await?;
        let handshake = exchange_handshakes(&mut stream, context, identity);
        let peer = within(HANDSHAKE_TIMEOUT, handshake).await?;
        let (reader, writer) = tokio::io::split(stream);
        return run_session(reader, writer, context, peer).await;
    }
    let identity = PeerIdentity {
        address: NodeId::from(address),
        certificate: None,
    };
    let handshake = exchange_handshakes(&mut stream, context, identity);
    let peer = within(HANDSHAKE_TIMEOUT, handshake).await?;
    let (reader, writer) = stream.into_split();
    run_session(reader, writer, context, peer).await
}

/// Small messages go out at once, and a peer without power is given up.
fn configure_socket(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let _ = stream.set_nodelay(true);
    let _ = socket.set_tcp_user_timeout(Some(IDLE_TIMEOUT));
}

/// Waits for what must come within a time.
async fn within<T, E: Into<SessionError>>(
    limit: Duration,
    work: impl Future<Output = Result<T, E>>,
) -> Result<T, SessionError> {
    match timeout(limit, work).await {
        Ok(done) => done.map_err(Into::into),
        Err(_) => Err(io::Error::from(io::ErrorKind::TimedOut).into()),
    }
}

/// Sends our handshake and checks the peer's.
async fn exchange_handshakes<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    context: &SessionContext,
    identity: PeerIdentity,
) -> Result<Handshake, SessionError> {
    let local = context.local_handshake();
    let mut frame = Vec::new();
    encode(&Message::Handshake(local.clone()), &mut frame)?;
    stream.write_all(&frame).await?;
    stream.flush().await?;
    let Message::Handshake(peer) = read_frame(stream, MAX_HANDSHAKE_BYTES).await? else {
        return Err(SessionError::NoHandshake);
    };
    authorization::check_handshake(local, identity, &peer)?;
    Ok(peer)
}

async fn read_frame(
    reader: &mut (impl AsyncReadExt + Unpin),
    max_bytes: usize,
) -> Result<Message, SessionError> {
    let mut head = [0; 4];
    reader.read_exact(&mut head).await?;
    let length = frame_length(head)?;
    if length > max_bytes {
        return Err(FrameError::TooLong(length).into());
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).await?;
    Ok(decode(&body)?)
}

/// An open session, from both handshakes to its end.
async fn run_session(
    reader: impl AsyncRead + Unpin,
    writer: impl AsyncWrite + Unpin,
    context: &SessionContext,
    peer: Handshake,
) -> Result<(), SessionError> {
    let (id, queue) = (context.next_id(), SendHandle::new());
    let session = Session::new(id, peer.clone(), queue.clone());
    context.emit(SessionEvent::Opened(session));
    let end = tokio::select! {
        end = receive_messages(reader, context, id, &peer) => end,
        end = send_messages(writer, &queue) => end,
    };
    queue.close();
    context.emit(SessionEvent::Closed(id));
    end
}

/// Hands on what the peer sends, until the session ends.
async fn receive_messages(
    reader: impl AsyncRead + Unpin,
    context: &SessionContext,
    id: SessionId,
    peer: &Handshake,
) -> Result<(), SessionError> {
    let local_role = context.local_handshake().role;
    let mut reader = BufReader::with_capacity(READ_BUFFER_BYTES, reader);
    loop {
        let message = within(IDLE_TIMEOUT, read_frame(&mut reader, MAX_FRAME_BYTES)).await?;
        authorization::check_message(peer, local_role, &message)?;
        if message != Message::Ping {
            context.emit(SessionEvent::Received {
                session: id,
                message,
            });
        }
    }
}

/// Writes what waits for the peer, and a ping where nothing does for a while, until the session ends.
async fn send_messages(
    mut writer: impl AsyncWrite + Unpin,
    queue: &SendHandle,
) -> Result<(), SessionError> {
    loop {
        if timeout(PING_INTERVAL, queue.wait()).await.is_err() {
            queue.send(&Message::Ping);
        }
        if queue.is_closed() {
            return Err(io::Error::other("closed here").into());
        }
        let frames = queue.take_frames();
        if frames.is_empty() {
            continue;
        }
        let write = async {
            writer.write_all(&frames).await?;
            writer.flush().await
        };
        within(IDLE_TIMEOUT, write).await?;
    }
}
