//! What other replicas told that their disks hold, and which proposals are chosen by it.

use rushcourse_messages::{Ballot, DurableVote, Message, NodeId, Slot, VotingSet};
use rushcourse_types::{ConfigurationVersion, Epoch, Timestamp};
use std::collections::BTreeMap;

/// ms for which what a replica told counts, from the stamp of this replica that it gave back: however long a message lay on
/// its way, or here while this process stood still. Shorter than the wait of a voter that lost its disk
/// (`membership::FORGOT_WAIT`): whoever counts a vote of before the loss does so before that voter is taught.
pub(crate) const TOLD_COUNTS: u64 = 1_700;

/// What one replica told last.
#[derive(Clone, Debug)]
pub(crate) struct Told {
    /// This replica's clock when it sent what the peer had read before it told this; 0: the peer had read nothing.
    at: u64,
    /// The peer's clock when it told this.
    stamp: u64,
    set: Epoch,
    votes: bool,
    pub in_force: ConfigurationVersion,
    casts: BTreeMap<Slot, Ballot>,
}

impl Told {
    fn is_fresh(&self, now: u64) -> bool {
        self.at > 0 && now < self.at + TOLD_COUNTS
    }
}

/// The content of `Message::ReplicaStatus`.
#[derive(Clone, Debug)]
pub(crate) struct HeldState {
    pub stamp: u64,
    pub echo: u64,
    pub set: Epoch,
    pub votes: bool,
    pub in_force: ConfigurationVersion,
    pub casts: Vec<DurableVote>,
}

impl From<HeldState> for Message {
    fn from(held: HeldState) -> Message {
        let HeldState {
            stamp,
            echo,
            set,
            votes,
            in_force,
            casts,
        } = held;
        Message::ReplicaStatus {
            sent_at: Timestamp::from_millis(stamp),
            echoed: Timestamp::from_millis(echo),
            epoch: set,
            is_voter: votes,
            committed: in_force,
            votes: casts,
        }
    }
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Replicas {
    told: BTreeMap<NodeId, Told>,
}

impl Replicas {
    pub fn heard(&mut self, from: NodeId, held: HeldState) {
        let HeldState {
            stamp,
            echo,
            set,
            votes,
            in_force,
            casts,
        } = held;
        let casts = casts.into_iter().map(|c| (c.slot, c.ballot)).collect();
        self.told.insert(
            from,
            Told {
                at: echo,
                stamp,
                set,
                votes,
                in_force,
                casts,
            },
        );
    }

    /// The last stamp that a peer sent in this session; 0: none.
    pub fn stamp(&self, of: NodeId) -> u64 {
        self.told.get(&of).map_or(0, |told| told.stamp)
    }

    /// Whether another member told lately that it votes in this set.
    pub fn is_voter(&self, now: u64, set: &VotingSet, node: NodeId) -> bool {
        self.told
            .get(&node)
            .is_some_and(|told| told.is_fresh(now) && told.votes && told.set == set.epoch)
    }

    /// Its session broke: it may come back with less.
    pub fn forget(&mut self, node: NodeId) {
        self.told.remove(&node);
    }

    pub fn all(&self) -> impl Iterator<Item = (NodeId, &Told)> {
        self.told.iter().map(|t| (*t.0, t.1))
    }

    /// Other members of the set whose disks hold this vote, as far as they told lately.
    fn votes(&self, now: u64, set: &VotingSet, slot: Slot, ballot: Ballot) -> usize {
        let voted = |m: &&NodeId| self.is_voter(now, set, **m) && self.has_cast(**m, slot, ballot);
        set.members.iter().filter(voted).count()
    }

    /// Whether a majority of the set has voted for a proposal; `own`: this replica is one of them.
    pub fn chosen(&self, now: u64, set: &VotingSet, slot: Slot, ballot: Ballot, own: bool) -> bool {
        set.epoch > Epoch(0)
            && self.votes(now, set, slot, ballot) + usize::from(own) >= set.majority()
    }

    pub fn has_cast(&self, node: NodeId, slot: Slot, ballot: Ballot) -> bool {
        self.told
            .get(&node)
            .is_some_and(|t| t.casts.get(&slot) == Some(&ballot))
    }
}
