//! The state of one claim until its verdicts determine the outcome.

use super::requests::{ClaimOutcome, ClaimRequest};
use rushcourse_messages::{ClaimId, ClaimVerdict, KeyHolder, NodeId, VotingSet};
use rushcourse_types::{Epoch, OperationKeys, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after the start of a claim during which grants are accepted. Must be shorter than the time that a voter that
/// lost its disk waits before it votes again (see `rushcourse-consensus`). It also leaves a client that is rejected for
/// lack of a majority enough time to retry.
pub const CLAIM_TIMEOUT: Duration = Duration::from_millis(450);

#[derive(Clone, Debug)]
pub(super) struct PendingClaim {
    voting_set: VotingSet,
    id: ClaimId,
    keys: OperationKeys,
    /// The voters that the claim was sent to under `voting_set`.
    asked: Vec<NodeId>,
    verdicts: BTreeMap<NodeId, ClaimVerdict>,
    expires_at: Timestamp,
}

impl PendingClaim {
    pub(super) fn new(
        now: Timestamp,
        id: ClaimId,
        keys: OperationKeys,
        voting_set: &VotingSet,
        voters: &[NodeId],
    ) -> PendingClaim {
        PendingClaim {
            voting_set: voting_set.clone(),
            id,
            keys,
            asked: voters.to_vec(),
            verdicts: BTreeMap::new(),
            expires_at: now + CLAIM_TIMEOUT,
        }
    }

    /// Restarts the claim under a newer voting set. Discards all verdicts and keeps `expires_at`.
    pub(super) fn restart(&mut self, voting_set: &VotingSet, voters: &[NodeId]) {
        self.voting_set = voting_set.clone();
        self.asked = voters.to_vec();
        self.verdicts.clear();
    }

    pub(super) fn id(&self) -> ClaimId {
        self.id
    }

    pub(super) fn request(&self, voters: Vec<NodeId>) -> ClaimRequest {
        ClaimRequest {
            epoch: self.voting_set.epoch,
            keys: self.keys,
            claim: self.id,
            voters,
        }
    }

    pub(super) fn is_expired(&self, now: Timestamp) -> bool {
        now >= self.expires_at
    }

    pub(super) fn is_waiting_for(&self, now: Timestamp, voter: NodeId) -> bool {
        !self.is_expired(now) && !self.verdicts.contains_key(&voter)
    }

    pub(super) fn add_voter(&mut self, voter: NodeId) {
        if !self.asked.contains(&voter) {
            self.asked.push(voter);
        }
    }

    /// Whether a verdict from `voter` under `epoch` answers a request of this claim.
    pub(super) fn was_asked(&self, voter: NodeId, epoch: Epoch) -> bool {
        self.voting_set.epoch == epoch && self.asked.contains(&voter)
    }

    pub(super) fn record_verdict(&mut self, now: Timestamp, voter: NodeId, verdict: ClaimVerdict) {
        let verdict = if self.is_expired(now) {
            ClaimVerdict::Abstained
        } else {
            verdict
        };
        self.verdicts.insert(voter, verdict);
    }

    pub(super) fn voter_disconnected(&mut self, voter: NodeId) {
        if self.asked.contains(&voter) {
            let verdict = self.verdicts.entry(voter);
            verdict.or_insert(ClaimVerdict::Abstained);
        }
    }

    /// Returns the outcome, or `None` while a majority of grants is still possible.
    pub(super) fn outcome(&self, now: Timestamp) -> Option<ClaimOutcome> {
        let is_granted = |verdict: &&ClaimVerdict| **verdict == ClaimVerdict::Granted;
        let grants = self.verdicts.values().filter(is_granted).count();
        let majority = self.voting_set.majority();
        if grants >= majority {
            return Some(ClaimOutcome::Won);
        }
        let outstanding = self.asked.len() - self.verdicts.len();
        if grants + outstanding >= majority && !self.is_expired(now) {
            return None;
        }
        let holder = self.most_reported_holder();
        Some(holder.map_or(ClaimOutcome::NoMajority, ClaimOutcome::LostTo))
    }

    /// The claim that most voters report as the holder. Ties are resolved in favor of the highest key and id.
    fn most_reported_holder(&self) -> Option<KeyHolder> {
        let mut counts: BTreeMap<KeyHolder, usize> = BTreeMap::new();
        for verdict in self.verdicts.values() {
            if let ClaimVerdict::HeldBy(holder) = verdict {
                *counts.entry(*holder).or_default() += 1;
            }
        }
        let most_reported = counts.into_iter().max_by_key(|(_, count)| *count);
        most_reported.map(|(holder, _)| holder)
    }
}
