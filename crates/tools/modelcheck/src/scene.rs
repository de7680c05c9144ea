//! Definition of a scene: the number of nodes, the calls of clients and the maximum number of faults.

use crate::actions::Action;
use crate::mutation::Mutation;
use crate::submission::Submission;

/// Gateways and operators, and the calls that they make.
#[derive(Clone, Copy, Debug)]
pub struct Clients {
    /// Number of gateways; all claim the same operation key.
    pub gateways: u32,
    /// Maximum number of claims per gateway.
    pub claims: u32,
    /// Configurations that operators submit; the number of a submission determines the controller that receives it.
    pub submissions: &'static [Submission],
}

/// Maximum number of occurrences of each fault, wait and read.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Power failures and kills of controllers.
    pub power_losses: u32,
    /// Restarts of a controller with an empty disk.
    pub disk_wipes: u32,
    /// Permanent losses of a controller.
    pub machine_losses: u32,
    /// Restarts of a controller with the disk contents of the initial state.
    pub old_disks: u32,
    /// SIGTERMs to controllers.
    pub shutdowns: u32,
    /// Breaks of a session between two controllers.
    pub session_breaks: u32,
    /// Isolations of a controller from all other controllers.
    pub isolations: u32,
    /// Suspensions of a controller.
    pub pauses: u32,
    /// Advances of the clock by 450 ms each.
    pub waits: u32,
    /// Reads of the configuration by operators.
    pub reads: u32,
    /// Restarts of a gateway.
    pub gateway_restarts: u32,
    /// Proposals of a state of the usage duty.
    pub duty_proposals: u32,
}

/// One configuration to explore.
#[derive(Clone, Copy, Debug)]
pub struct Scene {
    /// Name on the command line and in the output.
    pub name: &'static str,
    /// Number of controllers in the initial voting set, 2 to 5.
    pub members: u32,
    /// Number of controllers outside the initial voting set.
    pub standbys: u32,
    /// Gateways and operators that call the controllers.
    pub clients: Clients,
    /// Limits on faults, waits and reads after the setup actions.
    pub budget: Budget,
    /// Whether the voting set is formed during the scene; otherwise all members start with it on disk.
    pub is_first_start: bool,
    /// Whether messages between controllers are delivered immediately, which leaves fewer states and allows a deeper
    /// search.
    pub is_delivery_eager: bool,
    /// Whether a controller learns of a broken or new session only after it has read all earlier messages of that
    /// session.
    pub is_disconnect_queued: bool,
    /// Actions applied before the exploration; they don't count against the budget.
    pub setup_actions: &'static [Action],
    /// Interval, in walks, at which a walk ends with [`crate::World::settle`] and a check that the world has recovered;
    /// 0 for never.
    pub settle_every_nth_walk: usize,
    /// Default number of random walks after an incomplete breadth-first search.
    pub walks: usize,
    /// Mutations that an exploration of the scene has to detect.
    pub catches: &'static [Mutation],
}

impl Scene {
    /// Whether controllers may restart in the scene.
    pub(crate) fn has_restarts(&self) -> bool {
        self.budget.power_losses > 0 || self.budget.old_disks > 0 || self.has_wipes()
    }

    /// Whether disks are lost, during the setup actions or the exploration.
    pub(crate) fn has_wipes(&self) -> bool {
        let wipes = |action: &Action| matches!(action, Action::WipeDisk(_));
        self.budget.disk_wipes > 0 || self.setup_actions.iter().any(wipes)
    }

    /// Whether configurations or states of the usage duty are proposed.
    pub(crate) fn has_proposals(&self) -> bool {
        !self.clients.submissions.is_empty() || self.budget.duty_proposals > 0
    }

    /// Whether the scene has controllers that can replace members.
    pub(crate) fn has_standbys(&self) -> bool {
        self.standbys > 0
    }
}
