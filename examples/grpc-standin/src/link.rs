//! A link to another address that can be frozen: bytes are kept on either side, and nothing is closed.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes that are copied at a time.
const BUFFER_SIZE: usize = 16 << 10;

/// A link that can be frozen.
pub struct Link {
    /// Where it is connected to.
    pub address: SocketAddr,
    is_open: Arc<watch::Sender<bool>>,
}

impl Link {
    /// Listens at one address and forwards to another.
    ///
    /// # Errors
    /// The address can't be bound.
    pub async fn start(at: SocketAddr, to: SocketAddr) -> io::Result<Link> {
        let listener = TcpListener::bind(at).await?;
        let address = listener.local_addr()?;
        let is_open = Arc::new(watch::channel(true).0);
        tokio::spawn(accept(listener, to, is_open.clone()));
        Ok(Link { address, is_open })
    }

    /// Freezes it, or lets bytes pass again.
    pub fn set_frozen(&self, is_frozen: bool) {
        self.is_open.send_replace(!is_frozen);
    }
}

async fn accept(listener: TcpListener, to: SocketAddr, is_open: Arc<watch::Sender<bool>>) {
    while let Ok((near, _)) = listener.accept().await {
        let Ok(far) = TcpStream::connect(to).await else {
            continue;
        };
        let (near_in, near_out) = near.into_split();
        let (far_in, far_out) = far.into_split();
        tokio::spawn(forward(near_in, far_out, is_open.subscribe()));
        tokio::spawn(forward(far_in, near_out, is_open.subscribe()));
    }
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut is_open: watch::Receiver<bool>,
) {
    let mut buffer = vec![0; BUFFER_SIZE];
    loop {
        if is_open.wait_for(|is_open| *is_open).await.is_err() {
            return;
        }
        let count = match from.read(&mut buffer).await {
            Ok(count) if count > 0 => count,
            _ => return,
        };
        if is_open.wait_for(|is_open| *is_open).await.is_err()
            || to.write_all(&buffer[..count]).await.is_err()
        {
            return;
        }
    }
}
