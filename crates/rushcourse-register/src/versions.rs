//! The configuration: a register in which the highest version holds.
//!
//! Each director tells the others what its disk holds. A version is in force once a majority of the set holds it or a
//! higher one; only then do frontend directors get it, so nothing that could still vanish is ever served. A director
//! that hears of a lower version than its own sends its own: copies are mended from the newer.

use crate::desk::{Desk, Effect, Op, Outcome, Waits};
use crate::voters::Voters;
use rushcourse_trunk::{Message, NodeId, VotingSet};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// ms within which an operator's call ends: a caller moves on after a second of silence (PROTOCOL.md).
const CALL_WAIT: u64 = 850;
/// ms between two sendings of one version to one peer that has not said that it holds it.
const PUSH_EVERY: u64 = 400;
/// ms between two tellings of what is held, when nothing changed.
const TELL_EVERY: u64 = 1_000;
/// Versions that may wait for their majority at once: an older one than these is overtaken many times over (ours).
const WAIT_MOST: usize = 16;

#[derive(Clone, Debug)]
struct Reading {
    token: u64,
    until: u64,
    told: BTreeSet<NodeId>,
    highest: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct Versions {
    me: NodeId,
    /// Versions above what is in force, and the one in force.
    texts: BTreeMap<u64, Arc<[u8]>>,
    durable: u64,
    in_force: u64,
    peers: BTreeMap<NodeId, (u64, u64)>,
    pushed: BTreeMap<NodeId, (u64, u64)>,
    puts: BTreeMap<u64, (u64, u64)>,
    gets: BTreeMap<u64, Reading>,
    next_token: u64,
    told_at: u64,
    /// When a refused write is tried again.
    again_at: Option<u64>,
}

impl Versions {
    pub fn new(me: NodeId, config: Option<(u64, Arc<[u8]>)>) -> Versions {
        let durable = config.as_ref().map_or(0, |c| c.0);
        Versions {
            me,
            texts: config.into_iter().collect(),
            durable,
            in_force: 0,
            peers: BTreeMap::new(),
            pushed: BTreeMap::new(),
            puts: BTreeMap::new(),
            gets: BTreeMap::new(),
            next_token: 0,
            told_at: 0,
            again_at: None,
        }
    }

    pub fn durable(&self) -> u64 {
        self.durable
    }

    pub fn in_force(&self) -> Option<(u64, Arc<[u8]>)> {
        self.texts.get(&self.in_force).map(|t| (self.in_force, t.clone()))
    }

    fn newest(&self) -> u64 {
        self.texts.last_key_value().map_or(0, |t| *t.0)
    }

    pub fn up(&mut self, desk: &mut Desk, peer: NodeId, set: &VotingSet) {
        self.pushed.remove(&peer);
        desk.send(peer, Message::Held { version: self.durable, set: set.number });
    }

    pub fn down(&mut self, peer: NodeId) {
        self.peers.remove(&peer);
        self.pushed.remove(&peer);
    }

    pub fn announce(&mut self, desk: &mut Desk, voters: &Voters) {
        self.told_at = desk.now;
        for peer in voters.peers() {
            desk.send(peer, Message::Held { version: self.durable, set: voters.set().number });
        }
    }

    /// Takes a version that is above all held; it counts once it is synced.
    pub fn learn(&mut self, desk: &mut Desk, version: u64, text: Arc<[u8]>) {
        if version <= self.newest() {
            return;
        }
        self.texts.insert(version, text.clone());
        while self.texts.len() > WAIT_MOST {
            let oldest = self.texts.keys().copied().find(|v| *v != self.in_force);
            oldest.and_then(|v| self.texts.remove(&v));
        }
        desk.write(vec![Op::Config { version, text }], Waits::Config(version));
    }

    pub fn synced(&mut self, desk: &mut Desk, version: u64, voters: &Voters) {
        if version > self.durable {
            self.durable = version;
            self.announce(desk, voters);
        }
    }

    pub fn refused(&mut self, now: u64, version: u64) {
        if version > self.durable {
            self.again_at = Some(now + PUSH_EVERY);
        }
    }

    pub fn peer_holds(&mut self, desk: &mut Desk, peer: NodeId, version: u64, set: u64) {
        self.peers.insert(peer, (version, set));
        if version < self.newest() {
            self.push(desk, peer);
        }
    }

    fn push(&mut self, desk: &mut Desk, peer: NodeId) {
        let Some((version, text)) = self.texts.last_key_value() else { return };
        let due = self.pushed.get(&peer).is_none_or(|p| p.0 < *version || desk.now >= p.1 + PUSH_EVERY);
        if due {
            self.pushed.insert(peer, (*version, desk.now));
            desk.send(peer, Message::Config { version: *version, text: text.clone() });
        }
    }

