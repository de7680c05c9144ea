//! What gateways do with their claims.

use super::network::{Link, Packet};
use super::{Gateway, KEY, World};
use crate::mutation::Mutation;
use rushcourse_messages::{ClaimVerdict, Message, VotingSet};
use rushcourse_routing::{Decision, Verdicts, VoteRequest, Withdrawal};
use rushcourse_types::{ClaimId, Epoch, KeyDigest, NodeId};

impl World<'_> {
    fn gateway_mut(&mut self, node: NodeId) -> &mut Gateway {
        self.gateways.get_mut(&node).expect("a gateway")
    }

    /// Gateways ask controllers that run.
    fn running_controllers(&self) -> Vec<NodeId> {
        let controllers = self.controllers.iter();
        let running = controllers.filter(|(_, controller)| controller.is_running());
        running.map(|(node, _)| *node).collect()
    }

    pub(super) fn begin_claim(&mut self, node: NodeId) {
        let running = self.running_controllers();
        let now = self.now.as_millis();
        let gateway = self.gateway_mut(node);
        gateway.begun += 1;
        let set = gateway.claims.voting_set().epoch;
        let begun = gateway
            .claims
            .begin(now, KEY, |voter| running.contains(&voter));
        let Some((claim, voters)) = begun else {
            return;
        };
        let request = VoteRequest {
            set,
            key: KEY,
            claim,
            voters,
        };
        self.request_votes(node, request);
    }

    fn request_votes(&mut self, node: NodeId, request: VoteRequest) {
        let message = Message::ClaimRequest {
            epoch: request.set,
            key: request.key,
            claim: request.claim,
        };
        self.send_to_voters(node, request.voters, &message);
    }

    fn withdraw(&mut self, node: NodeId, withdrawal: Withdrawal) {
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

    /// A gateway receives a voting set: claims that are under way are requested again under it.
    pub(super) fn voting_set_arrives(&mut self, from: NodeId, node: NodeId, voting_set: VotingSet) {
        let running = self.running_controllers();
        let now = self.now.as_millis();
        let claims = &mut self.gateway_mut(node).claims;
        let renewal = claims.set(now, from, voting_set, |voter| running.contains(&voter));
        for request in renewal.requests {
            self.request_votes(node, request);
        }
        for withdrawal in renewal.withdrawals {
            self.withdraw(node, withdrawal);
        }
        for Decision {
            claim, verdicts, ..
        } in renewal.decided
        {
            self.claim_decided(node, claim, verdicts);
        }
    }

    /// A voter's answer reaches a gateway.
    pub(super) fn vote_arrives(
        &mut self,
        from: NodeId,
        node: NodeId,
        epoch: Epoch,
        key: KeyDigest,
        claim: ClaimId,
        verdict: ClaimVerdict,
    ) {
        let now = if self.has_mutation(Mutation::VotesNeverExpire) {
            0
        } else {
            self.now.as_millis()
        };
        let Some(gateway) = self.gateways.get_mut(&node) else {
            return;
        };
        let claims = &mut gateway.claims;
        let decided = claims.vote(now, from, epoch, key, claim, verdict);
        if let Some(verdicts) = decided {
            self.claim_decided(node, claim, verdicts);
        }
    }

    /// Claims whose votes no longer count are decided.
    pub(super) fn expire_claims(&mut self) {
        let now = self.now.as_millis();
        let gateways: Vec<NodeId> = self.gateways.keys().copied().collect();
        for node in gateways {
            for decision in self.gateway_mut(node).claims.over(now) {
                self.claim_decided(node, decision.claim, decision.verdicts);
            }
        }
    }

    /// Won: the request may be sent. Else nothing was sent, and the claim is withdrawn at all voters that were asked.
    fn claim_decided(&mut self, node: NodeId, claim: ClaimId, verdicts: Verdicts) {
        let now = self.now.as_millis();
        let gateway = self.gateway_mut(node);
        if verdicts == Verdicts::Won {
            gateway.won = Some(claim);
            return;
        }
        let withdrawal = gateway.claims.withdraw(now, KEY, claim);
        self.withdraw(node, withdrawal);
    }

    /// A gateway sends the request that its claim was won for, and claims the key no more.
    pub(super) fn send_request(&mut self, node: NodeId) {
        let most_claims = self.scene.clients.claims;
        let gateway = self.gateway_mut(node);
        if gateway.won.take().is_some() {
            gateway.begun = most_claims;
            self.checker.request_sent();
        }
        self.checker.check_requests();
    }
}
