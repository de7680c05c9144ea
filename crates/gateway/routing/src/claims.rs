//! Votes on a claim of an operation key. It is won once a majority of the voting set has granted it, in time: a vote
//! that comes later is no vote, since a voter that forgot counts on that (`FORGOT_WAIT` of the register).
//!
//! Invariant across changes of the voting set: a claim is won only by grants that carry one and the same set number,
//! come from a majority of that set's members, and arrive within `VOTE_WAIT` of the claim's first begin. A newer set
//! begins every pending claim again, under the same id: its votes are cleared, so grants of two sets never add up, and
//! its end stays where it was, so no grant counts longer than a voter that lost its disk waits before it votes again.
//! Votes that carry an older number are dropped (fencing).
//!
//! Voters adopt a new set one after the other. `Cannot` of a voter that has last told an older set than the one it is
//! asked under says only that it isn't there yet: it stays open, and is asked again when it tells the new set.
//!
//! A withdrawn claim leaves every voter that may hold it: the members of each set that was the newest at some time
//! since the claim began (it was sent to them), those of the newest set (they may have been taught it), and those that
//! join within `RETOLD_FOR` (they may have been taught it just before it was withdrawn).

use rushcourse_messages::{ClaimId, ClaimVerdict, NodeId, VotingSet};
use rushcourse_types::{Epoch, Incarnation, KeyDigest};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// ms for which votes on a claim count: under `FORGOT_WAIT` (1,300) of the register, and short enough that a client which
/// is refused for want of voters has time for another try (incident inc-48ba).
pub const VOTE_WAIT: u64 = 450;
/// Claims that wait for votes at once (ours): far over what a director carries; more are refused.
pub const CLAIMS_MOST: usize = 4_096;
/// Former voting sets whose members are told of withdrawn claims at most (ours). A claim that is older still blocks its
/// key at voters that left, for a window at most.
pub const FORMER_SETS_MOST: usize = 64;
/// ms for which a withdrawn claim is told to voters that join (ours): longer than a voter is taught before it joins.
pub const RETOLD_FOR: u64 = 10_000;
/// Withdrawn claims that are kept for voters that join at most (ours).
pub const RETOLD_MOST: usize = 4_096;

/// What the votes come to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdicts {
    /// Held by a majority: the request may be sent.
    Won,
    /// Others hold it, this one as far as is known.
    Lost(ClaimId),
    /// No majority can be had now.
    Unclear,
}

/// A claim that has come to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decision {
    pub key: KeyDigest,
    pub claim: ClaimId,
    pub verdicts: Verdicts,
}

/// A claim that is to be sent to these voters under this set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoteRequest {
    pub set: Epoch,
    pub key: KeyDigest,
    pub claim: ClaimId,
    pub voters: Vec<NodeId>,
}

/// Voters that are to be told that nothing was sent under a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Withdrawal {
    pub key: KeyDigest,
    pub claim: ClaimId,
    pub voters: Vec<NodeId>,
}

/// What is to be done after a voter has told its set.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Renewal {
    pub requests: Vec<VoteRequest>,
    pub withdrawals: Vec<Withdrawal>,
    pub decided: Vec<Decision>,
}

/// A set that was the newest one until a claim of this number.
#[derive(Clone, Debug)]
struct FormerSet {
    members: Vec<NodeId>,
    last_claim: u64,
}

#[derive(Clone, Copy, Debug)]
struct Withdrawn {
    at: u64,
    key: KeyDigest,
    claim: ClaimId,
}

#[derive(Clone, Debug)]
struct Pending {
    set: VotingSet,
    claim: ClaimId,
    asked: Vec<NodeId>,
    votes: BTreeMap<NodeId, ClaimVerdict>,
    until: u64,
}

/// Claims of one life of a frontend director.
#[derive(Clone, Debug)]
pub struct Claims {
    me: NodeId,
    incarnation: Incarnation,
    number: u64,
    set: VotingSet,
    /// The number of the set that each voter told last, while its session stands.
    told: BTreeMap<NodeId, u64>,
    former: VecDeque<FormerSet>,
    withdrawn: VecDeque<Withdrawn>,
    pending: BTreeMap<KeyDigest, Pending>,
}

impl Claims {
    pub fn new(me: NodeId, incarnation: Incarnation) -> Claims {
        Claims {
            me,
            incarnation,
            number: 0,
            set: VotingSet::default(),
            told: BTreeMap::new(),
            former: VecDeque::new(),
            withdrawn: VecDeque::new(),
            pending: BTreeMap::new(),
        }
    }

