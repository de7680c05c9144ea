//! The director's address: frames, or HTTP, told apart by the first four bytes.

use super::admin;
use crate::effects::{ToLoop, Told};
use bytes::Bytes;
use futures_util::StreamExt;
use rushcourse_protocol::frames;
use rushcourse_reducer::{Conn, Input};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio_util::codec::FramedRead;

/// Answers that may wait to be written to one peer.
const ANSWERS_MOST: usize = 64;
/// KiB of messages that may wait for the loop, over all peers.
const WAITING_KIB: usize = 16 << 10;
/// Pause after an accept that failed, as when descriptors are short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Binds the address and accepts from then on.
pub async fn start(address: SocketAddr, to: ToLoop) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    tokio::spawn(accept(listener, to));
    Ok(())
}

async fn accept(listener: TcpListener, to: ToLoop) {
    let room = Arc::new(Semaphore::new(WAITING_KIB));
    for conn in 1.. {
        let (stream, peer) = loop {
            match listener.accept().await {
                Ok(accepted) => break accepted,
                // It is one peer's, or it passes: the loop goes on.
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        };
        _ = stream.set_nodelay(true);
        // With a place in the queue first, the loop hears of the connection before what it says.
        let Ok(place) = to.reserve().await else { return };
        let (out, answers) = mpsc::channel(ANSWERS_MOST);
        let task = tokio::spawn(talk(stream, conn, answers, to.clone(), room.clone())).abort_handle();
        place.send(Told::Accepted { conn, peer: peer.to_string(), out, task });
    }
}

async fn talk(
    stream: TcpStream,
    conn: Conn,
    answers: mpsc::Receiver<Bytes>,
    to: ToLoop,
    room: Arc<Semaphore>,
) {
    let ended = match speak(stream, conn, answers, &to, room).await {
        Ok(()) => String::new(),
        Err(e) => e.to_string(),
    };
    _ = to.send(Told::Input(Input::Closed { conn, why: ended })).await;
}

async fn speak(
    mut stream: TcpStream,
    conn: Conn,
    mut answers: mpsc::Receiver<Bytes>,
    to: &ToLoop,
    room: Arc<Semaphore>,
) -> io::Result<()> {
    let mut first = [0; 4];
    if let Err(e) = stream.read_exact(&mut first).await {
        // Whoever says nothing and goes is no news.
        return if e.kind() == io::ErrorKind::UnexpectedEof { Ok(()) } else { Err(e) };
    }
    let (read, mut write) = stream.into_split();
    let read = io::Cursor::new(first).chain(read);
    if frames::is_http(first) {
        _ = to.send(Told::Input(Input::Http { conn })).await;
        return admin::serve(tokio::io::join(read, write), to.clone()).await;
    }
    let mut messages = FramedRead::new(read, frames::codec());
    loop {
        tokio::select! {
            message = messages.next() => match message {
                Some(message) => {
                    let bytes = message?.freeze();
                    let kib = bytes.len() as u32 / 1024 + 1;
                    let _room = room.clone().acquire_many_owned(kib).await.map_err(io::Error::other)?;
                    _ = to.send(Told::Frame { conn, bytes, _room }).await;
                }
                None => return Ok(()),
            },
            answer = answers.recv() => match answer {
                Some(answer) => write.write_all(&answer).await?,
                None => return Ok(()),
            },
        }
    }
}
