//! What a replica has to know of itself and its deployment.

use rushcourse_types::{Incarnation, NodeId};
use std::sync::Arc;
use std::time::Duration;

/// What a replica has to know of itself and its deployment at its start.
#[derive(Clone, Debug)]
pub struct ReplicaSetup {
    /// This replica.
    pub node: NodeId,
    /// The zone of its machine.
    pub zone: Arc<str>,
    /// Drawn at random at each start.
    pub incarnation: Incarnation,
    /// Controllers that the settings name.
    pub seeds: Vec<NodeId>,
    /// The whole system starts for the first time, with empty disks.
    pub is_first_start: bool,
    /// Machines that may be lost at once (`fault_tolerance.machines`).
    pub tolerated_losses: usize,
    /// Within this time after a machine came back, or joined, the next loss must be tolerated (`catch_up_s`).
    pub catch_up: Duration,
    /// For how long an operation key binds (`key_window_s`).
    pub key_window: Duration,
}
