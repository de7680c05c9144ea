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
//! installed snapshots. A member that starts does not know whether its disk is the newest one that it had: it recovers
//! first (`recovery.rs`), and counts as one without meanwhile. One without (a newcomer, one that lost its disk, one that was out of the set for a while)
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
//! A newcomer may count the member whose place it took as one of its senders, if that one left the set with complete
//! state: without it a set could have no sender left, where a disk is lost while a member is being replaced. The senders
//! then share a member with every majority of the earlier set. In this set the newcomer cast no vote: what was won in it
//! is held by `majority - (f - 1)` members, and `snapshot_quorum - 1` senders miss `majority - f` of them.
//!
//! So two claims of one key can't both be won, within a set or across sets: the second one needs a majority of members
//! with complete state, `size - f` of them, and shares one with the holders of the first.
//!
//! * `peers.rs`: the other controllers, by this replica's sessions with them.
//! * `first_set.rs`: the set of epoch 1.
//! * `replacement.rs`, `standbys.rs`: how one set follows another.
//! * `learning.rs`, `progress.rs`: how this replica gets complete state where it lacks it.
//! * `recovery.rs`: how a member that starts finds out whether its disk still holds it.

mod first_set;
mod learning;
mod peers;
mod progress;
mod recovery;
pub(crate) mod replacement;
mod standbys;

use crate::context::{Context, PendingWrite};
use crate::durable_state::{PruneBounds, WriteOperation};
use crate::effect::Effect;
use crate::log_event::LogEvent;
use crate::setup::ReplicaSetup;
use peers::Peers;
use progress::{KnownGenerations, SnapshotProgress};
use rushcourse_messages::{Message, VotingSet};
use rushcourse_types::{ConfigurationVersion, Epoch, Generation, NodeId, Timestamp};
use standbys::Standbys;
use std::sync::Arc;
use std::time::Duration;

/// Whether this replica holds what a voter of its set has to hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StateStanding {
    /// It lacks some of it.
    Incomplete,
    /// The disk says so since before the start; it may be an older copy.
    Recovering,
    /// It does.
    Complete,
}

/// This replica's part in the first set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FirstSetProposal {
    /// It has proposed none.
    None,
    /// Its own disk is to hold it.
    Written,
    /// Its disk refused it: another seed proposes, and this one never does again.
    Declined,
}

/// The voting set that this replica counts in, and its own place in it.
#[derive(Clone, Debug)]
pub(crate) struct Membership {
    setup: ReplicaSetup,
    voting_set: VotingSet,
    /// The epoch of a set that is being written, or of the last one that was.
    written_epoch: Epoch,
    standing: StateStanding,
    known_generations: KnownGenerations,
    /// The set that this replica was left out of, while it had complete state.
    left_at: Epoch,
    /// For a newcomer: the member whose place it took.
    predecessor: Option<NodeId>,
    /// The disk refused the present set: it is to be written once the disk takes writes again.
    is_unstored: bool,
    first_set: FirstSetProposal,
    progress: SnapshotProgress,
    /// When the first tick of this process came.
    started_at: Option<Timestamp>,
    peers: Peers,
    standbys: Standbys,
    is_shutting_down: bool,
}

