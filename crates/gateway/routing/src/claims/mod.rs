//! Claims of operation keys, from the claimant's side. A claim is won once a majority of the voting set has granted it,
//! in time: a grant that comes later is none, since a voter that lost its disk relies on that before it votes again.
//!
//! Invariant across changes of the voting set: a claim is won only by grants that carry one and the same epoch, come from
//! a majority of that voting set, and arrive within [`CLAIM_TIMEOUT`] of the claim's start. A newer voting set restarts
//! every pending claim, under the same id: its verdicts are cleared, so grants of two sets never add up, and its end
//! stays where it was, so no grant counts longer than a voter that lost its disk waits before it votes again. Verdicts
//! that carry an older epoch are dropped (fencing).
//!
//! Voters adopt a new voting set one after the other. `Abstained` of a voter whose last reported epoch is older than the
//! one that it was asked under says only that it isn't there yet: its verdict stays open, and it is asked again when it
//! reports the new set.
//!
//! * `requests.rs`: what is to be sent to voters, and what a claim came to.
//! * `pending.rs`: the verdicts on one claim.
//! * `withdrawals.rs`: which voters are told that a claim is withdrawn.

mod pending;
mod requests;
mod withdrawals;

pub use pending::CLAIM_TIMEOUT;
pub use requests::{
    ClaimActions, ClaimDecision, ClaimOutcome, ClaimRequest, ClaimResponse, ClaimWithdrawal,
};
pub use withdrawals::WITHDRAWAL_RESEND_WINDOW;

use pending::PendingClaim;
use rushcourse_messages::{ClaimId, ClaimVerdict, NodeId, VotingSet};
use rushcourse_types::{Epoch, Incarnation, KeyDigest, Timestamp};
use std::collections::BTreeMap;
use withdrawals::Withdrawals;

/// Claims that wait for verdicts at once (ours): far over what a gateway carries; more are refused.
const MAX_PENDING_CLAIMS: usize = 4_096;

/// The claims of one incarnation of a gateway.
#[derive(Clone, Debug)]
pub struct Claims {
    me: NodeId,
    incarnation: Incarnation,
    /// The number of the last claim.
    last_number: u64,
    voting_set: VotingSet,
    /// The epoch that each voter reported last, while its session stands.
    reported_epochs: BTreeMap<NodeId, Epoch>,
    withdrawals: Withdrawals,
    pending: BTreeMap<KeyDigest, PendingClaim>,
}

impl Claims {
    /// No claims and no voting set yet.
    pub fn new(me: NodeId, incarnation: Incarnation) -> Claims {
        Claims {
            me,
            incarnation,
            last_number: 0,
            voting_set: VotingSet::default(),
            reported_epochs: BTreeMap::new(),
            withdrawals: Withdrawals::default(),
            pending: BTreeMap::new(),
        }
    }

    /// A controller reports the voting set that it holds. A newer one than was known restarts every pending claim under
    /// it; at the one that is known the claims that wait for this controller are sent to it.
    pub fn voting_set_reported(
        &mut self,
        now: Timestamp,
        controller: NodeId,
        voting_set: VotingSet,
        is_connected: impl Fn(NodeId) -> bool,
    ) -> ClaimActions {
        self.reported_epochs.insert(controller, voting_set.epoch);
        if voting_set.epoch > self.voting_set.epoch {
            self.adopt(now, voting_set, is_connected)
        } else if voting_set.epoch == self.voting_set.epoch
            && self.voting_set.members.contains(&controller)
        {
            ClaimActions {
                requests: self.requests_to(now, controller),
                ..ClaimActions::default()
            }
        } else {
            ClaimActions::default()
        }
    }

    fn adopt(
        &mut self,
        now: Timestamp,
        voting_set: VotingSet,
        is_connected: impl Fn(NodeId) -> bool,
    ) -> ClaimActions {
        let mut decisions = self.take_decided(now);
        let former = std::mem::replace(&mut self.voting_set, voting_set);
        let withdrawals = self
            .withdrawals
            .for_new_members(now, &former, &self.voting_set);
        self.withdrawals.add_former_set(former, self.last_number);
        let voters = self.connected_voters(is_connected);
        for claim in self.pending.values_mut() {
            claim.restart(&self.voting_set, &voters);
        }
        // Where a majority of the new set is not connected, all that are pending end here.
        decisions.extend(self.take_decided(now));
        let requests = self
            .pending
            .iter()
            .map(|(key, claim)| claim.request(*key, voters.clone()))
            .collect();
        ClaimActions {
            requests,
            withdrawals,
            decisions,
        }
    }

