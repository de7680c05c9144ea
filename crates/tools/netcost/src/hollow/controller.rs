//! One real controller's cluster state: all hosts, its share of the gateways at home, sessions with all others. The other
//! controllers and all gateways are hollow. What comes is read from frames, what goes out is written to a frame for each
//! receiver, as the program does; sockets, TLS and the disk are not part of it.

use super::{Size, gauge};
use rushcourse_cluster::{Cluster, Effect, Input, Topology};
use rushcourse_messages::Heartbeat;
use rushcourse_messages::{HostRecord, HostState, Message, NodeId, decode, encode};
use rushcourse_types::{CallSequence, Millis, SessionId, Timestamp};
use std::sync::Arc;
use std::time::Duration;

/// ms between two ticks of a controller; between two tellings of beats; between two tellings of usage.
const TICK: u64 = 50;
const BEATS_EVERY: u64 = 400;
const USAGE_EVERY: u64 = 1_000;
/// ms between two beats of a host.
const BEAT: u64 = 1_500;
/// ms after which all that a join sets off has been sent.
const SETTLED: u64 = 1_500;
/// ms of calm that are played at most, and ms of processor time after which it ends sooner.
const CALM: u64 = 6_000;
const CALM_PROCESSOR_MOST: f64 = 3_000.0;
/// Bytes of a frame before its message.
const HEAD: usize = 4;
/// Tries of one second and service that a gateway tells of: what they come to is of no matter here.
const TRIES: u32 = 1;

/// Who says something to the real controller.
#[derive(Clone, Copy)]
enum From {
    Host,
    Peer(NodeId),
    Gateway(u64),
}

/// Bytes in frames.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    steps: u64,
    to_peers: u64,
    to_gateways: u64,
    from_peers: u64,
    from_gateways: u64,
}

struct Fleet {
    size: Size,
    now: u64,
    real: Cluster,
    counts: Counts,
    buffer: Vec<u8>,
    /// Sessions of gateways.
    sessions: u64,
    /// Tables that gateways got and have not answered: session, service, mark.
    unanswered: Vec<(u64, Arc<str>, u16)>,
}

fn peer(k: usize) -> NodeId {
    NodeId(10 + k as u32)
}

fn gateway(session: SessionId) -> NodeId {
    NodeId(1_000 + session.0 as u32)
}

fn zone(k: usize, size: &Size) -> Arc<str> {
    format!("zone-{:02}", k % size.zones).into()
}

/// Hosts as a controller knows them.
pub(super) fn host(k: usize, size: &Size) -> HostRecord {
    HostRecord {
        id: format!("i-{k:010x}").into(),
        service: format!("service-{:03}", k % size.services).into(),
        zone: zone(k / size.services, size),
        address: format!("10.{}.{}.{}:8540", k % size.zones, k / 200 % 250, k % 200).into(),
        slots: 4,
        state: HostState::Ready,
        sequence: CallSequence(1),
        warm_up: Millis(0),
        age: Millis(0),
    }
}

fn frame(message: &Message) -> Vec<u8> {
    let mut bytes = Vec::new();
    encode(message, &mut bytes).expect("a message that fits");
    bytes
}

impl Fleet {
    fn new(size: Size) -> Fleet {
        let place = Topology {
            zone: zone(0, &size),
            zones: (0..size.zones).map(|k| zone(k, &size)).collect(),
            heartbeat_interval: Duration::from_millis(BEAT),
            drain_timeout: Duration::from_millis(2_500),
        };
        Fleet {
            size,
            now: 1_000,
            real: Cluster::new(place),
            counts: Counts::default(),
            buffer: Vec::new(),
            sessions: 0,
            unanswered: Vec::new(),
        }
    }

    /// Gateways that take their tables from the real controller.
    fn homed(&self) -> u64 {
        self.size.gateways.div_ceil(self.size.controllers) as u64
    }

    /// Bytes of one message, written as often as there are receivers.
    fn written(&mut self, message: &Message, receivers: u64) -> u64 {
        (0..receivers)
            .map(|_| {
                self.buffer.clear();
                encode(message, &mut self.buffer).expect("a message that fits");
                self.buffer.len() as u64
            })
            .sum()
    }

