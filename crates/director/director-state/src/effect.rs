//! What a session asks for.

use crate::identifiers::{FetchId, InboundId, RelayConnectionId};
use bytes::Bytes;
use rushcourse_policy::interface::{HostId, Ms};
use std::net::SocketAddr;
use std::time::Duration;

/// What is to be done outside.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Write to a connection to the director's address.
    SendInbound {
        /// The connection.
        inbound: InboundId,
        /// A message with its length before it.
        frame: Bytes,
    },
    /// End a connection to the director's address.
    CloseInbound {
        /// The connection.
        inbound: InboundId,
        /// What to write before, if anything.
        last_frame: Option<Bytes>,
    },
    /// Connect to the relay.
    ConnectRelay {
        /// The name of the new connection.
        connection: RelayConnectionId,
        /// Where the relay is.
        address: SocketAddr,
    },
    /// Write to the relay.
    SendRelay {
        /// The connection.
        connection: RelayConnectionId,
        /// A line with its end.
        line: String,
    },
    /// End a connection to the relay. Nothing more is expected from it.
    DisconnectRelay {
        /// The connection.
        connection: RelayConnectionId,
    },
    /// Ask discovery for its list of hosts.
    FetchEndpoints {
        /// The request.
        request: FetchId,
        /// Where discovery is.
        address: SocketAddr,
        /// What to ask for.
        path: String,
        /// When to give up.
        timeout: Duration,
    },
    /// Check the health of a host.
    CheckHealth {
        /// The host.
        host: HostId,
        /// Where it listens.
        address: String,
        /// What to ask for.
        path: &'static str,
        /// When to give up.
        timeout: Duration,
    },
    /// Something is to be done with a stream of a proxy or a host.
    Stream(rushcourse_xds::Effect),
    /// Read the configuration again and hand in what came of it.
    ReloadConfig,
    /// Hand in [`Input::Wake`](crate::Input::Wake) at this time at the latest. It replaces the time asked for before.
    ScheduleWake {
        /// By the clock that inputs are handed in with.
        at: Ms,
    },
    /// Write a line to the log.
    Log {
        /// How much it matters.
        severity: Severity,
        /// The line.
        text: String,
    },
    /// End the program.
    Exit,
}

/// How much a line of the log matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// Usual.
    Info,
    /// Somebody should look at it.
    Warning,
    /// Something is wrong here, not outside.
    Error,
}
