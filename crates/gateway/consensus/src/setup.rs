//! Start parameters of a replica.

use rushcourse_types::{Incarnation, NodeId};
use std::sync::Arc;
use std::time::Duration;

/// Identity, seeds and timing bounds that a replica is started with.
#[derive(Clone, Debug)]
pub struct ReplicaSetup {
    /// Address under which the other controllers know this replica.
    pub node: NodeId,
    /// Zone of the machine that the replica runs on; voters are spread over zones.
    pub zone: Arc<str>,
    /// Drawn at random at each start. Tells ballots and snapshot cursors of this start from those of earlier ones.
    pub incarnation: Incarnation,
    /// Controllers listed in the settings. At the first start one of them proposes the first voting set.
    pub seeds: Vec<NodeId>,
    /// Whether the deployment starts for the first time, with empty disks on all machines.
    pub is_first_start: bool,
    /// Number of machines that may fail at the same time (`fault_tolerance.machines`).
    pub tolerated_losses: usize,
    /// Time from the return or arrival of a machine until the next loss has to be tolerated (`catch_up_s`).
    pub catch_up: Duration,
    /// Time for which a claim holds its operation key (`key_window_s`).
    pub key_window: Duration,
}
