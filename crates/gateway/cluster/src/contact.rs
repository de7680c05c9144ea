//! Whether a core director may act on what it knows: it is in session with a majority of the voting set, and its own
//! process has not stood still meanwhile.
//!
//! Sessions end after a silence that is measured by a steady clock, so a director that is cut off learns it from them.
//! A process that was frozen does not: when it runs again, its sessions look alive until their ends are read. What it
//! holds is then as old as its freeze, so nothing counts until a majority has answered a question that was asked
//! after it.

use rushcourse_messages::{NodeId, VotingSet};
use rushcourse_types::{Epoch, RequestToken};
use std::collections::{BTreeMap, BTreeSet};

/// ms between two turns of a director's loop from which on it counts as frozen. The loop turns every 50 ms; sessions
/// end after 1,600 ms of silence, so nobody has judged a director that stood still for less.
pub const STALL: u64 = 600;

/// The view that a core director has of its own standing.
#[derive(Clone, Debug, Default)]
pub struct Contact {
    turned_at: Option<u64>,
    majority: bool,
    /// When the process was found to have stood still, until a majority has answered a later question.
    stalled_at: Option<u64>,
}

impl Contact {
    /// A turn of the loop, before anything that waited is handled. True if the process stood still since the last one:
    /// a majority has to be asked anew.
    pub fn turn(&mut self, now: u64) -> bool {
        let last = self.turned_at.replace(now);
        let stalled = last.is_some_and(|at| now >= at + STALL);
        if stalled {
            self.stalled_at = Some(now);
        }
        stalled
    }

    /// Whether sessions with a majority of the voting set stand, itself counted.
    pub fn majority(&mut self, majority: bool) {
        self.majority = majority;
    }

    /// A majority has answered a question of that time. One that was asked before the last stall proves nothing.
    pub fn proven(&mut self, asked_at: u64) {
        if self
            .stalled_at
            .is_some_and(|stalled_at| asked_at >= stalled_at)
        {
            self.stalled_at = None;
        }
    }

    /// Whether a majority has yet to answer a question since the last stall.
    pub fn needs_proof(&self) -> bool {
        self.stalled_at.is_some()
    }

    /// Whether what this director says now may count as current.
    pub fn is_recent(&self) -> bool {
        self.majority && !self.needs_proof()
    }
}

/// ms after which a round counts as failed (ours): a majority that is there answers within some ten ms, and a caller that
/// is told so in time has most of its second left for another director.
const ROUND_WAIT: u64 = 400;
/// Tokens of rounds have this bit, those of reads (`rushcourse-consensus`) don't.
const ROUND_BIT: u64 = 1 << 63;

#[derive(Clone, Debug)]
struct Round {
    until: u64,
    told: BTreeSet<NodeId>,
}

/// Questions that go to all core directors. An answer proves that a peer runs, is reached, and has handled all that was
/// sent to it before the question, since messages of a session stay in order.
#[derive(Clone, Debug, Default)]
pub struct Rounds {
    asked: u64,
    open: BTreeMap<RequestToken, Round>,
}

impl Rounds {
    /// Begins a round. Its token goes out to all peers, behind what they are to have handled.
    pub fn ask(&mut self, now: u64) -> RequestToken {
        self.asked += 1;
        let token = RequestToken(ROUND_BIT | self.asked);
        self.open.insert(
            token,
            Round {
                until: now + ROUND_WAIT,
                told: BTreeSet::new(),
            },
        );
        token
    }

    /// A peer's answer. True if it is to a round, also one that is over.
    pub fn told(&mut self, peer: NodeId, token: RequestToken) -> bool {
        if let Some(round) = self.open.get_mut(&token) {
            round.told.insert(peer);
        }
        token.0 & ROUND_BIT != 0
    }

    /// Rounds that are over: whether a majority of the set has answered, this director (`me`) counted where it is a
    /// member.
    pub fn over(&mut self, now: u64, me: NodeId, set: &VotingSet) -> Vec<(RequestToken, bool)> {
        let answered = |r: &Round| {
            set.members
                .iter()
                .filter(|m| **m == me || r.told.contains(m))
                .count()
        };
        let majority = |r: &Round| set.epoch > Epoch(0) && answered(r) >= set.majority();
        let ended = |(token, round): (&RequestToken, &Round)| {
            let reached = majority(round);
            (reached || now >= round.until).then_some((*token, reached))
        };
        let over: Vec<(RequestToken, bool)> = self.open.iter().filter_map(ended).collect();
        for (token, _) in &over {
            self.open.remove(token);
        }
        over
    }
}