    /// A core director told the voting set that it holds. A newer one than was known begins every pending claim again
    /// under it; the one that is known has the claims that wait for this director sent to it.
    pub fn set(
        &mut self,
        now: u64,
        from: NodeId,
        set: VotingSet,
        reached: impl Fn(NodeId) -> bool,
    ) -> Renewal {
        self.told.insert(from, set.epoch.0);
        if set.epoch > self.set.epoch {
            self.adopt(now, set, reached)
        } else if set.epoch == self.set.epoch && self.set.members.contains(&from) {
            Renewal {
                requests: self.ask_again(now, from),
                ..Renewal::default()
            }
        } else {
            Renewal::default()
        }
    }

    fn adopt(&mut self, now: u64, set: VotingSet, reached: impl Fn(NodeId) -> bool) -> Renewal {
        let mut decided = self.over(now);
        let former = std::mem::replace(&mut self.set, set);
        let withdrawals = self.retell(now, &former);
        if former.epoch > Epoch(0) {
            self.former.push_back(FormerSet {
                members: former.members,
                last_claim: self.number,
            });
        }
        if self.former.len() > FORMER_SETS_MOST {
            self.former.pop_front();
        }
        let asked = self.reached(reached);
        for pending in self.pending.values_mut() {
            pending.begin_again(&self.set, &asked);
        }
        // Too few of the new set are reached, for all that wait.
        decided.extend(self.over(now));
        let requests = self
            .pending
            .iter()
            .map(|(key, p)| p.vote_request(*key, asked.clone()))
            .collect();
        Renewal {
            requests,
            withdrawals,
            decided,
        }
    }

    /// The claims that a voter which is now in the newest set has not voted on.
    fn ask_again(&mut self, now: u64, voter: NodeId) -> Vec<VoteRequest> {
        let waiting = |p: &Pending| now < p.until && !p.votes.contains_key(&voter);
        let mut requests = Vec::new();
        for (key, pending) in self.pending.iter_mut().filter(|p| waiting(p.1)) {
            if !pending.asked.contains(&voter) {
                pending.asked.push(voter);
            }
            requests.push(pending.vote_request(*key, vec![voter]));
        }
        requests
    }

    /// Claims that were withdrawn a short while ago, for members that the former set didn't have.
    fn retell(&mut self, now: u64, former: &VotingSet) -> Vec<Withdrawal> {
        self.forget_withdrawn(now);
        let joined = |m: &NodeId| !former.members.contains(m);
        let voters: Vec<NodeId> = self.set.members.iter().copied().filter(joined).collect();
        if voters.is_empty() {
            return Vec::new();
        }
        let tell = |w: &Withdrawn| Withdrawal {
            key: w.key,
            claim: w.claim,
            voters: voters.clone(),
        };
        self.withdrawn.iter().map(tell).collect()
    }

    fn forget_withdrawn(&mut self, now: u64) {
        while self
            .withdrawn
            .front()
            .is_some_and(|w| now >= w.at + RETOLD_FOR)
        {
            self.withdrawn.pop_front();
        }
    }

    /// Nothing was sent under this claim, and nothing will be: whom to tell.
    pub fn withdraw(&mut self, now: u64, key: KeyDigest, claim: ClaimId) -> Withdrawal {
        self.forget_withdrawn(now);
        if self.withdrawn.len() >= RETOLD_MOST {
            self.withdrawn.pop_front();
        }
        self.withdrawn.push_back(Withdrawn {
            at: now,
            key,
            claim,
        });
        let since = self.former.iter().filter(|f| f.last_claim >= claim.number);
        let former = since.flat_map(|f| f.members.iter());
        let voters: BTreeSet<NodeId> = self.set.members.iter().chain(former).copied().collect();
        Withdrawal {
            key,
            claim,
            voters: voters.into_iter().collect(),
        }
    }

    fn reached(&self, reached: impl Fn(NodeId) -> bool) -> Vec<NodeId> {
        self.set
            .members
            .iter()
            .copied()
            .filter(|m| reached(*m))
            .collect()
    }

    pub fn voting_set(&self) -> &VotingSet {
        &self.set
    }

