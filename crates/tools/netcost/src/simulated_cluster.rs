//! Simulation of the controllers' state machines and of gateways on a virtual clock; counts the encoded size of each
//! message.

use crate::confirmations::Confirmations;
use crate::frames::frame_bytes;
use crate::simulated_gateway::{Outgoing, SimulatedGateway};
use rushcourse_cluster::{Cluster, Effect, Input, Topology};
use rushcourse_messages::{HostRecord, HostState, Message, NodeId};
use rushcourse_types::{CallSequence, Millis, SessionId, Timestamp};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Interval between ticks of a controller.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between load reports of a gateway, in milliseconds.
const LOAD_REPORT_INTERVAL_MS: u64 = 1_000;
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2_500);
const START_TIME: Timestamp = Timestamp::from_millis(1_000);
/// Time until all controllers know all hosts.
const INITIAL_SYNC: Duration = Duration::from_secs(4);
/// Node ids of the first controller and the first gateway; the others follow in sequence.
const FIRST_CONTROLLER: u32 = 10;
const FIRST_GATEWAY: u32 = 1_000;
/// Offset between the heartbeats of consecutive hosts, in milliseconds.
const HEARTBEAT_SPACING_MS: u64 = 37;

/// Number of nodes, services and zones in the cluster.
#[derive(Clone, Copy, Debug)]
pub struct ClusterSize {
    pub controllers: usize,
    pub gateways: usize,
    pub hosts: usize,
    pub services: usize,
    pub zones: usize,
    pub heartbeat_interval: Duration,
    /// Bound on revocation, which the leases of gateways keep.
    pub revocation: Duration,
}

impl ClusterSize {
    fn zone(&self, index: usize) -> Arc<str> {
        format!("zone-{}", index % self.zones).into()
    }

    fn service(&self, index: usize) -> Arc<str> {
        format!("service-{}", index % self.services).into()
    }

    fn host(&self, index: usize) -> HostRecord {
        HostRecord {
            id: format!("i-{index:010x}").into(),
            service: self.service(index),
            zone: self.zone(index / self.services),
            address: format!("10.{}.64.{}:8540", index / 200, index % 200).into(),
            slots: 4,
            state: HostState::Ready,
            sequence: CallSequence(1),
            warm_up: Millis(0),
            age: Millis(0),
        }
    }

    fn topology(&self, controller: usize) -> Topology {
        Topology {
            zone: self.zone(controller),
            zones: (0..self.zones).map(|index| self.zone(index)).collect(),
            heartbeat_interval: self.heartbeat_interval,
            drain_timeout: DRAIN_TIMEOUT,
        }
    }
}

/// Bytes sent, including frame headers, and steps of controllers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub between_controllers: u64,
    pub to_gateways: u64,
    pub from_gateways: u64,
    /// Bytes received by the gateway that received the most.
    pub max_to_one_gateway: u64,
    pub steps: u64,
}

impl Traffic {
    /// Bytes sent by all nodes.
    pub fn total(&self) -> u64 {
        self.between_controllers + self.to_gateways + self.from_gateways
    }
}

/// Receiver of a message, by its index among the nodes of its role.
#[derive(Clone, Copy)]
enum Receiver {
    Controller(usize),
    Gateway(usize),
}

/// A message from a controller that has not been delivered.
struct InFlight {
    /// Index of the sending controller.
    from: usize,
    to: Receiver,
    message: Message,
}

/// Controllers that are connected to each other, and the gateways that have joined them.
pub struct SimulatedCluster {
    size: ClusterSize,
    now: Timestamp,
    controllers: Vec<Cluster>,
    /// Confirmations of each controller.
    confirmations: Vec<Confirmations>,
    /// `None` for gateways that have not joined.
    gateways: Vec<Option<SimulatedGateway>>,
    hosts: Vec<HostRecord>,
    services: Vec<Arc<str>>,
    in_flight: VecDeque<InFlight>,
    traffic: Traffic,
}

fn controller_node(index: usize) -> NodeId {
    NodeId(FIRST_CONTROLLER + index as u32)
}

fn controller_index(node: NodeId) -> usize {
    (node.0 - FIRST_CONTROLLER) as usize
}