    fn step(&mut self, input: Input) {
        self.counts.steps += 1;
        let peers = self.size.controllers as u64 - 1;
        for effect in self.real.step(Timestamp::from_millis(self.now), input) {
            match effect {
                Effect::SendToPeer { message, .. } => {
                    self.counts.to_peers += self.written(&message, 1)
                }
                Effect::BroadcastToPeers(message) => {
                    self.counts.to_peers += self.written(&message, peers)
                }
                Effect::BroadcastToGateways(message) => {
                    self.counts.to_gateways += self.written(&message, self.sessions);
                }
                Effect::SendToGateway { session, message } => {
                    self.counts.to_gateways += self.written(&message, 1);
                    if let Message::TableReplacement {
                        service,
                        revision: mark,
                        ..
                    }
                    | Message::TableUpdate {
                        service,
                        revision: mark,
                        ..
                    } = message
                    {
                        self.unanswered.push((session.0, service, mark));
                    }
                }
                Effect::PersistHost(_) | Effect::Log(_) => {}
            }
        }
    }

    /// A frame comes to the real controller.
    fn hear(&mut self, from: From, bytes: &[u8]) {
        let message = decode(&bytes[HEAD..]).expect("a frame of ours");
        let length = bytes.len() as u64;
        match (from, message) {
            (From::Host, Message::HostUpdates(news)) => {
                news.into_iter()
                    .for_each(|news| self.step(Input::HostRequest(news)));
            }
            (From::Host, _) => unreachable!("hosts only tell of themselves"),
            (From::Peer(node), message) => {
                self.counts.from_peers += length;
                self.step(Input::PeerMessage {
                    peer: node,
                    message,
                });
            }
            (From::Gateway(session), message) => {
                self.counts.from_gateways += length;
                self.step(Input::GatewayMessage {
                    session: SessionId(session),
                    message,
                });
            }
        }
    }

    /// Hollow gateways hold what they got.
    fn answer(&mut self) {
        while !self.unanswered.is_empty() {
            for (session, service, mark) in std::mem::take(&mut self.unanswered) {
                self.hear(
                    From::Gateway(session),
                    &frame(&Message::TableApplied {
                        service,
                        revision: mark,
                    }),
                );
            }
        }
    }

    fn pass(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += TICK;
            self.step(Input::Tick);
            self.answer();
        }
    }

    /// The controller is with its peers and knows all hosts from one of them.
    fn found(&mut self) {
        self.step(Input::QuorumContactChanged(true));
        let peers = self.size.controllers - 1;
        (0..peers).for_each(|k| self.step(Input::PeerSessionOpened(peer(k))));
        let hosts = (0..self.size.hosts).map(|k| host(k, &self.size)).collect();
        self.hear(From::Peer(peer(0)), &frame(&Message::HostUpdates(hosts)));
        self.hear(
            From::Peer(peer(0)),
            &frame(&Message::ControllerStatus {
                is_synchronized: true,
                gateways: 0,
            }),
        );
        self.pass(TICK);
    }

    fn session(&mut self) -> u64 {
        self.sessions += 1;
        let (session, node) = (self.sessions, gateway(SessionId(self.sessions)));
        let zone = zone(session as usize, &self.size);
        self.step(Input::GatewaySessionOpened {
            session: SessionId(session),
            node,
            zone,
        });
        session
    }

    /// A gateway makes its session and takes its tables from here.
    fn join(&mut self) {
        let session = self.session();
        self.hear(
            From::Gateway(session),
            &frame(&Message::PrimarySelected(true)),
        );
        self.answer();
    }

    /// All gateways but one have come; the peers tell that they have sessions with all of them too. Those at home come
    /// first: a step costs more with each session that there is.
    fn gather(&mut self) {
        (1..self.homed()).for_each(|_| self.join());
        self.pass(SETTLED);
        while self.sessions + 1 < self.size.gateways as u64 {
            self.session();
        }
        let all: Vec<NodeId> = (1..self.size.gateways as u64)
            .map(|session| gateway(SessionId(session)))
            .collect();
        let told = frame(&Message::GatewaySessions(all));
        (0..self.size.controllers - 1).for_each(|k| self.hear(From::Peer(peer(k)), &told));
        self.pass(TICK);
    }

    /// What comes in calm, by the ms at which it comes: beats of hosts here and by the peers, usage of gateways at home.
    fn script(&self) -> Vec<(u64, From, Vec<u8>)> {
        let (controllers, mut script) = (self.size.controllers, Vec::new());
        for at in (TICK..=CALM).step_by(TICK as usize) {
            let due = |h: &usize, span: u64| (*h as u64 * 37 % BEAT) / span == (at % BEAT) / span;
            for h in (0..self.size.hosts).filter(|h| h % controllers == 0 && due(h, TICK)) {
                let news = HostRecord {
                    sequence: CallSequence(1 + at),
                    ..host(h, &self.size)
                };
                script.push((at, From::Host, frame(&Message::HostUpdates(vec![news]))));
            }
            if at % BEATS_EVERY == 0 {
                script.extend(
                    (1..controllers).map(|k| (at, From::Peer(peer(k - 1)), self.beats(k, at))),
                );
            }
            if at % USAGE_EVERY == 0 {
                let homed = (1..self.homed()).flat_map(|session| self.usage(SessionId(session)));
                script.extend(homed.map(|(session, bytes)| (at, From::Gateway(session.0), bytes)));
            }
        }
        script
    }

    /// What one peer tells of beats in `BEATS_EVERY`: its share of the hosts, in turn.
    fn beats(&self, k: usize, at: u64) -> Vec<u8> {
        let share = (0..self.size.hosts).filter(|h| h % self.size.controllers == k);
        let heard = share.filter(|h| (*h as u64 * 37 + at) % BEAT < BEATS_EVERY);
        frame(&Message::Heartbeats(
            heard
                .map(|h| Heartbeat {
                    host: host(h, &self.size).id,
                    sequence: CallSequence(1 + at),
                })
                .collect(),
        ))
    }

    fn usage(&self, session: SessionId) -> impl Iterator<Item = (SessionId, Vec<u8>)> {
        (0..self.size.services).map(move |k| {
            let service = format!("service-{k:03}").into();
            let message = Message::LoadReport {
                service,
                attempts: TRIES,
                failures: 0,
                interval_ms: USAGE_EVERY as u32,
            };
            (session, frame(&message))
        })
    }

    /// Calm, until its end or until too much processor time went; the ms that passed.
    fn calm(&mut self) -> u64 {
        let script = self.script();
        let (start, used) = (self.now, gauge::processor_ms());
        self.counts = Counts::default();
        let mut next = 0;
        for at in (TICK..=CALM).step_by(TICK as usize) {
            self.now = start + at;
            while let Some((_, from, bytes)) = script.get(next).filter(|s| s.0 <= at) {
                self.hear(*from, bytes);
                next += 1;
            }
            self.step(Input::Tick);
            self.answer();
            // Whole seconds only, so that each has its beats and its usage.
            if at % USAGE_EVERY == 0 && gauge::processor_ms() - used > CALM_PROCESSOR_MOST {
                return at;
            }
        }
        CALM
    }
}

