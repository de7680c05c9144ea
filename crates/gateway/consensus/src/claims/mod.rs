//! Claims of operation keys. A voter grants a key to its first claim and to no other until the key window is over or
//! the claimant withdraws. It answers only once the claim is on disk. At most one claim of a key can be granted by a
//! majority, because any two majorities share a voter, also across changes of the voting set (see `membership/mod.rs`).
//! The same holds for two operations with different keys that conflict by an alias (see [`OperationKeys`]).
//!
//! The age of a claim is measured by the monotonic clock alone: the wall clock may step, and no clock tells how long a
//! machine was off. So claims loaded from disk start a new window.
//!
//! A learner that is sent several claims of one key can't tell which of them a majority granted. It holds the key for
//! [`ClaimId::CONTESTED`] until the last of them expires, and neither grants nor frees it.
//!
//! * `alias_index.rs`: claims by their aliases; `recent_keys.rs`: order of arrival; `transfer.rs`: claims in snapshots.

mod alias_index;
mod recent_keys;
mod transfer;

use crate::context::{Context, PendingWrite};
use crate::durable_state::{StoredClaim, WriteOperation};
use crate::effect::{ClaimAnswer, Effect};
use crate::input::ClaimRequest;
use alias_index::AliasIndex;
use recent_keys::RecentKeys;
use rushcourse_messages::{ClaimVerdict, KeyHolder};
use rushcourse_types::{
    ClaimId, Epoch, KeyAlias, KeyDigest, OperationKeys, SessionId, Timestamp, WallTime,
};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Time for which a claim is kept beyond the key window, because a request is sent some time after its key was claimed.
const EXTRA_RETENTION: Duration = Duration::from_millis(10_000);
/// Maximum number of claims that a voter stores, at some 200 bytes each. At the limit it grants no new key until old
/// claims expire.
const MAX_CLAIMS: usize = 200_000;
/// Maximum number of claims that expire per tick; bounds the duration of a tick.
const MAX_EXPIRED_PER_TICK: usize = 2_000;

/// Time for which a claim is kept, with everything that belongs to its operation.
pub fn claim_retention(key_window: Duration) -> Duration {
    key_window + EXTRA_RETENTION
}

/// A claim that holds its key at this replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldClaim {
    /// Identifies the claim and the gateway that made it.
    pub id: ClaimId,
    /// Time of the claim by this machine's wall clock. For display only; no decision depends on it.
    pub claimed_at: WallTime,
    /// Whether the claim is on disk. Only a durable claim has been granted.
    pub is_durable: bool,
}

/// Session and voting set under which a grant was requested.
#[derive(Clone, Copy, Debug)]
struct Requester {
    session: SessionId,
    epoch: Epoch,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    id: ClaimId,
    alias: Option<KeyAlias>,
    claimed_at: WallTime,
    expires_at: Timestamp,
    is_durable: bool,
    /// Receives the answer once the claim is on disk.
    requester: Option<Requester>,
}

/// Expiry of a key's claim. Stale if a newer claim of the key expires later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Expiry {
    at: Timestamp,
    key: KeyDigest,
}

/// Claims stored by this replica, with their expiry and their order of arrival.
#[derive(Clone, Debug)]
pub(crate) struct ClaimRegistry {
    /// Time for which a claim is kept.
    retention: Duration,
    claims: BTreeMap<KeyDigest, Entry>,
    aliases: AliasIndex,
    /// Ordered by time.
    expiries: VecDeque<Expiry>,
    recent_keys: RecentKeys,
}

impl ClaimRegistry {
    /// Restores the claims of the state file. Their expiry times are set by [`ClaimRegistry::start`].
    pub(crate) fn new(key_window: Duration, mut stored: Vec<StoredClaim>) -> ClaimRegistry {
        stored.sort_by_key(|claim| claim.claimed_at);
        let expiry = |claim: &StoredClaim| Expiry {
            at: Timestamp::ZERO,
            key: claim.key,
        };
        let entry = |claim: &StoredClaim| Entry {
            id: claim.id,
            alias: claim.alias,
            claimed_at: claim.claimed_at,
            expires_at: Timestamp::ZERO,
            is_durable: true,
            requester: None,
        };
        let mut aliases = AliasIndex::default();
        for claim in &stored {
            aliases.insert(claim.key, claim.alias);
        }
        ClaimRegistry {
            retention: claim_retention(key_window),
            aliases,
            claims: stored
                .iter()
                .map(|claim| (claim.key, entry(claim)))
                .collect(),
            expiries: stored.iter().map(expiry).collect(),
            recent_keys: RecentKeys::default(),
        }
    }

    /// Starts a new window for all restored claims at the first step of the process.
    pub(crate) fn start(&mut self, now: Timestamp) {
        let expires_at = now + self.retention;
        for entry in self.claims.values_mut() {
            entry.expires_at = expires_at;
        }
        for expiry in &mut self.expiries {
            expiry.at = expires_at;
        }
    }

    /// The claim that holds a key, durable or not.
    pub(crate) fn holder(&self, key: KeyDigest) -> Option<HeldClaim> {
        let entry = self.claims.get(&key)?;
        Some(HeldClaim {
            id: entry.id,
            claimed_at: entry.claimed_at,
            is_durable: entry.is_durable,
        })
    }

    pub(crate) fn len(&self) -> usize {
        self.claims.len()
    }

    fn insert(&mut self, key: KeyDigest, entry: Entry) {
        self.claims.insert(key, entry);
        self.aliases.insert(key, entry.alias);
        self.recent_keys.push(key);
        self.expiries.push_back(Expiry {
            at: entry.expires_at,
            key,
        });
    }

