//! The voting set: which members have complete state, and how the set changes.
//!
//! The settings don't determine the number of controllers. At the first start, the seed with the lowest address
//! proposes the voting set of epoch 1 from the controllers that are connected. It proposes once, and its own disk holds
//! the set before the set is sent, so there is only one epoch 1. From then on, a majority of the set of epoch n chooses
//! the set of epoch n + 1 by ballots. The new set differs by one member, which replaces another one or is added. Votes,
//! promises and claims carry the epoch, and a replica that has adopted a set rejects those of earlier epochs.
//!
//! A member *has complete state* if it has been a member without interruption, and with its disk, since it last had
//! complete state, or if it has installed snapshots. A member that starts doesn't know whether its disk is the newest
//! one that it had: it recovers first (`recovery.rs`), and counts as lacking state until then. A member that lacks
//! state (a new one, one that lost its disk, or one that was out of the set for some time) casts no vote until
//! `VotingSet::snapshot_quorum` other members with complete state, which have adopted this same set, have sent it their
//! snapshots.
//!
//! **Invariant.** Let `f` be the number of members that lack state. Each claim that was won and each proposal that was
//! chosen, in this set or an earlier one, is held by at least `majority - f` of the members with complete state.
//! - Winning or choosing takes a majority of votes, and only members with complete state vote.
//! - The loss of a disk removes one holder at most and raises `f` by one.
//! - Snapshots are installed from `size - majority + 1` members with complete state. Of the `size - f` members with
//!   complete state at least `majority - f` are holders, so at least one of the senders is a holder. The receiver
//!   becomes a holder, and `f` falls by one.
//! - Replacing a member removes one holder at most. The new member lacks state, so `f` rises by one. Adding a member
//!   raises the majority by one at most and `f` by one.
//! - No member votes in epoch n after it has sent its snapshot in epoch n + 1, because the sender of the snapshot has
//!   already adopted epoch n + 1 and rejects earlier epochs.
//!
//! A new member may count the member that it replaces as one of the senders, if that member left the set with complete
//! state. Otherwise, if a disk is lost during a replacement, the set could be left with too few senders. The senders
//! then share a member with every majority of the earlier set. In the present set the new member has cast no vote, so
//! whatever was won in this set is held by `majority - (f - 1)` members. The other `snapshot_quorum - 1` senders can
//! miss at most `majority - f` of them, so at least one sender is a holder.
//!
//! It follows that two claims of one key can't both be won, neither within a set nor across sets: the second claim
//! needs the votes of a majority, all of them among the `size - f` members with complete state, and that majority
//! shares a member with the holders of the first claim.
//!
//! * `peers.rs`: the other controllers and the sessions with them.
//! * `first_set.rs`: the voting set of epoch 1.
//! * `replacement.rs`, `standbys.rs`: changes of the voting set.
//! * `learning.rs`, `progress.rs`: how this replica acquires complete state.
//! * `recovery.rs`: how a member that starts verifies that its disk still has complete state.

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
use rushcourse_types::{Epoch, Generation, NodeId, Timestamp};
use standbys::Standbys;
use std::sync::Arc;
use std::time::Duration;

/// Whether this replica has complete state, as defined in the module documentation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StateCompleteness {
    /// The replica lacks state and needs snapshots before it can vote.
    Incomplete,
    /// The disk is marked complete from before the start, but may be an older copy.
    Recovering,
    /// The replica has complete state and may vote.
    Complete,
}

/// Progress of this replica's proposal of the first voting set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FirstSetProposal {
    /// This replica has not proposed a first set.
    NotProposed,
    /// This replica has written its first set to its own disk; peers receive it once it is synced.
    Written,
    /// The disk refused the first set. Another seed proposes it, and this replica never tries again.
    Refused,
}

/// The voting set that this replica has adopted, and the replica's own role in it.
#[derive(Clone, Debug)]
pub(crate) struct Membership {
    setup: ReplicaSetup,
    voting_set: VotingSet,
    /// Epoch of the set that is being written or was written last.
    written_epoch: Epoch,
    completeness: StateCompleteness,
    known_generations: KnownGenerations,
    /// Epoch of the set that removed this replica while it had complete state; it may still send snapshots there.
    left_in_epoch: Epoch,
    /// The member that this replica replaced in the current set.
    predecessor: Option<NodeId>,
    /// Whether the disk refused the current set, which has to be written again.
    needs_rewrite: bool,
    first_set: FirstSetProposal,
    progress: SnapshotProgress,
    /// Time of the first tick since the process started.
    started_at: Option<Timestamp>,
    peers: Peers,
    standbys: Standbys,
    is_shutting_down: bool,
}

