//! The other controllers, by this replica's sessions with them.

use rushcourse_messages::VotingSet;
use rushcourse_types::{NodeId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The other controllers, by this replica's sessions with them.
#[derive(Clone, Debug, Default)]
pub(super) struct Peers {
    /// Controllers in session, and their zones.
    connected: BTreeMap<NodeId, Arc<str>>,
    last_connected_at: Timestamp,
    /// Members of the voting set that have lost their session.
    absent_since: BTreeMap<NodeId, Timestamp>,
    /// Controllers in session whose disks refuse writes, and since when that is known.
    unusable_disks: BTreeMap<NodeId, Timestamp>,
    /// Controllers that have announced their shutdown.
    shutting_down: BTreeSet<NodeId>,
}

impl Peers {
    pub(super) fn connect(&mut self, now: Timestamp, peer: NodeId, zone: Arc<str>) {
        self.connected.insert(peer, zone);
        self.absent_since.remove(&peer);
        self.shutting_down.remove(&peer);
        self.last_connected_at = now;
    }

    /// A session broke. Only members are missed.
    pub(super) fn disconnect(&mut self, now: Timestamp, peer: NodeId, is_member: bool) {
        self.connected.remove(&peer);
        self.unusable_disks.remove(&peer);
        if is_member {
            self.absent_since.insert(peer, now);
        } else {
            self.absent_since.remove(&peer);
            self.shutting_down.remove(&peer);
        }
    }

    /// A controller in session announces its shutdown.
    pub(super) fn mark_shutting_down(&mut self, peer: NodeId) {
        if self.is_connected(peer) {
            self.shutting_down.insert(peer);
        }
    }

    /// A controller in session reports whether its disk takes writes.
    pub(super) fn disk_reported(&mut self, now: Timestamp, peer: NodeId, is_usable: bool) {
        if is_usable {
            self.unusable_disks.remove(&peer);
        } else if self.is_connected(peer) {
            self.unusable_disks.entry(peer).or_insert(now);
        }
    }

    /// Whether nothing is known against a controller's disk.
    pub(super) fn is_disk_usable(&self, node: NodeId) -> bool {
        !self.unusable_disks.contains_key(&node)
    }

    /// Since when a controller in session is known to have a disk that refuses writes.
    pub(super) fn disk_unusable_since(&self, node: NodeId) -> Option<Timestamp> {
        self.unusable_disks.get(&node).copied()
    }

    /// Members of an earlier set are no longer missed.
    pub(super) fn forget_absent_but(&mut self, voting_set: &VotingSet) {
        self.absent_since
            .retain(|node, _| voting_set.contains(*node));
    }

    pub(super) fn is_connected(&self, node: NodeId) -> bool {
        self.connected.contains_key(&node)
    }

    pub(super) fn is_shutting_down(&self, node: NodeId) -> bool {
        self.shutting_down.contains(&node)
    }

    /// Since when a controller that was in session is missed.
    pub(super) fn absent_since(&self, node: NodeId) -> Option<Timestamp> {
        self.absent_since.get(&node).copied()
    }

    /// When a session last came to stand.
    pub(super) fn last_connected_at(&self) -> Timestamp {
        self.last_connected_at
    }

    pub(super) fn zone(&self, node: NodeId) -> Option<&Arc<str>> {
        self.connected.get(&node)
    }

    /// Controllers in session, in ascending order.
    pub(super) fn connected(&self) -> impl Iterator<Item = NodeId> {
        self.connected.keys().copied()
    }

    /// Controllers in session, and their zones.
    pub(super) fn zones(&self) -> &BTreeMap<NodeId, Arc<str>> {
        &self.connected
    }
}
