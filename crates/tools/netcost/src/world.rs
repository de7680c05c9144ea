//! Core and frontend directors' real steps on a fake clock, with every message counted as it goes out in a frame.

use rushcourse_cluster::{Cluster, Effect, Input, Topology};
use rushcourse_messages::{HostRecord, HostState, Message, NodeId, encode};
use rushcourse_routing::Homing;
use rushcourse_types::{CallSequence, Millis, SessionId, Timestamp};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// ms between two ticks of a core director, and between two tellings of what came to a frontend one.
const TICK: u64 = 50;
const USAGE: u64 = 1_000;

/// How many there are of everything.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub cores: usize,
    pub fronts: usize,
    pub hosts: usize,
    pub services: usize,
    pub zones: usize,
    pub beat_ms: u64,
}

/// Bytes and messages, by who speaks to whom; steps of core directors.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub between_cores: (u64, u64),
    pub to_fronts: (u64, u64),
    pub from_fronts: (u64, u64),
    /// Bytes to that one frontend director which got most.
    pub most_to_one: u64,
    pub steps: u64,
}

enum To {
    Core(usize),
    Front(usize),
}

struct Front {
    homing: Homing,
    got: u64,
}

pub struct World {
    size: Size,
    now: u64,
    cores: Vec<Cluster>,
    fronts: Vec<Option<Front>>,
    hosts: Vec<HostRecord>,
    /// From which core director (or frontend one), to whom.
    ways: VecDeque<(usize, To, Message)>,
    counts: Counts,
}

fn core_node(k: usize) -> NodeId {
    NodeId(10 + k as u32)
}

fn front_node(k: usize) -> NodeId {
    NodeId(1_000 + k as u32)
}

fn zone(k: usize, size: &Size) -> Arc<str> {
    format!("zone-{}", k % size.zones).into()
}

impl World {
    /// All core directors are there and know all hosts; no frontend director is.
    pub fn new(size: Size) -> World {
        let zones: Vec<Arc<str>> = (0..size.zones).map(|k| zone(k, &size)).collect();
        let place = |k: usize| Topology {
            zone: zone(k, &size),
            zones: zones.clone(),
            heartbeat_interval: Duration::from_millis(size.beat_ms),
            drain_timeout: Duration::from_millis(2_500),
        };
        let host = |k: usize| HostRecord {
            id: format!("i-{k:010x}").into(),
            service: format!("service-{}", k % size.services).into(),
            zone: zone(k / size.services, &size),
            address: format!("10.{}.64.{}:8540", k / 200, k % 200).into(),
            slots: 4,
            state: HostState::Ready,
            sequence: CallSequence(1),
            warm_up: Millis(0),
            age: Millis(0),
        };
        let mut world = World {
            size,
            now: 1_000,
            cores: (0..size.cores).map(|k| Cluster::new(place(k))).collect(),
            fronts: (0..size.fronts).map(|_| None).collect(),
            hosts: (0..size.hosts).map(host).collect(),
            ways: VecDeque::new(),
            counts: Counts::default(),
        };
        for a in 0..size.cores {
            world.core(a, Input::QuorumContactChanged(true));
            for b in (0..size.cores).filter(|b| *b != a) {
                world.core(a, Input::PeerSessionOpened(core_node(b)));
            }
        }
        world.run(4_000);
        world
    }

    /// What was said since the last look.
    pub fn take(&mut self) -> Counts {
        let most_to_one = self
            .fronts
            .iter()
            .flatten()
            .map(|f| f.got)
            .max()
            .unwrap_or(0);
        self.fronts.iter_mut().flatten().for_each(|f| f.got = 0);
        Counts {
            most_to_one,
            ..std::mem::take(&mut self.counts)
        }
    }

    fn core(&mut self, k: usize, input: Input) {
        self.counts.steps += 1;
        let effects = self.cores[k].step(Timestamp::from_millis(self.now), input);
        for effect in effects {
            let fronts = |world: &World| -> Vec<usize> {
                (0..world.fronts.len())
                    .filter(|f| world.fronts[*f].is_some())
                    .collect()
            };
            match effect {
                Effect::SendToPeer {
                    peer: node,
                    message,
                } => {
                    self.ways
                        .push_back((k, To::Core((node.0 - core_node(0).0) as usize), message));
                }
                Effect::BroadcastToPeers(message) => {
                    for to in (0..self.size.cores).filter(|to| *to != k) {
                        self.ways.push_back((k, To::Core(to), message.clone()));
                    }
                }
                Effect::SendToGateway { session, message } => {
                    self.ways
                        .push_back((k, To::Front(session.0 as usize - 1), message));
                }
                Effect::BroadcastToGateways(message) => {
                    for to in fronts(self) {
                        self.ways.push_back((k, To::Front(to), message.clone()));
                    }
                }
                Effect::PersistHost(_) | Effect::Log(_) => {}
            }
        }
    }