fn gateway_node(index: usize) -> NodeId {
    NodeId(FIRST_GATEWAY + index as u32)
}

/// Returns the session id of a gateway, which is the same at all controllers.
fn session(gateway: usize) -> SessionId {
    SessionId(gateway as u64 + 1)
}

fn gateway_index(session: SessionId) -> usize {
    session.0 as usize - 1
}

impl SimulatedCluster {
    /// Creates a cluster without gateways, whose controllers have synchronized all hosts.
    pub fn new(size: ClusterSize) -> SimulatedCluster {
        let controller = |index| Cluster::new(size.topology(index));
        let mut cluster = SimulatedCluster {
            size,
            now: START_TIME,
            controllers: (0..size.controllers).map(controller).collect(),
            confirmations: (0..size.controllers)
                .map(|_| Confirmations::new(size.revocation))
                .collect(),
            gateways: (0..size.gateways).map(|_| None).collect(),
            hosts: (0..size.hosts).map(|index| size.host(index)).collect(),
            services: (0..size.services)
                .map(|index| size.service(index))
                .collect(),
            in_flight: VecDeque::new(),
            traffic: Traffic::default(),
        };
        for controller in 0..size.controllers {
            cluster.step(controller, Input::QuorumContactChanged(true));
            for peer in (0..size.controllers).filter(|peer| *peer != controller) {
                cluster.step(controller, Input::PeerSessionOpened(controller_node(peer)));
            }
        }
        cluster.run(INITIAL_SYNC);
        cluster
    }

    /// Returns the traffic since the last call.
    pub fn take_traffic(&mut self) -> Traffic {
        let received = self.gateways.iter_mut().flatten();
        let received = received.map(SimulatedGateway::take_received_bytes);
        Traffic {
            max_to_one_gateway: received.max().unwrap_or(0),
            ..std::mem::take(&mut self.traffic)
        }
    }

    /// Connects a gateway to all controllers and delivers the resulting messages.
    pub fn join(&mut self, gateway: usize) {
        let (node, zone) = (gateway_node(gateway), self.size.zone(gateway));
        let controllers =
            (0..self.size.controllers).map(|index| (controller_node(index), self.size.zone(index)));
        self.gateways[gateway] = Some(SimulatedGateway::new(
            node,
            &zone,
            self.size.revocation,
            controllers,
        ));
        for controller in 0..self.size.controllers {
            let session_opened = Input::GatewaySessionOpened {
                session: session(gateway),
                node,
                zone: zone.clone(),
            };
            self.step(controller, session_opened);
        }
        self.deliver();
    }

    /// Sends a host's heartbeat or state change to a controller and delivers the resulting messages.
    pub fn host_request(&mut self, index: usize, state: HostState) {
        let host = &mut self.hosts[index];
        host.sequence = host.sequence.next();
        host.state = state;
        let request = Input::HostRequest(host.clone());
        self.step(index % self.size.controllers, request);
        self.deliver();
    }

