//! The step of a core director's shared, soft state: what hosts, other core directors and frontend directors say, and
//! what goes to them.

use crate::distribution::{Distribution, Order};
use crate::host_registry::{HostRegistry, heartbeat_span};
use crate::members::Members;
use rushcourse_messages::Heartbeat;
use rushcourse_messages::{EndpointWeight, HostRecord, HostState, Message, NodeId};
use rushcourse_types::{CallSequence, Millis, SessionId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Between two batches of heartbeats, and of digests, to the other controllers.
const HEARTBEAT_BATCH_INTERVAL: Duration = Duration::from_millis(400);
const DIGEST_INTERVAL: Duration = Duration::from_secs(1);
/// From the return to a majority, or from the end of a stall, until silence counts: the others' hosts come right after
/// their sessions (ours).
const SILENCE_GRACE_PERIOD: Duration = Duration::from_secs(1);
/// Beats after which a director that started alone knows the hosts that there are.
const PRIMED_AFTER: f64 = 1.6;

/// What a core director is told of its place.
#[derive(Clone, Debug)]
pub struct Place {
    pub zone: Arc<str>,
    pub zones: Vec<Arc<str>>,
    /// How often a host calls.
    pub heartbeat_interval: Duration,
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
    started: Option<Timestamp>,
    place: Place,
    hosts: HostRegistry,
    members: Members,
    distribution: Distribution,
    zones: BTreeMap<NodeId, Arc<str>>,
    homes: BTreeMap<NodeId, SessionId>,
    peers: BTreeSet<NodeId>,
    company: bool,
    /// ms: from when on silence counts, as peers tell what they heard when sessions with them stand again.
    judges_from: Timestamp,
    primed: bool,
    beats: BTreeMap<Arc<str>, CallSequence>,
    beats_at: Timestamp,
    digest_at: Timestamp,
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
            hosts: HostRegistry::new(place.heartbeat_interval),
            members: Members::default(),
            distribution: Distribution::new(place.zones.clone(), my_zone, place.drain_ms),
            place,
            zones: BTreeMap::new(),
            homes: BTreeMap::new(),
            peers: BTreeSet::new(),
            company: false,
            judges_from: Timestamp::ZERO,
            primed: false,
            beats: BTreeMap::new(),
            beats_at: Timestamp::ZERO,
            digest_at: Timestamp::ZERO,
            said: None,
            out: Vec::new(),
        }
    }

    /// One input at a steady clock, ms.
    pub fn step(&mut self, now: Timestamp, input: Input) -> Vec<Effect> {
        let started = *self.started.get_or_insert(now);
        match input {
            Input::Call(news) => self.call(now, news),
            Input::SignOff(id) => {
                if let Some(news) = self.hosts.deregister(now, &id) {
                    self.spread(news);
                    self.changed(now, &[id]);
                }
            }
            Input::PeerUp(peer) => {
                self.peers.insert(peer);
                self.out.push(Effect::ToPeer(
                    peer,
                    Message::HostUpdates(self.hosts.records(now)),
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
            Input::Stalled => self.judges_from = now + SILENCE_GRACE_PERIOD,
            Input::Held(news) => self.held(now, news),
            Input::Tick => self.tick(now, started),
        }
        self.standing();
        std::mem::take(&mut self.out)
    }

    fn call(&mut self, now: Timestamp, news: HostRecord) {
        let (id, sequence, known) = (
            news.id.clone(),
            news.sequence,
            self.hosts.get(&news.id).is_some(),
        );
        if self.hosts.apply_record(now, news) {
            if let Some(s) = self.hosts.get(&id) {
                let news = s.record_at(now);
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
    fn held(&mut self, now: Timestamp, news: Vec<HostRecord>) {
        self.primed = !news.is_empty();
        let ids: Vec<Arc<str>> = news.iter().map(|n| n.id.clone()).collect();
        for n in news {
            // What was cold then may be warm now; it says so in its next call.
            self.hosts.apply_record(
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

    fn changed(&mut self, now: Timestamp, ids: &[Arc<str>]) {
        for id in ids {
            if let Some(s) = self.hosts.get(id) {
                let state = s.state();
                self.out.push(Effect::Keep(HostRecord {
                    state,
                    ..s.record_at(now)
                }));
            }
        }
        let hosts = ids.iter().filter_map(|id| self.hosts.get(id));
        let orders = self.distribution.hosts(now, hosts);
        self.carry(now, orders);
    }

    fn peer_said(&mut self, now: Timestamp, peer: NodeId, message: Message) {
        match message {
            Message::HostUpdates(news) => {
                let ids: Vec<Arc<str>> = news.iter().map(|n| n.id.clone()).collect();
                let changed: Vec<bool> = news
                    .into_iter()
                    .map(|n| self.hosts.apply_record(now, n))
                    .collect();
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
                    if self.hosts.apply_heartbeat(now, &id, sequence) {
                        woke.push(id);
                    }
                }
                self.changed(now, &woke);
            }
            Message::HostDigests(digest) => {
                let ranges = self.hosts.differing_ranges(&digest);
                if !ranges.is_empty() {
                    self.out
                        .push(Effect::ToPeer(peer, Message::HostRangeRequest(ranges)));
                }
            }
            Message::HostRangeRequest(ranges) => {
                let news = self.hosts.records_in_ranges(now, &ranges);
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

    fn front_down(&mut self, now: Timestamp, session: SessionId) {
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

    fn front_said(&mut self, now: Timestamp, session: SessionId, message: Message) {
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

    fn tick(&mut self, now: Timestamp, started: Timestamp) {
        if !self.primed
            && now >= started + heartbeat_span(self.place.heartbeat_interval, PRIMED_AFTER)
        {
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
        if now >= self.beats_at + HEARTBEAT_BATCH_INTERVAL && !self.beats.is_empty() {
            self.beats_at = now;
            let beats = std::mem::take(&mut self.beats);
            self.out.push(Effect::ToPeers(Message::Heartbeats(
                beats
                    .into_iter()
                    .map(|(host, sequence)| Heartbeat { host, sequence })
                    .collect(),
            )));
        }
        if now >= self.digest_at + DIGEST_INTERVAL {
            self.digest_at = now;
            self.out
                .push(Effect::ToPeers(Message::HostDigests(self.hosts.digests())));
        }
        let may_judge = self.company && self.primed && now >= self.judges_from;
        self.hosts.remove_expired(now);
        let fell = if may_judge {
            self.hosts.mark_silent(now)
        } else {
            Vec::new()
        };
        for id in &fell {
            self.out
                .push(Effect::Say(format!("event=host_silent id={id}")));
        }
        self.changed(now, &fell);
        let orders = self.distribution.tick(now);
        self.carry(now, orders);
    }

    fn company(&mut self, now: Timestamp, company: bool) {
        if company && !self.company {
            self.judges_from = now + SILENCE_GRACE_PERIOD;
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

    fn line(&self, now: Timestamp, host: &Arc<str>, weight: f64) -> Option<EndpointWeight> {
        let s = self.hosts.get(host)?;
        Some(EndpointWeight {
            host: HostRecord {
                state: s.state(),
                ..s.record_at(now)
            },
            weight: weight as f32,
        })
    }

    fn carry(&mut self, now: Timestamp, orders: Vec<Order>) {
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

    fn shut(&self, now: Timestamp, id: &Arc<str>, shut: bool) -> Option<HostRecord> {
        let s = self.hosts.get(id)?;
        let state = match (shut, s.state()) {
            (true, HostState::Ready) => HostState::Draining,
            (_, state) => state,
        };
        Some(HostRecord {
            state,
            ..s.record_at(now)
        })
    }

    pub fn primed(&self) -> bool {
        self.primed
    }

    /// Whether a frontend director takes its tables from here, by this session.
    pub fn is_home(&self, session: SessionId) -> bool {
        self.homes.values().any(|s| *s == session)
    }

    pub fn hosts(&self) -> &HostRegistry {
        &self.hosts
    }

    pub fn members(&self) -> &Members {
        &self.members
    }

    pub fn distribution(&self) -> &Distribution {
        &self.distribution
    }
}
