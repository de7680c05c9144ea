//! The inputs and effects of a step of [`crate::Cluster`].

use rushcourse_messages::{HostRecord, Message};
use rushcourse_types::{NodeId, SessionId};
use std::sync::Arc;
use std::time::Duration;

/// The zones of the deployment, and the settings of a controller.
#[derive(Clone, Debug)]
pub struct Topology {
    /// The controller's own zone.
    pub zone: Arc<str>,
    /// All zones, in the order of their names.
    pub zones: Vec<Arc<str>>,
    /// How often a host sends a heartbeat.
    pub heartbeat_interval: Duration,
    /// How long a draining host may still get requests.
    pub drain_timeout: Duration,
}

/// An event for a controller's state.
#[derive(Clone, Debug)]
pub enum Input {
    /// A host sent a registration or a heartbeat, which may say that it drains. The record's age is 0.
    HostRequest(HostRecord),
    /// A host of this id deregistered.
    Deregister(Arc<str>),
    /// A session with another controller was opened.
    PeerSessionOpened(NodeId),
    /// The last session with another controller was closed.
    PeerSessionClosed(NodeId),
    /// Another controller sent a message.
    PeerMessage {
        /// Who sent it.
        peer: NodeId,
        /// What it sent.
        message: Message,
    },
    /// A session with a gateway was opened.
    GatewaySessionOpened {
        /// The new session.
        session: SessionId,
        /// The gateway.
        node: NodeId,
        /// The gateway's zone.
        zone: Arc<str>,
    },
    /// A session with a gateway was closed.
    GatewaySessionClosed(SessionId),
    /// A gateway sent a message.
    GatewayMessage {
        /// The session that it came by.
        session: SessionId,
        /// What it sent.
        message: Message,
    },
    /// Whether a majority of the voting set is in session with this controller.
    QuorumContactChanged(bool),
    /// This process stalled: what hosts sent meanwhile still waits to be handled.
    Stalled,
    /// The hosts that were on this controller's disk at its start.
    HostsRestored(Vec<HostRecord>),
    /// Time has passed.
    Tick,
}

/// What a step asks its caller to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message to another controller.
    SendToPeer {
        /// To whom.
        peer: NodeId,
        /// What.
        message: Message,
    },
    /// Send a message to all other controllers that are in session.
    BroadcastToPeers(Message),
    /// Send a message over a gateway's session.
    SendToGateway {
        /// Over which session.
        session: SessionId,
        /// What.
        message: Message,
    },
    /// Send a message over all sessions of gateways.
    BroadcastToGateways(Message),
    /// Write a host to the disk, for the next start of this controller.
    PersistHost(HostRecord),
    /// Write a line to the log.
    Log(String),
}
