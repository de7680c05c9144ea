//! The state machine of a controller's soft state. It applies messages from hosts, other controllers and gateways, and
//! returns the messages to send in response.

mod gateway_sessions;
mod host_requests;
mod maintenance;
mod peer_messages;

use crate::distribution::Distribution;
use crate::events::{Effect, Input, Topology};
use crate::failure_detection::FailureDetection;
use crate::gateway_membership::GatewayMembership;
use crate::heartbeat_batch::HeartbeatBatch;
use crate::host_registry::HostRegistry;
use crate::initial_sync::InitialSync;
use rushcourse_messages::Message;
use rushcourse_types::{NodeId, SessionId, Timestamp};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The status that this controller sends to gateways, which use it to select their primary controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Status {
    /// Whether this controller knows all hosts and has quorum contact, so that it can be a primary.
    is_synchronized: bool,
    /// Number of gateways with a session to any controller.
    gateway_count: u32,
}

/// The soft state of a controller, replicated between controllers without consensus. Only [`Cluster::step`] changes it.
pub struct Cluster {
    zone: Arc<str>,
    hosts: HostRegistry,
    gateways: GatewayMembership,
    /// The gateways whose primary is this controller, with the session over which they receive their tables.
    primary_gateways: BTreeMap<NodeId, SessionId>,
    distribution: Distribution,
    initial_sync: InitialSync,
    failure_detection: FailureDetection,
    heartbeats: HeartbeatBatch,
    digests_sent_at: Timestamp,
    /// The last status broadcast to gateways, or `None` if a new gateway session has not received it.
    announced_status: Option<Status>,
    /// Effects accumulated during the current step.
    effects: Vec<Effect>,
}

impl Cluster {
    /// Creates the state of a controller at startup: no hosts, no gateways, and not synchronized.
    pub fn new(topology: Topology) -> Cluster {
        let Topology {
            zone,
            zones,
            heartbeat_interval,
            drain_timeout,
        } = topology;
        Cluster {
            hosts: HostRegistry::new(heartbeat_interval),
            gateways: GatewayMembership::default(),
            primary_gateways: BTreeMap::new(),
            distribution: Distribution::new(zones, &zone, drain_timeout),
            initial_sync: InitialSync::new(heartbeat_interval),
            failure_detection: FailureDetection::default(),
            heartbeats: HeartbeatBatch::default(),
            digests_sent_at: Timestamp::ZERO,
            announced_status: None,
            effects: Vec::new(),
            zone,
        }
    }

    /// Applies one input at time `now`. The caller must execute the returned effects in order.
    pub fn step(&mut self, now: Timestamp, input: Input) -> Vec<Effect> {
        self.initial_sync.start(now);
        match input {
            Input::HostRequest(record) => self.handle_host_request(now, record),
            Input::Deregister(id) => self.handle_deregistration(now, id),
            Input::HostsRestored(records) => self.restore_hosts(now, records),
            Input::PeerSessionOpened(peer) => self.open_peer_session(now, peer),
            Input::PeerSessionClosed(peer) => self.gateways.remove_reported(peer),
            Input::PeerMessage { peer, message } => self.handle_peer_message(now, peer, message),
            Input::GatewaySessionOpened {
                session,
                node,
                zone,
            } => self.open_gateway_session(session, node, zone),
            Input::GatewaySessionClosed(session) => self.close_gateway_session(now, session),
            Input::GatewayMessage { session, message } => {
                self.handle_gateway_message(now, session, message);
            }
            Input::QuorumContactChanged(has_contact) => {
                self.failure_detection.set_quorum_contact(now, has_contact);
            }
            Input::Stalled => self.failure_detection.suspend(now),
            Input::Tick => self.tick(now),
        }
        self.announce_status();
        std::mem::take(&mut self.effects)
    }

    /// Whether the initial synchronization is done: this controller knows all hosts and may serve gateways.
    pub fn is_synchronized(&self) -> bool {
        self.initial_sync.is_done()
    }

    /// Whether this controller is the primary of a gateway that receives its tables over this session.
    pub fn is_primary_for(&self, session: SessionId) -> bool {
        self.primary_gateways
            .values()
            .any(|primary| *primary == session)
    }

    /// The hosts known to this controller, including draining, timed-out and recently ended ones.
    pub fn hosts(&self) -> &HostRegistry {
        &self.hosts
    }

    /// The gateways that have a session with this controller or, according to their reports, with another one.
    pub fn gateways(&self) -> &GatewayMembership {
        &self.gateways
    }

    /// The endpoint tables of the gateways whose primary is this controller.
    pub fn distribution(&self) -> &Distribution {
        &self.distribution
    }

    /// Broadcasts the status to all gateways if it has changed or a gateway has not received it.
    fn announce_status(&mut self) {
        let has_quorum_contact = self.failure_detection.has_quorum_contact();
        let status = Status {
            is_synchronized: self.is_synchronized() && has_quorum_contact,
            gateway_count: self.gateways.all().len() as u32,
        };
        if self.announced_status.replace(status) != Some(status) {
            self.broadcast_to_gateways(Message::ControllerStatus {
                is_synchronized: status.is_synchronized,
                gateways: status.gateway_count,
            });
        }
    }

    fn log(&mut self, line: String) {
        self.effects.push(Effect::Log(line));
    }

    fn send_to_peer(&mut self, peer: NodeId, message: Message) {
        self.effects.push(Effect::SendToPeer { peer, message });
    }

    fn broadcast_to_peers(&mut self, message: Message) {
        self.effects.push(Effect::BroadcastToPeers(message));
    }

    fn send_to_gateway(&mut self, session: SessionId, message: Message) {
        self.effects
            .push(Effect::SendToGateway { session, message });
    }

    fn broadcast_to_gateways(&mut self, message: Message) {
        self.effects.push(Effect::BroadcastToGateways(message));
    }
}