    /// Whether a claim was made by this life of this director.
    pub fn made(&self, claim: ClaimId) -> bool {
        claim.node == self.me
            && claim.incarnation == self.incarnation
            && claim.number <= self.number
    }

    /// Whether no claim waits for votes.
    pub fn idle(&self) -> bool {
        self.pending.is_empty()
    }

    /// Begins a claim at those voters that are reached. None: no majority can be asked, or too many wait.
    pub fn begin(
        &mut self,
        now: u64,
        key: KeyDigest,
        reached: impl Fn(NodeId) -> bool,
    ) -> Option<(ClaimId, Vec<NodeId>)> {
        let asked = self.reached(reached);
        if self.set.epoch == Epoch(0)
            || asked.len() < self.set.majority()
            || self.pending.len() >= CLAIMS_MOST
        {
            return None;
        }
        self.number += 1;
        let claim = ClaimId {
            node: self.me,
            incarnation: self.incarnation,
            number: self.number,
        };
        let pending = Pending {
            set: self.set.clone(),
            claim,
            asked: asked.clone(),
            votes: BTreeMap::new(),
            until: now + VOTE_WAIT,
        };
        self.pending.insert(key, pending);
        Some((claim, asked))
    }

    /// A vote. Some once the claim is decided; it is no longer pending then.
    pub fn vote(
        &mut self,
        now: u64,
        from: NodeId,
        set: Epoch,
        key: KeyDigest,
        claim: ClaimId,
        verdict: ClaimVerdict,
    ) -> Option<Verdicts> {
        let pending = self.pending.get_mut(&key)?;
        if pending.claim != claim || pending.set.epoch != set || !pending.asked.contains(&from) {
            return None;
        }
        let late = now >= pending.until;
        let behind = self.told.get(&from).is_some_and(|told| *told < set.0);
        if verdict == ClaimVerdict::Abstained && behind && !late {
            return None;
        }
        let verdict = if late {
            ClaimVerdict::Abstained
        } else {
            verdict
        };
        pending.votes.insert(from, verdict);
        let decided = pending.decided(now)?;
        self.pending.remove(&key);
        Some(decided)
    }

    /// A session with a voter broke: its vote can no longer come.
    pub fn lost_voter(&mut self, now: u64, from: NodeId) -> Vec<Decision> {
        self.told.remove(&from);
        for pending in self
            .pending
            .values_mut()
            .filter(|p| p.asked.contains(&from))
        {
            pending.votes.entry(from).or_insert(ClaimVerdict::Abstained);
        }
        self.over(now)
    }

    /// Claims that are decided by now, or whose time is over.
    pub fn over(&mut self, now: u64) -> Vec<Decision> {
        let decision = |(key, p): (&KeyDigest, &Pending)| {
            Some(Decision {
                key: *key,
                claim: p.claim,
                verdicts: p.decided(now)?,
            })
        };
        let decided: Vec<Decision> = self.pending.iter().filter_map(decision).collect();
        for decision in &decided {
            self.pending.remove(&decision.key);
        }
        decided
    }
}

impl Pending {
    /// Under a newer set. What was voted under the former one counts no more; the end of the claim stays.
    fn begin_again(&mut self, set: &VotingSet, asked: &[NodeId]) {
        self.set = set.clone();
        self.asked = asked.to_vec();
        self.votes.clear();
    }

    fn vote_request(&self, key: KeyDigest, voters: Vec<NodeId>) -> VoteRequest {
        VoteRequest {
            set: self.set.epoch,
            key,
            claim: self.claim,
            voters,
        }
    }

    fn decided(&self, now: u64) -> Option<Verdicts> {
        let granted = self
            .votes
            .values()
            .filter(|v| **v == ClaimVerdict::Granted)
            .count();
        if granted >= self.set.majority() {
            return Some(Verdicts::Won);
        }
        let open = self.asked.len() - self.votes.len();
        if granted + open >= self.set.majority() && now < self.until {
            return None;
        }
        let held = self.votes.values().filter_map(|v| {
            if let ClaimVerdict::HeldBy(by) = v {
                Some(*by)
            } else {
                None
            }
        });
        let mut counts: BTreeMap<ClaimId, usize> = BTreeMap::new();
        held.for_each(|by| *counts.entry(by).or_default() += 1);
        let most = counts.into_iter().max_by_key(|c| c.1);
        Some(most.map_or(Verdicts::Unclear, |m| Verdicts::Lost(m.0)))
    }
}