impl Membership {
    /// Restores membership from the state file, which says whether the replica had complete state and at which
    /// generation.
    pub fn new(
        setup: ReplicaSetup,
        voting_set: VotingSet,
        had_complete_state: bool,
        generation: Generation,
    ) -> Membership {
        let completeness = if had_complete_state {
            StateCompleteness::Recovering
        } else {
            StateCompleteness::Incomplete
        };
        Membership {
            setup,
            voting_set,
            written_epoch: Epoch::NONE,
            completeness,
            known_generations: KnownGenerations::at_start(generation),
            left_in_epoch: Epoch::NONE,
            predecessor: None,
            needs_rewrite: false,
            first_set: FirstSetProposal::NotProposed,
            progress: SnapshotProgress::default(),
            started_at: None,
            peers: Peers::default(),
            standbys: Standbys::default(),
            is_shutting_down: false,
        }
    }

    /// The voting set that this replica has adopted. Its epoch is [`Epoch::NONE`] before the first one.
    pub fn voting_set(&self) -> &VotingSet {
        &self.voting_set
    }

    /// Whether this replica has complete state and may vote.
    pub fn has_complete_state(&self) -> bool {
        self.completeness == StateCompleteness::Complete
    }

    /// Whether this replica needs snapshots; false while it recovers.
    pub fn lacks_state(&self) -> bool {
        self.completeness == StateCompleteness::Incomplete
    }

    /// Whether the voting set contains this replica. A member without complete state doesn't vote.
    pub fn is_member(&self) -> bool {
        self.voting_set.contains(self.setup.node)
    }

    /// Whether this replica votes: it is a member of its voting set and has complete state.
    pub fn is_voter(&self) -> bool {
        self.has_complete_state() && !self.voting_set.epoch.is_none() && self.is_member()
    }

    /// Epoch that this replica votes in; `None` if it doesn't vote.
    pub fn voting_epoch(&self) -> Option<Epoch> {
        self.is_voter().then_some(self.voting_set.epoch)
    }

    /// Whether this replica may send snapshots to learners in this epoch: it votes in the epoch's set, or was removed
    /// by that set while it had complete state.
    pub fn may_send_snapshots(&self, epoch: Epoch) -> bool {
        self.voting_epoch() == Some(epoch)
            || (epoch == self.voting_set.epoch && epoch == self.left_in_epoch)
    }

    /// The other controllers that this replica has sessions with, in ascending order of address.
    pub fn connected_peers(&self) -> Vec<NodeId> {
        self.peers.connected().collect()
    }

    fn is_reachable(&self, node: NodeId) -> bool {
        node == self.setup.node || self.peers.is_connected(node)
    }

    /// Members of the voting set that this replica has sessions with, including itself.
    pub fn reachable_members(&self) -> Vec<NodeId> {
        let members = self.voting_set.members.iter().copied();
        members
            .filter(|member| self.is_reachable(*member))
            .collect()
    }

    /// Whether this replica can reach a majority of the voting set, itself included.
    pub fn has_quorum_contact(&self) -> bool {
        !self.voting_set.epoch.is_none()
            && self.reachable_members().len() >= self.voting_set.majority()
    }

    /// Index of this replica among the reachable members, by address; standbys rank after all of them. Delays scaled by
    /// rank keep replicas from proposing at the same time.
    pub fn rank(&self) -> u32 {
        let reachable = self.reachable_members();
        let index = reachable.iter().position(|node| *node == self.setup.node);
        index.unwrap_or(reachable.len()) as u32
    }

    /// Time since the first tick of this process.
    fn uptime(&self, now: Timestamp) -> Duration {
        now.since(self.started_at.unwrap_or(now))
    }

    /// Connected controllers that are not members and are not shutting down.
    fn standbys(&self) -> impl Iterator<Item = NodeId> {
        self.peers
            .connected()
            .filter(|node| !self.voting_set.contains(*node) && !self.peers.is_shutting_down(*node))
    }

    /// Handles a new session: sends the peer this replica's voting set.
    pub fn peer_connected(&mut self, context: &mut Context, peer: NodeId, zone: Arc<str>) {
        self.peers.connect(context.now, peer, zone);
        if !self.voting_set.epoch.is_none() {
            context.send(peer, Message::VotingSet(self.voting_set.clone()));
        }
        if self.is_shutting_down {
            context.send(peer, Message::ShuttingDown);
        }
    }

    /// Handles the end of a session. A member of the voting set counts as absent from `now` on.
    pub fn peer_disconnected(&mut self, now: Timestamp, peer: NodeId) {
        self.standbys.remove(peer);
        self.peers
            .disconnect(now, peer, self.voting_set.contains(peer));
    }

    /// Whether a connected peer has announced its shutdown.
    pub fn is_peer_shutting_down(&self, peer: NodeId) -> bool {
        self.peers.is_shutting_down(peer)
    }

    /// Handles a peer's announcement of its shutdown, which is ignored unless the peer is connected.
    pub fn peer_shutting_down(&mut self, peer: NodeId) {
        self.peers.mark_shutting_down(peer);
    }

    /// Announces the shutdown of this replica, so that the other members replace it with a standby.
    pub fn shut_down(&mut self, context: &mut Context) {
        self.is_shutting_down = true;
        for peer in self.connected_peers() {
            context.send(peer, Message::ShuttingDown);
        }
    }

