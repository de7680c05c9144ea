//! Sessions of a frontend director: to all core directors, and to other frontend ones while repeats are asked for.

use rushcourse_messages::{Handshake, Message, NodeId, Role};
use rushcourse_transport::{Dialer, Session};
use rushcourse_types::SessionId;
use std::collections::{BTreeMap, BTreeSet};

/// Core directors that are known of at most (ours).
const CORES_MOST: usize = 64;
/// Questions that wait for a session with another frontend director at most (ours).
const ASKS_MOST: usize = 256;
/// ms without a question after which a session with a frontend director is closed.
const UNUSED: u64 = 4_000;

pub struct Links {
    dialler: Dialer,
    cores: BTreeSet<NodeId>,
    sessions: BTreeMap<SessionId, Session>,
    by_node: BTreeMap<NodeId, SessionId>,
    /// Questions for frontend directors with whom no session stands yet.
    asks: BTreeMap<NodeId, Vec<Message>>,
    used: BTreeMap<NodeId, u64>,
}

impl Links {
    pub fn new(dialler: Dialer) -> Links {
        Links {
            dialler,
            cores: BTreeSet::new(),
            sessions: BTreeMap::new(),
            by_node: BTreeMap::new(),
            asks: BTreeMap::new(),
            used: BTreeMap::new(),
        }
    }

    pub fn know(&mut self, nodes: impl IntoIterator<Item = NodeId>) {
        for node in nodes {
            if self.cores.len() < CORES_MOST {
                self.cores.insert(node);
            }
        }
    }

    pub fn dial_missing(&mut self, now: u64) {
        let missing: Vec<NodeId> = self
            .cores
            .iter()
            .copied()
            .filter(|n| !self.by_node.contains_key(n))
            .collect();
        missing.into_iter().for_each(|n| self.dialler.dial(n));
        // A question whose director can't be reached is answered by its own time.
        let idle: Vec<NodeId> = self
            .used
            .iter()
            .filter(|u| now > u.1 + UNUSED)
            .map(|u| *u.0)
            .collect();
        for node in idle {
            self.used.remove(&node);
            self.asks.remove(&node);
            if let Some(session) = self.by_node.get(&node).and_then(|id| self.sessions.get(id)) {
                session.close();
            }
        }
    }

    /// The node of a session that now stands, with what it is.
    pub fn up(&mut self, session: Session) -> (NodeId, Role) {
        let (node, role) = (session.peer.node, session.peer.role);
        if let Some(asks) = self.asks.remove(&node) {
            asks.iter().for_each(|a| session.send(a));
        }
        self.by_node.insert(node, session.id);
        self.sessions.insert(session.id, session);
        (node, role)
    }

    /// Who is no longer reached, if this was the newest session with it.
    pub fn down(&mut self, id: SessionId) -> Option<(NodeId, Role)> {
        let session = self.sessions.remove(&id)?;
        let node = session.peer.node;
        if self.by_node.get(&node) != Some(&id) {
            return None;
        }
        self.by_node.remove(&node);
        Some((node, session.peer.role))
    }

    pub fn peer(&self, id: SessionId) -> Option<&Handshake> {
        self.sessions.get(&id).map(|s| &s.peer)
    }

    pub fn reply(&self, id: SessionId, message: &Message) {
        if let Some(session) = self.sessions.get(&id) {
            session.send(message);
        }
    }

    pub fn to(&self, node: NodeId, message: &Message) {
        if let Some(id) = self.by_node.get(&node) {
            self.reply(*id, message);
        }
    }

    /// A question to another frontend director; a session is made where none stands.
    pub fn ask(&mut self, now: u64, node: NodeId, message: Message) {
        self.used.insert(node, now);
        if self.by_node.contains_key(&node) {
            return self.to(node, &message);
        }
        let asks = self.asks.entry(node).or_default();
        if asks.len() < ASKS_MOST {
            asks.push(message);
        }
        self.dialler.dial(node);
    }
}
