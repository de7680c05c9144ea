//! Inbound connections: a retrying accept, and the listener for sessions that other nodes open.

use crate::connection;
use crate::error::SessionError;
use crate::session_context::SessionContext;
use crate::tls::Direction;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Delay after a failed `accept` before the next attempt.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts the next connection and returns it with the peer's address. Retries after 20 ms if the operating system
/// returns an error, such as when file descriptors are exhausted.
pub async fn accept(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Accepts sessions from other nodes, and rejects connections beyond `max_sessions` open ones. Never returns.
pub async fn accept_sessions(listener: TcpListener, max_sessions: usize, context: SessionContext) {
    let open_sessions = Rc::new(Cell::new(0));
    loop {
        let (stream, peer) = accept(&listener).await;
        if open_sessions.get() >= max_sessions {
            context.record_session_end(&peer, &SessionError::TooManySessions { max_sessions });
            continue;
        }
        open_sessions.set(open_sessions.get() + 1);
        let (context, open_sessions) = (context.clone(), open_sessions.clone());
        tokio::task::spawn_local(async move {
            if let Err(error) = connection::run(stream, &context, Direction::Inbound).await {
                context.record_session_end(&peer, &error);
            }
            open_sessions.set(open_sessions.get() - 1);
        });
    }
}