    /// Whether shutdown need not wait for a replacement: this replica is not a member, or no standby is connected.
    pub fn may_shut_down(&self) -> bool {
        !self.is_member() || self.standbys().next().is_none()
    }

    /// Writes a newer voting set that was chosen or received from a peer. It is adopted once it is on disk.
    pub fn learn_voting_set(&mut self, context: &mut Context, voting_set: VotingSet) {
        if voting_set.epoch > self.voting_set.epoch && voting_set.epoch > self.written_epoch {
            self.write_voting_set(context, voting_set);
        }
    }

    /// Completeness of this replica once it adopts `next`. At the first start of the deployment every member is
    /// complete, because no claim has been granted yet.
    fn completeness_in(&self, next: &VotingSet) -> StateCompleteness {
        let epoch = self.voting_set.epoch;
        let is_successor = next.epoch == epoch.next();
        if !next.contains(self.setup.node) || !is_successor {
            StateCompleteness::Incomplete
        } else if epoch.is_none() && self.setup.is_first_start {
            StateCompleteness::Complete
        } else if !epoch.is_none() && self.is_member() {
            self.completeness
        } else {
            StateCompleteness::Incomplete
        }
    }

    /// The member that this replica replaces in `next`, if `next` directly follows the current set.
    fn predecessor_in(&self, next: &VotingSet) -> Option<NodeId> {
        let is_newcomer = !self.is_member() && next.contains(self.setup.node);
        if !is_newcomer || next.epoch != self.voting_set.epoch.next() {
            return None;
        }
        let members = self.voting_set.members.iter().copied();
        let mut members = members;
        members.find(|member| !next.contains(*member))
    }

    fn write_voting_set(&mut self, context: &mut Context, voting_set: VotingSet) {
        self.written_epoch = voting_set.epoch;
        let mark = match self.completeness_in(&voting_set) {
            StateCompleteness::Incomplete => WriteOperation::MarkStateIncomplete,
            StateCompleteness::Recovering | StateCompleteness::Complete => {
                WriteOperation::MarkStateComplete
            }
        };
        let bounds = PruneBounds {
            epochs_through: voting_set.epoch,
            ..PruneBounds::default()
        };
        context.write(
            vec![
                WriteOperation::StoreVotingSet(voting_set.clone()),
                mark,
                WriteOperation::PruneRecords(bounds),
            ],
            PendingWrite::VotingSet(voting_set),
        );
    }

    /// Handles the disk's refusal of a voting set. Returns whether the set is adopted nevertheless because other
    /// replicas have it; that is never so for a first set proposed by this replica.
    pub fn write_refused(&mut self, voting_set: &VotingSet) -> bool {
        self.written_epoch = self.voting_set.epoch;
        if self.first_set == FirstSetProposal::Written {
            self.first_set = FirstSetProposal::Refused;
            return false;
        }
        voting_set.epoch > self.voting_set.epoch
    }

    /// Adopts a voting set and announces it to gateways and peers. With `is_stored` false the disk refused the set, and
    /// this replica doesn't vote in it. Returns false if the set is not newer than the current one.
    pub fn adopt(&mut self, context: &mut Context, voting_set: VotingSet, is_stored: bool) -> bool {
        if voting_set.epoch <= self.voting_set.epoch {
            if is_stored && voting_set.epoch == self.voting_set.epoch {
                self.needs_rewrite = false;
            }
            return false;
        }
        self.needs_rewrite = !is_stored;
        if self.is_voter() && !voting_set.contains(self.setup.node) {
            self.left_in_epoch = voting_set.epoch;
        }
        self.predecessor = self.predecessor_in(&voting_set);
        self.completeness = if is_stored {
            self.completeness_in(&voting_set)
        } else {
            StateCompleteness::Incomplete
        };
        self.voting_set = voting_set;
        self.progress.restart();
        self.standbys.clear();
        self.peers.retain_absent_members(&self.voting_set);
        // Gateways learn of the new set before any of their claims is answered with an abstention because of it.
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

    /// Records whether a connected controller's disk accepts writes.
    pub fn disk_reported(&mut self, now: Timestamp, peer: NodeId, is_usable: bool) {
        self.peers.disk_reported(now, peer, is_usable);
    }

    /// Proposes the first set once it is due, and rewrites the current set if the disk refused it.
    pub fn tick(&mut self, context: &mut Context) {
        self.started_at.get_or_insert(context.now);
        let has_set = !self.voting_set.epoch.is_none() || !self.written_epoch.is_none();
        let uptime = self.uptime(context.now);
        let may_propose = !has_set && self.first_set == FirstSetProposal::NotProposed;
        if may_propose && first_set::is_due(&self.setup, &self.peers, context.now, uptime) {
            let first = first_set::propose(&self.setup, &self.peers);
            self.first_set = FirstSetProposal::Written;
            self.write_voting_set(context, first);
        }
        if self.needs_rewrite && context.is_disk_usable() {
            let voting_set = self.voting_set.clone();
            self.write_voting_set(context, voting_set);
        }
    }
}
