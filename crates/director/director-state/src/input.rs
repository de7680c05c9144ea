//! What comes into a session: what was read, and what came of its effects.

use crate::config::ReloadedConfig;
use crate::identifiers::{FetchId, InboundId, RelayConnectionId};
use bytes::Bytes;
use rushcourse_policy::interface::{HostId, Ms};

/// What was read, or what came of an effect.
#[derive(Debug)]
pub enum Input {
    /// The director starts.
    Start,
    /// Somebody connected to the director's address.
    InboundOpened {
        /// The connection.
        inbound: InboundId,
        /// Who it is, for the log.
        peer: String,
    },
    /// A message came on a connection to the director's address.
    InboundMessage {
        /// The connection.
        inbound: InboundId,
        /// The message, without the length before it.
        message: Bytes,
    },
    /// A connection to the director's address asks for a page by HTTP.
    InboundHttp {
        /// The connection.
        inbound: InboundId,
    },
    /// A connection to the director's address has ended.
    InboundClosed {
        /// The connection.
        inbound: InboundId,
        /// Why, if not in the usual way.
        error: Option<String>,
    },
    /// A connection to the relay stands.
    RelayConnected {
        /// The connection.
        connection: RelayConnectionId,
    },
    /// The relay sent a line.
    RelayLine {
        /// The connection.
        connection: RelayConnectionId,
        /// The line, without its end.
        line: String,
    },
    /// The last byte of what was sent to the relay was written.
    RelayWritten {
        /// The connection.
        connection: RelayConnectionId,
    },
    /// A connection to the relay could not be established, or has ended.
    RelayDisconnected {
        /// The connection.
        connection: RelayConnectionId,
        /// Why.
        reason: String,
    },
    /// Discovery answered.
    EndpointsFetched {
        /// The request.
        request: FetchId,
        /// The list of hosts, in discovery's form.
        body: Bytes,
    },
    /// Discovery did not answer as it should.
    FetchFailed {
        /// The request.
        request: FetchId,
        /// Why.
        reason: String,
    },
    /// A health check has ended.
    HealthChecked {
        /// The host.
        host: HostId,
        /// Time since it was asked for.
        elapsed: Ms,
        /// The status that the host answered with; nothing if it did not answer.
        status: Option<u16>,
        /// The host's load report, as text.
        body: Bytes,
    },
    /// Something came by a stream of a proxy or a host.
    Stream(rushcourse_xds::Input),
    /// An operator asks that the configuration be read again.
    ReloadRequested,
    /// The configuration was read again.
    Reloaded(ReloadedConfig),
    /// The configuration could not be read again, or makes no sense.
    ReloadFailed {
        /// Why.
        reason: String,
    },
    /// All that came by this time was handed in: what is due is done now, and not before. So an answer that lies in a
    /// buffer while the process sleeps is never taken for missing.
    Wake,
    /// The director ends.
    Stop,
}
