//! Starts, stops and steps of controllers, their effects and their sessions.

use super::World;
use super::network::{Link, Packet};
use crate::mutation::Mutation;
use crate::simulation::UnsyncedWrites;
use rushcourse_consensus::{
    ClaimAnswer, CommittedConfiguration, Effect, Input, WriteBatch, WriteOperation,
};
use rushcourse_messages::{Message, VotingSet};
use rushcourse_types::{ConfigurationVersion, NodeId, SessionId};

impl World<'_> {
    /// Steps a controller and carries out the effects; ignored while it is stopped.
    pub(super) fn step(&mut self, node: NodeId, input: Input) {
        let (now, wall_time) = (self.now, self.wall_time());
        let inputs = self.with_stale_reports(node, input);
        let Some(controller) = self.controllers.get_mut(&node) else {
            return;
        };
        let steps = inputs.into_iter();
        let effects: Vec<Effect> = steps
            .flat_map(|input| controller.simulated.step(now, wall_time, input))
            .collect();
        if controller.has_old_disk && controller.is_voter() {
            controller.has_old_disk = false;
        }
        for effect in effects {
            self.carry_out(node, effect);
        }
    }

    fn carry_out(&mut self, node: NodeId, effect: Effect) {
        match effect {
            Effect::Write(batch) => self.write(node, batch),
            Effect::Send { to, message } => match self.implicit_promise(&message) {
                Some(promise) => self.deliver_to_controller(to, node, promise),
                None => self.send(node, to, message),
            },
            Effect::AnswerClaim(answer) => self.answer_claim(node, answer),
            Effect::AnswerCall { ticket, outcome } => self.checker.call_answered(ticket, &outcome),
            Effect::ConfigurationCommitted(configuration) => {
                self.configuration_committed(node, &configuration);
            }
            Effect::VotingSetAdopted(voting_set) => {
                self.checker.voting_set_adopted(&voting_set);
                self.announce_to_gateways(node, voting_set);
            }
            Effect::DutyCommitted(state) => self.checker.duty_committed(state),
            Effect::Log(_) => {}
        }
    }

    fn write(&mut self, node: NodeId, batch: WriteBatch) {
        let id = batch.id;
        self.controller_mut(node).simulated.disk.write(batch);
        if self.has_mutation(Mutation::AnswerBeforeSync) {
            self.step(node, Input::BatchSynced(id));
        }
    }

    /// Delivers a message from one controller to another.
    pub(super) fn deliver_to_controller(&mut self, from: NodeId, to: NodeId, message: Message) {
        self.step(to, Input::MessageReceived { from, message });
    }

    /// Answers a claim, unless its gateway was restarted, which closed the session that the claim arrived on.
    fn answer_claim(&mut self, node: NodeId, answer: ClaimAnswer) {
        let gateway = gateway_of(answer.session);
        if self.gateways[&gateway].incarnation != answer.claim.incarnation {
            return;
        }
        let response = Message::ClaimResponse {
            epoch: answer.epoch,
            claim_number: answer.claim.number,
            verdict: answer.verdict,
        };
        self.send(node, gateway, response);
    }

    fn configuration_committed(&mut self, node: NodeId, committed: &CommittedConfiguration) {
        let earlier = self.controller(node).committed;
        self.checker
            .configuration_committed(node, earlier, committed);
        self.controller_mut(node).committed = committed.version;
    }

    /// Sends a voting set to all gateways, in scenes in which it may change.
    fn announce_to_gateways(&mut self, node: NodeId, voting_set: VotingSet) {
        if self.scene.has_standbys() && !voting_set.epoch.is_none() {
            let gateways: Vec<NodeId> = self.gateways.keys().copied().collect();
            for gateway in gateways {
                self.send(node, gateway, Message::VotingSet(voting_set.clone()));
            }
        }
    }

    /// Syncs the oldest unsynced batch of a controller's disk.
    pub(super) fn sync_batch(&mut self, node: NodeId) {
        let Some(controller) = self.controllers.get_mut(&node) else {
            return;
        };
        let disk = &mut controller.simulated.disk;
        let batch = disk.oldest_unsynced();
        let is_joining = batch.is_some_and(|batch| joins_without_state(node, batch));
        let Some(id) = disk.sync() else {
            return;
        };
        if !self.has_mutation(Mutation::AnswerBeforeSync) {
            self.step(node, Input::BatchSynced(id));
        }
        if is_joining && self.has_mutation(Mutation::LearnerCounts) {
            self.restart_as_voter(node);
        }
    }

    /// Starts a controller from its disk and connects it to all reachable peers.
    pub(super) fn start(&mut self, node: NodeId) {
        let deployment = self.deployment();
        let controller = self.controller_mut(node);
        controller.committed = ConfigurationVersion::NONE;
        controller.simulated.start(&deployment);
        self.step(node, Input::Tick);
        let durable = self.controller(node).simulated.disk.durable();
        let voting_set = durable.voting_set.clone();
        self.announce_to_gateways(node, voting_set);
        self.connect_to_peers(node);
    }

    /// Stops a controller, closes its sessions and drops the messages in flight to it.
    pub(super) fn stop(&mut self, node: NodeId, unsynced: UnsyncedWrites) {
        for peer in self.reachable_peers(node) {
            self.disconnect(node, peer);
        }
        self.network.drop_all_to(node);
        let controller = self.controller_mut(node);
        controller.simulated.stop(unsynced);
        controller.is_paused = false;
        controller.sessions.clear();
        self.last_reports.retain(|link, _| link.to != node);
        self.checker.controller_stopped(node);
    }

    pub(super) fn reconnect(&mut self, node: NodeId) {
        self.controller_mut(node).is_isolated = false;
        if self.controller(node).is_running() {
            self.connect_to_peers(node);
        }
    }

    fn connect_to_peers(&mut self, node: NodeId) {
        for peer in self.reachable_peers(node) {
            self.connect(node, peer);
        }
    }

    /// Running controllers that this one has or can establish sessions with; empty while it is isolated.
    pub(super) fn reachable_peers(&self, node: NodeId) -> Vec<NodeId> {
        if self.controller(node).is_isolated {
            return Vec::new();
        }
        let peers = self.controllers.iter().filter(|(peer, controller)| {
            **peer != node && controller.is_running() && !controller.is_isolated
        });
        peers.map(|(peer, _)| *peer).collect()
    }

    /// Establishes a session between two controllers.
    pub(super) fn connect(&mut self, one: NodeId, other: NodeId) {
        let link = Link {
            from: one,
            to: other,
        };
        let session = self.network.connect(link);
        self.notify_ends(link, Some(session));
    }

    /// Closes the session of two controllers. In-flight messages are dropped unless disconnects are queued behind them.
    fn disconnect(&mut self, one: NodeId, other: NodeId) {
        let link = Link {
            from: one,
            to: other,
        };
        self.network.disconnect(link);
        if !self.scene.is_disconnect_queued {
            self.network.drop_between(link);
        }
        self.notify_ends(link, None);
    }

    /// Closes the session of two controllers and drops all in-flight messages between them.
    pub(super) fn abort_session(&mut self, one: NodeId, other: NodeId) {
        self.network.drop_between(Link {
            from: one,
            to: other,
        });
        self.disconnect(one, other);
    }

    /// Informs both ends that a session was established or closed: immediately, or by a packet behind the in-flight
    /// messages.
    fn notify_ends(&mut self, link: Link, session: Option<SessionId>) {
        for end in [link.reversed(), link] {
            if self.scene.is_disconnect_queued {
                let packet = session.map_or(Packet::Disconnected, Packet::Connected);
                self.network.push(end, packet);
            } else {
                self.session_changed(end.to, end.from, session);
            }
        }
    }

    /// Updates the sessions of one end and passes the change to its replica.
    pub(super) fn session_changed(
        &mut self,
        node: NodeId,
        peer: NodeId,
        session: Option<SessionId>,
    ) {
        let zone = self.deployment().zone(peer);
        let Some(controller) = self.controllers.get_mut(&node) else {
            return;
        };
        let input = match session {
            Some(session) => {
                controller.sessions.insert(peer, session);
                Input::PeerConnected { peer, zone }
            }
            None => {
                controller.sessions.remove(&peer);
                Input::PeerDisconnected(peer)
            }
        };
        self.last_reports.remove(&Link {
            from: peer,
            to: node,
        });
        self.step(node, input);
    }
}

/// Session on which controllers receive the claims of a gateway.
pub(super) fn session_of(gateway: NodeId) -> SessionId {
    SessionId(u64::from(gateway.0))
}

fn gateway_of(session: SessionId) -> NodeId {
    NodeId(session.0 as u32)
}

/// Whether a batch makes a controller a member that lacks state.
fn joins_without_state(node: NodeId, batch: &WriteBatch) -> bool {
    let operations = &batch.operations;
    let is_member = |operation: &WriteOperation| match operation {
        WriteOperation::StoreVotingSet(set) => set.contains(node),
        _ => false,
    };
    operations.iter().any(is_member) && operations.contains(&WriteOperation::MarkStateIncomplete)
}
