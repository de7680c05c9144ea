//! Sending and delivery of messages.

use super::controllers::session_of;
use super::network::{Link, Packet};
use super::{Controller, FIRST_GATEWAY, World};
use crate::mutation::Mutation;
use rushcourse_consensus::{ClaimRequest, Input};
use rushcourse_messages::Message;
use rushcourse_routing::ClaimResponse;
use rushcourse_types::NodeId;

impl World<'_> {
    /// Sends a message. Messages that are irrelevant to the scene, or are sent without a session, are dropped.
    pub(super) fn send(&mut self, from: NodeId, to: NodeId, message: Message) {
        let link = Link { from, to };
        let is_kept = self.is_relevant(&message) && self.is_connected(link);
        self.network.push_message(link, message, is_kept);
    }

    /// Whether a message can affect what the scene explores. Dropping all others keeps the number of states small.
    fn is_relevant(&self, message: &Message) -> bool {
        let scene = self.scene;
        let has_standbys = scene.has_standbys();
        match message {
            Message::ClaimResponse { .. }
            | Message::ClaimRequest { .. }
            | Message::ClaimWithdrawal { .. } => true,
            Message::SnapshotRequest { .. } | Message::SnapshotChunk { .. } => {
                has_standbys || scene.has_restarts()
            }
            Message::ReplicaStatus { .. } if scene.has_restarts() || self.is_starting() => true,
            Message::VotingSet(_) => has_standbys || scene.is_first_start || scene.has_wipes(),
            _ => has_standbys || scene.has_proposals(),
        }
    }

    /// Whether any controller is still recovering after its start.
    fn is_starting(&self) -> bool {
        let mut controllers = self.controllers.values();
        controllers.any(Controller::is_recovering)
    }

    /// Whether the sender's session with the receiver is the current one. Always true for links from or to gateways.
    fn is_connected(&self, link: Link) -> bool {
        let sender = self.controllers.get(&link.from);
        let Some(sender) = sender.filter(|_| self.controllers.contains_key(&link.to)) else {
            return true;
        };
        let session = self.network.session(link);
        session.is_some() && sender.sessions.get(&link.to).copied() == session
    }

    /// Delivers the oldest packet of a link.
    pub(super) fn deliver_next(&mut self, from: NodeId, to: NodeId) {
        match self.network.pop(Link { from, to }) {
            Some(Packet::Message(message)) => self.deliver_message(from, to, message),
            Some(Packet::Disconnected) => self.session_changed(to, from, None),
            Some(Packet::Connected(session)) => self.session_changed(to, from, Some(session)),
            None => {}
        }
    }

    fn deliver_message(&mut self, from: NodeId, to: NodeId, message: Message) {
        let (from, message) = self.mutate_message(from, to, message);
        match message {
            Message::ClaimResponse {
                epoch,
                claim_number,
                verdict,
            } => {
                let response = ClaimResponse {
                    epoch,
                    claim_number,
                    verdict,
                };
                self.deliver_response(from, to, response);
            }
            Message::ClaimRequest { epoch, keys, claim } => {
                let request = ClaimRequest {
                    session: session_of(from),
                    epoch,
                    keys,
                    claim,
                };
                self.step(to, Input::Claim(request));
            }
            Message::ClaimWithdrawal { key, claim } => {
                self.step(to, Input::WithdrawClaim { key, claim });
            }
            Message::VotingSet(voting_set) if to >= FIRST_GATEWAY => {
                let is_idle = self.gateways[&to].claims.is_idle();
                if is_idle || !self.has_mutation(Mutation::EpochUnchecked) {
                    self.deliver_voting_set(from, to, voting_set);
                }
            }
            other => self.deliver_to_controller(from, to, other),
        }
    }

    /// Delivers all messages between controllers in the order of their links, except from and to paused controllers.
    pub(super) fn deliver_between_controllers(&mut self) {
        while let Some(link) = self.next_between_controllers() {
            self.deliver_next(link.from, link.to);
        }
    }

    fn next_between_controllers(&self) -> Option<Link> {
        let is_awake = |node: NodeId| {
            let controller = self.controllers.get(&node);
            controller.is_some_and(|controller| !controller.is_paused)
        };
        let mut links = self.network.busy_links();
        links.find(|link| is_awake(link.from) && is_awake(link.to))
    }

    /// Delivers messages between controllers and syncs disks until nothing is pending, except at paused controllers.
    pub(super) fn deliver_all(&mut self) {
        loop {
            self.deliver_between_controllers();
            let mut controllers = self.controllers.iter();
            let writing = controllers
                .find(|(_, controller)| !controller.is_paused && controller.has_unsynced());
            let Some((node, _)) = writing else {
                return;
            };
            self.sync_batch(*node);
        }
    }
}
