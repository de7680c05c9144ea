//! Which moves a world has.

use super::{Controller, World};
use crate::moves::Move;
use rushcourse_types::NodeId;

impl World<'_> {
    /// What may happen next. The order is part of the figures that random walks give.
    pub fn moves(&self) -> Vec<Move> {
        let mut moves = self.deliveries();
        for (node, controller) in &self.controllers {
            if controller.is_running() {
                self.add_moves_of_running(*node, controller, &mut moves);
            } else if !controller.is_lost {
                moves.push(Move::Start(*node));
            }
        }
        self.add_moves_of_gateways(&mut moves);
        moves.extend(self.drafts.iter().map(|draft| Move::Put(*draft)));
        if self.budget.waits > 0 {
            moves.push(Move::Wait);
        }
        moves
    }

    fn deliveries(&self) -> Vec<Move> {
        let is_paused = |node: NodeId| {
            let controller = self.controllers.get(&node);
            controller.is_some_and(|controller| controller.is_paused)
        };
        let links = self.network.busy_links();
        let links = links.filter(|link| !is_paused(link.to));
        links
            .map(|link| Move::Deliver {
                from: link.from,
                to: link.to,
            })
            .collect()
    }

    fn add_moves_of_gateways(&self, moves: &mut Vec<Move>) {
        for (node, gateway) in &self.gateways {
            if gateway.won.is_some() {
                moves.push(Move::SendRequest(*node));
            } else if gateway.claims.is_idle() && gateway.begun < self.scene.clients.claims {
                moves.push(Move::BeginClaim(*node));
            }
            if self.budget.gateway_restarts > 0 && gateway.begun > 0 {
                moves.push(Move::RestartGateway(*node));
            }
        }
    }

    fn add_moves_of_running(&self, node: NodeId, controller: &Controller, moves: &mut Vec<Move>) {
        let budget = &self.budget;
        let mut add = |is_possible: bool, what: Move| moves.extend(is_possible.then_some(what));
        let is_paused = controller.is_paused;
        add(is_paused, Move::Resume(node));
        add(
            !is_paused && controller.has_unsynced(),
            Move::SyncBatch(node),
        );
        add(!is_paused && budget.pauses > 0, Move::Pause(node));
        let may_read = budget.reads > 0 && self.checker.has_acknowledged();
        add(!is_paused && may_read, Move::Get(node));
        let may_lose_power = budget.power_losses > 0;
        add(may_lose_power, Move::LosePower(node));
        add(
            may_lose_power && controller.has_unsynced(),
            Move::Kill(node),
        );
        let may_lose_disk = self.may_lose_disk(node);
        add(may_lose_disk && budget.disk_wipes > 0, Move::WipeDisk(node));
        add(
            may_lose_disk && budget.machine_losses > 0,
            Move::LoseMachine(node),
        );
        let was_member = controller.old_disk.has_complete_state;
        add(
            budget.old_disks > 0 && was_member && self.may_have_old_disk(node),
            Move::RestoreOldDisk(node),
        );
        let is_member = self.newest_voting_set().contains(node);
        add(budget.shutdowns > 0 && is_member, Move::ShutDown(node));
        let is_isolated = controller.is_isolated;
        add(is_isolated, Move::Reconnect(node));
        add(!is_isolated && budget.isolations > 0, Move::Isolate(node));
        if budget.session_breaks > 0 && !is_isolated {
            let peers = self.controllers.range(node..).skip(1);
            let connected = peers.filter(|(_, peer)| peer.is_running() && !peer.is_isolated);
            moves.extend(connected.map(|(peer, _)| Move::BreakSession(node, *peer)));
        }
    }

    /// Whether there is a voting set, and a controller is no member of the newest one.
    fn is_removed(&self, node: NodeId) -> bool {
        let newest = self.newest_voting_set();
        !newest.epoch.is_none() && !newest.contains(node)
    }

    /// A removed member may come back with an older disk at any time. A member may while all others vote: an older copy
    /// counts as a lost disk, and so does a member that recovers.
    fn may_have_old_disk(&self, node: NodeId) -> bool {
        let members = &self.newest_voting_set().members;
        let mut others = members.iter().filter(|member| **member != node);
        self.is_removed(node) || others.all(|member| self.controller(*member).is_voter())
    }

    /// A minority of disks may be lost at once. A disk counts as lost until its controller has complete state again or
    /// is replaced.
    fn may_lose_disk(&self, node: NodeId) -> bool {
        if self.is_removed(node) {
            return true;
        }
        let is_lost = |member: &&NodeId| {
            let controller = self.controllers.get(*member);
            controller.is_none_or(|found| found.is_lost || !found.has_complete_state())
        };
        let members = &self.newest_voting_set().members;
        let others = members.iter().filter(|member| **member != node);
        let most = members.len().saturating_sub(1) / 2;
        others.filter(is_lost).count() < most.max(1)
    }
}