    /// A frontend director makes its sessions.
    pub fn join(&mut self, f: usize) {
        let mut homing = Homing::new(front_node(f), &zone(f, &self.size));
        (0..self.size.cores).for_each(|k| homing.up(core_node(k), &zone(k, &self.size)));
        self.fronts[f] = Some(Front { homing, got: 0 });
        for k in 0..self.size.cores {
            let (session, node, zone) = (f as u64 + 1, front_node(f), zone(f, &self.size));
            self.core(
                k,
                Input::GatewaySessionOpened {
                    session: SessionId(session),
                    node,
                    zone,
                },
            );
        }
        self.deliver();
    }

    /// A host calls a core director: a beat, or that it leaves.
    pub fn call(&mut self, h: usize, state: HostState) {
        let host = &mut self.hosts[h];
        (host.sequence, host.state) = (host.sequence.next(), state);
        let news = host.clone();
        self.core(h % self.size.cores, Input::HostRequest(news));
        self.deliver();
    }

    fn deliver(&mut self) {
        while let Some((from, to, message)) = self.ways.pop_front() {
            let mut bytes = Vec::new();
            encode(&message, &mut bytes).expect("a message that fits");
            let length = bytes.len() as u64;
            let add = |c: &mut (u64, u64)| *c = (c.0 + length, c.1 + 1);
            match to {
                To::Core(k) => {
                    add(&mut self.counts.between_cores);
                    self.core(
                        k,
                        Input::PeerMessage {
                            peer: core_node(from),
                            message,
                        },
                    );
                }
                To::Front(f) => {
                    add(&mut self.counts.to_fronts);
                    self.front(f, from, message, length);
                }
            }
        }
    }

    fn front(&mut self, f: usize, from: usize, message: Message, length: u64) {
        let Some(front) = &mut self.fronts[f] else {
            return;
        };
        front.got += length;
        let mut said: Vec<(usize, Message)> = Vec::new();
        match message {
            Message::ControllerStatus {
                is_synchronized: primed,
                ..
            } => {
                front.homing.primed(core_node(from), primed);
                let (new, old) = front.homing.choose();
                let k = |node: NodeId| (node.0 - core_node(0).0) as usize;
                said.extend(old.map(|node| (k(node), Message::PrimarySelected(false))));
                said.extend(new.map(|node| (k(node), Message::PrimarySelected(true))));
            }
            Message::TableReplacement {
                service,
                revision: mark,
                ..
            }
            | Message::TableUpdate {
                service,
                revision: mark,
                ..
            } => {
                said.push((
                    from,
                    Message::TableApplied {
                        service,
                        revision: mark,
                    },
                ));
            }
            _ => {}
        }
        said.into_iter()
            .for_each(|(to, message)| self.say(f, to, message));
    }

    fn say(&mut self, f: usize, to: usize, message: Message) {
        let mut bytes = Vec::new();
        encode(&message, &mut bytes).expect("a message that fits");
        let c = &mut self.counts.from_fronts;
        *c = (c.0 + bytes.len() as u64, c.1 + 1);
        self.core(
            to,
            Input::GatewayMessage {
                session: SessionId(f as u64 + 1),
                message,
            },
        );
    }

    /// Lets time pass: hosts beat, frontend directors tell what came, core directors tick.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += TICK;
            for h in 0..self.hosts.len() {
                // Beats are spread over their interval.
                let at = (h as u64 * 37) % self.size.beat_ms;
                if self.now % self.size.beat_ms / TICK == at / TICK
                    && self.hosts[h].state == HostState::Ready
                {
                    self.call(h, HostState::Ready);
                }
            }
            for k in 0..self.size.cores {
                self.core(k, Input::Tick);
            }
            self.deliver();
            if self.now.is_multiple_of(USAGE) {
                self.usage();
            }
        }
    }

    fn usage(&mut self) {
        for f in 0..self.fronts.len() {
            let Some(home) = self.fronts[f]
                .as_ref()
                .and_then(|front| front.homing.home())
            else {
                continue;
            };
            for k in 0..self.size.services {
                let service = format!("service-{k}").into();
                let message = Message::LoadReport {
                    service,
                    attempts: 40,
                    failures: 0,
                    interval_ms: 1_000,
                };
                self.say(f, (home.0 - core_node(0).0) as usize, message);
            }
            self.deliver();
        }
    }

    /// Lines of tables that the homes of all frontend directors hold, by service.
    pub fn lines(&self) -> BTreeMap<Arc<str>, usize> {
        let mut lines: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        for table in self
            .cores
            .iter()
            .flat_map(|c| c.distribution().tables())
            .filter(|t| t.gateways > 0)
        {
            let most = lines.entry(table.service).or_default();
            *most = table.endpoints.len().max(*most);
        }
        lines
    }
}
