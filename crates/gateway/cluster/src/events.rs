//! What goes into a step of [`crate::Cluster`], and what comes out of it.

use rushcourse_messages::{HostRecord, Message, NodeId};
use rushcourse_types::SessionId;
use std::sync::Arc;
use std::time::Duration;

/// Where a controller stands, and the settings that its steps go by.
#[derive(Clone, Debug)]
pub struct Topology {
    /// The controller's own zone.
    pub zone: Arc<str>,
    /// All zones, in the order of their names.
    pub zones: Vec<Arc<str>>,
    /// How often a host calls.
    pub heartbeat_interval: Duration,
    /// How long a host that drains still takes requests.
    pub drain_timeout: Duration,
}

/// What a step is about.
#[derive(Clone, Debug)]
pub enum Input {
    /// A host called: it registers, says that it lives, or that it drains. The record's age is 0.
    HostRequest(HostRecord),
    /// A host of this id deregistered.
    Deregister(Arc<str>),
    /// A session with another controller stands.
    PeerSessionOpened(NodeId),
    /// There is no session with another controller any more.
    PeerSessionClosed(NodeId),
    /// Another controller sent a message.
    PeerMessage {
        /// Who sent it.
        peer: NodeId,
        /// What it sent.
        message: Message,
    },
    /// A session of a gateway with this controller stands.
    GatewaySessionOpened {
        /// The new session.
        session: SessionId,
        /// The gateway.
        node: NodeId,
        /// The gateway's zone.
        zone: Arc<str>,
    },
    /// A session of a gateway with this controller ended.
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
    /// This process stood still for a while: what hosts sent meanwhile still waits to be handled.
    Stalled,
    /// Hosts that this controller's disk held at its start.
    HostsRestored(Vec<HostRecord>),
    /// Time has passed.
    Tick,
}

/// What a step asks for. Effects are carried out in their order.
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
    /// Send a message by a gateway's session.
    SendToGateway {
        /// By which session.
        session: SessionId,
        /// What.
        message: Message,
    },
    /// Send a message by all sessions of gateways.
    BroadcastToGateways(Message),
    /// Write a host to the disk, for the next start of this controller.
    PersistHost(HostRecord),
    /// Write a line to the log.
    Log(String),
}
