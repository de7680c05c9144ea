//! A deterministic world of core directors: pure steps, disks that hold back, lose and refuse, a network with cuts. A
//! test is a timeline drawn as text: times in ms on the left, one column a director. Words of a cell:
//!
//! * `start`, `new` (an empty replica that comes later), `leave` (it is told to end), `kill` (comes back with its disk), `power` (loses what was not synced), `wipe` (comes back empty)
//! * `put5`, `twin5` (another text under the same number), `get`, `claim:k:1` (claimant 1 claims key k here), `drop:k:1` (it withdraws)
//! * `ahead=90000`, `back=90000` (its time of day steps by so many ms)
//! * `stall`, `flow`, `refuse` (its disk); `cut`, `join` (from all others)
//! * checks: `force=5`, `acked=5`, `other=5` (acknowledged, and told that another text is in force), `open=5`
//!   (left without a clear answer), `set=2`,   `voters=1,2,5`, `read=5`, `unclear`, `votes`, `mute`, `yes:k:1`, `no:k:1`, `none:k:1` (its last
//!   verdict), `won:k:1`, `lost:k:1` (a majority granted it, or not)

use rushcourse_consensus::{
    ClaimAnswer, ClaimRequest, CommittedConfiguration, ConsensusNode, DurableState, Effect, Input,
    Outcome, Setup, WriteBatch,
};
use rushcourse_messages::{ClaimVerdict, Message};
use rushcourse_types::{
    ClaimId, ConfigurationVersion, Epoch, Incarnation, KeyDigest, NodeId, SessionId, Ticket,
    Timestamp, WallTime,
};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

const TICK: u64 = 50;
const DELAY: u64 = 2;
const SYNC: u64 = 1;
/// Tickets of reads; lower ones are of orders, which have their version as a ticket.
const READS: u64 = 1_000_000;

#[derive(Clone, Copy, PartialEq)]
enum Disk {
    Flows,
    Stalls,
    Refuses,
}

struct Node {
    register: Option<ConsensusNode>,
    stored: DurableState,
    writing: VecDeque<(u64, WriteBatch)>,
    disk: Disk,
    cut: bool,
    first: bool,
    incarnation: Incarnation,
    /// ms by which its time of day is off.
    clock: i64,
}

/// A director in one of its lives: what was said to an earlier one is lost.
type Party = (NodeId, Incarnation);

pub struct World {
    now: u64,
    nodes: BTreeMap<NodeId, Node>,
    seeds: Vec<NodeId>,
    /// When, from (incarnation), to (incarnation), what.
    mail: VecDeque<(u64, Party, Party, Message)>,
    /// The ticket that was acknowledged last, and whether another text is in force under its number.
    acked: BTreeMap<NodeId, (Ticket, bool)>,
    /// The order that was left without a clear answer last.
    open: BTreeMap<NodeId, Ticket>,
    /// The text in force under each number: there is one.
    served: BTreeMap<ConfigurationVersion, Arc<[u8]>>,
    read: BTreeMap<NodeId, Option<ConfigurationVersion>>,
    /// The last verdict of each voter, and the set that it was given under.
    verdicts: BTreeMap<(String, u64), BTreeMap<NodeId, (Epoch, ClaimVerdict)>>,
    /// Which claimant won a key: never two.
    winners: BTreeMap<String, u64>,
}

fn key(word: &str) -> KeyDigest {
    KeyDigest(word.bytes().fold(0, |k, b| k << 8 | u128::from(b)))
}

fn id(claimant: u64) -> ClaimId {
    ClaimId {
        node: NodeId(1000 + claimant as u32),
        incarnation: Incarnation(claimant),
        number: claimant,
    }
}

fn text(version: ConfigurationVersion) -> Arc<[u8]> {
    Arc::from(version.to_string().as_bytes())
}

fn twin(version: ConfigurationVersion) -> Arc<[u8]> {
    Arc::from(format!("{version}, by another operator").as_bytes())
}

impl World {
    fn new(count: u32) -> World {
        let node = || Node {
            register: None,
            stored: DurableState::default(),
            writing: VecDeque::new(),
            disk: Disk::Flows,
            cut: false,
            first: true,
            incarnation: Incarnation(0),
            clock: 0,
        };
        World {
            now: 0,
            nodes: (1..=count).map(|n| (NodeId(n), node())).collect(),
            seeds: (1..=count.min(3)).map(NodeId).collect(),
            mail: VecDeque::new(),
            acked: BTreeMap::new(),
            open: BTreeMap::new(),
            served: BTreeMap::new(),
            read: BTreeMap::new(),
            verdicts: BTreeMap::new(),
            winners: BTreeMap::new(),
        }
    }

