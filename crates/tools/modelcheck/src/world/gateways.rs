//! Claims of gateways and the requests sent under them.

use super::apply::consume;
use super::network::{Link, Packet};
use super::{Gateway, KEY, World, new_gateway};
use crate::mutation::Mutation;
use rushcourse_messages::{ClaimVerdict, KeyHolder, Message, VotingSet};
use rushcourse_routing::{
    ClaimDecision, ClaimOutcome, ClaimRequest, ClaimResponse, ClaimWithdrawal,
};
use rushcourse_types::{Incarnation, NodeId, Timestamp};

impl World<'_> {
    fn gateway_mut(&mut self, node: NodeId) -> &mut Gateway {
        self.gateways
            .get_mut(&node)
            .expect("the scene has this gateway")
    }

    /// Restarts a gateway with a new incarnation and its current voting set. In-flight messages to it are lost.
    pub(super) fn restart_gateway(&mut self, node: NodeId) {
        consume(&mut self.budget.gateway_restarts);
        self.network.drop_all_to(node);
        let previous = &self.gateways[&node];
        let incarnation = Incarnation(previous.incarnation.0 + 1);
        let restarted = new_gateway(node, incarnation, previous.claims.voting_set());
        self.gateways.insert(node, restarted);
    }

    /// Controllers that gateways can reach; isolation doesn't affect sessions with gateways.
    fn running_controllers(&self) -> Vec<NodeId> {
        let controllers = self.controllers.iter();
        let running = controllers.filter(|(_, controller)| controller.is_running());
        running.map(|(node, _)| *node).collect()
    }

    pub(super) fn begin_claim(&mut self, node: NodeId) {
        let running = self.running_controllers();
        let now = self.now;
        let gateway = self.gateway_mut(node);
        gateway.claims_begun += 1;
        let claims = &mut gateway.claims;
        if let Some(request) = claims.start(now, KEY.into(), |voter| running.contains(&voter)) {
            self.request_votes(node, request);
        }
    }

    fn request_votes(&mut self, node: NodeId, request: ClaimRequest) {
        let message = Message::ClaimRequest {
            epoch: request.epoch,
            keys: request.keys,
            claim: request.claim,
        };
        self.send_to_voters(node, request.voters, &message);
    }

    fn withdraw(&mut self, node: NodeId, withdrawal: ClaimWithdrawal) {
        let message = Message::ClaimWithdrawal {
            key: withdrawal.key,
            claim: withdrawal.claim,
        };
        self.send_to_voters(node, withdrawal.voters, &message);
    }

    fn send_to_voters(&mut self, node: NodeId, voters: Vec<NodeId>, message: &Message) {
        for voter in voters {
            let link = Link {
                from: node,
                to: voter,
            };
            self.network.push(link, Packet::Message(message.clone()));
        }
    }

    /// Delivers a voting set to a gateway, which restarts its pending claims under a newer set.
    pub(super) fn deliver_voting_set(&mut self, from: NodeId, node: NodeId, voting_set: VotingSet) {
        let running = self.running_controllers();
        let now = self.now;
        let claims = &mut self.gateway_mut(node).claims;
        let is_running = |voter| running.contains(&voter);
        let actions = claims.voting_set_reported(now, from, voting_set, is_running);
        for request in actions.requests {
            self.request_votes(node, request);
        }
        for withdrawal in actions.withdrawals {
            self.withdraw(node, withdrawal);
        }
        for decision in actions.decisions {
            self.claim_decided(node, &decision);
        }
    }

    /// Delivers a voter's response to a gateway.
    pub(super) fn deliver_response(&mut self, from: NodeId, node: NodeId, response: ClaimResponse) {
        let now = if self.has_mutation(Mutation::VotesNeverExpire) {
            Timestamp::ZERO
        } else {
            self.now
        };
        if let ClaimVerdict::HeldBy(KeyHolder { key, claim }) = response.verdict
            && claim.node == node
            && self.has_mutation(Mutation::WithdrawsEarlierClaim)
        {
            let voters = self.gateways[&node].claims.voting_set().members.clone();
            self.withdraw(node, ClaimWithdrawal { key, claim, voters });
        }
        let Some(gateway) = self.gateways.get_mut(&node) else {
            return;
        };
        if let Some(decision) = gateway.claims.record_response(now, from, response) {
            self.claim_decided(node, &decision);
        }
    }

    /// Handles claims that have timed out at any gateway.
    pub(super) fn expire_claims(&mut self) {
        let now = self.now;
        let gateways: Vec<NodeId> = self.gateways.keys().copied().collect();
        for node in gateways {
            for decision in self.gateway_mut(node).claims.take_decided(now) {
                self.claim_decided(node, &decision);
            }
        }
    }

    /// Handles the outcome of a claim. A claim that is not won is withdrawn at all voters that were asked, since no
    /// request was sent under it.
    fn claim_decided(&mut self, node: NodeId, decision: &ClaimDecision) {
        let now = self.now;
        let gateway = self.gateway_mut(node);
        if decision.outcome == ClaimOutcome::Won {
            gateway.won_claim = Some(decision.claim);
            return;
        }
        let withdrawal = gateway.claims.withdraw(now, decision.key, decision.claim);
        self.withdraw(node, withdrawal);
    }

    /// Sends the request of a won claim; the gateway starts no further claims.
    pub(super) fn send_request(&mut self, node: NodeId) {
        let max_claims = self.scene.clients.claims;
        let gateway = self.gateway_mut(node);
        if gateway.won_claim.take().is_some() {
            gateway.claims_begun = max_claims;
            self.checker.request_sent();
        }
        self.checker.check_requests();
    }
}
