//! Sessions with other nodes: permanent ones with all controllers, and temporary ones with gateways that are queried
//! for operations.

use rushcourse_messages::{Handshake, Message, Role};
use rushcourse_transport::{Dialer, Session};
use rushcourse_types::{NodeId, SessionId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Limit of known controllers; further ones are ignored.
const MAX_CONTROLLERS: usize = 64;
/// Limit of queries to one gateway that wait for a session; further ones are dropped.
const MAX_PENDING_QUERIES: usize = 256;
/// A session with another gateway is closed this long after the last query to it.
const IDLE_SESSION_TIMEOUT: Duration = Duration::from_secs(4);

/// The node at the other end of a session.
pub(crate) struct Peer {
    pub(crate) node: NodeId,
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

/// Open sessions of this node, and queries that wait for a session.
pub(crate) struct PeerSessions {
    dialer: Dialer,
    /// Known controllers, at most [`MAX_CONTROLLERS`]; a session with each is kept open.
    controllers: BTreeSet<NodeId>,
    sessions: BTreeMap<SessionId, Session>,
    /// The newest session with each node.
    by_node: BTreeMap<NodeId, SessionId>,
    /// Queries for gateways without an open session; sent once the session opens.
    pending_queries: BTreeMap<NodeId, Vec<Message>>,
    /// Gateways queried within [`IDLE_SESSION_TIMEOUT`].
    last_queried_at: BTreeMap<NodeId, Timestamp>,
}

impl PeerSessions {
    pub(crate) fn new(dialer: Dialer) -> PeerSessions {
        PeerSessions {
            dialer,
            controllers: BTreeSet::new(),
            sessions: BTreeMap::new(),
            by_node: BTreeMap::new(),
            pending_queries: BTreeMap::new(),
            last_queried_at: BTreeMap::new(),
        }
    }

    /// Adds controllers to keep sessions with, up to [`MAX_CONTROLLERS`].
    pub(crate) fn add_controllers(&mut self, nodes: impl IntoIterator<Item = NodeId>) {
        for node in nodes {
            if self.controllers.len() < MAX_CONTROLLERS {
                self.controllers.insert(node);
            }
        }
    }

    /// Dials the known controllers without an open session.
    pub(crate) fn dial_disconnected_controllers(&self) {
        for node in &self.controllers {
            if !self.by_node.contains_key(node) {
                self.dialer.dial(*node);
            }
        }
    }

    /// Closes sessions with gateways that were not queried for [`IDLE_SESSION_TIMEOUT`]. Queries time out earlier, so
    /// none is still waiting for a reply.
    pub(crate) fn close_idle_gateway_sessions(&mut self, now: Timestamp) {
        let unused: Vec<NodeId> = self
            .last_queried_at
            .iter()
            .filter(|(_, queried_at)| now > **queried_at + IDLE_SESSION_TIMEOUT)
            .map(|(node, _)| *node)
            .collect();
        for node in unused {
            self.last_queried_at.remove(&node);
            self.pending_queries.remove(&node);
            if let Some(session) = self.session_with(node) {
                session.close();
            }
        }
    }

    /// Adds a session and sends the queries that waited for it.
    pub(crate) fn session_opened(&mut self, session: Session) -> Peer {
        let peer = Peer::from(&session.peer);
        let queries = self.pending_queries.remove(&peer.node);
        for query in queries.iter().flatten() {
            session.send(query);
        }
        self.by_node.insert(peer.node, session.id);
        self.sessions.insert(session.id, session);
        peer
    }

    /// Removes a session. Returns its peer if this was the newest session with it, that is, if the peer is now
    /// disconnected.
    pub(crate) fn session_closed(&mut self, id: SessionId) -> Option<Peer> {
        let session = self.sessions.remove(&id)?;
        let peer = Peer::from(&session.peer);
        if self.by_node.get(&peer.node) != Some(&id) {
            return None;
        }
        self.by_node.remove(&peer.node);
        Some(peer)
    }

    /// Returns the zone of a peer, `None` if the session has been closed.
    pub(crate) fn zone(&self, id: SessionId) -> Option<&str> {
        let session = self.sessions.get(&id)?;
        Some(&session.peer.zone)
    }

    /// Returns the peer of a session, `None` if the session has been closed.
    pub(crate) fn peer(&self, id: SessionId) -> Option<Peer> {
        self.sessions
            .get(&id)
            .map(|session| Peer::from(&session.peer))
    }

    /// Sends a message on the session it replies to. Dropped if that session has been closed.
    pub(crate) fn reply(&self, id: SessionId, message: &Message) {
        if let Some(session) = self.sessions.get(&id) {
            session.send(message);
        }
    }

    /// Sends a message on the newest session with a node. Dropped if there is none.
    pub(crate) fn send(&self, node: NodeId, message: &Message) {
        if let Some(session) = self.session_with(node) {
            session.send(message);
        }
    }

    /// Sends a message to all known controllers with an open session.
    pub(crate) fn send_to_controllers(&self, message: &Message) {
        for node in &self.controllers {
            self.send(*node, message);
        }
    }

    /// Sends a query to another gateway. Without an open session, dials the gateway and sends the query once connected.
    pub(crate) fn query(&mut self, now: Timestamp, node: NodeId, message: Message) {
        self.last_queried_at.insert(node, now);
        if let Some(session) = self.session_with(node) {
            return session.send(&message);
        }
        let queries = self.pending_queries.entry(node).or_default();
        if queries.len() < MAX_PENDING_QUERIES {
            queries.push(message);
        }
        self.dialer.dial(node);
    }

    fn session_with(&self, node: NodeId) -> Option<&Session> {
        let id = self.by_node.get(&node)?;
        self.sessions.get(id)
    }
}