    /// The claims that a voter of the newest set has not answered.
    fn requests_to(&mut self, now: Timestamp, voter: NodeId) -> Vec<ClaimRequest> {
        let mut requests = Vec::new();
        for (key, claim) in &mut self.pending {
            if claim.is_waiting_for(now, voter) {
                claim.add_voter(voter);
                requests.push(claim.request(*key, vec![voter]));
            }
        }
        requests
    }

    fn connected_voters(&self, is_connected: impl Fn(NodeId) -> bool) -> Vec<NodeId> {
        let members = self.voting_set.members.iter().copied();
        members.filter(|member| is_connected(*member)).collect()
    }

    /// The newest voting set that is known.
    pub fn voting_set(&self) -> &VotingSet {
        &self.voting_set
    }

    /// Whether a claim was made by this incarnation of this gateway.
    pub fn is_own(&self, claim: ClaimId) -> bool {
        claim.node == self.me
            && claim.incarnation == self.incarnation
            && claim.number <= self.last_number
    }

    /// Whether no claim waits for verdicts.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    /// Starts a claim of a key at those voters that are connected. `None`: they are no majority, or too many claims are
    /// pending.
    pub fn start(
        &mut self,
        now: Timestamp,
        key: KeyDigest,
        is_connected: impl Fn(NodeId) -> bool,
    ) -> Option<ClaimRequest> {
        let voters = self.connected_voters(is_connected);
        if self.voting_set.epoch.is_none()
            || voters.len() < self.voting_set.majority()
            || self.pending.len() >= MAX_PENDING_CLAIMS
        {
            return None;
        }
        self.last_number += 1;
        let id = ClaimId {
            node: self.me,
            incarnation: self.incarnation,
            number: self.last_number,
        };
        let claim = PendingClaim::new(now, id, &self.voting_set, &voters);
        let request = claim.request(key, voters);
        self.pending.insert(key, claim);
        Some(request)
    }

    /// A voter answered a claim. Returns the decision once there is one; the claim is no longer pending then.
    pub fn record_response(
        &mut self,
        now: Timestamp,
        voter: NodeId,
        response: ClaimResponse,
    ) -> Option<ClaimDecision> {
        let ClaimResponse {
            epoch,
            key,
            claim,
            verdict,
        } = response;
        let pending = self.pending.get_mut(&key)?;
        if !pending.was_asked(voter, epoch, claim) {
            return None;
        }
        let reported = self.reported_epochs.get(&voter);
        let lags = reported.is_some_and(|reported| *reported < epoch);
        if verdict == ClaimVerdict::Abstained && lags && !pending.is_over(now) {
            return None;
        }
        pending.record_verdict(now, voter, verdict);
        let outcome = pending.outcome(now)?;
        self.pending.remove(&key);
        Some(ClaimDecision {
            key,
            claim,
            outcome,
        })
    }

    /// The session with a voter ended: its verdicts can no longer come.
    pub fn voter_disconnected(&mut self, now: Timestamp, voter: NodeId) -> Vec<ClaimDecision> {
        self.reported_epochs.remove(&voter);
        for claim in self.pending.values_mut() {
            claim.voter_disconnected(voter);
        }
        self.take_decided(now)
    }

    /// Takes out the claims that are decided by now, or whose time is over.
    pub fn take_decided(&mut self, now: Timestamp) -> Vec<ClaimDecision> {
        let decision = |(key, claim): (&KeyDigest, &PendingClaim)| {
            Some(ClaimDecision {
                key: *key,
                claim: claim.id(),
                outcome: claim.outcome(now)?,
            })
        };
        let decisions: Vec<ClaimDecision> = self.pending.iter().filter_map(decision).collect();
        for decision in &decisions {
            self.pending.remove(&decision.key);
        }
        decisions
    }

    /// Nothing was sent under this claim, and nothing will be. Returns which voters are to be told.
    pub fn withdraw(&mut self, now: Timestamp, key: KeyDigest, claim: ClaimId) -> ClaimWithdrawal {
        self.withdrawals.add(now, key, claim);
        let voters = self.withdrawals.voters_of(claim, &self.voting_set);
        ClaimWithdrawal { key, claim, voters }
    }
}
