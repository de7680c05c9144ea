//! The step: inputs go to their part, what a disk has synced comes back to where it belongs.

use crate::keys::{Claim, Keys};
use crate::versions::Versions;
use crate::voters::Voters;
use rushcourse_trunk::{ClaimId, Message, NodeId, Verdict, VotingSet};
use std::collections::BTreeMap;
use std::sync::Arc;

/// What is written, each for itself; the ops of one batch are written together or not at all.
#[derive(Clone, Debug, PartialEq)]
pub enum Op {
    Set(VotingSet),
    /// This disk has forgotten nothing since the set was made, or was taught what it forgot.
    Remember,
    Config { version: u64, text: Arc<[u8]> },
    Claim { key: u128, claim: Claim },
    Release { key: u128 },
}

/// What a disk held at the start.
#[derive(Clone, Debug, Default)]
pub struct Stored {
    pub set: VotingSet,
    pub remembers: bool,
    pub config: Option<(u64, Arc<[u8]>)>,
    pub claims: Vec<(u128, Claim)>,
}

#[derive(Clone, Debug)]
pub enum Input {
    /// A session with a core director stands, or broke.
    Up(NodeId),
    Down(NodeId),
    Heard(NodeId, Message),
    /// The disk holds a batch, or refused it.
    Synced(u64),
    Refused(u64),
    /// A checked configuration of an operator.
    Put { ticket: u64, version: u64, text: Arc<[u8]> },
    Get { ticket: u64 },
    /// A frontend director's claim, by its session.
    Claim { session: u64, set: u64, key: u128, claim: ClaimId },
    Withdraw { key: u128, claim: ClaimId },
    Tick,
}

/// What an operator's call came to.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// A majority holds this version or a higher one.
    Acknowledged,
    Whole { version: u64, text: Arc<[u8]> },
    /// None was ever acknowledged.
    Nothing,
    /// No majority answered in time: it may be in force or not.
    Unclear,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Write { batch: u64, ops: Vec<Op> },
    Send { to: NodeId, message: Message },
    Vote { session: u64, set: u64, key: u128, claim: ClaimId, verdict: Verdict },
    Answer { ticket: u64, outcome: Outcome },
    /// In force from now on.
    InForce { version: u64, text: Arc<[u8]> },
    /// The voting set changed.
    Set(VotingSet),
    /// For the log: an event and its fields.
    Say(String),
}

/// How far a director has come, for its pages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ready {
    pub set: VotingSet,
    pub remembers: bool,
    pub votes: bool,
    pub held: u64,
    pub in_force: u64,
    pub claims: usize,
    pub peers: Vec<NodeId>,
}

/// What waits for a batch to be synced.
#[derive(Clone, Debug)]
pub(crate) enum Waits {
    Set(VotingSet),
    Remember,
    Config(u64),
    Claim { session: u64, set: u64, key: u128, claim: ClaimId },
    Nothing,
}

/// Everything that the parts write to in a step.
#[derive(Default)]
pub(crate) struct Desk {
    pub now: u64,
    pub wall: u64,
    next_batch: u64,
    waits: BTreeMap<u64, Waits>,
    pub out: Vec<Effect>,
}

impl Desk {
    pub fn write(&mut self, ops: Vec<Op>, waits: Waits) {
        self.next_batch += 1;
        self.waits.insert(self.next_batch, waits);
        self.out.push(Effect::Write { batch: self.next_batch, ops });
    }

    pub fn send(&mut self, to: NodeId, message: Message) {
        self.out.push(Effect::Send { to, message });
    }

    pub fn say(&mut self, text: String) {
        self.out.push(Effect::Say(text));
    }
}

pub struct Register {
    desk: Desk,
    voters: Voters,
    versions: Versions,
    keys: Keys,
}

impl Register {
    /// `me` and `seeds` by their addresses; `first_start` as the settings say; `window_ms`: how long a key binds.
    pub fn new(me: NodeId, seeds: Vec<NodeId>, first_start: bool, window_ms: u64, stored: Stored) -> Register {
        let Stored { set, remembers, config, claims } = stored;
        Register {
            desk: Desk::default(),
            voters: Voters::new(me, seeds, first_start, set, remembers),
            versions: Versions::new(me, config),
            keys: Keys::new(window_ms, claims),
        }
    }

