//! A controller's state machine with a simulated clock, and shorthands for its inputs.
#![allow(dead_code)]

use rushcourse_cluster::{Cluster, Effect, Input, Topology};
use rushcourse_messages::{HostRecord, HostState, Message};
use rushcourse_types::{CallSequence, Millis, NodeId, SessionId, Timestamp};
use std::time::Duration;

/// Interval between ticks in milliseconds.
pub const TICK: u64 = 50;
/// Interval at which hosts send heartbeats, in milliseconds.
pub const HEARTBEAT_INTERVAL: u64 = 1_500;

/// The gateway whose primary is the controller under test.
pub const GATEWAY: NodeId = NodeId(70);
pub const GATEWAY_SESSION: SessionId = SessionId(7);

pub fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// A host of service `s` in zone `z1`.
pub fn host(id: &str, sequence: u64, state: HostState) -> HostRecord {
    HostRecord {
        id: id.into(),
        service: "s".into(),
        zone: "z1".into(),
        address: "10.0.0.1:80".into(),
        slots: 4,
        state,
        sequence: CallSequence(sequence),
        warm_up: Millis(0),
        age: Millis(0),
    }
}

/// A controller in zone `z1` of a deployment with two zones.
pub struct Controller(pub Cluster);

impl Controller {
    pub fn new() -> Controller {
        Controller(Cluster::new(Topology {
            zone: "z1".into(),
            zones: vec!["z1".into(), "z2".into()],
            heartbeat_interval: Duration::from_millis(HEARTBEAT_INTERVAL),
            drain_timeout: Duration::from_millis(2_500),
        }))
    }

    /// A synchronized controller with three hosts and one gateway, at 4.5 s. Also returns the effects since the gateway
    /// selected it as its primary at 4 s.
    pub fn with_gateway() -> (Controller, Vec<Effect>) {
        let mut controller = Controller::new();
        controller.step(1_000, Input::QuorumContactChanged(true));
        for id in ["i-1", "i-2", "i-3"] {
            controller.host_request(1_000, host(id, 1, HostState::Ready));
        }
        controller.tick(1_000, 4_000);
        let effects = controller.adopt_gateway(4_000);
        (controller, effects)
    }

    pub fn step(&mut self, now: u64, input: Input) -> Vec<Effect> {
        self.0.step(at(now), input)
    }

    /// Ticks every [`TICK`] milliseconds and returns all effects.
    pub fn tick(&mut self, from: u64, until: u64) -> Vec<Effect> {
        (from..until)
            .step_by(TICK as usize)
            .flat_map(|now| self.step(now, Input::Tick))
            .collect()
    }

    pub fn host_request(&mut self, now: u64, record: HostRecord) -> Vec<Effect> {
        self.step(now, Input::HostRequest(record))
    }

    pub fn peer_message(&mut self, now: u64, peer: NodeId, message: Message) -> Vec<Effect> {
        self.step(now, Input::PeerMessage { peer, message })
    }

    pub fn gateway_message(&mut self, now: u64, message: Message) -> Vec<Effect> {
        let session = GATEWAY_SESSION;
        self.step(now, Input::GatewayMessage { session, message })
    }

    /// The gateway connects and selects this controller as its primary. Returns the effects of the next 500 ms.
    pub fn adopt_gateway(&mut self, now: u64) -> Vec<Effect> {
        let opened = Input::GatewaySessionOpened {
            session: GATEWAY_SESSION,
            node: GATEWAY,
            zone: "z1".into(),
        };
        self.step(now, opened);
        let mut effects = self.gateway_message(now, Message::PrimarySelected(true));
        effects.extend(self.tick(now + TICK, now + 500));
        effects
    }

    pub fn state_of(&self, id: &str) -> HostState {
        self.0.hosts().get(id).expect("known").state()
    }
}

/// The messages sent to the gateway, without broadcasts.
pub fn to_gateway(effects: &[Effect]) -> Vec<&Message> {
    let message = |effect| match effect {
        &Effect::SendToGateway {
            session: GATEWAY_SESSION,
            ref message,
        } => Some(message),
        _ => None,
    };
    effects.iter().filter_map(message).collect()
}

/// Whether a log line contains the event name.
pub fn has_logged(effects: &[Effect], event: &str) -> bool {
    let is_event = |effect: &Effect| matches!(effect, Effect::Log(line) if line.contains(event));
    effects.iter().any(is_event)
}
