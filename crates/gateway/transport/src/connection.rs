//! The lifecycle of a connection between two nodes: TLS if keys are configured, a handshake in each direction, then
//! frames until the session ends.

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

/// Timeout of the TLS handshake, and again of the exchange of handshake messages.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// A ping is sent after this time without an outgoing message.
const PING_INTERVAL: Duration = Duration::from_millis(400);
/// A session is closed after this time without an incoming message, or when a write takes longer.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Maximum length of a handshake message in bytes; limits the memory used for a peer that is not yet authenticated.
const MAX_HANDSHAKE_BYTES: usize = 1_024;
/// Size of the read buffer of a session in bytes.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Runs a connection until either side closes it.
///
/// # Errors
/// Always returns an error: the reason why the connection ended.
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
        let tls_handshake = keys.establish_tls(stream, address, direction);
        let (mut stream, identity) = with_timeout(HANDSHAKE_TIMEOUT, tls_handshake).await?;
        let handshake = exchange_handshakes(&mut stream, context, identity);
        let peer = with_timeout(HANDSHAKE_TIMEOUT, handshake).await?;
        let (reader, writer) = tokio::io::split(stream);
        return run_session(reader, writer, context, peer).await;
    }
    let identity = PeerIdentity {
        address: NodeId::from(address),
        certificate: None,
    };
    let handshake = exchange_handshakes(&mut stream, context, identity);
    let peer = with_timeout(HANDSHAKE_TIMEOUT, handshake).await?;
    let (reader, writer) = stream.into_split();
    run_session(reader, writer, context, peer).await
}

/// Disables Nagle's algorithm, and limits how long sent data may remain unacknowledged by the peer.
fn configure_socket(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let _ = stream.set_nodelay(true);
    let _ = socket.set_tcp_user_timeout(Some(IDLE_TIMEOUT));
}

/// Awaits a future; returns an I/O error of kind `TimedOut` if it takes longer than `limit`.
async fn with_timeout<T, E: Into<SessionError>>(
    limit: Duration,
    future: impl Future<Output = Result<T, E>>,
) -> Result<T, SessionError> {
    match timeout(limit, future).await {
        Ok(result) => result.map_err(Into::into),
        Err(_) => Err(io::Error::from(io::ErrorKind::TimedOut).into()),
    }
}

/// Sends the local handshake, then reads and checks the peer's.
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

/// Runs an open session until it ends, and emits its `Opened` and `Closed` events.
async fn run_session(
    reader: impl AsyncRead + Unpin,
    writer: impl AsyncWrite + Unpin,
    context: &SessionContext,
    peer: Handshake,
) -> Result<(), SessionError> {
    let (id, queue) = (context.next_id(), SendHandle::new());
    let session = Session::new(id, peer.clone(), queue.clone());
    context.emit(SessionEvent::Opened(session));
    let result = tokio::select! {
        result = receive_messages(reader, context, id, &peer) => result,
        result = send_messages(writer, &queue) => result,
    };
    queue.close();
    context.emit(SessionEvent::Closed(id));
    result
}

/// Emits the messages of the peer, except pings, until the session ends.
async fn receive_messages(
    reader: impl AsyncRead + Unpin,
    context: &SessionContext,
    id: SessionId,
    peer: &Handshake,
) -> Result<(), SessionError> {
    let local_role = context.local_handshake().role;
    let mut reader = BufReader::with_capacity(READ_BUFFER_BYTES, reader);
    loop {
        let message = with_timeout(IDLE_TIMEOUT, read_frame(&mut reader, MAX_FRAME_BYTES)).await?;
        authorization::check_message(peer, local_role, &message)?;
        if message != Message::Ping {
            context.emit(SessionEvent::Received {
                session: id,
                message,
            });
        }
    }
}

/// Writes queued frames, or a ping when the queue stays empty for `PING_INTERVAL`, until the session ends.
async fn send_messages(
    mut writer: impl AsyncWrite + Unpin,
    queue: &SendHandle,
) -> Result<(), SessionError> {
    loop {
        if timeout(PING_INTERVAL, queue.wait()).await.is_err() {
            queue.send(&Message::Ping);
        }
        if queue.is_closed() {
            return Err(io::Error::other("closed by this node").into());
        }
        let frames = queue.take_frames();
        if frames.is_empty() {
            continue;
        }
        let write = async {
            writer.write_all(&frames).await?;
            writer.flush().await
        };
        with_timeout(IDLE_TIMEOUT, write).await?;
    }
}
