//! A frontend director is a member while its session with a core director stands. Core directors tell each other
//! their sessions; what one of them told counts while the session with it stands.

use rushcourse_messages::NodeId;
use rushcourse_types::SessionId;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Default)]
pub struct Members {
    mine: BTreeMap<SessionId, NodeId>,
    told: BTreeMap<NodeId, BTreeSet<NodeId>>,
}

impl Members {
    /// A session of a frontend director with this core director.
    pub fn joined(&mut self, session: SessionId, node: NodeId) {
        self.mine.insert(session, node);
    }

    pub fn left(&mut self, session: SessionId) -> Option<NodeId> {
        self.mine.remove(&session)
    }

    pub fn node(&self, session: SessionId) -> Option<NodeId> {
        self.mine.get(&session).copied()
    }

    /// The newest session of a frontend director here.
    pub fn session(&self, node: NodeId) -> Option<SessionId> {
        self.mine.iter().rev().find(|m| *m.1 == node).map(|m| *m.0)
    }

    pub fn sessions(&self) -> impl Iterator<Item = SessionId> {
        self.mine.keys().copied()
    }

    pub fn here(&self) -> Vec<NodeId> {
        BTreeSet::from_iter(self.mine.values().copied())
            .into_iter()
            .collect()
    }

    /// What another core director told of its sessions.
    pub fn told(&mut self, peer: NodeId, nodes: Vec<NodeId>) {
        self.told.insert(peer, nodes.into_iter().collect());
    }

    pub fn forget(&mut self, peer: NodeId) {
        self.told.remove(&peer);
    }

    /// All frontend directors that are members.
    pub fn all(&self) -> BTreeSet<NodeId> {
        let told = self.told.values().flatten().copied();
        told.chain(self.mine.values().copied()).collect()
    }
}
