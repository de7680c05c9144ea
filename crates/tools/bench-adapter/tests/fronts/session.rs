//! The director's session, with a simulated relay and discovery that respond immediately.

use crate::script::{CLASSES, HOSTS, ListedHost, ScriptEvent, ZONES, options};
use crate::{Batches, START_TIME};
use bytes::Bytes;
use rushcourse_director_settings::{DeploymentSettings, Names};
use rushcourse_director_state::{
    Effect, FetchId, InboundId, Input, ProcessLimits, RelayConnectionId, RelayLink,
    ServiceAddresses, Session, SessionConfig,
};
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Identifier of the collector's connection, the only inbound one.
const COLLECTOR: InboundId = InboundId(1);
/// Time after which discovery answers a watch without changes, in ms.
const WATCH_TIMEOUT: f64 = 3900.0;

pub struct SessionFront {
    session: Session,
    /// Time of the next requested wake; infinite if there is none.
    wake_at: f64,
    /// Generation of the current connection to the relay's watch.
    watch_generation: u64,
    list_request: FetchId,
    list_requested_at: f64,
    list_revision: u64,
    /// Number of the last requested acknowledgement.
    ack_number: u64,
    /// Orders of the calls to the relay, by time in ms.
    pub calls: Batches,
}

impl SessionFront {
    /// Starts a director and connects a collector.
    pub fn start() -> SessionFront {
        let mut director = SessionFront {
            session: session(),
            wake_at: f64::INFINITY,
            watch_generation: 0,
            list_request: FetchId(0),
            list_requested_at: START_TIME,
            list_revision: 1,
            ack_number: 0,
            calls: Batches::new(),
        };
        director.handle_input(START_TIME, Input::Start);
        director.handle_input(
            START_TIME,
            Input::InboundOpened {
                inbound: COLLECTOR,
                peer: "collector".into(),
            },
        );
        director.collector_message(START_TIME, &json!({"@type": "collector", "az": "east"}));
        director
    }

    /// Answers a watch of the list after [`WATCH_TIMEOUT`], and wakes the session if that is due.
    pub fn step(&mut self, now: f64) {
        if now - self.list_requested_at >= WATCH_TIMEOUT {
            self.list_changes(now, &[]);
        }
        if self.wake_at <= now {
            self.handle_input(now, Input::Wake);
        }
    }

    /// Passes an event of the script to the session as the corresponding message of the relay, collector or discovery.
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
        self.handle_input(now, Input::RelayLine { connection, line });
    }

    fn collector_message(&mut self, now: f64, message: &Value) {
        self.handle_input(
            now,
            Input::InboundMessage {
                inbound: COLLECTOR,
                message: Bytes::from(message.to_string()),
            },
        );
    }

    /// Answers the director's last discovery request with changed members of the list.
    fn list_changes(&mut self, now: f64, members: &[Value]) {
        let body = json!({"revision": self.list_revision, "complete": false, "members": members});
        let (request, body) = (self.list_request, Bytes::from(body.to_string()));
        self.handle_input(now, Input::EndpointsFetched { request, body });
    }

    fn handle_input(&mut self, now: f64, input: Input) {
        let mut inputs = VecDeque::from([input, Input::Wake]);
        while let Some(input) = inputs.pop_front() {
            for effect in self.session.step(now, input) {
                self.apply_effect(now, effect, &mut inputs);
            }
        }
    }

    fn apply_effect(&mut self, now: f64, effect: Effect, inputs: &mut VecDeque<Input>) {
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

    /// Records the orders of a call and returns the relay's answer.
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
    let unused_address = SocketAddr::from(([127, 0, 0, 1], 1));
    let limits = ProcessLimits {
        memory_mb: 192.0,
        descriptors: 1024,
    };
    Session::new(SessionConfig {
        addresses: ServiceAddresses {
            relay: unused_address,
            discovery: unused_address,
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
    let members = HOSTS.map(|host| member(&ListedHost::ready(host), 0.0));
    json!({"revision": revision, "complete": true, "members": members}).to_string()
}

fn member(listed: &ListedHost, now: f64) -> Value {
    json!({"id": listed.host.id, "host_port": "127.0.0.1:1", "locality": ZONES[listed.host.zone],
        "flavor": "m", "cell": 0, "phase": listed.phase, "size": 1.0, "up_since_ms": listed.started_at(now)})
}
