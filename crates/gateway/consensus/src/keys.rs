//! Claims of operation keys. A voter gives a key to the first claim and to no other until the window is over, or until
//! that claimant itself says that nothing was sent. It answers only once its disk holds the claim. A claim that a
//! majority granted is the only one that can be: two majorities share a voter, also where a set follows another
//! (`membership.rs` states why).
//!
//! How long a claim is kept is told by the steady clock alone. The time of day may step, and no clock tells how long a
//! machine was off: claims that its disk held count as new at its start.

use crate::context::{Context, Waits};
use crate::effects::{Claim, Effect, Op};
use rushcourse_messages::{ClaimId, ClaimRecord, ClaimVerdict};
use rushcourse_types::hash::hash64;
use rushcourse_types::{Epoch, KeyDigest, Millis, SessionId};
use std::collections::{BTreeMap, VecDeque};

/// ms for which a claim is kept beyond the window: a request is sent a while after its key was claimed (ours).
const KEEP_LONGER: u64 = 10_000;
/// Claims of one key's window that a voter holds at most: some 100 bytes each, 20 MB in all (ours). Beyond, it votes
/// on no new key until old ones are over.
const CLAIMS_MOST: usize = 200_000;
/// Claims that are forgotten in one tick at most, so that no tick is long (ours).
const PRUNE_MOST: usize = 2_000;
/// Claims whose order of coming is remembered, for lessons that go on where the last one ended (ours: some seconds'
/// worth at 2,000 a second).
const RECENT_MOST: usize = 8_192;
/// Seed of a claim's digest, apart from those of other uses.
const CLAIM_DIGEST: u64 = 17;

/// Who asked for a vote, and under which set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Asker {
    pub session: SessionId,
    pub set: Epoch,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    claim: Claim,
    /// When it is over, ms of the steady clock.
    until: u64,
    durable: bool,
    /// Who is answered once the disk holds it.
    asker: Option<Asker>,
}

/// The claims that one voter holds.
#[derive(Clone, Debug)]
pub struct Keys {
    keep_ms: u64,
    claims: BTreeMap<KeyDigest, Entry>,
    /// When each is over, in that order; what is over leaves from the front.
    order: VecDeque<(u64, KeyDigest)>,
    /// The last keys in the order in which they came; the first of them has place `recent_from`.
    recent: VecDeque<KeyDigest>,
    recent_from: u64,
}

impl Keys {
    pub(crate) fn new(window_ms: u64, mut stored: Vec<(KeyDigest, Claim)>) -> Keys {
        stored.sort_by_key(|s| s.1.at);
        let order = stored.iter().map(|(key, _)| (0, *key)).collect();
        let entry = |(key, claim)| {
            (
                key,
                Entry {
                    claim,
                    until: 0,
                    durable: true,
                    asker: None,
                },
            )
        };
        let claims = stored.into_iter().map(entry).collect();
        let (keep_ms, recent) = (window_ms + KEEP_LONGER, VecDeque::new());
        Keys {
            keep_ms,
            claims,
            order,
            recent,
            recent_from: 0,
        }
    }

    /// The first step of this incarnation: what the disk held counts as new.
    pub(crate) fn start(&mut self, now: u64) {
        let until = now + self.keep_ms;
        self.claims
            .values_mut()
            .for_each(|entry| entry.until = until);
        self.order.iter_mut().for_each(|place| place.0 = until);
    }

    /// Who holds a key here, since when by this machine's time of day, and whether its disk has it.
    pub fn held(&self, key: KeyDigest) -> Option<(Claim, bool)> {
        self.claims.get(&key).map(|e| (e.claim, e.durable))
    }

    pub fn len(&self) -> usize {
        self.claims.len()
    }

    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    fn insert(&mut self, key: KeyDigest, entry: Entry) {
        self.claims.insert(key, entry);
        self.recent.push_back(key);
        if self.recent.len() > RECENT_MOST {
            self.recent.pop_front();
            self.recent_from += 1;
        }
    }

    /// A claim, asked for under the set that `asker` names; `votes`: this replica votes in that set.
    pub(crate) fn claim(
        &mut self,
        context: &mut Context,
        votes: bool,
        asker: Asker,
        key: KeyDigest,
        id: ClaimId,
    ) {
        if !votes {
            return vote(context, asker, key, id, ClaimVerdict::Abstained);
        }
        let full = self.claims.len() >= CLAIMS_MOST;
        match self.claims.get_mut(&key) {
            Some(entry) if entry.claim.id != id => {
                vote(
                    context,
                    asker,
                    key,
                    id,
                    ClaimVerdict::HeldBy(entry.claim.id),
                );
            }
            Some(entry) if entry.durable => vote(context, asker, key, id, ClaimVerdict::Granted),
            // The same claim again while it is being written: it is answered when that is done.
            Some(entry) => entry.asker = Some(asker),
            None if full => vote(context, asker, key, id, ClaimVerdict::Abstained),
            None => {
                let claim = Claim {
                    id,
                    at: context.wall,
                };
                let until = context.now + self.keep_ms;
                self.insert(
                    key,
                    Entry {
                        claim,
                        until,
                        durable: false,
                        asker: Some(asker),
                    },
                );
                self.order.push_back((until, key));
                context.write(
                    vec![Op::Claim { key, claim }],
                    Waits::Claim { key, claim: id },
                );
            }
        }
    }

