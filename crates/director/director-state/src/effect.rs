//! Effects that a session requests from the I/O layer.

use crate::identifiers::{FetchId, InboundId, RelayConnectionId};
use bytes::Bytes;
use rushcourse_policy::interface::{HostId, Ms};
use std::net::SocketAddr;
use std::time::Duration;

/// An action for the I/O layer, returned by [`Session::step`](crate::Session::step).
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Writes a message to a connection at the director's listening address.
    SendInbound {
        /// Connection to write to.
        inbound: InboundId,
        /// Encoded message including its length prefix.
        frame: Bytes,
    },
    /// Closes a connection at the director's listening address.
    CloseInbound {
        /// Connection to close; no further inputs are expected from it.
        inbound: InboundId,
        /// Encoded message to write before closing; `None` closes at once.
        last_frame: Option<Bytes>,
    },
    /// Opens a connection to the relay.
    ConnectRelay {
        /// Identifier of the new connection, which later inputs and effects refer to.
        connection: RelayConnectionId,
        /// Address to connect to.
        address: SocketAddr,
    },
    /// Writes a line to the relay and reports completion as [`Input::RelayWritten`](crate::Input::RelayWritten).
    SendRelay {
        /// Established connection to write to.
        connection: RelayConnectionId,
        /// Text including the line terminator.
        line: String,
    },
    /// Closes a connection to the relay, established or not; its later inputs are ignored.
    DisconnectRelay {
        /// Connection to close.
        connection: RelayConnectionId,
    },
    /// Sends an HTTP GET request to discovery.
    FetchEndpoints {
        /// Identifier to return with the result.
        request: FetchId,
        /// Address of the discovery service.
        address: SocketAddr,
        /// Request path with query: the complete list, or a watch from a revision on.
        path: String,
        /// Time limit for the whole request; on expiry it fails with [`Input::FetchFailed`](crate::Input::FetchFailed).
        timeout: Duration,
    },
    /// Sends an HTTP GET request to a host and reports [`Input::HealthChecked`](crate::Input::HealthChecked).
    CheckHealth {
        /// Host to check, returned with the result.
        host: HostId,
        /// Listening address of the host, as discovery lists it.
        address: String,
        /// Request path, which depends on whether hosts report their load.
        path: &'static str,
        /// Time limit for the whole request; on expiry the host counts as not responding.
        timeout: Duration,
    },
    /// Effect of the xDS streams of proxies or the load report streams of hosts.
    Stream(rushcourse_xds::Effect),
    /// Reads the configuration file and reports [`Input::Reloaded`](crate::Input::Reloaded) or
    /// [`Input::ReloadFailed`](crate::Input::ReloadFailed).
    ReloadConfig,
    /// Sets the time of the next [`Input::Wake`](crate::Input::Wake), replacing any earlier one. Earlier wakes are allowed.
    ScheduleWake {
        /// Time on the session's clock; infinite if nothing is scheduled.
        at: Ms,
    },
    /// Writes a line to the log.
    Log {
        /// Level to log at.
        severity: Severity,
        /// Text of the line, which starts with its kind.
        text: String,
    },
    /// Terminates the process; requested once, by [`Input::Stop`](crate::Input::Stop).
    Exit,
}

/// Level of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// Normal operation.
    Info,
    /// Unexpected input or a failing peer; the session continues.
    Warning,
    /// A configuration error or a defect of the director itself.
    Error,
}
