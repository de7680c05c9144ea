//! A configuration of the target's size: what reading and checking it costs, and what goes between controllers and to
//! gateways until it is committed.

use super::configuration_text::configuration_text;
use super::{Size, process_usage};
use crate::frames::frame_bytes;
use rushcourse_config::Configuration;
use rushcourse_consensus::{
    CommittedConfiguration, ConsensusNode, DurableState, Effect, Input, Setup, WriteBatch,
};
use rushcourse_messages::{Message, NodeId, VotingSet};
use rushcourse_types::{ConfigurationVersion, Epoch, Incarnation, Ticket, Timestamp, WallTime};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// When the run starts, by the steady clock, and when it ends.
const START: Timestamp = Timestamp::from_millis(1_000);
const END: Timestamp = Timestamp::from_millis(3_000);
/// The time of day, which is of no matter here, when the steady clock is at zero.
const WALL_TIME: u64 = 1_700_000_000_000;
const KEY_WINDOW: Duration = Duration::from_millis(60_000);
const CATCH_UP: Duration = Duration::from_millis(6_000);
/// The number of the first controller's node.
const FIRST_NODE: u32 = 10;

/// Reading a text, and one change at nine real controllers that all vote.
pub(super) const HEADING: &str = "routes | tenants | text MB | read ms | read MB | acknowledged | texts between controllers MB | other KB | to each gateway MB | steps ms";

/// Bytes that controllers send.
#[derive(Default)]
struct SentBytes {
    /// Texts of configurations between controllers.
    texts: u64,
    /// All else between controllers.
    others: u64,
    /// Committed texts that go to each gateway.
    committed: u64,
}

/// Real controllers whose messages arrive at once, each with a disk that syncs at once.
struct Controllers {
    now: Timestamp,
    nodes: Vec<ConsensusNode>,
    /// What is to be taken next: the position of a node, and its input.
    inputs: VecDeque<(usize, Input)>,
    sent: SentBytes,
    is_acknowledged: bool,
}

fn node_id(position: usize) -> NodeId {
    NodeId(FIRST_NODE + position as u32)
}

fn position(node: NodeId) -> usize {
    (node.0 - FIRST_NODE) as usize
}

/// The controller at a position, as a member of a voting set of all.
fn controller(position: usize, members: &[NodeId]) -> ConsensusNode {
    let setup = Setup {
        node: node_id(position),
        zone: "zone".into(),
        incarnation: Incarnation(position as u64),
        seeds: members.to_vec(),
        is_first_start: false,
        tolerated_losses: 2,
        catch_up: CATCH_UP,
        key_window: KEY_WINDOW,
    };
    let voting_set = VotingSet {
        epoch: Epoch(1),
        members: members.to_vec(),
    };
    let state = DurableState {
        voting_set,
        has_complete_state: true,
        ..DurableState::default()
    };
    ConsensusNode::new(setup, state)
}

impl Controllers {
    /// Controllers that are all in session with each other.
    fn connected(count: usize) -> Controllers {
        let members: Vec<NodeId> = (0..count).map(node_id).collect();
        let mut controllers = Controllers {
            now: START,
            nodes: (0..count)
                .map(|position| controller(position, &members))
                .collect(),
            inputs: VecDeque::new(),
            sent: SentBytes::default(),
            is_acknowledged: false,
        };
        for position in 0..count {
            for peer in (0..count).filter(|peer| *peer != position) {
                let connected = Input::PeerConnected {
                    peer: node_id(peer),
                    zone: "zone".into(),
                };
                controllers.inputs.push_back((position, connected));
            }
        }
        controllers.run_inputs();
        controllers.sent = SentBytes::default();
        controllers
    }

    fn run_inputs(&mut self) {
        let wall_time = WallTime(WALL_TIME + self.now.as_millis());
        while let Some((position, input)) = self.inputs.pop_front() {
            for effect in self.nodes[position].step(self.now, wall_time, input) {
                self.apply(position, effect);
            }
        }
    }

    fn apply(&mut self, from: usize, effect: Effect) {
        match effect {
            Effect::Write(WriteBatch { id, .. }) => {
                self.inputs.push_back((from, Input::BatchSynced(id)));
            }
            Effect::Send { to, message } => self.send(from, to, message),
            Effect::ConfigurationCommitted(CommittedConfiguration { version, text }) => {
                let message = Message::Configuration { version, text };
                self.sent.committed += frame_bytes(&message);
            }
            Effect::Answer { .. } => self.is_acknowledged = true,
            Effect::AnswerClaim(_) | Effect::VotingSetAdopted(_) | Effect::Log(_) => {}
        }
    }

    fn send(&mut self, from: usize, to: NodeId, message: Message) {
        let bytes = frame_bytes(&message);
        match message {
            Message::Accept { .. } => self.sent.texts += bytes,
            _ => self.sent.others += bytes,
        }
        let received = Input::MessageReceived {
            from: node_id(from),
            message,
        };
        self.inputs.push_back((position(to), received));
    }

    /// An operator puts a configuration at the first controller; runs until the end.
    fn put(&mut self, text: Arc<[u8]>) {
        let put = Input::PutConfiguration {
            ticket: Ticket(1),
            version: ConfigurationVersion(2),
            text,
        };
        self.inputs.push_back((0, put));
        self.run_inputs();
        while self.now < END {
            self.now += TICK_INTERVAL;
            let ticks = (0..self.nodes.len()).map(|position| (position, Input::Tick));
            self.inputs.extend(ticks);
            self.run_inputs();
        }
    }
}

/// Prints one row: a configuration at a size.
pub(super) fn measure(size: &Size) {
    let text: Arc<[u8]> = configuration_text(size).into();
    let empty = process_usage::resident_mb();
    let (configuration, read_ms) =
        process_usage::timed(|| Configuration::parse(&text).expect("a text of ours is valid"));
    let peak = process_usage::resident_mb() - empty;
    assert_eq!(
        configuration.routes.len(),
        size.routes,
        "all routes were read"
    );
    let mut controllers = Controllers::connected(size.controllers);
    let ((), put_ms) = process_usage::timed(|| controllers.put(text.clone()));
    let sent = &controllers.sent;
    println!(
        "{:>6} | {:>7} | {:>7.2} | {:>7.0} | {:>7.1} | {:>12} | {:>28.1} | {:>8.1} | {:>18.1} | {:>8.0}",
        size.routes,
        size.tenants,
        text.len() as f64 / 1e6,
        read_ms,
        peak,
        controllers.is_acknowledged,
        sent.texts as f64 / 1e6,
        sent.others as f64 / 1e3,
        sent.committed as f64 / 1e6,
        put_ms,
    );
}
