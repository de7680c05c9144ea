//! TCP forwarder that can be frozen to simulate a network partition: connections stay open, but no bytes pass.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Size of a forwarding buffer in bytes.
const BUFFER_SIZE: usize = 16 << 10;

/// A TCP forwarder to a fixed address.
pub struct Link {
    /// Bound listen address.
    pub address: SocketAddr,
    /// False while the link is frozen.
    is_open: Arc<watch::Sender<bool>>,
}

impl Link {
    /// Listens on `at` and forwards each connection to `to`.
    ///
    /// # Errors
    /// Returns an error if `at` can't be bound.
    pub async fn start(at: SocketAddr, to: SocketAddr) -> io::Result<Link> {
        let listener = TcpListener::bind(at).await?;
        let address = listener.local_addr()?;
        let is_open = Arc::new(watch::channel(true).0);
        tokio::spawn(accept(listener, to, is_open.clone()));
        Ok(Link { address, is_open })
    }

    /// Stops or resumes forwarding in both directions.
    pub fn set_frozen(&self, is_frozen: bool) {
        self.is_open.send_replace(!is_frozen);
    }
}

async fn accept(listener: TcpListener, to: SocketAddr, is_open: Arc<watch::Sender<bool>>) {
    while let Ok((client, _)) = listener.accept().await {
        let Ok(server) = TcpStream::connect(to).await else {
            continue;
        };
        let (client_reader, client_writer) = client.into_split();
        let (server_reader, server_writer) = server.into_split();
        tokio::spawn(forward(client_reader, server_writer, is_open.subscribe()));
        tokio::spawn(forward(server_reader, client_writer, is_open.subscribe()));
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