    pub fn put(&mut self, desk: &mut Desk, ticket: u64, version: u64, text: Arc<[u8]>, voters: &Voters) {
        self.puts.insert(ticket, (version, desk.now + CALL_WAIT));
        if version > self.newest() {
            self.learn(desk, version, text);
            for peer in voters.peers() {
                self.push(desk, peer);
            }
        }
    }

    pub fn get(&mut self, desk: &mut Desk, ticket: u64, voters: &Voters) {
        self.next_token += 1;
        let token = self.next_token;
        let told = BTreeSet::from_iter(voters.votes().then_some(self.me));
        self.gets.insert(ticket, Reading { token, until: desk.now + CALL_WAIT, told, highest: self.durable });
        for peer in voters.peers() {
            desk.send(peer, Message::AskHeld { token });
        }
    }

    pub fn told_held(&mut self, peer: NodeId, token: u64, version: u64, remembers: bool) {
        let Some(reading) = self.gets.values_mut().find(|r| r.token == token) else { return };
        reading.highest = reading.highest.max(version);
        if remembers {
            reading.told.insert(peer);
        }
    }

    /// Members of the set whose disks hold a version at least as high, as far as they told.
    fn holders(&self, version: u64, set: &VotingSet) -> usize {
        let holds = |m: &&NodeId| {
            let peer = || self.peers.get(m).is_some_and(|p| p.0 >= version && p.1 == set.number);
            if **m == self.me { self.durable >= version } else { peer() }
        };
        set.members.iter().filter(holds).count()
    }

    /// Looks at what follows from all that is known: what is in force, which calls have their answer.
    pub fn settle(&mut self, desk: &mut Desk, voters: &Voters) {
        let set = voters.set();
        if set.number > 0 {
            let above = self.texts.range(self.in_force + 1..).rev().map(|t| *t.0);
            let found = above.into_iter().find(|v| self.holders(*v, set) >= set.majority());
            if let Some(version) = found {
                self.in_force = version;
                self.texts.retain(|v, _| *v >= version);
                let text = self.texts[&version].clone();
                desk.say(format!("event=in_force version={version} holders={}", self.holders(version, set)));
                desk.out.push(Effect::InForce { version, text });
            }
        }
        let majority = |version: u64| set.number > 0 && self.holders(version, set) >= set.majority();
        let now = desk.now;
        let done = |version: u64, until: u64| {
            // A version that is held by a majority, or one below what is in force, which a majority holds.
            if version <= self.in_force || majority(version) {
                Some(Outcome::Acknowledged)
            } else {
                (now >= until).then_some(Outcome::Unclear)
            }
        };
        let puts: Vec<(u64, Outcome)> =
            self.puts.iter().filter_map(|(t, (v, until))| Some((*t, done(*v, *until)?))).collect();
        for (ticket, outcome) in puts {
            self.puts.remove(&ticket);
            desk.out.push(Effect::Answer { ticket, outcome });
        }
        let read = |r: &Reading| {
            let told = set.members.iter().filter(|m| r.told.contains(m)).count();
            if set.number > 0 && told >= set.majority() && self.in_force >= r.highest {
                let whole = self.in_force().map(|(version, text)| Outcome::Whole { version, text });
                return Some(whole.unwrap_or(Outcome::Nothing));
            }
            (now >= r.until).then_some(Outcome::Unclear)
        };
        let gets: Vec<(u64, Outcome)> = self.gets.iter().filter_map(|(t, r)| Some((*t, read(r)?))).collect();
        for (ticket, outcome) in gets {
            self.gets.remove(&ticket);
            desk.out.push(Effect::Answer { ticket, outcome });
        }
    }

    pub fn tick(&mut self, desk: &mut Desk, voters: &Voters) {
        if self.again_at.is_some_and(|at| desk.now >= at) {
            self.again_at = None;
            let newest = self.texts.last_key_value().map(|t| (*t.0, t.1.clone()));
            if let Some((version, text)) = newest.filter(|t| t.0 > self.durable) {
                desk.write(vec![Op::Config { version, text }], Waits::Config(version));
            }
        }
        if desk.now >= self.told_at + TELL_EVERY {
            self.announce(desk, voters);
        }
        let behind: Vec<NodeId> = self.peers.iter().filter(|p| p.1.0 < self.newest()).map(|p| *p.0).collect();
        for peer in behind {
            self.push(desk, peer);
        }
    }
}