/// One real controller of nine. A join with `SETTLED` ms after it; KB and KB/s as counted in frames.
pub const HEADING: &str = "gateways | at home | hosts | services |     MB | learn ms | gather ms | join ms | join KB | join KB peers | calm s | processor ms/s | steps/s | KB/s to peers | from peers | to gateways | from gateways | drain KB";

/// Prints one row: a controller at a size.
pub fn measure(size: &Size) {
    let empty = gauge::resident_mb();
    let mut fleet = Fleet::new(*size);
    let ((), learn) = gauge::timed(|| fleet.found());
    let ((), gather) = gauge::timed(|| fleet.gather());
    let resident = gauge::resident_mb() - empty;
    fleet.counts = Counts::default();
    let ((), join) = gauge::timed(|| {
        fleet.join();
        fleet.pass(SETTLED);
    });
    let joined = fleet.counts;
    let script_free = gauge::processor_ms();
    drop(fleet.script());
    let script = gauge::processor_ms() - script_free;
    let (passed, calm) = gauge::timed(|| fleet.calm());
    let seconds = passed as f64 / 1_000.0;
    let counts = fleet.counts;
    fleet.counts = Counts::default();
    let leaving = HostRecord {
        sequence: CallSequence(u64::MAX),
        state: HostState::Draining,
        ..host(0, size)
    };
    fleet.step(Input::HostRequest(leaving));
    let drained = fleet.counts;
    let rate = |bytes: u64| bytes as f64 / 1_000.0 / seconds;
    println!(
        "{:>8} | {:>7} | {:>5} | {:>8} | {:>6.1} | {:>8.0} | {:>9.0} | {:>7.0} | {:>7.0} | {:>13.1} | {:>6.0} | {:>14.0} | {:>7.0} | {:>13.1} | {:>10.1} | {:>11.1} | {:>13.1} | {:>8.1}",
        size.gateways,
        fleet.homed(),
        size.hosts,
        size.services,
        resident,
        learn,
        gather,
        join,
        joined.to_gateways as f64 / 1e3,
        joined.to_peers as f64 / 1e3,
        seconds,
        (calm - script).max(0.0) / seconds,
        counts.steps as f64 / seconds,
        rate(counts.to_peers),
        rate(counts.from_peers),
        rate(counts.to_gateways),
        rate(counts.from_gateways),
        drained.to_gateways as f64 / 1e3,
    );
}