    fn reach(&self, a: NodeId, b: NodeId) -> bool {
        let (a, b) = (&self.nodes[&a], &self.nodes[&b]);
        a.register.is_some() && b.register.is_some() && !a.cut && !b.cut
    }

    fn step(&mut self, n: NodeId, input: Input) {
        // The time of day runs with the clock, from some day on, and may step.
        let (now, wall) = (
            self.now,
            (self.now + 1_000_000).wrapping_add_signed(self.nodes[&n].clock),
        );
        let Some(register) = self.nodes.get_mut(&n).and_then(|x| x.register.as_mut()) else {
            return;
        };
        for effect in register.step(Timestamp::from_millis(now), WallTime(wall), input) {
            match effect {
                Effect::Write(batch) => {
                    let due = now + SYNC;
                    self.nodes
                        .get_mut(&n)
                        .expect("known")
                        .writing
                        .push_back((due, batch));
                }
                Effect::Send { to, message } => {
                    let lives = (self.nodes[&n].incarnation, self.nodes[&to].incarnation);
                    self.mail
                        .push_back((now + DELAY, (n, lives.0), (to, lives.1), message));
                }
                Effect::AnswerClaim(ClaimAnswer {
                    epoch: set,
                    key: k,
                    claim,
                    verdict,
                    ..
                }) => {
                    let word: Vec<u8> = k.0.to_be_bytes().into_iter().filter(|b| *b > 0).collect();
                    let word = String::from_utf8(word).expect("a word");
                    self.verdicts
                        .entry((word.clone(), claim.incarnation.0))
                        .or_default()
                        .insert(n, (set, verdict));
                    self.note_winner(&word, claim.incarnation.0);
                }
                Effect::Answer { ticket, outcome } => match outcome {
                    Outcome::Acknowledged {
                        is_other_text: another,
                    } => {
                        self.acked.insert(n, (ticket, another));
                    }
                    Outcome::Configuration(CommittedConfiguration { version, text: t }) => {
                        assert!(
                            [text(version), twin(version)].contains(&t),
                            "what was sent under its number"
                        );
                        assert_eq!(
                            self.served.get(&version),
                            Some(&t),
                            "what is in force under its number"
                        );
                        self.read.insert(n, Some(version));
                    }
                    Outcome::Unknown if ticket < Ticket(READS) => drop(self.open.insert(n, ticket)),
                    Outcome::NoConfiguration | Outcome::Unknown => drop(self.read.insert(n, None)),
                },
                Effect::ConfigurationCommitted(CommittedConfiguration { version, text }) => {
                    let one = self.served.entry(version).or_insert_with(|| text.clone());
                    assert_eq!(*one, text, "one text is in force under {version}");
                }
                Effect::VotingSetAdopted(_) | Effect::Log(_) => {}
            }
        }
    }

    fn sessions(&mut self, n: NodeId, up: bool) {
        let others: Vec<NodeId> = self
            .nodes
            .keys()
            .copied()
            .filter(|o| *o != n && self.reach(n, *o))
            .collect();
        for other in others {
            let change = |peer: NodeId| match up {
                true => Input::PeerConnected {
                    peer,
                    zone: format!("zone-{}", peer.0 % 4).into(),
                },
                false => Input::PeerDisconnected(peer),
            };
            self.step(other, change(n));
            self.step(n, change(other));
        }
    }

    fn start(&mut self, n: NodeId) {
        let seeds = self.seeds.clone();
        let node = self.nodes.get_mut(&n).expect("known");
        let first = std::mem::take(&mut node.first);
        node.incarnation.0 += 1;
        node.disk = Disk::Flows;
        let setup = Setup {
            node: n,
            zone: format!("zone-{}", n.0 % 4).into(),
            incarnation: Incarnation(u64::from(n.0) * 1_000 + node.incarnation.0),
            seeds,
            is_first_start: first,
            tolerated_losses: 1,
            catch_up: Duration::from_millis(4_000),
            key_window: Duration::from_millis(60_000),
        };
        node.register = Some(ConsensusNode::new(setup, node.stored.clone()));
        self.sessions(n, true);
    }

