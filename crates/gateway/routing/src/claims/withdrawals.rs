//! Determines which voters to notify of a withdrawn claim. These are all voters that may have stored the claim:
//!
//! * members of every voting set that was current since the claim started, because the claim was sent to them;
//! * members of the current voting set, because they may have received the claim in a snapshot;
//! * voters that join within [`WITHDRAWAL_RESEND_WINDOW`], because their snapshot may be older than the withdrawal.

use super::requests::ClaimWithdrawal;
use rushcourse_messages::{ClaimId, NodeId, VotingSet};
use rushcourse_types::{KeyDigest, Timestamp};
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// Maximum number of former voting sets to remember. The withdrawal of an older claim does not reach voters that have
/// left since, where the claim blocks its key until the key window ends.
const MAX_FORMER_SETS: usize = 64;
/// How long a withdrawn claim is sent to joining voters. Must be longer than the transfer of the snapshot that a voter
/// receives before it joins.
pub const WITHDRAWAL_RESEND_WINDOW: Duration = Duration::from_millis(10_000);
/// Maximum number of withdrawn claims to remember for joining voters.
const MAX_RECENT_WITHDRAWALS: usize = 4_096;

/// A former voting set. Claims numbered up to `last_claim` may have been sent to its members.
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
    /// Adds a voting set that was replaced by a newer one. `last_claim` is the number of the last claim made under it.
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

    /// Remembers a withdrawn claim for voters that join later.
    pub(super) fn add(&mut self, now: Timestamp, key: KeyDigest, claim: ClaimId) {
        self.remove_expired(now);
        if self.recent.len() >= MAX_RECENT_WITHDRAWALS {
            self.recent.pop_front();
        }
        self.recent.push_back(RecentWithdrawal {
            at: now,
            key,
            claim,
        });
    }

    /// The members of the `newest` and all former voting sets that may hold the claim, in ascending order.
    pub(super) fn voters_of(&self, claim: ClaimId, newest: &VotingSet) -> Vec<NodeId> {
        let former = self
            .former_sets
            .iter()
            .filter(|former| former.last_claim >= claim.number)
            .flat_map(|former| former.members.iter());
        let voters: BTreeSet<NodeId> = newest.members.iter().chain(former).copied().collect();
        voters.into_iter().collect()
    }

    /// Recent withdrawals, addressed to the members of `newest` that are not in `former`.
    pub(super) fn for_new_members(
        &mut self,
        now: Timestamp,
        former: &VotingSet,
        newest: &VotingSet,
    ) -> Vec<ClaimWithdrawal> {
        self.remove_expired(now);
        let has_joined = |member: &NodeId| !former.members.contains(member);
        let voters: Vec<NodeId> = newest.members.iter().copied().filter(has_joined).collect();
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

    fn remove_expired(&mut self, now: Timestamp) {
        let is_expired =
            |withdrawal: &RecentWithdrawal| now >= withdrawal.at + WITHDRAWAL_RESEND_WINDOW;
        while self.recent.front().is_some_and(is_expired) {
            self.recent.pop_front();
        }
    }
}
