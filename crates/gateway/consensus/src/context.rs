//! What the parts of a step share: the time, the effects of the step, and what waits for the disk.

use crate::durable_state::{BatchId, WriteBatch, WriteOperation};
use crate::effect::Effect;
use crate::log_event::LogEvent;
use rushcourse_messages::{Ballot, Message, Slot, VotingSet};
use rushcourse_types::{ClaimId, Epoch, Generation, KeyDigest, NodeId, Timestamp, WallTime};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Between two tries of a disk that refuses writes.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

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
    /// It shows whether the disk takes writes again.
    Probe,
    /// Nothing waits for it.
    Untracked,
}

/// A batch that the disk has neither synced nor refused.
#[derive(Clone, Debug)]
struct UnsyncedBatch {
    /// The generation that the disk has with it; `None`: it leaves it as it is.
    generation: Option<Generation>,
    pending: PendingWrite,
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
    unsynced: BTreeMap<BatchId, UnsyncedBatch>,
    /// Of the last batch that something waits for.
    last_generation: Generation,
    durable_generation: Generation,
    /// Since when the disk has refused all writes.
    refusing_since: Option<Timestamp>,
    probed_at: Timestamp,
    /// Messages of this replica to itself; they are handled before the step ends.
    loopback: VecDeque<Message>,
    effects: Vec<Effect>,
}

impl Context {
    /// The context before the first step. `generation`: what the disk has.
    pub fn new(node: NodeId, generation: Generation) -> Context {
        Context {
            node,
            now: Timestamp::ZERO,
            wall: WallTime::default(),
            last_batch: BatchId::NONE,
            unsynced: BTreeMap::new(),
            last_generation: generation,
            durable_generation: generation,
            refusing_since: None,
            probed_at: Timestamp::ZERO,
            loopback: VecDeque::new(),
            effects: Vec::new(),
        }
    }

    /// Writes a batch. [`Context::batch_synced`] or [`Context::batch_refused`] gives `pending` back. A batch that something
    /// waits for raises the generation of the disk.
    pub fn write(&mut self, mut operations: Vec<WriteOperation>, pending: PendingWrite) {
        self.last_batch = self.last_batch.next();
        let raises_generation = pending != PendingWrite::Untracked;
        let generation = raises_generation.then(|| self.last_generation.next());
        if let Some(generation) = generation {
            self.last_generation = generation;
            operations.push(WriteOperation::StoreGeneration(generation));
        }
        let unsynced = UnsyncedBatch {
            generation,
            pending,
        };
        self.unsynced.insert(self.last_batch, unsynced);
        self.push(Effect::Write(WriteBatch {
            id: self.last_batch,
            operations,
        }));
    }

    /// The disk holds a batch, and all before it that it did not refuse. Returns what waited for it.
    pub fn batch_synced(&mut self, batch: BatchId) -> Option<PendingWrite> {
        let synced = self.unsynced.remove(&batch)?;
        if self.refusing_since.take().is_some() {
            self.log(LogEvent::DiskUsable);
        }
        self.durable_generation = synced.generation.unwrap_or(self.durable_generation);
        Some(synced.pending)
    }

    /// The disk refused a batch. Returns what waited for it.
    pub fn batch_refused(&mut self, batch: BatchId) -> Option<PendingWrite> {
        let refused = self.unsynced.remove(&batch)?;
        if self.refusing_since.is_none() {
            self.refusing_since = Some(self.now);
            self.log(LogEvent::DiskUnusable);
        }
        Some(refused.pending)
    }

    /// Whether the disk took the last batch that it was given.
    pub fn is_disk_usable(&self) -> bool {
        self.refusing_since.is_none()
    }

    /// Tries a write now and then while the disk refuses them.
    pub fn probe_disk(&mut self) {
        if !self.is_disk_usable() && self.now >= self.probed_at + PROBE_INTERVAL {
            self.probed_at = self.now;
            self.write(Vec::new(), PendingWrite::Probe);
        }
    }

    /// The generation of the disk: it holds all batches up to this one that it did not refuse.
    pub fn durable_generation(&self) -> Generation {
        self.durable_generation
    }

    /// The next batch that something waits for has a generation above this one.
    pub fn raise_generation(&mut self, above: Generation) {
        self.last_generation = self.last_generation.max(above);
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
