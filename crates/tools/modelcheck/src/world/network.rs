//! Message queues between nodes, and sessions between controllers.

use rushcourse_messages::Message;
use rushcourse_types::{NodeId, SessionId};
use std::collections::{BTreeMap, VecDeque};

/// Ordered pair of nodes that identifies a message queue.
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

    /// Returns the same link for both directions, with the lower node id first.
    fn pair(self) -> Link {
        Link {
            from: self.from.min(self.to),
            to: self.from.max(self.to),
        }
    }
}

/// An element of a message queue.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Packet {
    Message(Message),
    /// Informs the receiver that the session was closed, in order with the messages.
    Disconnected,
    /// Informs the receiver that a session was established, in order with the messages.
    Connected(SessionId),
}

/// In-flight packets of all links and the current sessions.
#[derive(Clone, Debug, Default)]
pub(super) struct Network {
    links: BTreeMap<Link, VecDeque<Packet>>,
    /// Sessions by [`Link::pair`].
    sessions: BTreeMap<Link, SessionId>,
    last_session: SessionId,
}

impl Network {
    /// Links with at least one in-flight packet.
    pub(super) fn busy_links(&self) -> impl Iterator<Item = Link> {
        let busy = self.links.iter().filter(|(_, queue)| !queue.is_empty());
        busy.map(|(link, _)| *link)
    }

    pub(super) fn push(&mut self, link: Link, packet: Packet) {
        self.links.entry(link).or_default().push_back(packet);
    }

    /// Appends a message unless the last packet in the queue is equal to it. The message is dropped if `is_kept` is
    /// false.
    pub(super) fn push_message(&mut self, link: Link, message: Message, is_kept: bool) {
        let packet = Packet::Message(message);
        let queue = self.links.entry(link).or_default();
        if is_kept && queue.back() != Some(&packet) {
            queue.push_back(packet);
        }
    }

    /// Removes and returns the oldest packet of a link.
    pub(super) fn pop(&mut self, link: Link) -> Option<Packet> {
        self.links.get_mut(&link)?.pop_front()
    }

    /// Drops all in-flight packets in both directions.
    pub(super) fn drop_between(&mut self, link: Link) {
        self.links.remove(&link);
        self.links.remove(&link.reversed());
    }

    /// Drops all in-flight packets to a node. Packets that the node has sent stay in flight.
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

    /// Returns the current session of two controllers, as seen by the network.
    pub(super) fn session(&self, link: Link) -> Option<SessionId> {
        self.sessions.get(&link.pair()).copied()
    }
}
