//! Connections that others open: sessions of nodes, and connections as such.

use crate::connection;
use crate::error::SessionError;
use crate::session_context::SessionContext;
use crate::tls::Direction;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// A listener that could accept no connection tries again after this time.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The next connection, and where it comes from. Where none can be accepted (out of descriptors), it waits a little and
/// tries again.
pub async fn accept(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Takes sessions that other nodes open, `max_sessions` at a time. Never ends.
pub async fn accept_sessions(listener: TcpListener, max_sessions: usize, context: SessionContext) {
    let open_sessions = Rc::new(Cell::new(0));
    loop {
        let (stream, peer) = accept(&listener).await;
        if open_sessions.get() >= max_sessions {
            context.record_end(&peer, &SessionError::TooManySessions { max_sessions });
            continue;
        }
        open_sessions.set(open_sessions.get() + 1);
        let (context, open_sessions) = (context.clone(), open_sessions.clone());
        tokio::task::spawn_local(async move {
            if let Err(error) = connection::run(stream, &context, Direction::Inbound).await {
                context.record_end(&peer, &error);
            }
            open_sessions.set(open_sessions.get() - 1);
        });
    }
}
