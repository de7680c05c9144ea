//! The voting set, who of it has complete state, and how it changes.
//!
//! The settings do not say how many controllers there are. At the first start the seed with the lowest address proposes
//! the set of epoch 1, once, of the controllers that are connected; its own disk holds it before it is sent, so there is
//! one epoch 1.
//! From then on the set of epoch n + 1 is chosen by a majority of that of epoch n, by ballots, and differs from it by
//! one member that takes the place of another, or is added. Votes, promises and claims carry the epoch, and a replica
//! that has adopted a set refuses those of an earlier one.
//!
//! A member *has complete state* if it has been a member without a gap since it last had, with its disk; or has
//! installed snapshots. One without (a newcomer, one that lost its disk, one that was out of the set for a while)
//! casts no vote until `VotingSet::snapshot_quorum` other members with complete state, which have adopted this very set,
//! have sent it their snapshots.
//!
//! **Invariant.** With `f` members that lack state: each claim that was won, and each proposal that was chosen, in this
//! set or an earlier one, is held by at least `majority - f` of the members with complete state.
//! - Winning or choosing: a majority votes, and only members with complete state do.
//! - A disk lost: one holder less, `f` one more. Snapshots installed: they are of `size - majority + 1` members with
//!   complete state; of these `size - f` at least `majority - f` hold it; so one of the senders does, and `f` is one
//!   less.
//! - A member replaced: one holder less at most, and the newcomer lacks state: `f` one more. One added: the majority
//!   grows by one at most, and `f` by one.
//! - A vote of epoch n that is given after its voter's snapshot in epoch n + 1 does not exist: the sender has adopted
//!   n + 1.
//!
//! So two claims of one key can't both be won, within a set or across sets: the second one needs a majority of members
//! with complete state, `size - f` of them, and shares one with the holders of the first.
//!
//! * `peers.rs`: the other controllers, by this replica's sessions with them.
//! * `first_set.rs`: the set of epoch 1.
//! * `replacement.rs`, `standbys.rs`: how one set follows another.
//! * `learning.rs`, `progress.rs`: how this replica gets complete state where it lacks it.

mod first_set;
mod learning;
mod peers;
mod progress;
pub(crate) mod replacement;
mod standbys;

use crate::context::{Context, PendingWrite};
use crate::durable_state::{PruneBounds, WriteOperation};
use crate::effect::Effect;
use crate::log_event::LogEvent;
use crate::setup::Setup;
use peers::Peers;
use progress::SnapshotProgress;
use rushcourse_messages::{Message, VotingSet};
use rushcourse_types::{ConfigurationVersion, Epoch, NodeId, Timestamp};
use standbys::Standbys;
use std::sync::Arc;
use std::time::Duration;

/// The voting set that this replica counts in, and its own place in it.
#[derive(Clone, Debug)]
pub(crate) struct Membership {
    setup: Setup,
    voting_set: VotingSet,
    /// The epoch of a set that is being written, or of the last one that was.
    written_epoch: Epoch,
    has_complete_state: bool,
    progress: SnapshotProgress,
    /// When the first tick of this process came.
    started_at: Option<Timestamp>,
    peers: Peers,
    standbys: Standbys,
    is_shutting_down: bool,
}

impl Membership {
    /// Membership at the start, with what the state file holds.
    pub fn new(setup: Setup, voting_set: VotingSet, has_complete_state: bool) -> Membership {
        Membership {
            setup,
            voting_set,
            written_epoch: Epoch::NONE,
            has_complete_state,
            progress: SnapshotProgress::default(),
            started_at: None,
            peers: Peers::default(),
            standbys: Standbys::default(),
            is_shutting_down: false,
        }
    }

    /// The voting set that this replica counts in.
    pub fn voting_set(&self) -> &VotingSet {
        &self.voting_set
    }

    /// Whether this replica holds what a voter of its set has to hold.
    pub fn has_complete_state(&self) -> bool {
        self.has_complete_state
    }

    /// Whether this replica is a member of its set.
    pub fn is_member(&self) -> bool {
        self.voting_set.contains(self.setup.node)
    }

    /// Whether this replica casts votes in its set.
    pub fn is_voter(&self) -> bool {
        self.has_complete_state && !self.voting_set.epoch.is_none() && self.is_member()
    }

    /// The epoch of the set that this replica votes in.
    pub fn voting_epoch(&self) -> Option<Epoch> {
        self.is_voter().then_some(self.voting_set.epoch)
    }

    /// The controllers in session with this replica.
    pub fn connected_peers(&self) -> Vec<NodeId> {
        self.peers.connected().collect()
    }

    fn is_reachable(&self, node: NodeId) -> bool {
        node == self.setup.node || self.peers.is_connected(node)
    }

    /// Members of the set that are in session with this replica, itself counted.
    pub fn reachable_members(&self) -> Vec<NodeId> {
        let members = self.voting_set.members.iter().copied();
        members
            .filter(|member| self.is_reachable(*member))
            .collect()
    }

    /// Whether a majority of the set is in session with this replica, itself counted.
    pub fn has_quorum_contact(&self) -> bool {
        !self.voting_set.epoch.is_none()
            && self.reachable_members().len() >= self.voting_set.majority()
    }

