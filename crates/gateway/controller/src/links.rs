//! Sessions by who is on the other side, and who is to be dialled.

use rushcourse_messages::{Handshake, Incarnation, Message, NodeId, Role};
use rushcourse_transport::{Dialer, Session, SessionFactory};
use rushcourse_types::SessionId;
use std::collections::{BTreeMap, BTreeSet};

/// Core directors that are known of at most: far over what a deployment has (ours).
const KNOWN_MOST: usize = 64;

pub struct Links {
    dialer: Dialer,
    known: BTreeSet<NodeId>,
    sessions: BTreeMap<SessionId, Session>,
    /// Core directors: life and sessions, newest last.
    peers: BTreeMap<NodeId, (Incarnation, Vec<SessionId>)>,
}

/// What a session's coming or going means.
#[derive(Debug, PartialEq)]
pub enum Change {
    PeerUp(NodeId),
    PeerDown(NodeId),
    FrontUp(SessionId),
    FrontDown(SessionId),
}

impl Links {
    pub fn new(dialer: Dialer) -> Links {
        let (known, sessions, peers) = (BTreeSet::new(), BTreeMap::new(), BTreeMap::new());
        Links {
            dialer,
            known,
            sessions,
            peers,
        }
    }

    pub fn factory(&self) -> &SessionFactory {
        self.dialer.factory()
    }

    pub fn know(&mut self, nodes: impl IntoIterator<Item = NodeId>) -> bool {
        let before = self.known.len();
        for node in nodes {
            if node != self.dialer.local_handshake().node && self.known.len() < KNOWN_MOST {
                self.known.insert(node);
            }
        }
        self.known.len() > before
    }

    pub fn known(&self) -> Vec<NodeId> {
        self.known
            .iter()
            .copied()
            .chain([self.dialer.local_handshake().node])
            .collect()
    }

    /// Dials those that are known and not in session. Of two, the lower address dials; the other one only after a
    /// while (`patient` turns), if it is not dialled itself.
    pub fn dial_missing(&mut self, turn: u64) {
        for node in self
            .known
            .iter()
            .copied()
            .filter(|n| !self.peers.contains_key(n))
        {
            if self.dialer.local_handshake().node < node || turn % 4 == 3 {
                self.dialer.dial(node);
            }
        }
    }

    pub fn up(&mut self, session: Session) -> Vec<Change> {
        let (id, peer) = (session.id, session.peer.clone());
        self.sessions.insert(id, session);
        if peer.role == Role::Gateway {
            return vec![Change::FrontUp(id)];
        }
        self.know([peer.node]);
        let mut changes = Vec::new();
        if let Some((incarnation, of)) = self.peers.get_mut(&peer.node) {
            if *incarnation == peer.incarnation {
                of.push(id);
                return changes;
            }
            // It started anew: what its last life said no longer counts.
            for old in std::mem::take(of) {
                if let Some(session) = self.sessions.remove(&old) {
                    session.close();
                }
            }
            changes.push(Change::PeerDown(peer.node));
        }
        self.peers.insert(peer.node, (peer.incarnation, vec![id]));
        changes.push(Change::PeerUp(peer.node));
        changes
    }

    pub fn down(&mut self, id: SessionId) -> Option<Change> {
        let session = self.sessions.remove(&id)?;
        if session.peer.role == Role::Gateway {
            return Some(Change::FrontDown(id));
        }
        let node = session.peer.node;
        let (_, of) = self.peers.get_mut(&node)?;
        of.retain(|s| *s != id);
        if of.is_empty() {
            self.peers.remove(&node);
            return Some(Change::PeerDown(node));
        }
        None
    }

    pub fn session(&self, id: SessionId) -> Option<&Session> {
        self.sessions.get(&id)
    }

    /// The zone of a core director that is in session.
    pub fn zone(&self, node: NodeId) -> Option<std::sync::Arc<str>> {
        let session = self.peers.get(&node).and_then(|peer| peer.1.last())?;
        self.sessions
            .get(session)
            .map(|s| s.peer.zone.as_str().into())
    }

    pub fn to(&self, id: SessionId, message: &Message) {
        if let Some(session) = self.sessions.get(&id) {
            session.send(message);
        }
    }

    pub fn to_peer(&self, node: NodeId, message: &Message) {
        if let Some(id) = self.peers.get(&node).and_then(|p| p.1.last()) {
            self.to(*id, message);
        }
    }

    pub fn to_peers(&self, message: &Message) {
        self.peers
            .keys()
            .for_each(|node| self.to_peer(*node, message));
    }

    /// Sessions of gateways.
    pub fn fronts(&self) -> impl Iterator<Item = SessionId> {
        self.sessions
            .values()
            .filter(|s| s.peer.role == Role::Gateway)
            .map(|s| s.id)
    }

    pub fn to_fronts(&self, message: &Message) {
        self.fronts().for_each(|session| self.to(session, message));
    }

    pub fn view(&self) -> Vec<(SessionId, Handshake)> {
        self.sessions
            .values()
            .map(|s| (s.id, s.peer.clone()))
            .collect()
    }
}
