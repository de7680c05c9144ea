//! What is explored: how many nodes, which calls, how many faults.

use crate::actions::Action;
use crate::mutation::Mutation;
use crate::submission::Submission;

/// Who calls.
#[derive(Clone, Copy, Debug)]
pub struct Clients {
    /// Gateways that claim one key.
    pub gateways: u32,
    /// Claims that each of them begins at most.
    pub claims: u32,
    /// Configurations that operators put, each at another controller.
    pub submissions: &'static [Submission],
}

/// How often each may happen at most.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Losses of power, and kills.
    pub power_losses: u32,
    /// Disks that are lost.
    pub disk_wipes: u32,
    /// Machines that are lost for good.
    pub machine_losses: u32,
    /// Older disks that are put back.
    pub old_disks: u32,
    /// Controllers that get SIGTERM.
    pub shutdowns: u32,
    /// Sessions that break.
    pub session_breaks: u32,
    /// Controllers that are cut off.
    pub isolations: u32,
    /// Processes that stand still.
    pub pauses: u32,
    /// Waits of 450 ms.
    pub waits: u32,
    /// Operators' reads.
    pub reads: u32,
    /// Gateways that end and start again.
    pub gateway_restarts: u32,
}

/// One world to explore.
#[derive(Clone, Copy, Debug)]
pub struct Scene {
    /// As it is asked for and printed.
    pub name: &'static str,
    /// Controllers, 2 to 5, that are members of the voting set.
    pub members: u32,
    /// Controllers that are not.
    pub standbys: u32,
    /// Who calls.
    pub clients: Clients,
    /// How often each may happen at most.
    pub budget: Budget,
    /// Whether the voting set is made in this world, or there from the start.
    pub is_first_start: bool,
    /// Whether messages between controllers arrive at once: fewer orders, seen deeper.
    pub is_delivery_eager: bool,
    /// Whether an end of a session notices its break only once it has read all that was sent before.
    pub is_disconnect_queued: bool,
    /// What happens before the exploring begins; its faults and waits are not counted.
    pub setup_actions: &'static [Action],
    /// One walk in so many is closed at its end, 0 for none: faults end, and the world must recover.
    pub settle_every_nth_walk: usize,
    /// Random walks behind the breadth-first exploration: as many as it takes to catch its mutations, and some more.
    pub walks: usize,
    /// Which mutations it has to catch.
    pub catches: &'static [Mutation],
}

impl Scene {
    /// Whether controllers end and come back in it.
    pub(crate) fn has_restarts(&self) -> bool {
        self.budget.power_losses > 0 || self.budget.old_disks > 0 || self.has_wipes()
    }

    /// Whether disks are lost in it.
    pub(crate) fn has_wipes(&self) -> bool {
        let wipes = |action: &Action| matches!(action, Action::WipeDisk(_));
        self.budget.disk_wipes > 0 || self.setup_actions.iter().any(wipes)
    }

    /// Whether controllers are there that can become members.
    pub(crate) fn has_standbys(&self) -> bool {
        self.standbys > 0
    }
}
