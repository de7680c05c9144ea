//! What frontend directors do with their claims.

use crate::world::{KEY, Sent, World};
use rushcourse_messages::{Message, NodeId, VotingSet};
use rushcourse_routing::{ClaimDecision, ClaimOutcome, ClaimRequest, ClaimWithdrawal};
use rushcourse_types::{KeyDigest, Timestamp};

impl World {
    pub(crate) fn begin(&mut self, n: NodeId) {
        let up: Vec<NodeId> = self
            .cores
            .iter()
            .filter(|c| c.1.register.is_some())
            .map(|c| *c.0)
            .collect();
        let claimant = self.claimants.get_mut(&n).expect("known");
        claimant.begun += 1;
        let now = Timestamp::from_millis(self.now);
        let request = claimant
            .claims
            .start(now, KeyDigest(KEY), |m| up.contains(&m));
        if let Some(request) = request {
            self.ask(n, request);
        }
    }

    pub(crate) fn ask(&mut self, n: NodeId, request: ClaimRequest) {
        let ClaimRequest {
            epoch,
            key,
            claim,
            voters,
        } = request;
        for voter in voters {
            self.links
                .entry((n, voter))
                .or_default()
                .push_back(Sent::Message(Message::ClaimRequest { epoch, key, claim }));
        }
    }

    pub(crate) fn withdraw(&mut self, n: NodeId, withdrawal: ClaimWithdrawal) {
        let ClaimWithdrawal { key, claim, voters } = withdrawal;
        for voter in voters {
            self.links
                .entry((n, voter))
                .or_default()
                .push_back(Sent::Message(Message::ClaimWithdrawal { key, claim }));
        }
    }

    /// A claimant hears of a voting set.
    pub(crate) fn renewed(&mut self, from: NodeId, n: NodeId, set: VotingSet) {
        let up: Vec<NodeId> = self
            .cores
            .iter()
            .filter(|c| c.1.register.is_some())
            .map(|c| *c.0)
            .collect();
        let claimant = self.claimants.get_mut(&n).expect("known");
        let now = Timestamp::from_millis(self.now);
        let actions = claimant
            .claims
            .voting_set_reported(now, from, set, |m| up.contains(&m));
        actions
            .requests
            .into_iter()
            .for_each(|request| self.ask(n, request));
        actions
            .withdrawals
            .into_iter()
            .for_each(|withdrawal| self.withdraw(n, withdrawal));
        for decision in actions.decisions {
            self.decided(n, decision);
        }
    }

    /// Won: the request may leave. Else nothing was sent, and the claim is withdrawn at all that were asked.
    pub(crate) fn decided(&mut self, n: NodeId, decision: ClaimDecision) {
        let claimant = self.claimants.get_mut(&n).expect("known");
        if decision.outcome == ClaimOutcome::Won {
            claimant.won = Some(decision.claim);
            return;
        }
        let now = Timestamp::from_millis(self.now);
        let withdrawal = claimant.claims.withdraw(now, decision.key, decision.claim);
        self.withdraw(n, withdrawal);
    }
}
