//! What frontend directors do with their claims.

use crate::world::{KEY, Sent, World};
use rushcourse_messages::{ClaimId, Message, NodeId, VotingSet};
use rushcourse_routing::{Decision, Verdicts, VoteRequest, Withdrawal};
use rushcourse_types::KeyDigest;

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
        let set = claimant.claims.voting_set().epoch;
        let Some((claim, voters)) = claimant
            .claims
            .begin(self.now, KeyDigest(KEY), |m| up.contains(&m))
        else {
            return;
        };
        self.ask(
            n,
            VoteRequest {
                set,
                key: KeyDigest(KEY),
                claim,
                voters,
            },
        );
    }

    pub(crate) fn ask(&mut self, n: NodeId, request: VoteRequest) {
        let VoteRequest {
            set,
            key,
            claim,
            voters,
        } = request;
        for voter in voters {
            self.links
                .entry((n, voter))
                .or_default()
                .push_back(Sent::Message(Message::ClaimRequest {
                    epoch: set,
                    key,
                    claim,
                }));
        }
    }

    pub(crate) fn withdraw(&mut self, n: NodeId, withdrawal: Withdrawal) {
        let Withdrawal { key, claim, voters } = withdrawal;
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
        let renewal = claimant
            .claims
            .set(self.now, from, set, |m| up.contains(&m));
        renewal
            .requests
            .into_iter()
            .for_each(|request| self.ask(n, request));
        renewal
            .withdrawals
            .into_iter()
            .for_each(|withdrawal| self.withdraw(n, withdrawal));
        for Decision {
            claim, verdicts, ..
        } in renewal.decided
        {
            self.decided(n, claim, verdicts);
        }
    }

    /// Won: the request may leave. Else nothing was sent, and the claim is withdrawn at all that were asked.
    pub(crate) fn decided(&mut self, n: NodeId, claim: ClaimId, verdicts: Verdicts) {
        let claimant = self.claimants.get_mut(&n).expect("known");
        if verdicts == Verdicts::Won {
            claimant.won = Some(claim);
            return;
        }
        let withdrawal = claimant.claims.withdraw(self.now, KeyDigest(KEY), claim);
        self.withdraw(n, withdrawal);
    }
}
