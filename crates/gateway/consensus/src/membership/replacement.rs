//! Changes of the voting set: a standby replaces a member that is absent, is shutting down or has a disk that refuses
//! writes. A standby is added if the set has too few members.

use super::Membership;
use crate::context::Context;
use rushcourse_messages::VotingSet;
use rushcourse_types::{Epoch, NodeId, Timestamp};
use std::sync::Arc;
use std::time::Duration;

/// Delay per rank before a change is proposed, so that replicas don't compete.
const CHANGE_DELAY_PER_RANK: Duration = Duration::from_millis(300);
/// Tenths of `catch_up_s` for which a member may be absent before a standby replaces it. A restart, a stall or a short
/// partition thus changes nothing. The remaining time is left for snapshots, so that the next loss is tolerated
/// `catch_up_s` after the first one.
const ABSENCE_TENTHS_OF_CATCH_UP: u32 = 6;
/// Minimum size of the voting set; a smaller one doesn't tolerate the loss of a member.
const MIN_VOTERS: usize = 3;

/// A change of the voting set that replaces a member or adds one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct VotingSetChange {
    /// The proposed voting set.
    pub next: VotingSet,
    /// The standby that becomes a member.
    pub joining: NodeId,
    /// The member that is replaced; `None` if the standby is added.
    pub removed: Option<NodeId>,
}

impl Membership {
    /// The change that this replica has to propose now, if any.
    pub fn due_change(&self, now: Timestamp) -> Option<VotingSetChange> {
        if !self.is_voter() || !self.has_quorum_contact() || self.is_shutting_down {
            return None;
        }
        let removed = self.overdue_member(now);
        let target_size = MIN_VOTERS.max(2 * self.setup.tolerated_losses + 1);
        if removed.is_none() && self.voting_set.members.len() >= target_size {
            return None;
        }
        let joining = self.best_standby(removed)?;
        let remaining = self.voting_set.members.iter().copied();
        let remaining = remaining.filter(|member| Some(*member) != removed);
        let mut members: Vec<NodeId> = remaining.chain([joining]).collect();
        members.sort_unstable();
        Some(VotingSetChange {
            next: VotingSet {
                epoch: self.voting_set.epoch.next(),
                members,
            },
            joining,
            removed,
        })
    }

    /// The member whose removal has been due for the longest time.
    fn overdue_member(&self, now: Timestamp) -> Option<NodeId> {
        let due = |member: &NodeId| Some((self.removal_due_at(*member)?, *member));
        let members = self.voting_set.members.iter();
        let overdue = members.filter_map(due).filter(|(due_at, _)| now >= *due_at);
        overdue.min().map(|(_, member)| member)
    }

    /// Time at which this replica proposes the removal of a member; `None` if the member is reachable and its disk
    /// accepts writes.
    fn removal_due_at(&self, member: NodeId) -> Option<Timestamp> {
        let delay = CHANGE_DELAY_PER_RANK * self.rank();
        if self.peers.is_shutting_down(member) {
            return Some(Timestamp::ZERO + delay);
        }
        if let Some(since) = self.peers.disk_unusable_since(member) {
            return Some(since + self.max_absence() + delay);
        }
        if self.is_reachable(member) {
            return None;
        }
        let absent_since = self.peers.absent_since(member).or(self.started_at);
        Some(absent_since.unwrap_or_default() + self.max_absence() + delay)
    }

    fn max_absence(&self) -> Duration {
        self.setup.catch_up * ABSENCE_TENTHS_OF_CATCH_UP / 10
    }

    /// The connected standby with a usable disk whose zone has the fewest remaining voters; ties go to the lowest
    /// address.
    fn best_standby(&self, removed: Option<NodeId>) -> Option<NodeId> {
        let members = self.voting_set.members.iter();
        let remaining = members.filter(|member| Some(**member) != removed);
        let zones: Vec<&Arc<str>> = remaining
            .filter_map(|member| self.zone_of(*member))
            .collect();
        let voters_in_zone = |standby: NodeId| {
            let zone = self.zone_of(standby);
            zones.iter().filter(|other| Some(**other) == zone).count()
        };
        let usable_standbys = self
            .standbys()
            .filter(|standby| self.peers.is_disk_usable(*standby));
        usable_standbys.min_by_key(|standby| (voters_in_zone(*standby), *standby))
    }

    fn zone_of(&self, node: NodeId) -> Option<&Arc<str>> {
        if node == self.setup.node {
            Some(&self.setup.zone)
        } else {
            self.peers.zone(node)
        }
    }

    /// Whether this replica, as an acceptor, agrees to the removal of a member. It refuses while it is connected to the
    /// member, unless the member is shutting down or its disk refuses writes.
    pub fn may_remove(&self, member: Option<NodeId>) -> bool {
        match member {
            None => true,
            Some(member) => self.is_leaving(member) || !self.peers.is_disk_usable(member),
        }
    }

    /// Whether this replica, as an acceptor, agrees that another controller takes over from the holder of the usage
    /// duty. It refuses while it is connected to the holder, unless the holder is shutting down.
    pub fn may_replace_holder(&self, holder: Option<NodeId>) -> bool {
        holder.is_none_or(|holder| self.is_leaving(holder))
    }

    /// Whether a controller is unreachable or shutting down.
    fn is_leaving(&self, node: NodeId) -> bool {
        if node == self.setup.node {
            return self.is_shutting_down;
        }
        self.peers.is_shutting_down(node) || !self.peers.is_connected(node)
    }

    /// Whether a standby has reported complete state for the current voting set.
    pub fn is_ready_to_join(&self, standby: NodeId) -> bool {
        self.standbys.is_ready(standby, self.voting_set.epoch)
    }

    /// Invites a standby to learn, at most once per `standbys::INVITATION_INTERVAL`.
    pub fn invite(&mut self, context: &mut Context, standby: NodeId) {
        self.standbys
            .invite(context, standby, self.voting_set.epoch);
    }

    /// Records that a standby has complete state for the voting set of an epoch.
    pub fn standby_ready(&mut self, standby: NodeId, epoch: Epoch) {
        self.standbys.mark_ready(standby, epoch);
    }
}
