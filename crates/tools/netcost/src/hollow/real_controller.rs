//! One real controller's cluster state: all hosts, the gateways that it is the primary controller of, sessions with all
//! others. The other controllers and all gateways are hollow. What arrives is read from frames, what goes out is written
//! to a frame for each receiver, as the program does; sockets, TLS and the disk are not part of it.

use super::Size;
use super::fleet::{gateway, host, peer, zone};
use crate::frames::{frame, message};
use rushcourse_cluster::{Cluster, Effect, Input, Topology};
use rushcourse_messages::{Message, NodeId, encode};
use rushcourse_types::{SessionId, Timestamp};
use std::sync::Arc;
use std::time::Duration;

/// Between two ticks of a controller.
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Between two heartbeats of a host.
pub(super) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2_500);
const START: Timestamp = Timestamp::from_millis(1_000);
/// After which all that a join sets off has been sent.
pub(super) const JOIN_SETTLED: Duration = Duration::from_millis(1_500);

/// Who sends something to the real controller.
#[derive(Clone, Copy)]
pub(super) enum Sender {
    Host,
    Peer(NodeId),
    Gateway(SessionId),
}

/// Bytes in frames, and steps.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Traffic {
    pub(super) steps: u64,
    pub(super) to_peers: u64,
    pub(super) to_gateways: u64,
    pub(super) from_peers: u64,
    pub(super) from_gateways: u64,
}

/// A table that a gateway was sent and has not confirmed.
struct UnconfirmedTable {
    session: SessionId,
    service: Arc<str>,
    revision: u16,
}

/// The real controller.
pub(super) struct RealController {
    size: Size,
    now: Timestamp,
    cluster: Cluster,
    traffic: Traffic,
    /// Of frames that go out.
    buffer: Vec<u8>,
    /// Sessions of gateways that stand.
    sessions: u64,
    unconfirmed: Vec<UnconfirmedTable>,
}

impl RealController {
    pub(super) fn new(size: Size) -> RealController {
        let topology = Topology {
            zone: zone(0, &size),
            zones: (0..size.zones).map(|index| zone(index, &size)).collect(),
            heartbeat_interval: HEARTBEAT_INTERVAL,
            drain_timeout: DRAIN_TIMEOUT,
        };
        RealController {
            size,
            now: START,
            cluster: Cluster::new(topology),
            traffic: Traffic::default(),
            buffer: Vec::new(),
            sessions: 0,
            unconfirmed: Vec::new(),
        }
    }

    pub(super) fn now(&self) -> Timestamp {
        self.now
    }

    /// Gateways that take their tables from the real controller.
    pub(super) fn primary_gateways(&self) -> u64 {
        self.size.gateways.div_ceil(self.size.controllers) as u64
    }

    /// The traffic since the last call.
    pub(super) fn take_traffic(&mut self) -> Traffic {
        std::mem::take(&mut self.traffic)
    }

    /// Bytes of one message, written as often as there are receivers.
    fn write_frames(&mut self, message: &Message, receivers: u64) -> u64 {
        let mut bytes = 0;
        for _ in 0..receivers {
            self.buffer.clear();
            encode(message, &mut self.buffer).expect("a message that fits");
            bytes += self.buffer.len() as u64;
        }
        bytes
    }

    pub(super) fn step(&mut self, input: Input) {
        self.traffic.steps += 1;
        let peers = self.size.controllers as u64 - 1;
        for effect in self.cluster.step(self.now, input) {
            match effect {
                Effect::SendToPeer { message, .. } => {
                    self.traffic.to_peers += self.write_frames(&message, 1);
                }
                Effect::BroadcastToPeers(message) => {
                    self.traffic.to_peers += self.write_frames(&message, peers);
                }
                Effect::BroadcastToGateways(message) => {
                    self.traffic.to_gateways += self.write_frames(&message, self.sessions);
                }
                Effect::SendToGateway { session, message } => {
                    self.traffic.to_gateways += self.write_frames(&message, 1);
                    self.note_table(session, message);
                }
                Effect::PersistHost(_) | Effect::Log(_) => {}
            }
        }
    }