    /// Advances the clock: hosts send heartbeats, gateways send load reports, and controllers tick.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += TICK_INTERVAL;
            self.send_heartbeats();
            for controller in 0..self.size.controllers {
                self.step(controller, Input::Tick);
            }
            self.deliver();
            self.select_primary_controllers();
            self.renew_leases();
            if self.now.as_millis().is_multiple_of(LOAD_REPORT_INTERVAL_MS) {
                self.send_load_reports();
            }
        }
    }

    /// Renews the confirmations of controllers and the leases of gateways that are due.
    fn renew_leases(&mut self) {
        let peers = self.size.controllers - 1;
        for confirmations in &mut self.confirmations {
            self.traffic.between_controllers += confirmations.tick(self.now, peers);
        }
        for index in 0..self.gateways.len() {
            let Some(gateway) = &mut self.gateways[index] else {
                continue;
            };
            for outgoing in gateway.lease_requests(self.now) {
                self.send_from_gateway(index, outgoing);
            }
            self.deliver();
        }
    }

    fn send_heartbeats(&mut self) {
        let interval_ms = self.size.heartbeat_interval.as_millis() as u64;
        let tick_ms = TICK_INTERVAL.as_millis() as u64;
        for index in 0..self.hosts.len() {
            let due_ms = (index as u64 * HEARTBEAT_SPACING_MS) % interval_ms;
            let is_due = self.now.as_millis() % interval_ms / tick_ms == due_ms / tick_ms;
            if is_due && self.hosts[index].state == HostState::Ready {
                self.host_request(index, HostState::Ready);
            }
        }
    }

    fn select_primary_controllers(&mut self) {
        for index in 0..self.gateways.len() {
            let Some(gateway) = &mut self.gateways[index] else {
                continue;
            };
            for outgoing in gateway.select_primary(self.now) {
                self.send_from_gateway(index, outgoing);
            }
            self.deliver();
        }
    }

    fn send_load_reports(&mut self) {
        for index in 0..self.gateways.len() {
            let Some(gateway) = &self.gateways[index] else {
                continue;
            };
            let reports = gateway.load_reports(&self.services);
            if reports.is_empty() {
                continue;
            }
            for report in reports {
                self.send_from_gateway(index, report);
            }
            self.deliver();
        }
    }

    fn step(&mut self, controller: usize, input: Input) {
        self.traffic.steps += 1;
        for effect in self.controllers[controller].step(self.now, input) {
            match effect {
                Effect::SendToPeer { peer, message } => {
                    let to = Receiver::Controller(controller_index(peer));
                    self.send(controller, to, message);
                }
                Effect::BroadcastToPeers(message) => {
                    for peer in (0..self.size.controllers).filter(|peer| *peer != controller) {
                        self.send(controller, Receiver::Controller(peer), message.clone());
                    }
                }
                Effect::SendToGateway { session, message } => {
                    let to = Receiver::Gateway(gateway_index(session));
                    self.send(controller, to, message);
                }
                Effect::BroadcastToGateways(message) => {
                    for gateway in 0..self.gateways.len() {
                        if self.gateways[gateway].is_some() {
                            self.send(controller, Receiver::Gateway(gateway), message.clone());
                        }
                    }
                }
                Effect::PersistHost(_) | Effect::RemoveStoredHost(_) | Effect::Log(_) => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: Receiver, message: Message) {
        self.in_flight.push_back(InFlight { from, to, message });
    }

    /// Delivers messages of controllers and the responses to them until none is in flight.
    fn deliver(&mut self) {
        while let Some(InFlight { from, to, message }) = self.in_flight.pop_front() {
            let bytes = frame_bytes(&message);
            let sender = controller_node(from);
            match to {
                Receiver::Controller(controller) => {
                    self.traffic.between_controllers += bytes;
                    let peer = sender;
                    self.step(controller, Input::PeerMessage { peer, message });
                }
                Receiver::Gateway(gateway) => {
                    self.traffic.to_gateways += bytes;
                    self.receive_at_gateway(gateway, sender, message, bytes);
                }
            }
        }
    }

    fn receive_at_gateway(&mut self, index: usize, from: NodeId, message: Message, bytes: u64) {
        let Some(gateway) = &mut self.gateways[index] else {
            return;
        };
        for outgoing in gateway.receive(self.now, from, message, bytes) {
            self.send_from_gateway(index, outgoing);
        }
    }

    fn send_from_gateway(&mut self, gateway: usize, outgoing: Outgoing) {
        let Outgoing { to, message } = outgoing;
        self.traffic.from_gateways += frame_bytes(&message);
        let controller = controller_index(to);
        if let Message::ConfigurationLeaseRequest { sent_at } = message {
            let response = self.confirmations[controller].response(self.now, sent_at);
            if let Some(response) = response {
                self.send(controller, Receiver::Gateway(gateway), response);
            }
            return;
        }
        let received = Input::GatewayMessage {
            session: session(gateway),
            message,
        };
        self.step(controller, received);
    }

    /// Returns the number of endpoints in the largest table of each service, among tables that gateways are bound to.
    pub fn largest_tables(&self) -> BTreeMap<Arc<str>, usize> {
        let mut largest: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        let tables = self
            .controllers
            .iter()
            .flat_map(|controller| controller.distribution().tables());
        for table in tables.filter(|table| table.gateways > 0) {
            let endpoints = largest.entry(table.service).or_default();
            *endpoints = table.endpoints.len().max(*endpoints);
        }
        largest
    }
}