    /// The disk holds a claim: its vote goes out, if this replica still votes in the set (`in_set`) that it is asked under.
    pub(crate) fn synced(
        &mut self,
        context: &mut Context,
        in_set: Option<u64>,
        key: KeyDigest,
        id: ClaimId,
    ) {
        let Some(entry) = self.claims.get_mut(&key).filter(|e| e.claim.id == id) else {
            return;
        };
        entry.durable = true;
        if let Some(asker) = entry.asker.take() {
            let verdict = if in_set == Some(asker.set.0) {
                ClaimVerdict::Granted
            } else {
                ClaimVerdict::Abstained
            };
            vote(context, asker, key, id, verdict);
        }
    }

    /// The disk did not take it: no vote was given, and none will be for this claim.
    pub(crate) fn refused(&mut self, context: &mut Context, key: KeyDigest, id: ClaimId) {
        let Some(entry) = self
            .claims
            .get(&key)
            .filter(|e| e.claim.id == id && !e.durable)
        else {
            return;
        };
        if let Some(asker) = entry.asker {
            vote(context, asker, key, id, ClaimVerdict::Abstained);
        }
        self.claims.remove(&key);
    }

    /// The claimant sent nothing under it. The record on disk may go later: a claim that comes back after a loss of
    /// power blocks its key for a window, and breaks nothing.
    pub(crate) fn withdraw(&mut self, context: &mut Context, key: KeyDigest, id: ClaimId) {
        if self.claims.get(&key).is_some_and(|e| e.claim.id == id) {
            self.claims.remove(&key);
            context.write(vec![Op::Release { key }], Waits::Nothing);
        }
    }

    /// The place behind the last claim that came.
    pub(crate) fn place(&self) -> u64 {
        self.recent_from + self.recent.len() as u64
    }

    /// All claims, or those that came from a place on, where that is still known.
    pub(crate) fn lesson(&self, now: u64, from: Option<u64>) -> Vec<ClaimRecord> {
        let tell = |key: &KeyDigest, entry: &Entry| ClaimRecord {
            key: *key,
            claim: entry.claim.id,
            age: Millis(self.keep_ms.saturating_sub(entry.until.saturating_sub(now))),
        };
        match from.filter(|p| (self.recent_from..=self.place()).contains(p)) {
            Some(place) => {
                let since = self.recent.iter().skip((place - self.recent_from) as usize);
                since
                    .filter_map(|key| Some(tell(key, self.claims.get(key)?)))
                    .collect()
            }
            None => self
                .claims
                .iter()
                .map(|(key, entry)| tell(key, entry))
                .collect(),
        }
    }

    /// Takes what another voter holds; what is here already stays. The keys are durable once `taught_synced` says so.
    pub(crate) fn taught(&mut self, context: &Context, claims: &[ClaimRecord]) -> Vec<Op> {
        let mut ops = Vec::new();
        for told in claims {
            if self.claims.contains_key(&told.key) {
                continue;
            }
            let claim = Claim {
                id: told.claim,
                at: context.wall.saturating_sub(told.age.0),
            };
            let until = context.now + self.keep_ms.saturating_sub(told.age.0);
            self.insert(
                told.key,
                Entry {
                    claim,
                    until,
                    durable: false,
                    asker: None,
                },
            );
            self.order.push_back((until, told.key));
            ops.push(Op::Claim {
                key: told.key,
                claim,
            });
        }
        self.order.make_contiguous().sort_unstable();
        ops
    }

    pub(crate) fn taught_synced(&mut self, keys: &[KeyDigest]) {
        for key in keys {
            if let Some(entry) = self.claims.get_mut(key) {
                entry.durable = true;
            }
        }
    }

    /// The disk did not take what was taught: it is asked for again.
    pub(crate) fn taught_refused(&mut self, keys: &[KeyDigest]) {
        for key in keys {
            if self.claims.get(key).is_some_and(|e| !e.durable) {
                self.claims.remove(key);
            }
        }
    }

    pub(crate) fn tick(&mut self, context: &mut Context) {
        let mut ops = Vec::new();
        for _ in 0..PRUNE_MOST {
            let Some((until, key)) = self.order.front().copied().filter(|o| context.now >= o.0)
            else {
                break;
            };
            self.order.pop_front();
            if self.claims.get(&key).is_some_and(|e| e.until == until) {
                self.claims.remove(&key);
                ops.push(Op::Release { key });
            }
        }
        if !ops.is_empty() {
            context.write(ops, Waits::Nothing);
        }
    }
}

fn vote(
    context: &mut Context,
    asker: Asker,
    key: KeyDigest,
    claim: ClaimId,
    verdict: ClaimVerdict,
) {
    let Asker { session, set } = asker;
    context.out.push(Effect::Vote {
        session,
        set,
        key,
        claim,
        verdict,
    });
}

/// Digest of a claim, for the check of a lesson.
pub(crate) fn digest(claim: &ClaimRecord) -> u64 {
    let mut bytes = Vec::with_capacity(36);
    bytes.extend(claim.key.0.to_be_bytes());
    bytes.extend(claim.claim.node.0.to_be_bytes());
    bytes.extend(claim.claim.incarnation.0.to_be_bytes());
    bytes.extend(claim.claim.number.to_be_bytes());
    hash64(&bytes, CLAIM_DIGEST)
}