    fn note_table(&mut self, session: SessionId, message: Message) {
        if let Message::TableReplacement {
            service, revision, ..
        }
        | Message::TableUpdate {
            service, revision, ..
        } = message
        {
            self.unconfirmed.push(UnconfirmedTable {
                session,
                service,
                revision,
            });
        }
    }

    /// A frame arrives.
    pub(super) fn receive(&mut self, from: Sender, frame: &[u8]) {
        let message = message(frame);
        let bytes = frame.len() as u64;
        match (from, message) {
            (Sender::Host, Message::HostUpdates(hosts)) => {
                for host in hosts {
                    self.step(Input::HostRequest(host));
                }
            }
            (Sender::Host, _) => unreachable!("hosts only send updates of themselves"),
            (Sender::Peer(peer), message) => {
                self.traffic.from_peers += bytes;
                self.step(Input::PeerMessage { peer, message });
            }
            (Sender::Gateway(session), message) => {
                self.traffic.from_gateways += bytes;
                self.step(Input::GatewayMessage { session, message });
            }
        }
    }

    /// Hollow gateways confirm the tables that they were sent.
    fn confirm_tables(&mut self) {
        while !self.unconfirmed.is_empty() {
            for table in std::mem::take(&mut self.unconfirmed) {
                let applied = Message::TableApplied {
                    service: table.service,
                    revision: table.revision,
                };
                self.receive(Sender::Gateway(table.session), &frame(&applied));
            }
        }
    }

    /// The clock goes on to this moment.
    pub(super) fn advance_to(&mut self, now: Timestamp) {
        self.now = now;
    }

    /// The controller ticks, and gateways confirm what it sends them.
    pub(super) fn tick(&mut self) {
        self.step(Input::Tick);
        self.confirm_tables();
    }

    /// Lets time pass without anything from others.
    pub(super) fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.advance_to(self.now + TICK_INTERVAL);
            self.tick();
        }
    }

    /// The controller connects to its peers and learns all hosts from one of them.
    pub(super) fn connect_to_peers(&mut self) {
        self.step(Input::QuorumContactChanged(true));
        for index in 0..self.size.controllers - 1 {
            self.step(Input::PeerSessionOpened(peer(index)));
        }
        let teacher = Sender::Peer(peer(0));
        let hosts = (0..self.size.hosts).map(|index| host(index, &self.size));
        let updates = Message::HostUpdates(hosts.collect());
        self.receive(teacher, &frame(&updates));
        let status = Message::ControllerStatus {
            is_synchronized: true,
            gateways: 0,
        };
        self.receive(teacher, &frame(&status));
        self.pass(TICK_INTERVAL);
    }

    /// The next gateway opens its session.
    fn open_session(&mut self) -> SessionId {
        self.sessions += 1;
        let session = SessionId(self.sessions);
        self.step(Input::GatewaySessionOpened {
            session,
            node: gateway(session),
            zone: zone(self.sessions as usize, &self.size),
        });
        session
    }

    /// The next gateway opens its session and takes its tables from here.
    pub(super) fn join(&mut self) {
        let session = self.open_session();
        let selected = frame(&Message::PrimarySelected(true));
        self.receive(Sender::Gateway(session), &selected);
        self.confirm_tables();
    }

    /// All gateways but one open their sessions; the peers say that they have sessions with all of them too. Those that
    /// take their tables from here come first: a step costs more with each session that there is.
    pub(super) fn open_all_sessions_but_one(&mut self) {
        (1..self.primary_gateways()).for_each(|_| self.join());
        self.pass(JOIN_SETTLED);
        while self.sessions + 1 < self.size.gateways as u64 {
            self.open_session();
        }
        let gateways = (1..self.size.gateways as u64).map(|session| gateway(SessionId(session)));
        let sessions = frame(&Message::GatewaySessions(gateways.collect()));
        for index in 0..self.size.controllers - 1 {
            self.receive(Sender::Peer(peer(index)), &sessions);
        }
        self.pass(TICK_INTERVAL);
    }
}
