//! Sessions by the node on the other side, and which controllers are to be dialed.

use rushcourse_messages::{Message, Role};
use rushcourse_transport::{Dialer, Session, SessionContext};
use rushcourse_types::{Incarnation, NodeId, SessionId};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Controllers that are known of at most: far over what a deployment has (ours).
const MAX_KNOWN_CONTROLLERS: usize = 64;
/// Of two controllers, the one with the higher address dials only in each of so many rounds.
const PATIENT_ROUNDS: u64 = 4;

/// All sessions of this controller.
pub(crate) struct PeerSessions {
    dialer: Dialer,
    /// Other controllers, in session or not.
    known: BTreeSet<NodeId>,
    sessions: BTreeMap<SessionId, Session>,
    /// Controllers in session.
    controllers: BTreeMap<NodeId, ControllerSessions>,
}

/// The sessions with one controller. There is more than one while both sides dial.
struct ControllerSessions {
    incarnation: Incarnation,
    /// Newest last.
    sessions: Vec<SessionId>,
}

/// What a session's opening or closing means.
#[derive(Debug, PartialEq)]
pub(crate) enum SessionChange {
    /// The first session with a controller, or with a new incarnation of it, is open.
    ControllerConnected(NodeId),
    /// The last session with a controller is closed.
    ControllerDisconnected(NodeId),
    /// A session with a gateway is open.
    GatewayConnected(SessionId),
    /// A session with a gateway is closed.
    GatewayDisconnected(SessionId),
}

impl PeerSessions {
    /// No sessions yet.
    pub(crate) fn new(dialer: Dialer) -> PeerSessions {
        PeerSessions {
            dialer,
            known: BTreeSet::new(),
            sessions: BTreeMap::new(),
            controllers: BTreeMap::new(),
        }
    }

    /// What the sessions start from.
    pub(crate) fn context(&self) -> &SessionContext {
        self.dialer.context()
    }

    /// The node of this process.
    pub(crate) fn local_node(&self) -> NodeId {
        self.dialer.local_handshake().node
    }

    /// Controllers that are to be dialed from now on, besides those that are already.
    pub(crate) fn add_known(&mut self, nodes: impl IntoIterator<Item = NodeId>) {
        for node in nodes {
            if node != self.local_node() && self.known.len() < MAX_KNOWN_CONTROLLERS {
                self.known.insert(node);
            }
        }
    }

    /// All controllers that are known here, this one included.
    pub(crate) fn known(&self) -> Vec<NodeId> {
        let others = self.known.iter().copied();
        others.chain([self.local_node()]).collect()
    }

    /// Dials the controllers that are known and not in session. Of two, the one with the lower address dials; the other
    /// one only in some rounds, if it is not dialed itself.
    pub(crate) fn dial_missing(&self, round: u64) {
        let is_patient_round = round % PATIENT_ROUNDS == PATIENT_ROUNDS - 1;
        let missing = self
            .known
            .iter()
            .filter(|node| !self.controllers.contains_key(node));
        for node in missing {
            if self.local_node() < *node || is_patient_round {
                self.dialer.dial(*node);
            }
        }
    }

    /// A session is open.
    pub(crate) fn opened(&mut self, session: Session) -> Vec<SessionChange> {
        let (id, role) = (session.id, session.peer.role);
        let (node, incarnation) = (session.peer.node, session.peer.incarnation);
        self.sessions.insert(id, session);
        if role == Role::Gateway {
            return vec![SessionChange::GatewayConnected(id)];
        }
        self.add_known([node]);
        let mut changes = Vec::new();
        if let Some(controller) = self.controllers.get_mut(&node) {
            if controller.incarnation == incarnation {
                controller.sessions.push(id);
                return changes;
            }
            // It started anew: what its last incarnation said no longer counts.
            let outdated = std::mem::take(&mut controller.sessions);
            self.close(&outdated);
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

    fn close(&mut self, ids: &[SessionId]) {
        for id in ids {
            if let Some(session) = self.sessions.remove(id) {
                session.close();
            }
        }
    }

    /// A session is closed. `None`: that changes nothing, as another one with its node is open or it was closed here.
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

    /// An open session by its number.
    pub(crate) fn get(&self, id: SessionId) -> Option<&Session> {
        self.sessions.get(&id)
    }

    /// All open sessions.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Session> {
        self.sessions.values()
    }

    /// Controllers in session.
    pub(crate) fn controllers(&self) -> Vec<NodeId> {
        self.controllers.keys().copied().collect()
    }

    /// The zone of a controller that is in session.
    pub(crate) fn zone(&self, node: NodeId) -> Option<Arc<str>> {
        let session = self.newest_session(node)?;
        Some(session.peer.zone.as_str().into())
    }

    fn newest_session(&self, node: NodeId) -> Option<&Session> {
        let id = self.controllers.get(&node)?.sessions.last()?;
        self.sessions.get(id)
    }

    /// Sends on one session, if it is open.
    pub(crate) fn send(&self, id: SessionId, message: &Message) {
        if let Some(session) = self.sessions.get(&id) {
            session.send(message);
        }
    }

    /// Sends to a controller, if it is in session.
    pub(crate) fn send_to_controller(&self, node: NodeId, message: &Message) {
        if let Some(session) = self.newest_session(node) {
            session.send(message);
        }
    }

    /// Sends to all controllers in session.
    pub(crate) fn send_to_controllers(&self, message: &Message) {
        for node in self.controllers.keys() {
            self.send_to_controller(*node, message);
        }
    }

    /// Sessions with gateways.
    pub(crate) fn gateways(&self) -> impl Iterator<Item = SessionId> {
        self.sessions
            .values()
            .filter(|session| session.peer.role == Role::Gateway)
            .map(|session| session.id)
    }

    /// Sends on all sessions with gateways.
    pub(crate) fn send_to_gateways(&self, message: &Message) {
        for session in self.gateways() {
            self.send(session, message);
        }
    }
}