    /// It ends; `synced`: what lay in the disk's queue is lost.
    fn end(&mut self, n: NodeId, power: bool) {
        self.sessions(n, false);
        let node = self.nodes.get_mut(&n).expect("known");
        node.register = None;
        let writing = std::mem::take(&mut node.writing);
        if !power {
            writing
                .into_iter()
                .for_each(|(_, batch)| node.stored.apply(batch.operations));
        }
    }

    fn pass(&mut self, until: u64) {
        while self.now < until {
            self.now += 1;
            for n in self.nodes.keys().copied().collect::<Vec<_>>() {
                let node = self.nodes.get_mut(&n).expect("known");
                let mut done = Vec::new();
                while node.disk != Disk::Stalls
                    && node.writing.front().is_some_and(|w| w.0 <= self.now)
                {
                    let (_, batch) = node.writing.pop_front().expect("looked");
                    if node.disk == Disk::Flows {
                        node.stored.apply(batch.operations);
                        done.push(Input::BatchSynced(batch.id));
                    } else {
                        done.push(Input::BatchRefused(batch.id));
                    }
                }
                done.into_iter().for_each(|input| self.step(n, input));
                if (self.now + u64::from(n.0)).is_multiple_of(TICK) {
                    self.step(n, Input::Tick);
                }
            }
            while self.mail.front().is_some_and(|m| m.0 <= self.now) {
                let (_, (from, incarnation), (to, its), message) =
                    self.mail.pop_front().expect("looked");
                let lives = (self.nodes[&from].incarnation, self.nodes[&to].incarnation);
                if self.reach(from, to) && lives == (incarnation, its) {
                    self.step(to, Input::MessageReceived { from, message });
                }
            }
        }
    }

    /// Whether a majority of one set granted a key, each under that set.
    fn has_won(&self, word: &str, claimant: u64) -> bool {
        let Some(verdicts) = self.verdicts.get(&(word.to_string(), claimant)) else {
            return false;
        };
        let registers = self
            .nodes
            .values()
            .filter_map(|node| node.register.as_ref());
        let won = |register: &ConsensusNode| {
            let set = register.voting_set();
            let granted =
                |m: &&NodeId| verdicts.get(m) == Some(&(set.epoch, ClaimVerdict::Granted));
            set.members.iter().filter(granted).count() >= set.majority()
        };
        registers.into_iter().any(won)
    }

    /// A key is won by one claimant inside its window, whatever the sets were.
    fn note_winner(&mut self, word: &str, claimant: u64) {
        if self.has_won(word, claimant) {
            let window = format!("{word} in window {}", self.now / 70_000);
            let winner = *self.winners.entry(window).or_insert(claimant);
            assert_eq!(
                winner, claimant,
                "{word} is won by one claimant at {} ms",
                self.now
            );
        }
    }

