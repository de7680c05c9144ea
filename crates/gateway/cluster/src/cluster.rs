//! The step of a core director's shared, soft state: what hosts, other core directors and frontend directors say, and
//! what goes to them.

use crate::distribution::{Distribution, Order};
use crate::members::Members;
use crate::subscribers::Subscribers;
use rushcourse_messages::Heartbeat;
use rushcourse_messages::{EndpointWeight, HostRecord, HostState, Message, NodeId};
use rushcourse_types::{CallSequence, Millis, SessionId};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// ms between two tellings of beats, and of digests, to the other core directors.
const BEATS_EVERY: u64 = 400;
const DIGEST_EVERY: u64 = 1_000;
/// ms from the return to a majority, or from the end of a stall, until silence counts: the others' hosts come right after
/// their sessions (ours).
const JUDGE_AFTER: u64 = 1_000;
/// Beats after which a director that started alone knows the hosts that there are.
const PRIMED_AFTER: f64 = 1.6;

/// What a core director is told of its place.
#[derive(Clone, Debug)]
pub struct Place {
    pub zone: Arc<str>,
    pub zones: Vec<Arc<str>>,
    pub beat_ms: u64,
    pub drain_ms: f64,
}

#[derive(Clone, Debug)]
pub enum Input {
    /// A host's call: a registration or a beat, with age 0.
    Call(HostRecord),
    SignOff(Arc<str>),
    PeerUp(NodeId),
    PeerDown(NodeId),
    PeerSaid(NodeId, Message),
    /// A frontend director's session with this core director.
    FrontUp {
        session: SessionId,
        node: NodeId,
        zone: Arc<str>,
    },
    FrontDown {
        session: SessionId,
    },
    FrontSaid {
        session: SessionId,
        message: Message,
    },
    /// Whether a majority of the voting set is in session with this director.
    Company(bool),
    /// This process stood still for a while: what hosts said meanwhile still waits to be handled.
    Stalled,
    /// Hosts that this director's disk held at its start.
    Held(Vec<HostRecord>),
    Tick,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    ToPeer(NodeId, Message),
    ToPeers(Message),
    ToFront {
        session: SessionId,
        message: Message,
    },
    ToFronts(Message),
    /// What a host is, for the next start of this director.
    Keep(HostRecord),
    Say(String),
}

pub struct Cluster {
    started: Option<u64>,
    place: Place,
    hosts: Subscribers,
    members: Members,
    distribution: Distribution,
    zones: BTreeMap<NodeId, Arc<str>>,
    homes: BTreeMap<NodeId, SessionId>,
    peers: BTreeSet<NodeId>,
    company: bool,
    /// ms: from when on silence counts, as peers tell what they heard when sessions with them stand again.
    judges_from: u64,
    primed: bool,
    beats: BTreeMap<Arc<str>, CallSequence>,
    beats_at: u64,
    digest_at: u64,
    said: Option<(bool, u32)>,
    out: Vec<Effect>,
}

impl Cluster {
    pub fn new(place: Place) -> Cluster {
        let my_zone = place
            .zones
            .iter()
            .position(|z| *z == place.zone)
            .unwrap_or(0);
        Cluster {
            started: None,
            hosts: Subscribers::new(place.beat_ms),
            members: Members::default(),
            distribution: Distribution::new(place.zones.clone(), my_zone, place.drain_ms),
            place,
            zones: BTreeMap::new(),
            homes: BTreeMap::new(),
            peers: BTreeSet::new(),
            company: false,
            judges_from: 0,
            primed: false,
            beats: BTreeMap::new(),
            beats_at: 0,
            digest_at: 0,
            said: None,
            out: Vec::new(),
        }
    }

    /// One input at a steady clock, ms.
    pub fn step(&mut self, now: u64, input: Input) -> Vec<Effect> {
        let started = *self.started.get_or_insert(now);
        match input {
            Input::Call(news) => self.call(now, news),
            Input::SignOff(id) => {
                if let Some(news) = self.hosts.signed_off(now, &id) {
                    self.spread(news);
                    self.changed(now, &[id]);
                }
            }
            Input::PeerUp(peer) => {
                self.peers.insert(peer);
                self.out.push(Effect::ToPeer(
                    peer,
                    Message::HostUpdates(self.hosts.all(now)),
                ));
                self.out.push(Effect::ToPeer(
                    peer,
                    Message::GatewaySessions(self.members.here()),
                ));
                let message = Message::ControllerStatus {
                    is_synchronized: self.primed,
                    gateways: 0,
                };
                self.out.push(Effect::ToPeer(peer, message));
            }
            Input::PeerDown(peer) => {
                self.peers.remove(&peer);
                self.members.forget(peer);
            }
            Input::PeerSaid(peer, message) => self.peer_said(now, peer, message),
            Input::FrontUp {
                session,
                node,
                zone,
            } => {
                self.members.joined(session, node);
                self.zones.insert(node, zone);
                self.said = None;
                self.out.push(Effect::ToPeers(Message::GatewaySessions(
                    self.members.here(),
                )));
            }
            Input::FrontDown { session } => self.front_down(now, session),
            Input::FrontSaid { session, message } => self.front_said(now, session, message),
            Input::Company(company) => self.company(now, company),
            Input::Stalled => self.judges_from = now + JUDGE_AFTER,
            Input::Held(news) => self.held(now, news),
            Input::Tick => self.tick(now, started),
        }
        self.standing();
        std::mem::take(&mut self.out)
    }

