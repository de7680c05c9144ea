//! What each move does.

use super::{WAIT, World};
use crate::draft::Draft;
use crate::moves::Move;
use crate::mutation::Mutation;
use crate::simulation::UnsyncedWrites;
use rushcourse_consensus::{CallOutcome, ConsensusNode, DurableState, Input};
use rushcourse_types::{NodeId, Ticket};

/// Tickets of reads, from here on; lower ones are of puts.
const FIRST_READ: u64 = 1_000;

impl World<'_> {
    /// Plays a move.
    pub fn play(&mut self, what: Move) {
        match what {
            Move::Deliver { from, to } => self.deliver_next(from, to),
            Move::SyncBatch(node) => self.sync_batch(node),
            Move::Start(node) => self.start(node),
            Move::Reconnect(node) => self.reconnect(node),
            Move::Resume(node) => self.controller_mut(node).is_paused = false,
            Move::BeginClaim(node) => self.begin_claim(node),
            Move::SendRequest(node) => self.send_request(node),
            Move::RestartGateway(node) => self.restart_gateway(node),
            Move::Put(draft) => self.put(draft),
            Move::Get(node) => self.get(node),
            Move::Wait => self.wait(),
            Move::DeliverAll => self.deliver_all(),
            fault => self.play_fault(fault),
        }
        if self.scene.is_delivery_eager {
            self.deliver_between_controllers();
        }
        if self.has_mutation(Mutation::AcknowledgeAtHalf) {
            self.acknowledge_at_half();
        }
    }

    fn play_fault(&mut self, fault: Move) {
        match fault {
            Move::LosePower(node) => self.lose_power(node, UnsyncedWrites::Lost),
            Move::Kill(node) => self.lose_power(node, UnsyncedWrites::Written),
            Move::WipeDisk(node) => self.wipe_disk(node),
            Move::LoseMachine(node) => {
                spend(&mut self.budget.machine_losses);
                self.stop(node, UnsyncedWrites::Lost);
                self.controller_mut(node).is_lost = true;
            }
            Move::RestoreOldDisk(node) => {
                spend(&mut self.budget.old_disks);
                self.stop(node, UnsyncedWrites::Lost);
                let controller = self.controller_mut(node);
                let old_disk = controller.old_disk.clone();
                controller.simulated.disk.replace(old_disk);
                controller.has_old_disk = true;
                self.start(node);
            }
            Move::ShutDown(node) => {
                spend(&mut self.budget.shutdowns);
                self.step(node, Input::ShutDown);
            }
            Move::BreakSession(one, other) => {
                spend(&mut self.budget.session_breaks);
                self.cut(one, other);
                self.connect(one, other);
            }
            Move::Isolate(node) => self.isolate(node),
            Move::Pause(node) => {
                spend(&mut self.budget.pauses);
                self.controller_mut(node).is_paused = true;
            }
            _ => {}
        }
    }

    fn lose_power(&mut self, node: NodeId, unsynced: UnsyncedWrites) {
        spend(&mut self.budget.power_losses);
        self.stop(node, unsynced);
    }

    fn wipe_disk(&mut self, node: NodeId) {
        spend(&mut self.budget.disk_wipes);
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
        spend(&mut self.budget.isolations);
        for peer in self.reachable_peers(node) {
            self.cut(node, peer);
        }
        self.controller_mut(node).is_isolated = true;
    }

    /// Each operator asks another controller.
    fn put(&mut self, draft: Draft) {
        self.drafts.retain(|left| *left != draft);
        let node = NodeId(1 + (draft.0 as u32) % self.scene.members);
        if self.controller(node).is_running() {
            self.checker.put_begun(draft, node);
        }
        let put = Input::PutConfiguration {
            ticket: draft.ticket(),
            version: draft.version(),
            text: draft.text(),
        };
        self.step(node, put);
    }

    fn get(&mut self, node: NodeId) {
        spend(&mut self.budget.reads);
        let ticket = Ticket(FIRST_READ + u64::from(self.budget.reads));
        self.checker.read_begun(ticket);
        if self.has_mutation(Mutation::ReadsLocally) {
            return self.read_locally(node, ticket);
        }
        self.step(node, Input::GetConfiguration { ticket });
    }

    /// The answer that a controller would give by itself.
    fn read_locally(&mut self, node: NodeId, ticket: Ticket) {
        let running = self.controller(node).simulated.node();
        let committed = running.and_then(ConsensusNode::committed_configuration);
        let outcome = committed.map_or(CallOutcome::NoConfiguration, CallOutcome::Configuration);
        self.checker.answered(ticket, &outcome);
    }

    fn wait(&mut self) {
        spend(&mut self.budget.waits);
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

pub(super) fn spend(left: &mut u32) {
    *left = left.saturating_sub(1);
}
