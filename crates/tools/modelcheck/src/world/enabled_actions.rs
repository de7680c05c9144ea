//! Actions that are possible in a state.

use super::{Controller, World};
use crate::actions::Action;
use rushcourse_types::NodeId;

impl World<'_> {
    /// Returns the actions that are possible in this state. Random walks select by index, so the order determines their
    /// results.
    pub fn enabled_actions(&self) -> Vec<Action> {
        let mut actions = self.deliveries();
        for (node, controller) in &self.controllers {
            if controller.is_running() {
                self.add_controller_actions(*node, controller, &mut actions);
            } else if !controller.is_lost {
                actions.push(Action::Start(*node));
            }
        }
        self.add_gateway_actions(&mut actions);
        actions.extend(
            self.submissions
                .iter()
                .map(|submission| Action::Put(*submission)),
        );
        if self.budget.waits > 0 {
            actions.push(Action::Wait);
        }
        actions
    }

    fn deliveries(&self) -> Vec<Action> {
        let is_paused = |node: NodeId| {
            let controller = self.controllers.get(&node);
            controller.is_some_and(|controller| controller.is_paused)
        };
        let links = self.network.busy_links();
        let links = links.filter(|link| !is_paused(link.to));
        links
            .map(|link| Action::Deliver {
                from: link.from,
                to: link.to,
            })
            .collect()
    }

    fn add_gateway_actions(&self, actions: &mut Vec<Action>) {
        for (node, gateway) in &self.gateways {
            if gateway.won_claim.is_some() {
                actions.push(Action::SendRequest(*node));
            } else if gateway.claims.is_idle() && gateway.claims_begun < self.scene.clients.claims {
                actions.push(Action::BeginClaim(*node));
            }
            if self.budget.gateway_restarts > 0 && gateway.claims_begun > 0 {
                actions.push(Action::RestartGateway(*node));
            }
        }
    }

    fn add_controller_actions(
        &self,
        node: NodeId,
        controller: &Controller,
        actions: &mut Vec<Action>,
    ) {
        let budget = &self.budget;
        let mut add =
            |is_possible: bool, action: Action| actions.extend(is_possible.then_some(action));
        let is_paused = controller.is_paused;
        add(is_paused, Action::Resume(node));
        add(
            !is_paused && controller.has_unsynced(),
            Action::SyncBatch(node),
        );
        add(!is_paused && budget.pauses > 0, Action::Pause(node));
        let may_read = budget.reads > 0 && self.checker.has_acknowledged();
        add(!is_paused && may_read, Action::Get(node));
        let may_propose = !is_paused && budget.duty_proposals > 0;
        add(may_propose, Action::ProposeDuty(node));
        let may_lose_power = budget.power_losses > 0;
        add(may_lose_power, Action::LosePower(node));
        add(
            may_lose_power && controller.has_unsynced(),
            Action::Kill(node),
        );
        let may_lose_disk = self.may_lose_disk(node);
        add(
            may_lose_disk && budget.disk_wipes > 0,
            Action::WipeDisk(node),
        );
        add(
            may_lose_disk && budget.machine_losses > 0,
            Action::LoseMachine(node),
        );
        let was_member = controller.initial_disk.has_complete_state;
        add(
            budget.old_disks > 0 && was_member && self.may_have_old_disk(node),
            Action::RestoreOldDisk(node),
        );
        let is_member = self.newest_voting_set().contains(node);
        add(budget.shutdowns > 0 && is_member, Action::ShutDown(node));
        let is_isolated = controller.is_isolated;
        add(is_isolated, Action::Reconnect(node));
        add(!is_isolated && budget.isolations > 0, Action::Isolate(node));
        if budget.session_breaks > 0 && !is_isolated {
            let peers = self.controllers.range(node..).skip(1);
            let connected = peers.filter(|(_, peer)| peer.is_running() && !peer.is_isolated);
            actions.extend(connected.map(|(peer, _)| Action::BreakSession(node, *peer)));
        }
    }

    /// Whether a voting set exists and the controller is not a member of the newest one.
    fn is_removed(&self, node: NodeId) -> bool {
        let newest = self.newest_voting_set();
        !newest.epoch.is_none() && !newest.contains(node)
    }

    /// Whether a controller may restart with an older disk: a removed member always, a member only while all other
    /// members vote, because a controller with an older disk counts as one that lost its disk.
    fn may_have_old_disk(&self, node: NodeId) -> bool {
        let members = &self.newest_voting_set().members;
        let mut others = members.iter().filter(|member| **member != node);
        self.is_removed(node) || others.all(|member| self.controller(*member).is_voter())
    }

    /// Whether a controller may lose its disk: at most a minority of the members may lack complete state at the same
    /// time. A removed member may always lose its disk.
    fn may_lose_disk(&self, node: NodeId) -> bool {
        if self.is_removed(node) {
            return true;
        }
        let is_lost = |member: &&NodeId| {
            let controller = self.controllers.get(*member);
            controller
                .is_none_or(|controller| controller.is_lost || !controller.has_complete_state())
        };
        let members = &self.newest_voting_set().members;
        let others = members.iter().filter(|member| **member != node);
        let max_lost = members.len().saturating_sub(1) / 2;
        others.filter(is_lost).count() < max_lost.max(1)
    }
}
