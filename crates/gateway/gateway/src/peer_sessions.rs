//! Sessions with other nodes: with all controllers, and with other gateways while operations are asked for there.

use rushcourse_messages::{Handshake, Message, Role};
use rushcourse_transport::{Dialer, Session};
use rushcourse_types::{NodeId, SessionId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Controllers that are known of at most (ours).
const MAX_CONTROLLERS: usize = 64;
/// Queries that wait for a session with another gateway at most (ours).
const MAX_WAITING_QUERIES: usize = 256;
/// A session with another gateway is closed so long after the last query.
const UNUSED_SESSION_TIMEOUT: Duration = Duration::from_secs(4);

/// A node whose session was opened or closed.
pub(crate) struct Peer {
    /// Which one.
    pub(crate) node: NodeId,
    /// What it is.
    pub(crate) role: Role,
}

impl From<&Handshake> for Peer {
    fn from(handshake: &Handshake) -> Peer {
        Peer {
            node: handshake.node,
            role: handshake.role,
        }
    }
}

/// The sessions of this node.
pub(crate) struct PeerSessions {
    dialer: Dialer,
    /// Known ones; a session with each is wanted.
    controllers: BTreeSet<NodeId>,
    sessions: BTreeMap<SessionId, Session>,
    /// The newest session with each node.
    by_node: BTreeMap<NodeId, SessionId>,
    /// Queries for gateways with which no session stands yet.
    waiting_queries: BTreeMap<NodeId, Vec<Message>>,
    /// When each gateway was queried last.
    last_queries: BTreeMap<NodeId, Timestamp>,
}

impl PeerSessions {
    /// No sessions yet.
    pub(crate) fn new(dialer: Dialer) -> PeerSessions {
        PeerSessions {
            dialer,
            controllers: BTreeSet::new(),
            sessions: BTreeMap::new(),
            by_node: BTreeMap::new(),
            waiting_queries: BTreeMap::new(),
            last_queries: BTreeMap::new(),
        }
    }

    /// Controllers that sessions are to be held with.
    pub(crate) fn add_controllers(&mut self, nodes: impl IntoIterator<Item = NodeId>) {
        for node in nodes {
            if self.controllers.len() < MAX_CONTROLLERS {
                self.controllers.insert(node);
            }
        }
    }

    /// Dials the controllers that no session stands with.
    pub(crate) fn dial_missing_controllers(&self) {
        for node in &self.controllers {
            if !self.by_node.contains_key(node) {
                self.dialer.dial(*node);
            }
        }
    }

    /// Closes sessions with gateways that were not queried for a while. Who waits for an answer has a time-out of its own.
    pub(crate) fn close_unused(&mut self, now: Timestamp) {
        let unused: Vec<NodeId> = self
            .last_queries
            .iter()
            .filter(|(_, queried_at)| now > **queried_at + UNUSED_SESSION_TIMEOUT)
            .map(|(node, _)| *node)
            .collect();
        for node in unused {
            self.last_queries.remove(&node);
            self.waiting_queries.remove(&node);
            if let Some(session) = self.session_with(node) {
                session.close();
            }
        }
    }

    /// A session was opened: sends the queries that waited for it.
    pub(crate) fn opened(&mut self, session: Session) -> Peer {
        let peer = Peer::from(&session.peer);
        let queries = self.waiting_queries.remove(&peer.node);
        for query in queries.iter().flatten() {
            session.send(query);
        }
        self.by_node.insert(peer.node, session.id);
        self.sessions.insert(session.id, session);
        peer
    }

    /// A session was closed. Returns the node that is no longer connected, if this was the newest session with it.
    pub(crate) fn closed(&mut self, id: SessionId) -> Option<Peer> {
        let session = self.sessions.remove(&id)?;
        let peer = Peer::from(&session.peer);
        if self.by_node.get(&peer.node) != Some(&id) {
            return None;
        }
        self.by_node.remove(&peer.node);
        Some(peer)
    }

    /// The node on the other side of a session.
    pub(crate) fn peer(&self, id: SessionId) -> Option<Peer> {
        self.sessions
            .get(&id)
            .map(|session| Peer::from(&session.peer))
    }

    /// Sends a message on a session, if that still stands.
    pub(crate) fn reply(&self, id: SessionId, message: &Message) {
        if let Some(session) = self.sessions.get(&id) {
            session.send(message);
        }
    }

    /// Sends a message to a node, if a session with it stands.
    pub(crate) fn send(&self, node: NodeId, message: &Message) {
        if let Some(session) = self.session_with(node) {
            session.send(message);
        }
    }

    /// Sends a query to another gateway; a session is opened where none stands.
    pub(crate) fn query(&mut self, now: Timestamp, node: NodeId, message: Message) {
        self.last_queries.insert(node, now);
        if let Some(session) = self.session_with(node) {
            return session.send(&message);
        }
        let queries = self.waiting_queries.entry(node).or_default();
        if queries.len() < MAX_WAITING_QUERIES {
            queries.push(message);
        }
        self.dialer.dial(node);
    }

    fn session_with(&self, node: NodeId) -> Option<&Session> {
        let id = self.by_node.get(&node)?;
        self.sessions.get(id)
    }
}
