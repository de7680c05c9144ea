//! Inputs of a session: received data, and results of the effects that it requested.

use crate::config::ReloadedConfig;
use crate::identifiers::{FetchId, InboundId, RelayConnectionId};
use bytes::Bytes;
use rushcourse_policy::interface::{HostId, Ms};

/// An event passed to [`Session::step`](crate::Session::step).
#[derive(Debug)]
pub enum Input {
    /// Starts the session. Deadlines and timers are not handled before it.
    Start,
    /// A peer connected to the director's listening address.
    InboundOpened {
        /// Identifier assigned by the listener; later inputs and effects refer to the connection by it.
        inbound: InboundId,
        /// Peer address, used in log lines only.
        peer: String,
    },
    /// A complete message arrived on a connection to the director's listening address.
    InboundMessage {
        /// Connection that the message arrived on; messages of connections that were closed are ignored.
        inbound: InboundId,
        /// Message payload without its length prefix.
        message: Bytes,
    },
    /// A peer sent an HTTP request instead of framed messages. The I/O layer serves the page.
    InboundHttp {
        /// Connection that carries the request; it is closed if the page is not served in time.
        inbound: InboundId,
    },
    /// A connection to the director's listening address ended. Ignored for connections that the session closed.
    InboundClosed {
        /// Connection that ended; its identifier is not used again.
        inbound: InboundId,
        /// I/O error that ended the connection; `None` after a regular close by the peer.
        error: Option<String>,
    },
    /// A connection requested by [`Effect::ConnectRelay`](crate::Effect::ConnectRelay) was established.
    RelayConnected {
        /// Identifier given in the effect; stale identifiers are ignored.
        connection: RelayConnectionId,
    },
    /// The relay sent a complete line.
    RelayLine {
        /// Connection that the line arrived on; stale identifiers are ignored.
        connection: RelayConnectionId,
        /// Text of the line without its terminator.
        line: String,
    },
    /// All bytes of the last [`Effect::SendRelay`](crate::Effect::SendRelay) were written to the socket.
    RelayWritten {
        /// Connection that was written to; stale identifiers are ignored.
        connection: RelayConnectionId,
    },
    /// A connection to the relay could not be established or has ended.
    RelayDisconnected {
        /// Connection that failed; stale identifiers are ignored.
        connection: RelayConnectionId,
        /// Cause of the failure, used in log lines only.
        reason: String,
    },
    /// Discovery sent a successful response to a request.
    EndpointsFetched {
        /// Identifier given in [`Effect::FetchEndpoints`](crate::Effect::FetchEndpoints).
        request: FetchId,
        /// Undecoded response body: a complete list of hosts or a delta.
        body: Bytes,
    },
    /// A request to discovery failed: connection error, timeout or unsuccessful status.
    FetchFailed {
        /// Identifier given in [`Effect::FetchEndpoints`](crate::Effect::FetchEndpoints).
        request: FetchId,
        /// Cause of the failure, used in log lines only.
        reason: String,
    },
    /// A health check requested by [`Effect::CheckHealth`](crate::Effect::CheckHealth) completed or failed.
    HealthChecked {
        /// Host that was checked.
        host: HostId,
        /// Milliseconds from the effect to the response or failure.
        elapsed: Ms,
        /// HTTP status code of the response; `None` if the host did not respond.
        status: Option<u16>,
        /// Response body, which may hold a load report in text form.
        body: Bytes,
    },
    /// Input for the xDS streams of proxies or the load report streams of hosts; ignored while streams are not served.
    Stream(rushcourse_xds::Input),
    /// An operator requested a configuration reload.
    ReloadRequested,
    /// The configuration file was read again and is valid.
    Reloaded(ReloadedConfig),
    /// The configuration file could not be read or is invalid. The session keeps its configuration and
    /// retries a limited number of times.
    ReloadFailed {
        /// Error to log.
        reason: String,
    },
    /// All inputs received up to now have been passed to the session. Expired deadlines are handled by this input only,
    /// so that a reply still in a socket buffer after the process was suspended is not mistaken for a timeout.
    Wake,
    /// Shuts the session down; all later inputs are ignored.
    Stop,
}
