//! A configuration of the target's size: its text, what reading and checking it costs, and what goes between controllers
//! and to gateways until it is in force.

use super::{Size, gauge};
use rushcourse_config::Configuration;
use rushcourse_consensus::{
    CommittedConfiguration, ConsensusNode, DurableState, Effect, Input, Setup, WriteBatch,
};
use rushcourse_messages::{Message, NodeId, VotingSet, encode};
use rushcourse_types::{ConfigurationVersion, Epoch, Incarnation, Ticket, Timestamp, WallTime};
use std::collections::VecDeque;
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

/// ms between two ticks, and for which a change is played.
const TICK: u64 = 50;
const PLAYED: u64 = 3_000;
/// ms since 1970, of no matter here.
const WALL: u64 = 1_700_000_000_000;
const WINDOW: u64 = 60_000;
const CATCH_UP: u64 = 6_000;

/// The text of a configuration: routes, services, tenants with one key of 32 characters each.
fn text(size: &Size) -> Vec<u8> {
    let mut text = String::from(
        "{\"version\":2,\"services\":{\"columns\":[\"name\",\"connection_capacity\"],\"rows\":[",
    );
    let joined = |k: usize| if k == 0 { "" } else { "," };
    let wrote = "writing to a text succeeds";
    for k in 0..size.services {
        write!(text, "{}[\"service-{k:03}\",480]", joined(k)).expect(wrote);
    }
    text.push_str("]},\"routes\":{\"columns\":[\"name\",\"host\",\"path_prefix\",\"service\",\"route_kind\",\"timeout_s\",");
    text.push_str("\"target_latency_s\",\"maximum_attempts\",\"priority\"],\"rows\":[");
    for k in 0..size.routes {
        let (host, service) = (k / 40, k % size.services);
        let row = format!(
            "[\"route-{k:04}\",\"host-{host:03}.example\",\"/area-{k:04}\",\"service-{service:03}\",\"idempotent\",8,0.8,2,1]"
        );
        write!(text, "{}{row}", joined(k)).expect(wrote);
    }
    text.push_str("]},\"tenants\":{\"columns\":[\"name\",\"api_keys\"],\"rows\":[");
    for k in 0..size.tenants {
        write!(
            text,
            "{}[\"tenant-{k:06}\",[\"{:032x}\"]]",
            joined(k),
            k as u128 * 0x9e37_79b9_7f4a_7c15
        )
        .expect(wrote);
    }
    text.push_str("]},\"limits\":{}}");
    text.into_bytes()
}

/// Bytes of texts and of all else between controllers, and texts in force that go to each gateway.
#[derive(Default)]
struct Counts {
    texts: u64,
    others: u64,
    in_force: u64,
    acknowledged: bool,
}

struct Controllers {
    now: u64,
    all: Vec<ConsensusNode>,
    ways: VecDeque<(usize, Input)>,
    counts: Counts,
}

fn node(k: usize) -> NodeId {
    NodeId(10 + k as u32)
}

impl Controllers {
    fn new(count: usize) -> Controllers {
        let members: Vec<NodeId> = (0..count).map(node).collect();
        let stored = || DurableState {
            voting_set: VotingSet {
                epoch: Epoch(1),
                members: members.clone(),
            },
            has_complete_state: true,
            ..DurableState::default()
        };
        let setup = |k: usize| Setup {
            node: node(k),
            zone: "zone".into(),
            incarnation: Incarnation(k as u64),
            seeds: members.clone(),
            is_first_start: false,
            tolerated_losses: 2,
            catch_up: Duration::from_millis(CATCH_UP),
            key_window: Duration::from_millis(WINDOW),
        };
        let all = (0..count).map(|k| ConsensusNode::new(setup(k), stored()));
        let (all, ways, counts) = (all.collect(), VecDeque::new(), Counts::default());
        let mut controllers = Controllers {
            now: 1_000,
            all,
            ways,
            counts,
        };
        for k in 0..count {
            let peers = (0..count).filter(|other| *other != k);
            controllers.ways.extend(peers.map(|other| {
                (
                    k,
                    Input::PeerConnected {
                        peer: node(other),
                        zone: "zone".into(),
                    },
                )
            }));
        }
        controllers.deliver();
        controllers
    }

    fn deliver(&mut self) {
        while let Some((k, input)) = self.ways.pop_front() {
            for effect in self.all[k].step(
                Timestamp::from_millis(self.now),
                WallTime(WALL + self.now),
                input,
            ) {
                self.carry(k, effect);
            }
        }
    }

    fn carry(&mut self, from: usize, effect: Effect) {
        match effect {
            Effect::Write(WriteBatch { id: batch, .. }) => {
                self.ways.push_back((from, Input::BatchSynced(batch)))
            }
            Effect::Send { to, message } => {
                let bytes = length(&message);
                match message {
                    Message::Accept { .. } => self.counts.texts += bytes,
                    _ => self.counts.others += bytes,
                }
                self.ways.push_back((
                    (to.0 - node(0).0) as usize,
                    Input::MessageReceived {
                        from: node(from),
                        message,
                    },
                ));
            }
            Effect::ConfigurationCommitted(CommittedConfiguration { version, text }) => {
                self.counts.in_force += length(&Message::Configuration { version, text });
            }
            Effect::Answer { .. } => self.counts.acknowledged = true,
            Effect::AnswerClaim(_) | Effect::VotingSetAdopted(_) | Effect::Log(_) => {}
        }
    }

    fn put(&mut self, text: Arc<[u8]>) {
        self.ways.push_back((
            0,
            Input::PutConfiguration {
                ticket: Ticket(1),
                version: ConfigurationVersion(2),
                text,
            },
        ));
        self.deliver();
        while self.now < PLAYED {
            self.now += TICK;
            (0..self.all.len()).for_each(|k| self.ways.push_back((k, Input::Tick)));
            self.deliver();
        }
    }
}

fn length(message: &Message) -> u64 {
    let mut bytes = Vec::new();
    encode(message, &mut bytes).expect("a message that fits");
    bytes.len() as u64
}

/// Reading a text, and one change at nine real controllers that all vote.
pub const HEADING: &str = "routes | tenants | text MB | read ms | read MB | acknowledged | texts between controllers MB | other KB | to each gateway MB | steps ms";

/// Prints one row: a configuration at a size.
pub fn measure(size: &Size) {
    let text: Arc<[u8]> = text(size).into();
    let empty = gauge::resident_mb();
    let (read, reading) =
        gauge::timed(|| Configuration::parse(&text).expect("a text of ours is valid"));
    let peak = gauge::resident_mb() - empty;
    assert_eq!(read.routes.len(), size.routes, "all routes were read");
    let mut controllers = Controllers::new(size.controllers);
    controllers.counts = Counts::default();
    let ((), put) = gauge::timed(|| controllers.put(text.clone()));
    let counts = &controllers.counts;
    println!(
        "{:>6} | {:>7} | {:>7.2} | {:>7.0} | {:>7.1} | {:>12} | {:>28.1} | {:>8.1} | {:>18.1} | {:>8.0}",
        size.routes,
        size.tenants,
        text.len() as f64 / 1e6,
        reading,
        peak,
        counts.acknowledged,
        counts.texts as f64 / 1e6,
        counts.others as f64 / 1e3,
        counts.in_force as f64 / 1e6,
        put,
    );
}
