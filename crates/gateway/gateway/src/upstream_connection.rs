//! Acquires a connection to a host for one attempt, from the pool or by connecting.

use crate::connection_pool::UpstreamSender;
use crate::deadline::Deadline;
use crate::state::GatewayState;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use rushcourse_routing::{HostChoice, HostObservation};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

/// Upper bound of the time to connect to a host. A round trip takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Limit of hyper's read buffer, and so of a response head.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// A connection to a host, ready for a request.
pub(crate) struct UpstreamConnection {
    pub(crate) sender: UpstreamSender,
    /// The connection came from the pool, so it has carried other requests before.
    pub(crate) is_reused: bool,
}

/// Takes an idle connection from the pool, or connects before `deadline`.
///
/// # Errors
/// [`HostObservation::Rejected`] if this gateway's share of the host's connections is in use,
/// [`HostObservation::ConnectFailed`] if connecting failed. In both cases the host received nothing of the request.
pub(crate) async fn acquire(
    gateway: &Rc<GatewayState>,
    service: &str,
    host: &HostChoice,
    deadline: &Deadline,
) -> Result<UpstreamConnection, HostObservation> {
    if let Some(sender) = gateway.take_idle_connection(&host.id) {
        return Ok(UpstreamConnection {
            sender,
            is_reused: true,
        });
    }
    let sender = connect(gateway, service, host, deadline).await?;
    Ok(UpstreamConnection {
        sender,
        is_reused: false,
    })
}

async fn connect(
    gateway: &Rc<GatewayState>,
    service: &str,
    host: &HostChoice,
    deadline: &Deadline,
) -> Result<UpstreamSender, HostObservation> {
    let slot = gateway
        .reserve_connection(service, &host.id)
        .ok_or(HostObservation::Rejected)?;
    let connect_by = deadline.at().min(Instant::now() + CONNECT_TIMEOUT);
    let connecting = TcpStream::connect(&*host.address);
    let Ok(Ok(stream)) = timeout_at(connect_by, connecting).await else {
        return Err(HostObservation::ConnectFailed);
    };
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|_| HostObservation::ConnectFailed)?;
    tokio::task::spawn_local(async move {
        let _slot = slot;
        let _ = connection.await;
    });
    Ok(sender)
}
