//! Which voters are told that a claim is withdrawn: every one that may hold it. Those are the members of each voting set
//! that was the newest at some time since the claim started (it was sent to them), those of the newest set (a snapshot
//! may have brought it to them), and those that join within [`WITHDRAWAL_RESEND_WINDOW`] (a snapshot may have brought it
//! to them just before it was withdrawn).

use super::requests::ClaimWithdrawal;
use rushcourse_messages::{ClaimId, NodeId, VotingSet};
use rushcourse_types::{KeyDigest, Timestamp};
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// Former voting sets whose members are told of withdrawn claims at most (ours). A claim that is older still blocks its
/// key at voters that left, for a window at most.
const MAX_FORMER_SETS: usize = 64;
/// For how long a withdrawn claim is told to voters that join (ours): longer than the snapshot takes that a voter gets
/// before it joins.
pub const WITHDRAWAL_RESEND_WINDOW: Duration = Duration::from_millis(10_000);
/// Withdrawn claims that are kept for voters that join at most (ours).
const MAX_RECENT_WITHDRAWALS: usize = 4_096;

/// A voting set that was the newest one until the claim of this number.
#[derive(Clone, Debug)]
struct FormerSet {
    members: Vec<NodeId>,
    last_claim: u64,
}

#[derive(Clone, Copy, Debug)]
struct RecentWithdrawal {
    at: Timestamp,
    key: KeyDigest,
    claim: ClaimId,
}

/// Former voting sets and recent withdrawals, the oldest in front.
#[derive(Clone, Debug, Default)]
pub(super) struct Withdrawals {
    former_sets: VecDeque<FormerSet>,
    recent: VecDeque<RecentWithdrawal>,
}

impl Withdrawals {
    /// `former` is no longer the newest voting set; `last_claim`: the number of the last claim that was sent to it.
    pub(super) fn add_former_set(&mut self, former: VotingSet, last_claim: u64) {
        if former.epoch.is_none() {
            return;
        }
        self.former_sets.push_back(FormerSet {
            members: former.members,
            last_claim,
        });
        if self.former_sets.len() > MAX_FORMER_SETS {
            self.former_sets.pop_front();
        }
    }

    /// Remembers a withdrawn claim for members that join.
    pub(super) fn add(&mut self, now: Timestamp, key: KeyDigest, claim: ClaimId) {
        self.forget_outdated(now);
        if self.recent.len() >= MAX_RECENT_WITHDRAWALS {
            self.recent.pop_front();
        }
        self.recent.push_back(RecentWithdrawal {
            at: now,
            key,
            claim,
        });
    }

    /// The voters that may hold a claim, in ascending order.
    pub(super) fn voters_of(&self, claim: ClaimId, newest: &VotingSet) -> Vec<NodeId> {
        let former = self
            .former_sets
            .iter()
            .filter(|former| former.last_claim >= claim.number)
            .flat_map(|former| former.members.iter());
        let voters: BTreeSet<NodeId> = newest.members.iter().chain(former).copied().collect();
        voters.into_iter().collect()
    }

    /// The claims that were withdrawn recently, for members that the former set didn't have.
    pub(super) fn for_new_members(
        &mut self,
        now: Timestamp,
        former: &VotingSet,
        newest: &VotingSet,
    ) -> Vec<ClaimWithdrawal> {
        self.forget_outdated(now);
        let joined = |member: &NodeId| !former.members.contains(member);
        let voters: Vec<NodeId> = newest.members.iter().copied().filter(joined).collect();
        if voters.is_empty() {
            return Vec::new();
        }
        let resent = |withdrawal: &RecentWithdrawal| ClaimWithdrawal {
            key: withdrawal.key,
            claim: withdrawal.claim,
            voters: voters.clone(),
        };
        self.recent.iter().map(resent).collect()
    }

    fn forget_outdated(&mut self, now: Timestamp) {
        let is_outdated =
            |withdrawal: &RecentWithdrawal| now >= withdrawal.at + WITHDRAWAL_RESEND_WINDOW;
        while self.recent.front().is_some_and(is_outdated) {
            self.recent.pop_front();
        }
    }
}
