//! Claims of operation keys. A voter grants a key to the first claim and to no other until the window is over, or until
//! that claimant itself withdraws its claim. It answers only once its disk holds the claim. A claim that a
//! majority granted is the only one that can be: two majorities share a voter, also where a voting set follows another
//! (`membership/mod.rs` states why).
//!
//! How long a claim is kept is measured by the steady clock alone. The time of day may step, and no clock knows how long
//! a machine was off: claims that the disk held count as new at the start.
//!
//! * `recent_keys.rs`: the order of arrival; `transfer.rs`: claims in snapshots.

mod recent_keys;
mod transfer;

use crate::context::{Context, PendingWrite};
use crate::durable_state::{StoredClaim, WriteOperation};
use crate::effect::{ClaimAnswer, Effect};
use crate::input::ClaimRequest;
use recent_keys::RecentKeys;
use rushcourse_messages::ClaimVerdict;
use rushcourse_types::{ClaimId, Epoch, KeyDigest, SessionId, Timestamp, WallTime};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// How much longer than the window a claim is kept: a request is sent a while after its key was claimed (ours).
const EXTRA_RETENTION: Duration = Duration::from_millis(10_000);
/// Claims that a voter holds at most: some 100 bytes each, 20 MB in all (ours). Beyond, it grants no new key until old
/// claims expire.
const MAX_CLAIMS: usize = 200_000;
/// Claims that expire in one tick at most, so that no tick is long (ours).
const MAX_EXPIRED_PER_TICK: usize = 2_000;
/// A claim that holds its key at this replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldClaim {
    /// Who holds the key.
    pub id: ClaimId,
    /// Since when, by this machine's time of day. Shown to people; nothing is decided by it.
    pub claimed_at: WallTime,
    /// Whether the disk has it.
    pub is_durable: bool,
}

/// Who asked for a grant, and under which voting set.
#[derive(Clone, Copy, Debug)]
struct Requester {
    session: SessionId,
    epoch: Epoch,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    id: ClaimId,
    claimed_at: WallTime,
    expires_at: Timestamp,
    is_durable: bool,
    /// Who is answered once the disk holds the claim.
    requester: Option<Requester>,
}

/// When the claim of a key expires. Stale where a newer claim of the key expires later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Expiry {
    at: Timestamp,
    key: KeyDigest,
}

/// The claims that one voter holds.
#[derive(Clone, Debug)]
pub(crate) struct ClaimRegistry {
    /// How long a claim is kept.
    retention: Duration,
    claims: BTreeMap<KeyDigest, Entry>,
    /// In the order in which they fall due.
    expiries: VecDeque<Expiry>,
    recent: RecentKeys,
}

impl ClaimRegistry {
    /// The claims of the state file, for keys that bind as long as `key_window`.
    pub(crate) fn new(key_window: Duration, mut stored: Vec<StoredClaim>) -> ClaimRegistry {
        stored.sort_by_key(|claim| claim.claimed_at);
        let expiry = |claim: &StoredClaim| Expiry {
            at: Timestamp::ZERO,
            key: claim.key,
        };
        let entry = |claim: &StoredClaim| Entry {
            id: claim.id,
            claimed_at: claim.claimed_at,
            expires_at: Timestamp::ZERO,
            is_durable: true,
            requester: None,
        };
        ClaimRegistry {
            retention: key_window + EXTRA_RETENTION,
            claims: stored
                .iter()
                .map(|claim| (claim.key, entry(claim)))
                .collect(),
            expiries: stored.iter().map(expiry).collect(),
            recent: RecentKeys::default(),
        }
    }

    /// The first step of this incarnation: claims that the disk held count as new.
    pub(crate) fn start(&mut self, now: Timestamp) {
        let expires_at = now + self.retention;
        for entry in self.claims.values_mut() {
            entry.expires_at = expires_at;
        }
        for expiry in &mut self.expiries {
            expiry.at = expires_at;
        }
    }

