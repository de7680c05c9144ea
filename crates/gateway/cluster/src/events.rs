//! Configuration, inputs and effects of [`crate::Cluster`].

use rushcourse_messages::{HostRecord, Message};
use rushcourse_types::{NodeId, SessionId};
use std::sync::Arc;
use std::time::Duration;

/// The zones of the deployment and the settings of a controller.
#[derive(Clone, Debug)]
pub struct Topology {
    /// Zone in which the controller runs.
    pub zone: Arc<str>,
    /// All zones of the deployment, sorted by name.
    pub zones: Vec<Arc<str>>,
    /// Interval at which hosts send heartbeats. Heartbeat timeouts are derived from it.
    pub heartbeat_interval: Duration,
    /// Maximum time during which a host may still get requests after it has started to drain.
    pub drain_timeout: Duration,
}

/// An input of [`crate::Cluster::step`].
#[derive(Clone, Debug)]
pub enum Input {
    /// A host sent a registration or heartbeat to this controller. A state of `Draining` starts a drain. The record's
    /// age is 0.
    HostRequest(HostRecord),
    /// The host with this id sent a deregistration to this controller.
    Deregister(Arc<str>),
    /// A session with another controller was opened.
    PeerSessionOpened(NodeId),
    /// The last session with another controller was closed.
    PeerSessionClosed(NodeId),
    /// A message arrived from another controller.
    PeerMessage {
        /// Node id of the sending controller.
        peer: NodeId,
        /// The decoded message. Types that are not sent between controllers are ignored.
        message: Message,
    },
    /// A session with a gateway was opened. A gateway may have several sessions at once.
    GatewaySessionOpened {
        /// Local id of the new session.
        session: SessionId,
        /// Node id of the gateway.
        node: NodeId,
        /// Zone in which the gateway runs.
        zone: Arc<str>,
    },
    /// A session with a gateway was closed. Unknown sessions are ignored.
    GatewaySessionClosed(SessionId),
    /// A message arrived from a gateway.
    GatewayMessage {
        /// The session over which the message arrived. Messages of unknown sessions are ignored.
        session: SessionId,
        /// The decoded message. Types that gateways don't send to controllers are ignored.
        message: Message,
    },
    /// This controller gained (`true`) or lost (`false`) contact with a majority of the voting set.
    QuorumContactChanged(bool),
    /// This process stalled, so heartbeats that arrived in the meantime are not processed yet. Suspends the detection
    /// of timed-out hosts for a grace period.
    Stalled,
    /// The hosts read from this controller's state file at startup. Empty if the file contains none.
    HostsRestored(Vec<HostRecord>),
    /// Periodic timer that runs time-based work such as timeouts, heartbeat batches and anti-entropy.
    Tick,
}

/// An action for the caller of [`crate::Cluster::step`].
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message to one other controller.
    SendToPeer {
        /// Node id of the receiving controller.
        peer: NodeId,
        /// Host updates, gateway sessions, digests, a range request or the controller status.
        message: Message,
    },
    /// Send a message to all other controllers with an open session.
    BroadcastToPeers(Message),
    /// Send a message to one gateway.
    SendToGateway {
        /// The session over which to send the message.
        session: SessionId,
        /// Host states or an endpoint table update.
        message: Message,
    },
    /// Send a message over the sessions of all gateways.
    BroadcastToGateways(Message),
    /// Store a host in the state file, from which it is restored at the next start of this controller.
    PersistHost(HostRecord),
    /// Remove the host with this id from the state file.
    RemoveStoredHost(Arc<str>),
    /// Write an `event=...` line to the log.
    Log(String),
}
