//! A controller without clock, network and disk: a consensus node with an in-memory disk whose batches are synced on
//! demand. Used by the worlds of this crate and by the tests of `rushcourse-consensus`.

use rushcourse_consensus::{
    BatchId, ConsensusNode, DurableState, Effect, Input, ReplicaSetup, WriteBatch,
};
use rushcourse_types::{Incarnation, NodeId, Timestamp, WallTime};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of seed controllers: those with the lowest node ids.
const MAX_SEEDS: u32 = 3;
/// Upper bound of the starts of one controller; the incarnation encodes the node id and the start.
const MAX_STARTS: u64 = 1_000;

/// Settings shared by all controllers.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Number of initial controllers; their node ids start at 1.
    pub controller_count: u32,
    /// Number of zones; controllers are assigned to them by node id.
    pub zone_count: u32,
    /// Number of machines that may fail at the same time (`fault_tolerance.machines`).
    pub tolerated_losses: usize,
    /// Time from the arrival of a machine until the next loss has to be tolerated (`catch_up_s`).
    pub catch_up: Duration,
    /// Time for which a claim holds its operation key (`key_window_s`).
    pub key_window: Duration,
}

impl Deployment {
    /// Returns the zone that a controller is assigned to.
    pub fn zone(&self, node: NodeId) -> Arc<str> {
        format!("zone-{}", node.0 % self.zone_count).into()
    }

    fn setup(&self, node: NodeId, start: u64, is_first_start: bool) -> ReplicaSetup {
        ReplicaSetup {
            node,
            zone: self.zone(node),
            incarnation: Incarnation(u64::from(node.0) * MAX_STARTS + start),
            seeds: (1..=self.controller_count.min(MAX_SEEDS))
                .map(NodeId)
                .collect(),
            is_first_start,
            tolerated_losses: self.tolerated_losses,
            catch_up: self.catch_up,
            key_window: self.key_window,
        }
    }
}

/// What happens to unsynced batches when a controller stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnsyncedWrites {
    /// The batches are lost, as in a power failure.
    Lost,
    /// The batches reach the disk, as after a kill of the process.
    Written,
}

/// An in-memory state file with a queue of unsynced batches.
#[derive(Clone, Debug, Default)]
pub struct SimulatedDisk {
    durable: DurableState,
    unsynced: VecDeque<WriteBatch>,
}

impl SimulatedDisk {
    /// The synced contents, which survive a power failure.
    pub fn durable(&self) -> &DurableState {
        &self.durable
    }

    /// Replaces the contents and discards unsynced batches.
    pub fn replace(&mut self, durable: DurableState) {
        self.durable = durable;
        self.unsynced.clear();
    }

    /// Queues a batch until it is synced or refused.
    pub fn write(&mut self, batch: WriteBatch) {
        self.unsynced.push_back(batch);
    }

    /// Number of batches that are neither synced nor refused.
    pub fn unsynced_count(&self) -> usize {
        self.unsynced.len()
    }

    /// The batch that the next sync or refusal concerns.
    pub fn oldest_unsynced(&self) -> Option<&WriteBatch> {
        self.unsynced.front()
    }

    /// Applies the oldest unsynced batch and returns its id, or `None` if there is none.
    pub fn sync(&mut self) -> Option<BatchId> {
        let batch = self.unsynced.pop_front()?;
        self.durable.apply(batch.operations);
        Some(batch.id)
    }

    /// Discards the oldest unsynced batch, as a disk that refuses the write, and returns its id.
    pub fn refuse(&mut self) -> Option<BatchId> {
        Some(self.unsynced.pop_front()?.id)
    }
}

/// A consensus node and its disk, which outlives restarts of the node.
#[derive(Clone, Debug)]
pub struct SimulatedController {
    id: NodeId,
    /// `None` while the controller is stopped.
    node: Option<ConsensusNode>,
    /// The state file, which is kept while the controller is stopped.
    pub disk: SimulatedDisk,
    /// Whether the next start is the first one of the deployment; cleared by that start.
    pub is_first_start: bool,
    start_count: u64,
}

impl SimulatedController {
    /// Creates a stopped controller with these disk contents.
    pub fn new(id: NodeId, durable: DurableState, is_first_start: bool) -> SimulatedController {
        SimulatedController {
            id,
            node: None,
            disk: SimulatedDisk {
                durable,
                unsynced: VecDeque::new(),
            },
            is_first_start,
            start_count: 0,
        }
    }

    /// Starts the node from the synced contents of the disk, with a new incarnation.
    pub fn start(&mut self, deployment: &Deployment) {
        let is_first_start = std::mem::take(&mut self.is_first_start);
        self.start_count += 1;
        let setup = deployment.setup(self.id, self.start_count, is_first_start);
        self.node = Some(ConsensusNode::new(setup, self.disk.durable.clone()));
    }

    /// Stops the node; `unsynced` decides what happens to the batches in the queue.
    pub fn stop(&mut self, unsynced: UnsyncedWrites) {
        self.node = None;
        while unsynced == UnsyncedWrites::Written && self.disk.sync().is_some() {}
        self.disk.unsynced.clear();
    }

    /// The running node; `None` while the controller is stopped.
    pub fn node(&self) -> Option<&ConsensusNode> {
        self.node.as_ref()
    }

    /// Whether the node has been started and not stopped since.
    pub fn is_running(&self) -> bool {
        self.node.is_some()
    }

    /// Number of starts so far.
    pub fn start_count(&self) -> u64 {
        self.start_count
    }

    /// Steps the node and returns the effects; empty while the controller is stopped.
    pub fn step(&mut self, now: Timestamp, wall_time: WallTime, input: Input) -> Vec<Effect> {
        match &mut self.node {
            Some(node) => node.step(now, wall_time, input),
            None => Vec::new(),
        }
    }
}
