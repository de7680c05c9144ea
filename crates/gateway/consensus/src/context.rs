//! State shared by all modules during a step: the current time, the effects to return, and writes in progress.

use crate::durable_state::{BatchId, WriteBatch, WriteOperation};
use crate::effect::Effect;
use crate::log_event::LogEvent;
use rushcourse_messages::{Ballot, Message, Slot, VotingSet};
use rushcourse_types::{ClaimId, Epoch, Generation, KeyDigest, NodeId, Timestamp, WallTime};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Interval between test writes while the disk refuses writes.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Action to take once a batch is synced or refused.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum PendingWrite {
    /// Adopt this voting set.
    VotingSet(VotingSet),
    /// Send the promise to its proposer.
    Promise {
        proposer: NodeId,
        slot: Slot,
        ballot: Ballot,
    },
    /// Report the vote, if the accepted proposal is one.
    Accepted { slot: Slot, ballot: Ballot },
    /// Answer the gateway that made the claim.
    Claim { key: KeyDigest, claim: ClaimId },
    /// Mark claims received in a snapshot chunk as durable.
    Snapshot {
        /// Operation keys of the claims in the chunk.
        keys: Vec<KeyDigest>,
        /// Epoch of the voting set, if this chunk completes the last snapshot that is needed.
        completed_epoch: Option<Epoch>,
    },
    /// An empty batch that tests whether the disk accepts writes again.
    Probe,
    /// No action.
    Untracked,
}

/// A batch that the disk has neither synced nor refused yet.
#[derive(Clone, Debug)]
struct UnsyncedBatch {
    /// Generation of the disk once the batch is synced; `None` if the batch doesn't raise it.
    generation: Option<Generation>,
    pending: PendingWrite,
}

/// Current time, collected effects and unsynced batches of a replica.
#[derive(Clone, Debug)]
pub(crate) struct Context {
    pub node: NodeId,
    /// Time of the current step by the monotonic clock.
    pub now: Timestamp,
    /// Time of the current step by the wall clock. Shown on status pages only; no decision depends on it.
    pub wall_time: WallTime,
    last_batch_id: BatchId,
    unsynced: BTreeMap<BatchId, UnsyncedBatch>,
    /// Generation of the last tracked batch that was written, whether or not it is synced.
    last_generation: Generation,
    durable_generation: Generation,
    /// Time of the first refused batch since the disk last synced one; `None` while the disk accepts writes.
    refusing_since: Option<Timestamp>,
    probed_at: Timestamp,
    /// Messages that this replica sent to itself; they are handled before the step ends.
    loopback: VecDeque<Message>,
    effects: Vec<Effect>,
}

impl Context {
    /// Creates the context for a replica whose disk has the given generation.
    pub fn new(node: NodeId, generation: Generation) -> Context {
        Context {
            node,
            now: Timestamp::ZERO,
            wall_time: WallTime::default(),
            last_batch_id: BatchId::NONE,
            unsynced: BTreeMap::new(),
            last_generation: generation,
            durable_generation: generation,
            refusing_since: None,
            probed_at: Timestamp::ZERO,
            loopback: VecDeque::new(),
            effects: Vec::new(),
        }
    }

    /// Writes a batch; `pending` is returned by [`Context::batch_synced`] or [`Context::batch_refused`]. Every batch
    /// except an untracked one raises the generation of the disk.
    pub fn write(&mut self, mut operations: Vec<WriteOperation>, pending: PendingWrite) {
        self.last_batch_id = self.last_batch_id.next();
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
        self.unsynced.insert(self.last_batch_id, unsynced);
        self.push(Effect::Write(WriteBatch {
            id: self.last_batch_id,
            operations,
        }));
    }

    /// Handles the sync of a batch: it and all earlier batches that were not refused are on disk. Returns the action
    /// that was pending on it.
    pub fn batch_synced(&mut self, batch: BatchId) -> Option<PendingWrite> {
        let synced = self.unsynced.remove(&batch)?;
        if self.refusing_since.take().is_some() {
            self.log(LogEvent::DiskUsable);
        }
        self.durable_generation = synced.generation.unwrap_or(self.durable_generation);
        Some(synced.pending)
    }

    /// Handles the refusal of a batch, none of which was written. Returns the action that was pending on it.
    pub fn batch_refused(&mut self, batch: BatchId) -> Option<PendingWrite> {
        let refused = self.unsynced.remove(&batch)?;
        if self.refusing_since.is_none() {
            self.refusing_since = Some(self.now);
            self.log(LogEvent::DiskUnusable);
        }
        Some(refused.pending)
    }

    /// Whether the disk synced the batch that it reported on last.
    pub fn is_disk_usable(&self) -> bool {
        self.refusing_since.is_none()
    }

    /// Writes an empty batch every [`PROBE_INTERVAL`] while the disk refuses writes.
    pub fn probe_disk(&mut self) {
        if !self.is_disk_usable() && self.now >= self.probed_at + PROBE_INTERVAL {
            self.probed_at = self.now;
            self.write(Vec::new(), PendingWrite::Probe);
        }
    }

    /// Generation of the last synced batch that raised it.
    pub fn durable_generation(&self) -> Generation {
        self.durable_generation
    }

    /// Makes the next tracked batch use a generation above this one.
    pub fn raise_generation(&mut self, above: Generation) {
        self.last_generation = self.last_generation.max(above);
    }

    /// Sends a message to another replica, or queues it on the loopback if this replica is the receiver.
    pub fn send(&mut self, to: NodeId, message: Message) {
        if to == self.node {
            self.loopback.push_back(message);
        } else {
            self.push(Effect::Send { to, message });
        }
    }

    /// Removes and returns the oldest unhandled message of this replica to itself; `None` if all are handled.
    pub fn next_loopback(&mut self) -> Option<Message> {
        self.loopback.pop_front()
    }

    /// Adds an [`Effect::Log`] to the effects of the step.
    pub fn log(&mut self, event: LogEvent) {
        self.push(Effect::Log(event));
    }

    /// Adds an effect after those that the step has produced so far.
    pub fn push(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Returns the effects of the step and clears them.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }
}