    /// This replica's place among the members that are in session; standbys come last.
    pub fn rank(&self) -> u32 {
        let reached = self.reachable_members();
        let place = reached.iter().position(|node| *node == self.setup.node);
        place.unwrap_or(reached.len()) as u32
    }

    /// Since the first tick of this process.
    fn uptime(&self, now: Timestamp) -> Duration {
        now.since(self.started_at.unwrap_or(now))
    }

    /// Connected controllers that are no members and do not shut down.
    fn standbys(&self) -> impl Iterator<Item = NodeId> {
        self.peers
            .connected()
            .filter(|node| !self.voting_set.contains(*node) && !self.peers.is_shutting_down(*node))
    }

    /// A session with another controller stands: it gets this replica's voting set.
    pub fn peer_connected(&mut self, context: &mut Context, peer: NodeId, zone: Arc<str>) {
        self.peers.connect(context.now, peer, zone);
        if !self.voting_set.epoch.is_none() {
            context.send(peer, Message::VotingSet(self.voting_set.clone()));
        }
        if self.is_shutting_down {
            context.send(peer, Message::ShuttingDown);
        }
    }

    /// The session with another controller broke.
    pub fn peer_disconnected(&mut self, now: Timestamp, peer: NodeId) {
        self.standbys.forget(peer);
        self.peers
            .disconnect(now, peer, self.voting_set.contains(peer));
    }

    /// Another controller announces its shutdown.
    pub fn peer_shutting_down(&mut self, peer: NodeId) {
        self.peers.mark_shutting_down(peer);
    }

    /// Announces that this replica is about to end: the others may put a standby in its place.
    pub fn shut_down(&mut self, context: &mut Context) {
        self.is_shutting_down = true;
        for peer in self.connected_peers() {
            context.send(peer, Message::ShuttingDown);
        }
    }

    /// Whether nothing is gained by waiting: this replica is no member, or no standby could take its place.
    pub fn may_shut_down(&self) -> bool {
        !self.is_member() || self.standbys().next().is_none()
    }

    /// Writes a set that another replica has adopted, or that is chosen: it is adopted once the disk holds it.
    pub fn learn_voting_set(&mut self, context: &mut Context, voting_set: VotingSet) {
        if voting_set.epoch > self.voting_set.epoch && voting_set.epoch > self.written_epoch {
            self.write(context, voting_set);
        }
    }

    /// Whether this replica keeps complete state as a member of `next`. At the first start there is nothing that it
    /// could have lost: no claim was ever granted.
    fn keeps_complete_state(&self, next: &VotingSet) -> bool {
        let epoch = self.voting_set.epoch;
        let is_next = next.epoch == epoch.next();
        let is_first = self.setup.is_first_start && epoch.is_none() && is_next;
        let follows = !epoch.is_none() && is_next && self.is_member() && self.has_complete_state;
        next.contains(self.setup.node) && (is_first || follows)
    }

    fn write(&mut self, context: &mut Context, voting_set: VotingSet) {
        self.written_epoch = voting_set.epoch;
        let mark = if self.keeps_complete_state(&voting_set) {
            WriteOperation::MarkStateComplete
        } else {
            WriteOperation::MarkStateIncomplete
        };
        let decided = PruneBounds {
            versions_below: ConfigurationVersion::NONE,
            epochs_through: voting_set.epoch,
        };
        context.write(
            vec![
                WriteOperation::StoreVotingSet(voting_set.clone()),
                mark,
                WriteOperation::PruneRecords(decided),
            ],
            PendingWrite::VotingSet(voting_set),
        );
    }

    /// The disk refused a set: it is written again when the next message names it.
    pub fn write_refused(&mut self) {
        self.written_epoch = self.voting_set.epoch;
    }

    /// The disk holds a set. Whether this replica counts in it from now on.
    pub fn adopt(&mut self, context: &mut Context, voting_set: VotingSet) -> bool {
        if voting_set.epoch <= self.voting_set.epoch {
            return false;
        }
        self.has_complete_state = self.keeps_complete_state(&voting_set);
        self.voting_set = voting_set;
        self.progress.restart();
        self.standbys.forget_all();
        self.peers.forget_absent_but(&self.voting_set);
        // Gateways get it before any of their claims is answered with an abstention for its sake.
        context.push(Effect::VotingSetAdopted(self.voting_set.clone()));
        for peer in self.connected_peers() {
            context.send(peer, Message::VotingSet(self.voting_set.clone()));
        }
        context.log(LogEvent::VotingSetAdopted {
            voting_set: self.voting_set.clone(),
            has_complete_state: self.has_complete_state,
        });
        true
    }

    /// Proposes the first set once it is due.
    pub fn tick(&mut self, context: &mut Context) {
        self.started_at.get_or_insert(context.now);
        let has_set = !self.voting_set.epoch.is_none() || !self.written_epoch.is_none();
        let uptime = self.uptime(context.now);
        if !has_set && first_set::is_due(&self.setup, &self.peers, context.now, uptime) {
            let first = first_set::propose(&self.setup, &self.peers);
            self.write(context, first);
        }
    }
}
