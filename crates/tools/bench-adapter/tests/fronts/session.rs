//! The session of the real director, with a relay that takes every call at once and a discovery that answers at once.

use crate::script::{CLASSES, HOSTS, Listed, ScriptEvent, ZONES, options};
use crate::{Batches, START};
use bytes::Bytes;
use rushcourse_director_settings::{DeploymentSettings, Names};
use rushcourse_director_state::{
    Effect, FetchId, InboundId, Input, ProcessLimits, RelayConnectionId, RelayLink,
    ServiceAddresses, Session, SessionConfig,
};
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// The collector's connection.
const COLLECTOR: InboundId = InboundId(1);
/// Time after which a watch of the list ends without a change, in ms.
const WATCH_TIMEOUT: f64 = 3900.0;

pub struct RealDirector {
    session: Session,
    /// When it wants to be called.
    wake_at: f64,
    /// The generation of its connection to the relay's watch.
    watch_generation: u64,
    list_request: FetchId,
    list_requested_at: f64,
    list_revision: u64,
    /// The number of its last call that asked to be acknowledged.
    ack_number: u64,
    /// Calls to the relay.
    pub calls: Batches,
}

impl RealDirector {
    /// A director that has started; a collector has dialled in.
    pub fn start() -> RealDirector {
        let mut director = RealDirector {
            session: session(),
            wake_at: f64::INFINITY,
            watch_generation: 0,
            list_request: FetchId(0),
            list_requested_at: START,
            list_revision: 1,
            ack_number: 0,
            calls: Batches::new(),
        };
        director.give(START, Input::Start);
        director.give(
            START,
            Input::InboundOpened {
                inbound: COLLECTOR,
                peer: "collector".into(),
            },
        );
        director.collector_message(START, &json!({"@type": "collector", "az": "east"}));
        director
    }

    /// Ends a watch of the list whose time is over, and calls the session as it asked.
    pub fn step(&mut self, now: f64) {
        if now - self.list_requested_at >= WATCH_TIMEOUT {
            self.list_changes(now, &[]);
        }
        if self.wake_at <= now {
            self.give(now, Input::Wake);
        }
    }

    /// Something happens.
    pub fn handle_event(&mut self, now: f64, event: &ScriptEvent) {
        match event {
            ScriptEvent::ProxyJoins { proxy, zone, rate } => {
                let zone = ZONES[*zone];
                self.watch_line(now, format!("* joined {proxy} {zone} {rate} 1"));
            }
            ScriptEvent::ProxyLeaves { proxy } => self.watch_line(now, format!("* left {proxy}")),
            ScriptEvent::Acknowledged { proxy } => {
                let ack_number = self.ack_number;
                self.watch_line(now, format!("* applied {proxy} {ack_number} 250.0"));
            }
            ScriptEvent::HostReport {
                host,
                attempts,
                failed,
                mean_latency,
            } => self.collector_message(
                now,
                &json!({"@type": "heard", "az": ZONES[host.zone], "host": host.id, "n": attempts,
                    "bad": failed, "avg": mean_latency, "window": 1000.0}),
            ),
            ScriptEvent::Traffic {
                proxy,
                class,
                attempts,
                failed,
            } => self.collector_message(
                now,
                &json!({"@type": "usage", "sidecar": proxy, "kind": CLASSES[*class], "n": attempts,
                    "bad": failed, "window": 1000.0}),
            ),
            ScriptEvent::HostChanges(listed) => {
                self.list_revision += 1;
                self.list_changes(now, &[member(listed, now)]);
            }
        }
    }

    fn watch_line(&mut self, now: f64, line: String) {
        let connection = RelayConnectionId {
            link: RelayLink::Watch,
            generation: self.watch_generation,
        };
        self.give(now, Input::RelayLine { connection, line });
    }

    fn collector_message(&mut self, now: f64, message: &Value) {
        self.give(
            now,
            Input::InboundMessage {
                inbound: COLLECTOR,
                message: Bytes::from(message.to_string()),
            },
        );
    }

    /// Discovery answers the last request with changes of the list.
    fn list_changes(&mut self, now: f64, members: &[Value]) {
        let body = json!({"revision": self.list_revision, "complete": false, "members": members});
        let (request, body) = (self.list_request, Bytes::from(body.to_string()));
        self.give(now, Input::EndpointsFetched { request, body });
    }

    fn give(&mut self, now: f64, input: Input) {
        let mut inputs = VecDeque::from([input, Input::Wake]);
        while let Some(input) = inputs.pop_front() {
            for effect in self.session.step(now, input) {
                self.carry_out(now, effect, &mut inputs);
            }
        }
    }

    fn carry_out(&mut self, now: f64, effect: Effect, inputs: &mut VecDeque<Input>) {
        match effect {
            Effect::ConnectRelay { connection, .. } => {
                if connection.link == RelayLink::Watch {
                    self.watch_generation = connection.generation;
                }
                inputs.extend([Input::RelayConnected { connection }, Input::Wake]);
            }
            Effect::SendRelay { connection, .. } if connection.link == RelayLink::Watch => {
                let line = "OK".into();
                inputs.push_back(Input::RelayLine { connection, line });
            }
            Effect::SendRelay { connection, line } => {
                let line = self.relay_call(now, &line);
                inputs.extend([Input::RelayLine { connection, line }, Input::Wake]);
            }
            Effect::FetchEndpoints { request, path, .. } => {
                (self.list_request, self.list_requested_at) = (request, now);
                if !path.contains('?') {
                    let body = complete_list(self.list_revision).into();
                    inputs.extend([Input::EndpointsFetched { request, body }, Input::Wake]);
                }
            }
            Effect::ScheduleWake { at } => self.wake_at = at,
            _ => {}
        }
    }

    /// The relay takes a call; answers what it says.
    fn relay_call(&mut self, now: f64, line: &str) -> String {
        let orders = line.trim_end().trim_start_matches("APPLY ");
        let orders: Vec<String> = orders.split(';').map(String::from).collect();
        let mut numbers = orders
            .iter()
            .filter_map(|order| order.strip_prefix("mark,")?.split(',').next());
        if let Some(number) = numbers.next_back() {
            self.ack_number = number.parse().expect("a number");
        }
        let answer = format!("OK {}", orders.len());
        self.calls.insert(now as u64, orders);
        answer
    }
}

fn session() -> Session {
    let settings: DeploymentSettings = serde_json::from_value(options()).expect("options");
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    let limits = ProcessLimits {
        memory_mb: 192.0,
        descriptors: 1024,
    };
    Session::new(SessionConfig {
        addresses: ServiceAddresses {
            relay: nowhere,
            discovery: nowhere,
        },
        limits: limits.session_limits(),
        has_relay: true,
        streams: None,
        names: Names::from(&settings),
        batch_interval: settings.batch_interval(),
        settings: settings.to_policy(),
        cached_endpoints: Bytes::from(complete_list(1)),
    })
}

fn complete_list(revision: u64) -> String {
    let members = HOSTS.map(|host| member(&Listed::ready(host), 0.0));
    json!({"revision": revision, "complete": true, "members": members}).to_string()
}

fn member(listed: &Listed, now: f64) -> Value {
    json!({"id": listed.host.id, "host_port": "127.0.0.1:1", "locality": ZONES[listed.host.zone],
        "flavor": "m", "cell": 0, "phase": listed.phase, "size": 1.0, "up_since_ms": listed.started_at(now)})
}
