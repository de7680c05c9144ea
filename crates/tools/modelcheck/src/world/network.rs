//! Links between nodes, and sessions of controllers.

use rushcourse_messages::Message;
use rushcourse_types::{NodeId, SessionId};
use std::collections::{BTreeMap, VecDeque};

/// One direction between two nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Link {
    pub from: NodeId,
    pub to: NodeId,
}

impl Link {
    pub(super) fn reversed(self) -> Link {
        Link {
            from: self.to,
            to: self.from,
        }
    }

    /// The same for both directions.
    fn pair(self) -> Link {
        Link {
            from: self.from.min(self.to),
            to: self.from.max(self.to),
        }
    }
}

/// What is on the way from one node to another.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Packet {
    Message(Message),
    /// The end of a session, as the receiver will read it.
    Disconnected,
    /// The beginning of a session, as the receiver will read it.
    Connected(SessionId),
}

/// What is on the way, and the sessions that stand.
#[derive(Clone, Debug, Default)]
pub(super) struct Network {
    links: BTreeMap<Link, VecDeque<Packet>>,
    /// By both ends, the lower one first.
    sessions: BTreeMap<Link, SessionId>,
    last_session: SessionId,
}

impl Network {
    /// Links on which something is on the way.
    pub(super) fn busy_links(&self) -> impl Iterator<Item = Link> {
        let busy = self.links.iter().filter(|(_, queue)| !queue.is_empty());
        busy.map(|(link, _)| *link)
    }

    pub(super) fn push(&mut self, link: Link, packet: Packet) {
        self.links.entry(link).or_default().push_back(packet);
    }

    /// Adds a message, unless the last one on the way is the same. `is_kept`: it is not lost at once.
    pub(super) fn push_message(&mut self, link: Link, message: Message, is_kept: bool) {
        let packet = Packet::Message(message);
        let queue = self.links.entry(link).or_default();
        if is_kept && queue.back() != Some(&packet) {
            queue.push_back(packet);
        }
    }

    /// Takes the oldest packet off a link.
    pub(super) fn pop(&mut self, link: Link) -> Option<Packet> {
        self.links.get_mut(&link)?.pop_front()
    }

    /// What is on the way in both directions is lost.
    pub(super) fn drop_between(&mut self, link: Link) {
        self.links.remove(&link);
        self.links.remove(&link.reversed());
    }

    /// What is on the way to a node is lost. What it sent to gateways may lie in their own buffers, and still arrives.
    pub(super) fn drop_all_to(&mut self, node: NodeId) {
        let to_node = self.links.iter_mut().filter(|(link, _)| link.to == node);
        to_node.for_each(|(_, queue)| queue.clear());
    }

    pub(super) fn connect(&mut self, link: Link) -> SessionId {
        self.last_session = self.last_session.next();
        self.sessions.insert(link.pair(), self.last_session);
        self.last_session
    }

    pub(super) fn disconnect(&mut self, link: Link) {
        self.sessions.remove(&link.pair());
    }

    /// The session that stands between two controllers.
    pub(super) fn session(&self, link: Link) -> Option<SessionId> {
        self.sessions.get(&link.pair()).copied()
    }
}