impl Membership {
    /// Membership at the start, with what the state file holds: it says whether the replica had complete state, and its
    /// generation.
    pub fn new(
        setup: ReplicaSetup,
        voting_set: VotingSet,
        had_complete_state: bool,
        generation: Generation,
    ) -> Membership {
        let standing = if had_complete_state {
            StateStanding::Recovering
        } else {
            StateStanding::Incomplete
        };
        Membership {
            setup,
            voting_set,
            written_epoch: Epoch::NONE,
            standing,
            known_generations: KnownGenerations::at_start(generation),
            left_at: Epoch::NONE,
            predecessor: None,
            is_unstored: false,
            first_set: FirstSetProposal::None,
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
        self.standing == StateStanding::Complete
    }

    /// Whether this replica is known to lack what a voter of its set has to hold.
    pub fn lacks_state(&self) -> bool {
        self.standing == StateStanding::Incomplete
    }

    /// Whether this replica is a member of its set.
    pub fn is_member(&self) -> bool {
        self.voting_set.contains(self.setup.node)
    }

    /// Whether this replica casts votes in its set.
    pub fn is_voter(&self) -> bool {
        self.has_complete_state() && !self.voting_set.epoch.is_none() && self.is_member()
    }

    /// The epoch of the set that this replica votes in.
    pub fn voting_epoch(&self) -> Option<Epoch> {
        self.is_voter().then_some(self.voting_set.epoch)
    }

    /// Whether this replica may send its state to one that learns in the set of an epoch: it votes in it, or it has left it
    /// with complete state.
    pub fn may_send_snapshots(&self, epoch: Epoch) -> bool {
        self.voting_epoch() == Some(epoch)
            || (epoch == self.voting_set.epoch && epoch == self.left_at)
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

    /// What this replica holds as a member of `next`. At the first start there is nothing that it could have lost: no claim
    /// was ever granted.
    fn standing_in(&self, next: &VotingSet) -> StateStanding {
        let epoch = self.voting_set.epoch;
        let is_next = next.epoch == epoch.next();
        if !next.contains(self.setup.node) || !is_next {
            StateStanding::Incomplete
        } else if epoch.is_none() && self.setup.is_first_start {
            StateStanding::Complete
        } else if !epoch.is_none() && self.is_member() {
            self.standing
        } else {
            StateStanding::Incomplete
        }
    }

    /// The member whose place this replica takes in the next set.
    fn predecessor_in(&self, next: &VotingSet) -> Option<NodeId> {
        let is_newcomer = !self.is_member() && next.contains(self.setup.node);
        if !is_newcomer || next.epoch != self.voting_set.epoch.next() {
            return None;
        }
        let members = self.voting_set.members.iter().copied();
        let mut members = members;
        members.find(|member| !next.contains(*member))
    }

    fn write(&mut self, context: &mut Context, voting_set: VotingSet) {
        self.written_epoch = voting_set.epoch;
        let mark = match self.standing_in(&voting_set) {
            StateStanding::Incomplete => WriteOperation::MarkStateIncomplete,
            StateStanding::Recovering | StateStanding::Complete => {
                WriteOperation::MarkStateComplete
            }
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

    /// The disk refused a set. Returns whether this replica is to count in it all the same: others have it. A first set of
    /// its own nobody has.
    pub fn write_refused(&mut self, voting_set: &VotingSet) -> bool {
        self.written_epoch = self.voting_set.epoch;
        if self.first_set == FirstSetProposal::Written {
            self.first_set = FirstSetProposal::Declined;
            return false;
        }
        voting_set.epoch > self.voting_set.epoch
    }

    /// The disk holds a set, or refused it. Whether this replica counts in it from now on.
    pub fn adopt(&mut self, context: &mut Context, voting_set: VotingSet, is_stored: bool) -> bool {
        if voting_set.epoch <= self.voting_set.epoch {
            if is_stored && voting_set.epoch == self.voting_set.epoch {
                self.is_unstored = false;
            }
            return false;
        }
        self.is_unstored = !is_stored;
        if self.is_voter() && !voting_set.contains(self.setup.node) {
            self.left_at = voting_set.epoch;
        }
        self.predecessor = self.predecessor_in(&voting_set);
        self.standing = if is_stored {
            self.standing_in(&voting_set)
        } else {
            StateStanding::Incomplete
        };
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
            has_complete_state: !self.lacks_state(),
        });
        true
    }

    /// A controller in session reports whether its disk takes writes.
    pub fn disk_reported(&mut self, now: Timestamp, peer: NodeId, is_usable: bool) {
        self.peers.disk_reported(now, peer, is_usable);
    }

    /// Proposes the first set once it is due, and writes a set again that the disk refused.
    pub fn tick(&mut self, context: &mut Context) {
        self.started_at.get_or_insert(context.now);
        let has_set = !self.voting_set.epoch.is_none() || !self.written_epoch.is_none();
        let uptime = self.uptime(context.now);
        let may_propose = !has_set && self.first_set == FirstSetProposal::None;
        if may_propose && first_set::is_due(&self.setup, &self.peers, context.now, uptime) {
            let first = first_set::propose(&self.setup, &self.peers);
            self.first_set = FirstSetProposal::Written;
            self.write(context, first);
        }
        if self.is_unstored && context.is_disk_usable() {
            let voting_set = self.voting_set.clone();
            self.write(context, voting_set);
        }
    }
}