    /// The claim that holds a key.
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
        self.recent.push(key);
        self.expiries.push_back(Expiry {
            at: entry.expires_at,
            key,
        });
    }

    /// Answers a claim, or stores it and answers once it is durable. `is_voter`: this replica votes in the set that the
    /// claim names.
    pub(crate) fn claim(&mut self, context: &mut Context, is_voter: bool, request: ClaimRequest) {
        let is_full = self.claims.len() >= MAX_CLAIMS;
        let entry = self.claims.get_mut(&request.key);
        let verdict = match entry {
            _ if !is_voter => ClaimVerdict::Abstained,
            Some(entry) if entry.id != request.claim => ClaimVerdict::HeldBy(entry.id),
            Some(entry) if entry.is_durable => ClaimVerdict::Granted,
            // The same claim again while it is being written: it is answered when that is done.
            Some(entry) => {
                entry.requester = Some(Requester::of(&request));
                return;
            }
            None if is_full => ClaimVerdict::Abstained,
            None => return self.write_claim(context, request),
        };
        answer(context, request, verdict);
    }

    fn write_claim(&mut self, context: &mut Context, request: ClaimRequest) {
        let entry = Entry {
            id: request.claim,
            claimed_at: context.wall,
            expires_at: context.now + self.retention,
            is_durable: false,
            requester: Some(Requester::of(&request)),
        };
        self.insert(request.key, entry);
        let stored = StoredClaim {
            key: request.key,
            id: request.claim,
            claimed_at: context.wall,
        };
        context.write(
            vec![WriteOperation::StoreClaim(stored)],
            PendingWrite::Claim {
                key: request.key,
                claim: request.claim,
            },
        );
    }

    /// The disk holds a claim: its answer goes out. It is a grant if this replica still votes in the set that the claim
    /// was asked for under; `voting_epoch` is the set that it votes in.
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
            answer(context, requester.request(key, claim), verdict);
        }
    }

    /// The disk refused a claim: no grant was given, and none will be for it.
    pub(crate) fn claim_refused(&mut self, context: &mut Context, key: KeyDigest, claim: ClaimId) {
        let is_refused = |entry: &&Entry| entry.id == claim && !entry.is_durable;
        let Some(entry) = self.claims.get(&key).filter(is_refused) else {
            return;
        };
        if let Some(requester) = entry.requester {
            answer(
                context,
                requester.request(key, claim),
                ClaimVerdict::Abstained,
            );
        }
        self.claims.remove(&key);
    }

    /// Removes a claim that its claimant withdraws. The record on disk may go later: a claim that is back after a loss of
    /// power blocks its key for a window, and breaks nothing.
    pub(crate) fn withdraw(&mut self, context: &mut Context, key: KeyDigest, claim: ClaimId) {
        if self.claims.get(&key).is_some_and(|entry| entry.id == claim) {
            self.claims.remove(&key);
            context.write(
                vec![WriteOperation::RemoveClaim(key)],
                PendingWrite::Untracked,
            );
        }
    }

    /// Removes claims that have expired, a bounded number in each tick.
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
                self.claims.remove(&expiry.key);
                operations.push(WriteOperation::RemoveClaim(expiry.key));
            }
        }
        if !operations.is_empty() {
            context.write(operations, PendingWrite::Untracked);
        }
    }
}

impl Requester {
    fn of(request: &ClaimRequest) -> Requester {
        Requester {
            session: request.session,
            epoch: request.epoch,
        }
    }

    fn request(self, key: KeyDigest, claim: ClaimId) -> ClaimRequest {
        ClaimRequest {
            session: self.session,
            epoch: self.epoch,
            key,
            claim,
        }
    }
}

fn answer(context: &mut Context, request: ClaimRequest, verdict: ClaimVerdict) {
    let ClaimRequest {
        session,
        epoch,
        key,
        claim,
    } = request;
    context.push(Effect::AnswerClaim(ClaimAnswer {
        session,
        epoch,
        key,
        claim,
        verdict,
    }));
}
