//! The open sessions with other nodes, and the dialing of known controllers that are not connected.

use rushcourse_messages::{Message, Role};
use rushcourse_transport::{Dialer, Session, SessionContext};
use rushcourse_types::{Incarnation, NodeId, SessionId};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Maximum number of known controllers; far above the size of any deployment.
const MAX_KNOWN_CONTROLLERS: usize = 64;
/// Of two controllers, the one with the higher address dials only in every n-th round, as a fallback.
const FALLBACK_DIAL_ROUNDS: u64 = 4;

pub(crate) struct PeerSessions {
    dialer: Dialer,
    /// Other controllers, connected or not.
    known: BTreeSet<NodeId>,
    sessions: BTreeMap<SessionId, Session>,
    controllers: BTreeMap<NodeId, ControllerSessions>,
}

/// The sessions with one controller. There may be more than one if both sides dialed.
struct ControllerSessions {
    incarnation: Incarnation,
    /// Oldest first; messages are sent on the last one.
    sessions: Vec<SessionId>,
}

/// A change in connectivity that results from a session opening or closing.
#[derive(Debug, PartialEq)]
pub(crate) enum SessionChange {
    /// The first session with a controller, or with a new incarnation of it, was opened.
    ControllerConnected(NodeId),
    /// The last session with a controller was closed, or the controller has restarted.
    ControllerDisconnected(NodeId),
    GatewayConnected(SessionId),
    GatewayDisconnected(SessionId),
}

impl PeerSessions {
    /// Creates a registry without sessions or known controllers.
    pub(crate) fn new(dialer: Dialer) -> PeerSessions {
        PeerSessions {
            dialer,
            known: BTreeSet::new(),
            sessions: BTreeMap::new(),
            controllers: BTreeMap::new(),
        }
    }

    /// The context shared with all sessions of this process.
    pub(crate) fn context(&self) -> &SessionContext {
        self.dialer.context()
    }

    pub(crate) fn local_node(&self) -> NodeId {
        self.dialer.local_handshake().node
    }

    /// Adds controllers to dial. Ignores the local node, and further nodes once `MAX_KNOWN_CONTROLLERS` are known.
    pub(crate) fn add_known_controllers(&mut self, nodes: impl IntoIterator<Item = NodeId>) {
        for node in nodes {
            if node != self.local_node() && self.known.len() < MAX_KNOWN_CONTROLLERS {
                self.known.insert(node);
            }
        }
    }

    /// All known controllers, including this one.
    pub(crate) fn known_controllers(&self) -> Vec<NodeId> {
        let others = self.known.iter().copied();
        others.chain([self.local_node()]).collect()
    }

    /// Dials the known controllers that are not connected. Of two controllers, the one with the lower address dials in
    /// every round; the other dials only in fallback rounds, in case the first can't connect.
    pub(crate) fn dial_missing(&self, round: u64) {
        let is_fallback_round = round % FALLBACK_DIAL_ROUNDS == FALLBACK_DIAL_ROUNDS - 1;
        let missing = self
            .known
            .iter()
            .filter(|node| !self.controllers.contains_key(node));
        for node in missing {
            if self.local_node() < *node || is_fallback_round {
                self.dialer.dial(*node);
            }
        }
    }

    /// Registers an open session and returns the resulting changes in order.
    pub(crate) fn opened(&mut self, session: Session) -> Vec<SessionChange> {
        let (id, role) = (session.id, session.peer.role);
        let (node, incarnation) = (session.peer.node, session.peer.incarnation);
        self.sessions.insert(id, session);
        if role == Role::Gateway {
            return vec![SessionChange::GatewayConnected(id)];
        }
        self.add_known_controllers([node]);
        let mut changes = Vec::new();
        if let Some(controller) = self.controllers.get_mut(&node) {
            if controller.incarnation == incarnation {
                controller.sessions.push(id);
                return changes;
            }
            // The controller has restarted, so the sessions of its previous incarnation are obsolete.
            let obsolete = std::mem::take(&mut controller.sessions);
            self.close(&obsolete);
            changes.push(SessionChange::ControllerDisconnected(node));
        }
        let controller = ControllerSessions {
            incarnation,
            sessions: vec![id],
        };
        self.controllers.insert(node, controller);
        changes.push(SessionChange::ControllerConnected(node));
        changes
    }

    /// The newest session with each other controller, in ascending order of node id.
    pub(crate) fn connected_controllers(&self) -> impl Iterator<Item = &Session> {
        let controllers = self.controllers.values();
        controllers.filter_map(|controller| self.sessions.get(controller.sessions.last()?))
    }

    fn close(&mut self, ids: &[SessionId]) {
        for id in ids {
            if let Some(session) = self.sessions.remove(id) {
                session.close();
            }
        }
    }

    /// Removes a closed session. Returns `None` if another session with the same controller is open, or if the session
    /// was already removed.
    pub(crate) fn closed(&mut self, id: SessionId) -> Option<SessionChange> {
        let session = self.sessions.remove(&id)?;
        if session.peer.role == Role::Gateway {
            return Some(SessionChange::GatewayDisconnected(id));
        }
        let node = session.peer.node;
        let controller = self.controllers.get_mut(&node)?;
        controller.sessions.retain(|other| *other != id);
        if !controller.sessions.is_empty() {
            return None;
        }
        self.controllers.remove(&node);
        Some(SessionChange::ControllerDisconnected(node))
    }

    pub(crate) fn get(&self, id: SessionId) -> Option<&Session> {
        self.sessions.get(&id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Session> {
        self.sessions.values()
    }

    /// The connected controllers in ascending order.
    pub(crate) fn controllers(&self) -> Vec<NodeId> {
        self.controllers.keys().copied().collect()
    }

    /// The zone of a controller, as given in its handshake; `None` if it is not connected.
    pub(crate) fn zone(&self, node: NodeId) -> Option<Arc<str>> {
        let session = self.newest_session(node)?;
        Some(session.peer.zone.as_str().into())
    }

    fn newest_session(&self, node: NodeId) -> Option<&Session> {
        let id = self.controllers.get(&node)?.sessions.last()?;
        self.sessions.get(id)
    }

    /// Sends a message on a session. Does nothing if it is not open.
    pub(crate) fn send(&self, id: SessionId, message: &Message) {
        if let Some(session) = self.sessions.get(&id) {
            session.send(message);
        }
    }

    /// Sends a message to a controller on its newest session. Does nothing if it is not connected.
    pub(crate) fn send_to_controller(&self, node: NodeId, message: &Message) {
        if let Some(session) = self.newest_session(node) {
            session.send(message);
        }
    }

    pub(crate) fn send_to_controllers(&self, message: &Message) {
        for node in self.controllers.keys() {
            self.send_to_controller(*node, message);
        }
    }

    /// Ids of all open sessions with gateways. A gateway may have more than one.
    pub(crate) fn gateways(&self) -> impl Iterator<Item = SessionId> {
        self.sessions
            .values()
            .filter(|session| session.peer.role == Role::Gateway)
            .map(|session| session.id)
    }

    pub(crate) fn send_to_gateways(&self, message: &Message) {
        for session in self.gateways() {
            self.send(session, message);
        }
    }
}
