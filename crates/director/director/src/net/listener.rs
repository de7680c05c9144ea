//! The director's address: frames, or HTTP, told apart by the first four bytes.

use super::admin;
use crate::events::{LoopEvent, LoopSender, Out};
use bytes::Bytes;
use rushcourse_director_protocol::frames;
use rushcourse_director_state::{InboundId, Input, SessionLimits};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot};
use tokio::time::timeout;

/// Answers that may wait to be written to one peer.
const ANSWERS_MOST: usize = 64;
/// Connections taken beyond those that the session holds: it closes others for them at once.
const SPARE_SEATS: usize = 16;
/// Pause after an accept that failed, as when descriptors are short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// A message that has begun is complete within this: its pieces come over one network.
const PIECES_WITHIN: Duration = Duration::from_secs(2);
/// An answer is taken within this.
const TAKEN_WITHIN: Duration = Duration::from_secs(1);

/// Binds the address and accepts from then on.
pub async fn start(address: SocketAddr, limits: SessionLimits, to: LoopSender) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    tokio::spawn(accept(listener, limits, to));
    Ok(())
}

async fn accept(listener: TcpListener, limits: SessionLimits, to: LoopSender) {
    let room = Arc::new(Semaphore::new(limits.max_buffered_kib));
    let seats = Arc::new(Semaphore::new(limits.max_inbound + SPARE_SEATS));
    for inbound in (1..).map(InboundId) {
        // A burst of connections waits outside while the loop closes others, and costs no descriptor.
        let Ok(seat) = seats.clone().acquire_owned().await else {
            return;
        };
        let (stream, peer) = loop {
            match listener.accept().await {
                Ok(accepted) => break accepted,
                // It is one peer's, or it passes: the loop goes on.
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        };
        _ = stream.set_nodelay(true);
        // With a place in the queue first, the loop hears of the connection before what it says.
        let Ok(place) = to.reserve().await else {
            return;
        };
        let (out, answers) = mpsc::channel(ANSWERS_MOST);
        let task = tokio::spawn(talk(
            stream,
            inbound,
            answers,
            to.clone(),
            room.clone(),
            seat,
        ))
        .abort_handle();
        place.send(LoopEvent::Accepted {
            inbound,
            peer: peer.to_string(),
            out,
            task,
        });
    }
}

async fn talk(
    stream: TcpStream,
    inbound: InboundId,
    answers: mpsc::Receiver<Out>,
    to: LoopSender,
    room: Arc<Semaphore>,
    seat: OwnedSemaphorePermit,
) {
    let error = speak(stream, inbound, answers, &to, room)
        .await
        .err()
        .map(|e| e.to_string());
    drop(seat);
    _ = to
        .send(LoopEvent::Input(Input::InboundClosed { inbound, error }))
        .await;
}

async fn speak(
    mut stream: TcpStream,
    inbound: InboundId,
    answers: mpsc::Receiver<Out>,
    to: &LoopSender,
    room: Arc<Semaphore>,
) -> io::Result<()> {
    let mut first = [0; 4];
    if let Err(e) = stream.read_exact(&mut first).await {
        // Whoever says nothing and goes is no news.
        return if e.kind() == io::ErrorKind::UnexpectedEof {
            Ok(())
        } else {
            Err(e)
        };
    }
    let (read, write) = stream.into_split();
    let read = io::Cursor::new(first).chain(read);
    if frames::is_http(first) {
        _ = to
            .send(LoopEvent::Input(Input::InboundHttp { inbound }))
            .await;
        return admin::serve(tokio::io::join(read, write), to.clone()).await;
    }
    tokio::select! {
        ended = hear(BufReader::new(read), inbound, to, room) => ended,
        ended = answer(write, answers) => ended,
    }
}

/// Reads messages, one after the other. Until its peer has joined, only small ones, each of which waits for
/// the loop's word on whether it has.
async fn hear<R: AsyncRead + Unpin>(
    mut read: R,
    inbound: InboundId,
    to: &LoopSender,
    room: Arc<Semaphore>,
) -> io::Result<()> {
    let mut joined = false;
    loop {
        let mut head = [0; 4];
        if read.read(&mut head[..1]).await? == 0 {
            return Ok(());
        }
        let most = if joined {
            frames::MAX_MESSAGE_BYTES
        } else {
            frames::MAX_UNREGISTERED_MESSAGE_BYTES
        };
        let message = async {
            read.read_exact(&mut head[1..]).await?;
            let length = u32::from_le_bytes(head) as usize;
            if length > most {
                return Err(io::Error::other(format!(
                    "a message of {length} bytes, {most} at most"
                )));
            }
            // Room first: what is not there yet is not held.
            let kib = length as u32 / 1024 + 1;
            let room = room
                .clone()
                .acquire_many_owned(kib)
                .await
                .map_err(io::Error::other)?;
            let mut bytes = vec![0; length];
            read.read_exact(&mut bytes).await?;
            Ok((Bytes::from(bytes), room))
        };
        let (bytes, room) = timeout(PIECES_WITHIN, message)
            .await
            .map_err(|_| io::Error::other("a message that does not end"))??;
        let (verdict, word) = oneshot::channel();
        let verdict = (!joined).then_some(verdict);
        let waits = verdict.is_some();
        if to
            .send(LoopEvent::Frame {
                inbound,
                message: bytes,
                verdict,
                _room: room,
            })
            .await
            .is_err()
        {
            return Ok(());
        }
        joined |= waits && word.await.unwrap_or(false);
    }
}

/// Writes answers until the last one.
async fn answer(mut write: OwnedWriteHalf, mut answers: mpsc::Receiver<Out>) -> io::Result<()> {
    while let Some(out) = answers.recv().await {
        let (bytes, last) = match out {
            Out::Answer(bytes) => (bytes, false),
            Out::Last(bytes) => (bytes, true),
        };
        timeout(TAKEN_WITHIN, write.write_all(&bytes))
            .await
            .map_err(io::Error::other)??;
        if last {
            return Ok(());
        }
    }
    // The loop has let go of it.
    Ok(())
}
