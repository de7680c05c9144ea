//! Changes of the voting set: a member that is missed, that ends, or whose disk refuses writes is replaced by a standby; where too few members are
//! left, one is added.

use super::Membership;
use crate::context::Context;
use rushcourse_messages::VotingSet;
use rushcourse_types::{Epoch, NodeId, Timestamp};
use std::sync::Arc;
use std::time::Duration;

/// What each rank adds before a change is proposed, so that one proposer begins.
const CHANGE_DELAY_PER_RANK: Duration = Duration::from_millis(300);
/// Share of `catch_up_s`, in tenths, for which a voter is missed before a standby takes its place. The rest is left for
/// snapshots, so that the next loss is tolerated `catch_up_s` after the first; a shorter absence (a restart, a freeze, a
/// short partition) changes nothing.
const ABSENCE_TENTHS_OF_CATCH_UP: u32 = 6;
/// Voters that are wanted at least: fewer can't lose one.
const MIN_VOTERS: usize = 3;

/// A change of the voting set that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct VotingSetChange {
    /// The set that follows.
    pub next: VotingSet,
    /// The standby that becomes a member.
    pub joining: NodeId,
    /// The member whose place it takes; `None`: it is added.
    pub removed: Option<NodeId>,
}

impl Membership {
    /// The change that this replica is to make now, if there is one.
    pub fn due_change(&self, now: Timestamp) -> Option<VotingSetChange> {
        if !self.is_voter() || !self.has_quorum_contact() || self.is_shutting_down {
            return None;
        }
        let removed = self.overdue_member(now);
        let wanted = MIN_VOTERS.max(2 * self.setup.tolerated_losses + 1);
        if removed.is_none() && self.voting_set.members.len() >= wanted {
            return None;
        }
        let joining = self.best_standby(removed)?;
        let staying = self.voting_set.members.iter().copied();
        let staying = staying.filter(|member| Some(*member) != removed);
        let mut members: Vec<NodeId> = staying.chain([joining]).collect();
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

    /// The member whose removal has been due for longest.
    fn overdue_member(&self, now: Timestamp) -> Option<NodeId> {
        let due = |member: &NodeId| Some((self.removal_due_at(*member)?, *member));
        let members = self.voting_set.members.iter();
        let overdue = members.filter_map(due).filter(|(due_at, _)| now >= *due_at);
        overdue.min().map(|(_, member)| member)
    }

    /// When this replica is to propose the removal of a member; `None`: it is reachable and its disk takes writes, so that
    /// it stays.
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

    /// The standby to add first: of a zone with the fewest voters.
    fn best_standby(&self, removed: Option<NodeId>) -> Option<NodeId> {
        let members = self.voting_set.members.iter();
        let staying = members.filter(|member| Some(**member) != removed);
        let zones: Vec<&Arc<str>> = staying.filter_map(|member| self.zone_of(*member)).collect();
        let voters_in_zone = |standby: NodeId| {
            let zone = self.zone_of(standby);
            zones.iter().filter(|other| Some(**other) == zone).count()
        };
        let usable = self
            .standbys()
            .filter(|standby| self.peers.is_disk_usable(*standby));
        usable.min_by_key(|standby| (voters_in_zone(*standby), *standby))
    }

    fn zone_of(&self, node: NodeId) -> Option<&Arc<str>> {
        if node == self.setup.node {
            Some(&self.setup.zone)
        } else {
            self.peers.zone(node)
        }
    }

    /// Whether this replica, asked for a promise, agrees to the removal of a member: not while it is in session with a
    /// member that does not shut down and whose disk takes writes.
    pub fn may_remove(&self, member: Option<NodeId>) -> bool {
        match member {
            None => true,
            Some(member) if member == self.setup.node => self.is_shutting_down,
            Some(member) => {
                self.peers.is_shutting_down(member)
                    || !self.peers.is_connected(member)
                    || !self.peers.is_disk_usable(member)
            }
        }
    }

    /// Whether a standby holds what voters of this set hold.
    pub fn is_ready_to_join(&self, standby: NodeId) -> bool {
        self.standbys.is_ready(standby, self.voting_set.epoch)
    }

    /// Asks a standby to become a learner, at intervals.
    pub fn invite(&mut self, context: &mut Context, standby: NodeId) {
        self.standbys
            .invite(context, standby, self.voting_set.epoch);
    }

    /// A standby reports that it holds what voters of a set hold.
    pub fn standby_ready(&mut self, standby: NodeId, epoch: Epoch) {
        self.standbys.mark_ready(standby, epoch);
    }
}
