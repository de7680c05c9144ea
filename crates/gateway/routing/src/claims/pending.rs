//! The verdicts on one claim, until they come to an outcome.

use super::requests::{ClaimOutcome, ClaimRequest};
use rushcourse_messages::{ClaimId, ClaimVerdict, NodeId, VotingSet};
use rushcourse_types::{Epoch, KeyDigest, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// How long grants of a claim count from its start: shorter than a voter that lost its disk waits before it votes again
/// (in `rushcourse-consensus`), and short enough that a client which is rejected for want of voters has time for a retry
/// (incident inc-48ba).
pub const CLAIM_TIMEOUT: Duration = Duration::from_millis(450);

/// A claim that waits for verdicts.
#[derive(Clone, Debug)]
pub(super) struct PendingClaim {
    voting_set: VotingSet,
    id: ClaimId,
    /// The voters that it was sent to, under this voting set.
    asked: Vec<NodeId>,
    verdicts: BTreeMap<NodeId, ClaimVerdict>,
    ends_at: Timestamp,
}

impl PendingClaim {
    pub(super) fn new(
        now: Timestamp,
        id: ClaimId,
        voting_set: &VotingSet,
        voters: &[NodeId],
    ) -> PendingClaim {
        PendingClaim {
            voting_set: voting_set.clone(),
            id,
            asked: voters.to_vec(),
            verdicts: BTreeMap::new(),
            ends_at: now + CLAIM_TIMEOUT,
        }
    }

    /// Restarts the claim under a newer voting set. Verdicts of the former one count no more; the end stays.
    pub(super) fn restart(&mut self, voting_set: &VotingSet, voters: &[NodeId]) {
        self.voting_set = voting_set.clone();
        self.asked = voters.to_vec();
        self.verdicts.clear();
    }

    pub(super) fn id(&self) -> ClaimId {
        self.id
    }

    pub(super) fn request(&self, key: KeyDigest, voters: Vec<NodeId>) -> ClaimRequest {
        ClaimRequest {
            epoch: self.voting_set.epoch,
            key,
            claim: self.id,
            voters,
        }
    }

    pub(super) fn is_over(&self, now: Timestamp) -> bool {
        now >= self.ends_at
    }

    pub(super) fn is_waiting_for(&self, now: Timestamp, voter: NodeId) -> bool {
        !self.is_over(now) && !self.verdicts.contains_key(&voter)
    }

    pub(super) fn add_voter(&mut self, voter: NodeId) {
        if !self.asked.contains(&voter) {
            self.asked.push(voter);
        }
    }

    /// Whether a verdict of this voter, on this claim, under this epoch is one that was asked for.
    pub(super) fn was_asked(&self, voter: NodeId, epoch: Epoch, claim: ClaimId) -> bool {
        self.id == claim && self.voting_set.epoch == epoch && self.asked.contains(&voter)
    }

    pub(super) fn record_verdict(&mut self, now: Timestamp, voter: NodeId, verdict: ClaimVerdict) {
        let verdict = if self.is_over(now) {
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

    /// What the verdicts come to; `None` while a majority of grants may still be had.
    pub(super) fn outcome(&self, now: Timestamp) -> Option<ClaimOutcome> {
        let is_granted = |verdict: &&ClaimVerdict| **verdict == ClaimVerdict::Granted;
        let grants = self.verdicts.values().filter(is_granted).count();
        let majority = self.voting_set.majority();
        if grants >= majority {
            return Some(ClaimOutcome::Won);
        }
        let missing = self.asked.len() - self.verdicts.len();
        if grants + missing >= majority && !self.is_over(now) {
            return None;
        }
        let holder = self.most_named_holder();
        Some(holder.map_or(ClaimOutcome::NoMajority, ClaimOutcome::LostTo))
    }

    /// The claim that most of the voters say holds the key; among equals the last in the order of ids.
    fn most_named_holder(&self) -> Option<ClaimId> {
        let mut named: BTreeMap<ClaimId, usize> = BTreeMap::new();
        for verdict in self.verdicts.values() {
            if let ClaimVerdict::HeldBy(holder) = verdict {
                *named.entry(*holder).or_default() += 1;
            }
        }
        let most_named = named.into_iter().max_by_key(|(_, count)| *count);
        most_named.map(|(holder, _)| holder)
    }
}
