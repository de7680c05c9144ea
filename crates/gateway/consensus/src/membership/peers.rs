//! The other controllers, as known from the sessions with them.

use rushcourse_messages::VotingSet;
use rushcourse_types::{NodeId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Connection state, disk state and announced shutdowns of the other controllers.
#[derive(Clone, Debug, Default)]
pub(super) struct Peers {
    /// Connected controllers and their zones.
    connected: BTreeMap<NodeId, Arc<str>>,
    last_connected_at: Timestamp,
    /// Disconnected members of the voting set, and the time at which each lost its session.
    absent_since: BTreeMap<NodeId, Timestamp>,
    /// Connected controllers whose disks refuse writes, and the time of the first report of that.
    unusable_disks: BTreeMap<NodeId, Timestamp>,
    shutting_down: BTreeSet<NodeId>,
}

impl Peers {
    pub(super) fn connect(&mut self, now: Timestamp, peer: NodeId, zone: Arc<str>) {
        self.connected.insert(peer, zone);
        self.absent_since.remove(&peer);
        self.shutting_down.remove(&peer);
        self.last_connected_at = now;
    }

    /// Handles the loss of a session. The time of absence is tracked for members only.
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

    pub(super) fn mark_shutting_down(&mut self, peer: NodeId) {
        if self.is_connected(peer) {
            self.shutting_down.insert(peer);
        }
    }

    pub(super) fn disk_reported(&mut self, now: Timestamp, peer: NodeId, is_usable: bool) {
        if is_usable {
            self.unusable_disks.remove(&peer);
        } else if self.is_connected(peer) {
            self.unusable_disks.entry(peer).or_insert(now);
        }
    }

    /// Whether a controller's disk accepts writes; true unless the controller reported otherwise.
    pub(super) fn is_disk_usable(&self, node: NodeId) -> bool {
        !self.unusable_disks.contains_key(&node)
    }

    /// Time at which a connected controller first reported that its disk refuses writes.
    pub(super) fn disk_unusable_since(&self, node: NodeId) -> Option<Timestamp> {
        self.unusable_disks.get(&node).copied()
    }

    /// Stops tracking the absence of controllers that are no longer members.
    pub(super) fn retain_absent_members(&mut self, voting_set: &VotingSet) {
        self.absent_since
            .retain(|node, _| voting_set.contains(*node));
    }

    pub(super) fn is_connected(&self, node: NodeId) -> bool {
        self.connected.contains_key(&node)
    }

    pub(super) fn is_shutting_down(&self, node: NodeId) -> bool {
        self.shutting_down.contains(&node)
    }

    /// Time at which a member lost its session; `None` if it is connected or was never connected.
    pub(super) fn absent_since(&self, node: NodeId) -> Option<Timestamp> {
        self.absent_since.get(&node).copied()
    }

    /// Time at which the latest session was established.
    pub(super) fn last_connected_at(&self) -> Timestamp {
        self.last_connected_at
    }

    pub(super) fn zone(&self, node: NodeId) -> Option<&Arc<str>> {
        self.connected.get(&node)
    }

    /// Connected controllers in ascending order of address.
    pub(super) fn connected(&self) -> impl Iterator<Item = NodeId> {
        self.connected.keys().copied()
    }

    pub(super) fn zones(&self) -> &BTreeMap<NodeId, Arc<str>> {
        &self.connected
    }
}
