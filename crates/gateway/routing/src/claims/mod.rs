//! Claims of operation keys, on the claimant's side. A claim is won when a majority of the voting set grants it within
//! [`CLAIM_TIMEOUT`]. Later grants are ignored: a voter that lost its disk waits longer than this before it votes
//! again, so a grant that it no longer knows of cannot win.
//!
//! Invariant across changes of the voting set: a claim is won only by grants that carry the same epoch, come from a
//! majority of that epoch's voting set, and arrive within [`CLAIM_TIMEOUT`] of the claim's start. A newer voting set
//! restarts every pending claim under the same id. The restart clears the verdicts, so grants of different voting sets
//! are never added up, and keeps the claim's expiry. Verdicts that carry an older epoch are dropped (fencing).
//!
//! Voters adopt a new voting set at different times. If a voter whose last reported epoch is older than that of the
//! request abstains, it has not adopted the set yet: its verdict is ignored, and the request is repeated when it
//! reports the new set.
//!
//! * `requests.rs`: requests to voters, their responses and the outcome of a claim.
//! * `pending.rs`: the verdicts received for one claim.
//! * `withdrawals.rs`: which voters to notify that a claim is withdrawn.

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
use rushcourse_types::{Epoch, Incarnation, KeyDigest, OperationKeys, Timestamp};
use std::collections::BTreeMap;
use withdrawals::Withdrawals;

/// Maximum number of concurrent claims without an outcome. Further claims are rejected.
/// Far above what one gateway carries.
const MAX_PENDING_CLAIMS: usize = 4_096;

/// The claims of one incarnation of a gateway, and the voting set that decides them.
#[derive(Clone, Debug)]
pub struct Claims {
    local_node: NodeId,
    incarnation: Incarnation,
    last_number: u64,
    voting_set: VotingSet,
    /// The epoch that each connected controller reported last.
    reported_epochs: BTreeMap<NodeId, Epoch>,
    withdrawals: Withdrawals,
    pending: BTreeMap<KeyDigest, PendingClaim>,
}

impl Claims {
    /// Creates an empty state. No claim can be started until a controller reports a voting set.
    pub fn new(local_node: NodeId, incarnation: Incarnation) -> Claims {
        Claims {
            local_node,
            incarnation,
            last_number: 0,
            voting_set: VotingSet::default(),
            reported_epochs: BTreeMap::new(),
            withdrawals: Withdrawals::default(),
            pending: BTreeMap::new(),
        }
    }

    /// Handles a controller's report of its voting set. A newer voting set than the known one restarts all pending
    /// claims. A report of the known set returns requests for the pending claims that this controller has not answered.
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
        // Without connections to a majority of the new set, all pending claims end with `NoMajority` here.
        decisions.extend(self.take_decided(now));
        let requests = self
            .pending
            .values()
            .map(|claim| claim.request(voters.clone()))
            .collect();
        ClaimActions {
            requests,
            withdrawals,
            decisions,
        }
    }

    /// Requests for the pending claims that `voter` has not answered under the current voting set.
    fn requests_to(&mut self, now: Timestamp, voter: NodeId) -> Vec<ClaimRequest> {
        let mut requests = Vec::new();
        for claim in self.pending.values_mut() {
            if claim.is_waiting_for(now, voter) {
                claim.add_voter(voter);
                requests.push(claim.request(vec![voter]));
            }
        }
        requests
    }

    fn connected_voters(&self, is_connected: impl Fn(NodeId) -> bool) -> Vec<NodeId> {
        let members = self.voting_set.members.iter().copied();
        members.filter(|member| is_connected(*member)).collect()
    }

    /// The voting set with the highest epoch reported so far, or the empty default before the first report.
    pub fn voting_set(&self) -> &VotingSet {
        &self.voting_set
    }

    /// Whether the current incarnation of this gateway made the claim.
    pub fn is_own(&self, claim: ClaimId) -> bool {
        claim.node == self.local_node
            && claim.incarnation == self.incarnation
            && claim.number <= self.last_number
    }

    /// Whether there are no pending claims, so that [`Claims::take_decided`] need not be called.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    /// Starts a claim of the operation with these digests and returns the request to send to all connected voters.
    /// Returns `None` if these are not a majority of the voting set or too many claims are pending.
    pub fn start(
        &mut self,
        now: Timestamp,
        keys: OperationKeys,
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
            node: self.local_node,
            incarnation: self.incarnation,
            number: self.last_number,
        };
        let claim = PendingClaim::new(now, id, keys, &self.voting_set, &voters);
        let request = claim.request(voters);
        self.pending.insert(keys.key, claim);
        Some(request)
    }

    /// Handles a voter's response. If it decides the claim, removes the claim and returns the decision. Responses that
    /// don't match a pending request are ignored.
    pub fn record_response(
        &mut self,
        now: Timestamp,
        voter: NodeId,
        response: ClaimResponse,
    ) -> Option<ClaimDecision> {
        let ClaimResponse {
            epoch,
            claim_number,
            verdict,
        } = response;
        // Few claims are pending at a time.
        let mut claims = self.pending.iter_mut();
        let (&key, pending) = claims.find(|(_, claim)| claim.id().number == claim_number)?;
        if !pending.was_asked(voter, epoch) {
            return None;
        }
        let claim = pending.id();
        let reported = self.reported_epochs.get(&voter);
        let is_lagging = reported.is_some_and(|reported| *reported < epoch);
        if verdict == ClaimVerdict::Abstained && is_lagging && !pending.is_expired(now) {
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

    /// Counts a voter whose session was closed as abstaining from all claims that it has not answered. Returns the
    /// claims that this decides.
    pub fn voter_disconnected(&mut self, now: Timestamp, voter: NodeId) -> Vec<ClaimDecision> {
        self.reported_epochs.remove(&voter);
        for claim in self.pending.values_mut() {
            claim.voter_disconnected(voter);
        }
        self.take_decided(now)
    }

    /// Removes the claims that are decided or have timed out, and returns their decisions. Must be called periodically.
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

    /// Withdraws a claim under which no request was sent to a host, and none will be. Returns the message for all
    /// voters that may hold the claim, so that they free the key.
    pub fn withdraw(&mut self, now: Timestamp, key: KeyDigest, claim: ClaimId) -> ClaimWithdrawal {
        self.withdrawals.add(now, key, claim);
        let voters = self.withdrawals.voters_of(claim, &self.voting_set);
        ClaimWithdrawal { key, claim, voters }
    }
}