    fn call(&mut self, now: u64, news: HostRecord) {
        let (id, sequence, known) = (
            news.id.clone(),
            news.sequence,
            self.hosts.get(&news.id).is_some(),
        );
        if self.hosts.heard(now, news) {
            if let Some(s) = self.hosts.get(&id) {
                let news = self.hosts.tell(now, s);
                self.spread(news);
            }
            if !known {
                self.out
                    .push(Effect::Say(format!("event=host_known id={id}")));
            }
            self.changed(now, &[id]);
        } else {
            self.beats.insert(id, sequence);
        }
    }

    /// What this director heard from a host itself goes to all other core directors; that one leaves goes to all
    /// frontend directors too, whoever binds them.
    fn spread(&mut self, news: HostRecord) {
        if news.state != HostState::Ready {
            self.out.push(Effect::Say(format!(
                "event=host_leaving id={} state={:?}",
                news.id, news.state
            )));
            self.out
                .push(Effect::ToFronts(Message::HostStates(vec![news.clone()])));
        }
        self.out
            .push(Effect::ToPeers(Message::HostUpdates(vec![news])));
    }

    /// They count as heard now: who does not call within the usual time is gone.
    fn held(&mut self, now: u64, news: Vec<HostRecord>) {
        self.primed = !news.is_empty();
        let ids: Vec<Arc<str>> = news.iter().map(|n| n.id.clone()).collect();
        for n in news {
            // What was cold then may be warm now; it says so in its next call.
            self.hosts.heard(
                now,
                HostRecord {
                    age: Millis(0),
                    warm_up: Millis(0),
                    ..n
                },
            );
        }
        self.out
            .push(Effect::Say(format!("event=hosts_held hosts={}", ids.len())));
        let hosts = ids.iter().filter_map(|id| self.hosts.get(id));
        let orders = self.distribution.hosts(now, hosts);
        self.carry(now, orders);
    }

    fn changed(&mut self, now: u64, ids: &[Arc<str>]) {
        for id in ids {
            if let Some(s) = self.hosts.get(id) {
                let state = s.state();
                self.out.push(Effect::Keep(HostRecord {
                    state,
                    ..self.hosts.tell(now, s)
                }));
            }
        }
        let hosts = ids.iter().filter_map(|id| self.hosts.get(id));
        let orders = self.distribution.hosts(now, hosts);
        self.carry(now, orders);
    }

    fn peer_said(&mut self, now: u64, peer: NodeId, message: Message) {
        match message {
            Message::HostUpdates(news) => {
                let ids: Vec<Arc<str>> = news.iter().map(|n| n.id.clone()).collect();
                let changed: Vec<bool> =
                    news.into_iter().map(|n| self.hosts.heard(now, n)).collect();
                let ids: Vec<Arc<str>> = ids
                    .into_iter()
                    .zip(changed)
                    .filter(|c| c.1)
                    .map(|c| c.0)
                    .collect();
                self.changed(now, &ids);
            }
            Message::Heartbeats(beats) => {
                let mut woke = Vec::new();
                for Heartbeat { host: id, sequence } in beats {
                    if self.hosts.beat(now, &id, sequence) == Some(true) {
                        woke.push(id);
                    }
                }
                self.changed(now, &woke);
            }
            Message::HostDigests(digest) => {
                let ranges = self.hosts.differing(&digest);
                if !ranges.is_empty() {
                    self.out
                        .push(Effect::ToPeer(peer, Message::HostRangeRequest(ranges)));
                }
            }
            Message::HostRangeRequest(ranges) => {
                let news = self.hosts.in_ranges(now, &ranges);
                self.out
                    .push(Effect::ToPeer(peer, Message::HostUpdates(news)));
            }
            Message::GatewaySessions(nodes) => self.members.told(peer, nodes),
            // It told all hosts that it knows before this.
            Message::ControllerStatus {
                is_synchronized: true,
                ..
            } => self.primed = true,
            _ => {}
        }
    }

    fn front_down(&mut self, now: u64, session: SessionId) {
        let Some(node) = self.members.left(session) else {
            return;
        };
        if self.homes.get(&node) == Some(&session) {
            self.homes.remove(&node);
            let orders = self.distribution.left(now, node);
            self.carry(now, orders);
        }
        if self.members.session(node).is_none() {
            self.zones.remove(&node);
        }
        self.out.push(Effect::ToPeers(Message::GatewaySessions(
            self.members.here(),
        )));
    }

