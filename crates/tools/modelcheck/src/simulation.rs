//! A controller without clock, network and disk: its consensus node, and a disk in memory that syncs on demand. The
//! worlds of this package and the timelines of `rushcourse-consensus` are made of it.

use rushcourse_consensus::{
    BatchId, ConsensusNode, DurableState, Effect, Input, ReplicaSetup, WriteBatch,
};
use rushcourse_types::{Incarnation, NodeId, Timestamp, WallTime};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Controllers that the settings name, at most: the ones with the lowest numbers.
const MAX_SEEDS: u32 = 3;
/// Starts of one controller are fewer than this; each has an incarnation of its own.
const MAX_STARTS: u64 = 1_000;

/// What all controllers of a world have to know of their deployment.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Controllers that are there from the start, with the numbers from 1 on.
    pub controller_count: u32,
    /// Zones that controllers are spread over.
    pub zone_count: u32,
    /// Machines that may be lost at once.
    pub tolerated_losses: usize,
    /// Within this time after a machine joined, the next loss must be tolerated.
    pub catch_up: Duration,
    /// For how long an operation key binds.
    pub key_window: Duration,
}

impl Deployment {
    /// The zone of a controller.
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

/// What becomes of batches that are not synced when a controller ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnsyncedWrites {
    /// They are lost with the power.
    Lost,
    /// The operating system writes them.
    Written,
}

/// A disk in memory.
#[derive(Clone, Debug, Default)]
pub struct SimulatedDisk {
    durable: DurableState,
    unsynced: VecDeque<WriteBatch>,
}

impl SimulatedDisk {
    /// What is synced.
    pub fn durable(&self) -> &DurableState {
        &self.durable
    }

    /// Another disk in its place; what was not synced is lost.
    pub fn replace(&mut self, durable: DurableState) {
        self.durable = durable;
        self.unsynced.clear();
    }

    /// Queues a batch, to be synced later.
    pub fn write(&mut self, batch: WriteBatch) {
        self.unsynced.push_back(batch);
    }

    /// Batches that are not synced yet.
    pub fn unsynced_count(&self) -> usize {
        self.unsynced.len()
    }

    /// The oldest batch that is not synced yet.
    pub fn oldest_unsynced(&self) -> Option<&WriteBatch> {
        self.unsynced.front()
    }

    /// Syncs the oldest batch.
    pub fn sync(&mut self) -> Option<BatchId> {
        let batch = self.unsynced.pop_front()?;
        self.durable.apply(batch.operations);
        Some(batch.id)
    }

    /// Refuses the oldest batch.
    pub fn refuse(&mut self) -> Option<BatchId> {
        Some(self.unsynced.pop_front()?.id)
    }
}

/// A controller of a world.
#[derive(Clone, Debug)]
pub struct SimulatedController {
    id: NodeId,
    /// `None` while it is stopped.
    node: Option<ConsensusNode>,
    /// Its state file.
    pub disk: SimulatedDisk,
    /// Whether its next start is the first one of the whole system.
    pub is_first_start: bool,
    start_count: u64,
}

impl SimulatedController {
    /// A controller before its start.
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

    /// Starts it with what its disk holds.
    pub fn start(&mut self, deployment: &Deployment) {
        let is_first_start = std::mem::take(&mut self.is_first_start);
        self.start_count += 1;
        let setup = deployment.setup(self.id, self.start_count, is_first_start);
        self.node = Some(ConsensusNode::new(setup, self.disk.durable.clone()));
    }

    /// Stops it.
    pub fn stop(&mut self, unsynced: UnsyncedWrites) {
        self.node = None;
        while unsynced == UnsyncedWrites::Written && self.disk.sync().is_some() {}
        self.disk.unsynced.clear();
    }

    /// Its node; `None` while it is stopped.
    pub fn node(&self) -> Option<&ConsensusNode> {
        self.node.as_ref()
    }

    /// Whether it runs.
    pub fn is_running(&self) -> bool {
        self.node.is_some()
    }

    /// How often it was started.
    pub fn start_count(&self) -> u64 {
        self.start_count
    }

    /// A step of its node; nothing while it is stopped.
    pub fn step(&mut self, now: Timestamp, wall_time: WallTime, input: Input) -> Vec<Effect> {
        match &mut self.node {
            Some(node) => node.step(now, wall_time, input),
            None => Vec::new(),
        }
    }
}