    /// One input at a steady clock (`now`, ms) and the time of day (`wall`, ms since 1970; only ages of claims).
    pub fn step(&mut self, now: u64, wall: u64, input: Input) -> Vec<Effect> {
        (self.desk.now, self.desk.wall) = (now, wall);
        let desk = &mut self.desk;
        match input {
            Input::Up(peer) => {
                self.voters.up(desk, peer);
                self.versions.up(desk, peer, self.voters.set());
            }
            Input::Down(peer) => {
                self.voters.down(desk, peer);
                self.versions.down(peer);
            }
            Input::Heard(peer, message) => self.heard(peer, message),
            Input::Synced(batch) => self.synced(batch),
            Input::Refused(batch) => self.refused(batch),
            Input::Put { ticket, version, text } => self.versions.put(desk, ticket, version, text, &self.voters),
            Input::Get { ticket } => self.versions.get(desk, ticket, &self.voters),
            Input::Claim { session, set, key, claim } => {
                let votes = self.voters.votes() && set == self.voters.set().number;
                self.keys.claim(desk, votes, session, set, key, claim);
            }
            Input::Withdraw { key, claim } => self.keys.withdraw(desk, key, claim),
            Input::Tick => {
                self.voters.tick(desk);
                self.versions.tick(desk, &self.voters);
                self.keys.tick(desk);
            }
        }
        self.versions.settle(&mut self.desk, &self.voters);
        std::mem::take(&mut self.desk.out)
    }

    fn heard(&mut self, peer: NodeId, message: Message) {
        let desk = &mut self.desk;
        match message {
            Message::Set(set) => self.voters.told(desk, set),
            Message::Held { version, set } => self.versions.peer_holds(desk, peer, version, set),
            Message::Config { version, text } => self.versions.learn(desk, version, text, &self.voters),
            Message::AskHeld { token } => {
                let version = self.versions.durable();
                desk.send(peer, Message::TellHeld { token, version, remembers: self.voters.remembers() });
            }
            Message::TellHeld { token, version, remembers } => {
                self.versions.told_held(peer, token, version, remembers && self.voters.is_member(peer));
            }
            Message::AskLesson { set } => {
                if self.voters.remembers() && set == self.voters.set().number {
                    let claims = self.keys.lesson(desk.wall);
                    desk.send(peer, Message::Lesson { set, claims });
                }
            }
            Message::Lesson { set, claims } => {
                if !self.voters.remembers() && set == self.voters.set().number && self.voters.is_member(peer) {
                    let mut ops = self.keys.taught(desk.wall, &claims);
                    if self.voters.lesson(desk, peer) {
                        ops.push(Op::Remember);
                        desk.write(ops, Waits::Remember);
                    } else if !ops.is_empty() {
                        desk.write(ops, Waits::Nothing);
                    }
                }
            }
            _ => {}
        }
    }

    fn synced(&mut self, batch: u64) {
        let desk = &mut self.desk;
        match desk.waits.remove(&batch) {
            Some(Waits::Set(set)) => {
                self.voters.adopted(desk, set);
                self.versions.announce(desk, &self.voters);
            }
            Some(Waits::Remember) => self.voters.remember(desk),
            Some(Waits::Config(version)) => self.versions.synced(desk, version, &self.voters),
            Some(Waits::Claim { session, set, key, claim }) => {
                let votes = self.voters.votes() && set == self.voters.set().number;
                self.keys.synced(desk, votes, session, set, key, claim);
            }
            Some(Waits::Nothing) | None => {}
        }
    }

    /// A write that the disk refused is no vote and no copy: it is taken back, and tried again where it must be.
    fn refused(&mut self, batch: u64) {
        let desk = &mut self.desk;
        match desk.waits.remove(&batch) {
            Some(Waits::Set(_)) => self.voters.set_refused(),
            Some(Waits::Remember) => self.voters.not_taught(),
            Some(Waits::Config(version)) => self.versions.refused(desk.now, version),
            Some(Waits::Claim { session, set, key, claim }) => self.keys.refused(desk, session, set, key, claim),
            Some(Waits::Nothing) | None => {}
        }
    }

    pub fn in_force(&self) -> Option<(u64, Arc<[u8]>)> {
        self.versions.in_force()
    }

    pub fn set(&self) -> &VotingSet {
        self.voters.set()
    }

    /// Whether a majority of the set is in session with this director, itself counted.
    pub fn in_company(&self) -> bool {
        self.voters.in_company()
    }

    pub fn ready(&self) -> Ready {
        Ready {
            set: self.voters.set().clone(),
            remembers: self.voters.remembers(),
            votes: self.voters.votes(),
            held: self.versions.durable(),
            in_force: self.versions.in_force().map_or(0, |c| c.0),
            claims: self.keys.len(),
            peers: self.voters.peers(),
        }
    }
}