    fn word(&mut self, n: NodeId, word: &str, at: &str) {
        let (what, rest) = word.split_once([':', '=']).unwrap_or((word, ""));
        let (k, who) = rest.split_once(':').unwrap_or((rest, "0"));
        let number = || rest.parse::<u64>().unwrap_or(0);
        let who: u64 = who.parse().unwrap_or(0);
        let verdict = |w: &World| {
            w.verdicts
                .get(&(k.to_string(), who))
                .and_then(|v| v.get(&n))
                .map(|v| v.1)
        };
        let ready = |w: &World| w.nodes[&n].register.as_ref().map(ConsensusNode::summary);
        match what {
            "start" => self.start(n),
            "new" => {
                self.nodes.get_mut(&n).expect("known").first = false;
                self.start(n);
            }
            "leave" => self.step(n, Input::ShutDown),
            "set" => assert_eq!(
                ready(self).map(|r| r.voting_set.epoch),
                Some(Epoch(number())),
                "{at} {word}"
            ),
            "voters" => {
                let members: Vec<NodeId> = rest
                    .split(',')
                    .map(|m| NodeId(m.parse().expect("a member")))
                    .collect();
                assert_eq!(
                    ready(self).map(|r| r.voting_set.members),
                    Some(members),
                    "{at} {word}"
                );
            }
            "kill" => self.end(n, false),
            "power" => self.end(n, true),
            "wipe" => {
                self.end(n, true);
                self.nodes.get_mut(&n).expect("known").stored = DurableState::default();
            }
            "stall" => self.nodes.get_mut(&n).expect("known").disk = Disk::Stalls,
            "flow" => self.nodes.get_mut(&n).expect("known").disk = Disk::Flows,
            "refuse" => self.nodes.get_mut(&n).expect("known").disk = Disk::Refuses,
            "ahead" => self.nodes.get_mut(&n).expect("known").clock += number() as i64,
            "back" => self.nodes.get_mut(&n).expect("known").clock -= number() as i64,
            "cut" => {
                self.sessions(n, false);
                self.nodes.get_mut(&n).expect("known").cut = true;
            }
            "join" => {
                self.nodes.get_mut(&n).expect("known").cut = false;
                self.sessions(n, true);
            }
            "get" => {
                self.read.remove(&n);
                self.step(
                    n,
                    Input::GetConfiguration {
                        ticket: Ticket(READS + self.now),
                    },
                );
            }
            "claim" => {
                let set = ready(self).map_or(Epoch::NONE, |r| r.voting_set.epoch);
                self.step(
                    n,
                    Input::Claim(ClaimRequest {
                        session: SessionId(who),
                        epoch: set,
                        key: key(k),
                        claim: id(who),
                    }),
                );
            }
            "drop" => self.step(
                n,
                Input::WithdrawClaim {
                    key: key(k),
                    claim: id(who),
                },
            ),
            "force" => assert_eq!(
                ready(self).map(|r| r.committed),
                Some(ConfigurationVersion(number())),
                "{at} {word}"
            ),
            "acked" => assert_eq!(
                self.acked.get(&n).map(|a| a.0),
                Some(Ticket(number())),
                "{at} {word}"
            ),
            "open" => assert_eq!(self.open.get(&n), Some(&Ticket(number())), "{at} {word}"),
            "other" => assert_eq!(
                self.acked.get(&n),
                Some(&(Ticket(number()), true)),
                "{at} {word}"
            ),
            "read" => assert_eq!(
                self.read.get(&n),
                Some(&Some(ConfigurationVersion(number()))),
                "{at} {word}"
            ),
            "unclear" => assert_eq!(self.read.get(&n), Some(&None), "{at} {word}"),
            "votes" => assert!(ready(self).is_some_and(|r| r.is_voter), "{at} {word}"),
            "mute" => assert!(ready(self).is_some_and(|r| !r.is_voter), "{at} {word}"),
            "yes" => assert_eq!(verdict(self), Some(ClaimVerdict::Granted), "{at} {word}"),
            "no" => assert!(
                !matches!(verdict(self), None | Some(ClaimVerdict::Granted)),
                "{at} {word} {:?}",
                verdict(self)
            ),
            "none" => assert_eq!(verdict(self), None, "{at} {word}"),
            "won" => assert!(self.has_won(k, who), "{at} {word}: {:?}", self.verdicts),
            "lost" => assert!(!self.has_won(k, who), "{at} {word}: {:?}", self.verdicts),
            put => {
                let other = put.strip_prefix("twin");
                let number = other
                    .or(put.strip_prefix("put"))
                    .expect("a word of the timeline");
                let version = ConfigurationVersion(number.parse().expect("a version"));
                let text = if other.is_some() {
                    twin(version)
                } else {
                    text(version)
                };
                self.step(
                    n,
                    Input::PutConfiguration {
                        ticket: Ticket(version.0),
                        version,
                        text,
                    },
                );
            }
        }
    }
}

/// Plays a timeline. Lines that begin with a time are rows; `.` is an empty cell, several words stand with `+`.
pub fn play(timeline: &str) {
    let rows: Vec<Vec<&str>> = timeline
        .lines()
        .map(|l| l.split_whitespace().collect::<Vec<_>>())
        .filter(|r| r.first().is_some_and(|t| t.parse::<u64>().is_ok()))
        .collect();
    let mut world = World::new(rows[0].len() as u32 - 1);
    for row in rows {
        world.pass(row[0].parse().expect("a time"));
        for (k, cell) in row[1..].iter().enumerate().filter(|c| *c.1 != ".") {
            for word in cell.split('+') {
                world.word(
                    NodeId(k as u32 + 1),
                    word,
                    &format!("{} ms, director {}:", row[0], k + 1),
                );
            }
        }
    }
}
