//! What the parts of a step share: the time, the effects of the step, and what waits for the disk.

use crate::durable_state::{BatchId, WriteBatch, WriteOperation};
use crate::effect::Effect;
use crate::log_event::LogEvent;
use rushcourse_messages::{Ballot, Message, Slot, VotingSet};
use rushcourse_types::{ClaimId, Epoch, KeyDigest, NodeId, Timestamp, WallTime};
use std::collections::{BTreeMap, VecDeque};

/// What waits for a batch to be synced.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum PendingWrite {
    /// A voting set that this replica is to count in.
    VotingSet(VotingSet),
    /// A promise, and the proposer that it is for.
    Promise {
        proposer: NodeId,
        slot: Slot,
        ballot: Ballot,
    },
    /// An accepted proposal.
    Accepted { slot: Slot, ballot: Ballot },
    /// A claim that a gateway made.
    Claim { key: KeyDigest, claim: ClaimId },
    /// A part of a voter's snapshot.
    Snapshot {
        /// Keys of the claims in it.
        keys: Vec<KeyDigest>,
        /// The epoch of the set whose voters have sent enough snapshots by it.
        completed_epoch: Option<Epoch>,
    },
    /// Nothing waits for it.
    Untracked,
}

/// The time and the effects of the current step, and what waits for the disk.
#[derive(Clone, Debug)]
pub(crate) struct Context {
    /// This replica.
    pub node: NodeId,
    /// The time of this step, by the steady clock.
    pub now: Timestamp,
    /// The time of this step, by the time of day; only for status pages.
    pub wall: WallTime,
    last_batch: BatchId,
    pending_writes: BTreeMap<BatchId, PendingWrite>,
    /// Messages of this replica to itself; they are handled before the step ends.
    loopback: VecDeque<Message>,
    effects: Vec<Effect>,
}

impl Context {
    /// The context before the first step.
    pub fn new(node: NodeId) -> Context {
        Context {
            node,
            now: Timestamp::ZERO,
            wall: WallTime::default(),
            last_batch: BatchId::NONE,
            pending_writes: BTreeMap::new(),
            loopback: VecDeque::new(),
            effects: Vec::new(),
        }
    }

    /// Writes a batch. [`Context::end_write`] gives `pending` back once the disk has synced or refused it.
    pub fn write(&mut self, operations: Vec<WriteOperation>, pending: PendingWrite) {
        self.last_batch = self.last_batch.next();
        self.pending_writes.insert(self.last_batch, pending);
        self.push(Effect::Write(WriteBatch {
            id: self.last_batch,
            operations,
        }));
    }

    /// What waited for a batch that the disk has synced or refused.
    pub fn end_write(&mut self, batch: BatchId) -> Option<PendingWrite> {
        self.pending_writes.remove(&batch)
    }

    /// Sends a message to another replica, or to this one itself.
    pub fn send(&mut self, to: NodeId, message: Message) {
        if to == self.node {
            self.loopback.push_back(message);
        } else {
            self.push(Effect::Send { to, message });
        }
    }

    /// The next message of this replica to itself.
    pub fn next_loopback(&mut self) -> Option<Message> {
        self.loopback.pop_front()
    }

    /// Adds a line to the log.
    pub fn log(&mut self, event: LogEvent) {
        self.push(Effect::Log(event));
    }

    /// Adds an effect to this step.
    pub fn push(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Ends the step: its effects.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }
}
