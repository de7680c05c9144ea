//! Effects of actions.

use super::{WAIT, World};
use crate::actions::Action;
use crate::mutation::Mutation;
use crate::simulation::UnsyncedWrites;
use crate::submission::Submission;
use rushcourse_consensus::{CallOutcome, ConsensusNode, DurableState, Input};
use rushcourse_messages::{DutyState, UsageReport};
use rushcourse_types::{NodeId, Ticket, WindowNumber};
use std::sync::Arc;

/// Tickets of reads start here; tickets of puts are the numbers of the submissions.
const FIRST_READ: u64 = 1_000;

impl World<'_> {
    /// Applies an action to the world.
    pub fn apply(&mut self, action: Action) {
        match action {
            Action::Deliver { from, to } => self.deliver_next(from, to),
            Action::SyncBatch(node) => self.sync_batch(node),
            Action::Start(node) => self.start(node),
            Action::Reconnect(node) => self.reconnect(node),
            Action::Resume(node) => self.controller_mut(node).is_paused = false,
            Action::BeginClaim(node) => self.begin_claim(node),
            Action::SendRequest(node) => self.send_request(node),
            Action::RestartGateway(node) => self.restart_gateway(node),
            Action::Put(submission) => self.put(submission),
            Action::Get(node) => self.get(node),
            Action::ProposeDuty(node) => self.propose_duty(node),
            Action::Wait => self.wait(),
            Action::DeliverAll => self.deliver_all(),
            fault => self.apply_fault(fault),
        }
        if self.scene.is_delivery_eager {
            self.deliver_between_controllers();
        }
        if self.has_mutation(Mutation::AcknowledgeAtHalf) {
            self.acknowledge_at_half();
        }
    }

    fn apply_fault(&mut self, fault: Action) {
        match fault {
            Action::LosePower(node) => self.lose_power(node, UnsyncedWrites::Lost),
            Action::Kill(node) => self.lose_power(node, UnsyncedWrites::Written),
            Action::WipeDisk(node) => self.wipe_disk(node),
            Action::LoseMachine(node) => {
                consume(&mut self.budget.machine_losses);
                self.stop(node, UnsyncedWrites::Lost);
                self.controller_mut(node).is_lost = true;
            }
            Action::RestoreOldDisk(node) => {
                consume(&mut self.budget.old_disks);
                self.stop(node, UnsyncedWrites::Lost);
                let controller = self.controller_mut(node);
                let initial_disk = controller.initial_disk.clone();
                controller.simulated.disk.replace(initial_disk);
                controller.has_old_disk = true;
                self.start(node);
            }
            Action::ShutDown(node) => {
                consume(&mut self.budget.shutdowns);
                self.step(node, Input::ShutDown);
            }
            Action::BreakSession(one, other) => {
                consume(&mut self.budget.session_breaks);
                self.abort_session(one, other);
                self.connect(one, other);
            }
            Action::Isolate(node) => self.isolate(node),
            Action::Pause(node) => {
                consume(&mut self.budget.pauses);
                self.controller_mut(node).is_paused = true;
            }
            _ => {}
        }
    }

    fn lose_power(&mut self, node: NodeId, unsynced: UnsyncedWrites) {
        consume(&mut self.budget.power_losses);
        self.stop(node, unsynced);
    }

    fn wipe_disk(&mut self, node: NodeId) {
        consume(&mut self.budget.disk_wipes);
        self.stop(node, UnsyncedWrites::Lost);
        let disk = &mut self.controller_mut(node).simulated.disk;
        let voting_set = disk.durable().voting_set.clone();
        disk.replace(DurableState::default());
        if self.has_mutation(Mutation::VoteAfterWipe) {
            let disk = &mut self.controller_mut(node).simulated.disk;
            disk.replace(DurableState {
                voting_set,
                has_complete_state: true,
                ..DurableState::default()
            });
        }
        self.start(node);
    }

    fn isolate(&mut self, node: NodeId) {
        consume(&mut self.budget.isolations);
        for peer in self.reachable_peers(node) {
            self.abort_session(node, peer);
        }
        self.controller_mut(node).is_isolated = true;
    }

    /// Submits a configuration; the number of the submission determines the controller.
    fn put(&mut self, submission: Submission) {
        self.submissions.retain(|pending| *pending != submission);
        let node = NodeId(1 + (submission.0 as u32) % self.scene.members);
        if self.controller(node).is_running() {
            self.checker.put_started(submission, node);
        }
        let put = Input::PutConfiguration {
            ticket: submission.ticket(),
            version: submission.version(),
            text: submission.text(),
        };
        self.step(node, put);
    }

    fn get(&mut self, node: NodeId) {
        consume(&mut self.budget.reads);
        let ticket = Ticket(FIRST_READ + u64::from(self.budget.reads));
        self.checker.read_started(ticket);
        if self.has_mutation(Mutation::ReadsLocally) {
            return self.read_locally(node, ticket);
        }
        self.step(node, Input::GetConfiguration { ticket });
    }

    /// Proposes the state of the usage duty that follows the newest one that the controller knows. Reports of different
    /// proposals differ.
    fn propose_duty(&mut self, node: NodeId) {
        consume(&mut self.budget.duty_proposals);
        let running = self.controller(node).simulated.node();
        let next = match running.and_then(ConsensusNode::duty) {
            None => DutyState::first(node, "c"),
            Some(known) if known.holder != node => known.take_over(node, "c"),
            Some(known) => {
                let remaining = self.budget.duty_proposals;
                let window = known
                    .settled_through
                    .map_or(WindowNumber(1), WindowNumber::next);
                let body = Arc::from([node.0 as u8, remaining as u8]);
                let settled = known.settle(UsageReport { window, body });
                settled.expect("the window is above the settled ones")
            }
        };
        self.step(node, Input::ProposeDuty(next));
    }

    /// Under `ReadsLocally`, answers a read with the configuration that the controller knows to be committed.
    fn read_locally(&mut self, node: NodeId, ticket: Ticket) {
        let running = self.controller(node).simulated.node();
        let committed = running.and_then(ConsensusNode::committed_configuration);
        let outcome = committed.map_or(CallOutcome::NoConfiguration, CallOutcome::Configuration);
        self.checker.call_answered(ticket, &outcome);
    }

    fn wait(&mut self) {
        consume(&mut self.budget.waits);
        self.now += WAIT;
        let controllers = self.controllers.iter();
        let awake = controllers.filter(|(_, controller)| !controller.is_paused);
        let awake: Vec<NodeId> = awake.map(|(node, _)| *node).collect();
        for node in awake {
            self.step(node, Input::Tick);
        }
        if !self.has_mutation(Mutation::VotesNeverExpire) {
            self.expire_claims();
        }
    }
}

pub(super) fn consume(remaining: &mut u32) {
    *remaining = remaining.saturating_sub(1);
}