    fn front_said(&mut self, now: u64, session: SessionId, message: Message) {
        let Some(node) = self.members.node(session) else {
            return;
        };
        let at_home = self.homes.get(&node) == Some(&session);
        match message {
            Message::PrimarySelected(true) if self.primed => {
                self.homes.insert(node, session);
                let zone = self
                    .zones
                    .get(&node)
                    .cloned()
                    .unwrap_or_else(|| self.place.zone.clone());
                let mut orders = self.distribution.left(now, node);
                orders.extend(self.distribution.joined(now, node, &zone));
                self.carry(now, orders);
            }
            Message::PrimarySelected(_) if at_home => {
                self.homes.remove(&node);
                let orders = self.distribution.left(now, node);
                self.carry(now, orders);
            }
            Message::TableApplied {
                service,
                revision: mark,
            } if at_home => {
                let orders = self.distribution.applied(now, node, &service, mark);
                self.carry(now, orders);
            }
            Message::LoadReport {
                service,
                attempts: tries,
                failures: failed,
                interval_ms: span_ms,
            } if at_home => {
                let (tries, failed) = (f64::from(tries), f64::from(failed));
                let orders =
                    self.distribution
                        .usage(now, node, &service, tries, failed, f64::from(span_ms));
                self.carry(now, orders);
            }
            _ => {}
        }
    }

    fn tick(&mut self, now: u64, started: u64) {
        if !self.primed && now >= started + (self.place.beat_ms as f64 * PRIMED_AFTER) as u64 {
            self.primed = true;
            self.out.push(Effect::Say(format!(
                "event=primed hosts={}",
                self.hosts.iter().count()
            )));
            self.out.push(Effect::ToPeers(Message::ControllerStatus {
                is_synchronized: true,
                gateways: 0,
            }));
        }
        if now >= self.beats_at + BEATS_EVERY && !self.beats.is_empty() {
            self.beats_at = now;
            let beats = std::mem::take(&mut self.beats);
            self.out.push(Effect::ToPeers(Message::Heartbeats(
                beats
                    .into_iter()
                    .map(|(host, sequence)| Heartbeat { host, sequence })
                    .collect(),
            )));
        }
        if now >= self.digest_at + DIGEST_EVERY {
            self.digest_at = now;
            self.out
                .push(Effect::ToPeers(Message::HostDigests(self.hosts.digest())));
        }
        let may_judge = self.company && self.primed && now >= self.judges_from;
        let fell = self.hosts.tick(now, may_judge);
        for id in &fell {
            self.out
                .push(Effect::Say(format!("event=host_silent id={id}")));
        }
        self.changed(now, &fell);
        let orders = self.distribution.tick(now);
        self.carry(now, orders);
    }

    fn company(&mut self, now: u64, company: bool) {
        if company && !self.company {
            self.judges_from = now + JUDGE_AFTER;
        }
        self.company = company;
    }

    /// Tells frontend directors when what they choose their home by has changed.
    fn standing(&mut self) {
        let now = (self.primed && self.company, self.members.all().len() as u32);
        if self.said != Some(now) {
            self.said = Some(now);
            self.out.push(Effect::ToFronts(Message::ControllerStatus {
                is_synchronized: now.0,
                gateways: now.1,
            }));
        }
    }

    fn line(&self, now: u64, host: &Arc<str>, weight: f64) -> Option<EndpointWeight> {
        let s = self.hosts.get(host)?;
        Some(EndpointWeight {
            host: HostRecord {
                state: s.state(),
                ..self.hosts.tell(now, s)
            },
            weight: weight as f32,
        })
    }

    fn carry(&mut self, now: u64, orders: Vec<Order>) {
        for order in orders {
            let Some(session) = self.homes.get(&order.to).copied() else {
                continue;
            };
            let out: Vec<HostRecord> = order
                .out
                .iter()
                .filter_map(|(id, shut)| self.shut(now, id, *shut))
                .collect();
            if !out.is_empty() {
                self.out.push(Effect::ToFront {
                    session,
                    message: Message::HostStates(out),
                });
            }
            let (service, mark) = (order.service.clone(), order.mark);
            // A host that is forgotten has no news: a frontend director drops a line by its weight alone.
            let lines: Vec<EndpointWeight> = order
                .lines
                .iter()
                .filter_map(|l| self.line(now, &l.0, l.1))
                .collect();
            let message = match order.whole {
                true => Message::TableReplacement {
                    service,
                    revision: mark,
                    endpoints: lines,
                },
                false => Message::TableUpdate {
                    service,
                    revision: mark,
                    endpoints: lines,
                },
            };
            self.out.push(Effect::ToFront { session, message });
        }
    }

    fn shut(&self, now: u64, id: &Arc<str>, shut: bool) -> Option<HostRecord> {
        let s = self.hosts.get(id)?;
        let state = match (shut, s.state()) {
            (true, HostState::Ready) => HostState::Draining,
            (_, state) => state,
        };
        Some(HostRecord {
            state,
            ..self.hosts.tell(now, s)
        })
    }

    pub fn primed(&self) -> bool {
        self.primed
    }

    /// Whether a frontend director takes its tables from here, by this session.
    pub fn is_home(&self, session: SessionId) -> bool {
        self.homes.values().any(|s| *s == session)
    }

    pub fn hosts(&self) -> &Subscribers {
        &self.hosts
    }

    pub fn members(&self) -> &Members {
        &self.members
    }

    pub fn distribution(&self) -> &Distribution {
        &self.distribution
    }
}