    fn remove(&mut self, key: KeyDigest) {
        if let Some(entry) = self.claims.remove(&key) {
            self.aliases.remove(key, entry.alias);
        }
    }

    /// Returns a claim other than `claim` that keeps an operation with these digests from being claimed.
    fn conflicting_holder(&self, keys: &OperationKeys, claim: ClaimId) -> Option<KeyHolder> {
        let holder = |key: KeyDigest| {
            let claim = self.claims.get(&key)?.id;
            Some(KeyHolder { key, claim })
        };
        keys.digests().find_map(|digest| {
            let by_key = holder(digest.digest).filter(|holder| holder.claim != claim);
            by_key.or_else(|| holder(self.aliases.conflicting(keys.key, digest)?))
        })
    }

    /// Answers a claim, or writes it and answers once it is on disk. `is_voter` tells whether this replica votes in the
    /// voting set that the request names.
    pub(crate) fn claim(&mut self, context: &mut Context, is_voter: bool, request: ClaimRequest) {
        let is_full = self.claims.len() >= MAX_CLAIMS;
        let holder = self.conflicting_holder(&request.keys, request.claim);
        let verdict = match (holder, self.claims.get_mut(&request.keys.key)) {
            _ if !is_voter => ClaimVerdict::Abstained,
            (Some(holder), _) if holder.claim == ClaimId::CONTESTED => ClaimVerdict::Abstained,
            (Some(holder), _) => ClaimVerdict::HeldBy(holder),
            (None, Some(entry)) if entry.is_durable => ClaimVerdict::Granted,
            // A retry of a claim that is still being written; it is answered when the write completes.
            (None, Some(entry)) => {
                entry.requester = Some(Requester::from_request(&request));
                return;
            }
            (None, None) if is_full => ClaimVerdict::Abstained,
            (None, None) => return self.write_claim(context, request),
        };
        let requester = Requester::from_request(&request);
        answer(context, requester, request.keys.key, request.claim, verdict);
    }

    fn write_claim(&mut self, context: &mut Context, request: ClaimRequest) {
        let OperationKeys { key, alias } = request.keys;
        let entry = Entry {
            id: request.claim,
            alias,
            claimed_at: context.wall_time,
            expires_at: context.now + self.retention,
            is_durable: false,
            requester: Some(Requester::from_request(&request)),
        };
        self.insert(key, entry);
        let stored = StoredClaim {
            key,
            alias,
            id: request.claim,
            claimed_at: context.wall_time,
        };
        context.write(
            vec![WriteOperation::StoreClaim(stored)],
            PendingWrite::Claim {
                key,
                claim: request.claim,
            },
        );
    }

    /// Answers a claim that is now on disk. It is granted if this replica still votes in the voting set that the
    /// request named; `voting_epoch` is the epoch that it votes in.
    pub(crate) fn claim_synced(
        &mut self,
        context: &mut Context,
        voting_epoch: Option<Epoch>,
        key: KeyDigest,
        claim: ClaimId,
    ) {
        let Some(entry) = self.claims.get_mut(&key).filter(|entry| entry.id == claim) else {
            return;
        };
        entry.is_durable = true;
        if let Some(requester) = entry.requester.take() {
            let verdict = if voting_epoch == Some(requester.epoch) {
                ClaimVerdict::Granted
            } else {
                ClaimVerdict::Abstained
            };
            answer(context, requester, key, claim, verdict);
        }
    }

    /// Abstains from a claim that the disk refused, and removes it.
    pub(crate) fn claim_refused(&mut self, context: &mut Context, key: KeyDigest, claim: ClaimId) {
        let is_refused = |entry: &&Entry| entry.id == claim && !entry.is_durable;
        let Some(entry) = self.claims.get(&key).filter(is_refused) else {
            return;
        };
        if let Some(requester) = entry.requester {
            answer(context, requester, key, claim, ClaimVerdict::Abstained);
        }
        self.remove(key);
    }

    /// Removes a claim at its claimant's request. The removal need not be durable: if the claim reappears after a loss
    /// of power, it only blocks its key for another window.
    pub(crate) fn withdraw(&mut self, context: &mut Context, key: KeyDigest, claim: ClaimId) {
        if self.claims.get(&key).is_some_and(|entry| entry.id == claim) {
            self.remove(key);
            context.write(
                vec![WriteOperation::RemoveClaim(key)],
                PendingWrite::Untracked,
            );
        }
    }

    /// Removes expired claims, at most [`MAX_EXPIRED_PER_TICK`] of them.
    pub(crate) fn tick(&mut self, context: &mut Context) {
        let mut operations = Vec::new();
        for _ in 0..MAX_EXPIRED_PER_TICK {
            let is_due = |expiry: &Expiry| context.now >= expiry.at;
            let Some(expiry) = self.expiries.front().copied().filter(is_due) else {
                break;
            };
            self.expiries.pop_front();
            let is_current = |entry: &Entry| entry.expires_at == expiry.at;
            if self.claims.get(&expiry.key).is_some_and(is_current) {
                self.remove(expiry.key);
                operations.push(WriteOperation::RemoveClaim(expiry.key));
            }
        }
        if !operations.is_empty() {
            context.write(operations, PendingWrite::Untracked);
        }
    }
}

impl Requester {
    fn from_request(request: &ClaimRequest) -> Requester {
        Requester {
            session: request.session,
            epoch: request.epoch,
        }
    }
}

fn answer(
    context: &mut Context,
    requester: Requester,
    key: KeyDigest,
    claim: ClaimId,
    verdict: ClaimVerdict,
) {
    context.push(Effect::AnswerClaim(ClaimAnswer {
        session: requester.session,
        epoch: requester.epoch,
        key,
        claim,
        verdict,
    }));
}
