//! Test harness that drives `Streams` with a simulated clock and hand-written policy actions.
#![allow(dead_code)] // No test binary uses all helpers.

use rushcourse_director_settings::Names;
use rushcourse_policy::interface::{
    Action, AdmissionKind, Channel, ChannelSettings, Event, FIRST_DEDICATED_TABLE, FleetSettings,
    HostEntry, Idempotency, Ms, ProxyId, ProxySettings, Readiness, RequestClass, RetryPolicy,
    Settings, TableId,
};
use rushcourse_xds::{
    CLUSTER_LOAD_ASSIGNMENT_TYPE_URL, ConnectionId, DeltaDiscoveryRequest, DiscoveryRequest,
    Effect, Input, LoadStatsRequest, Node, NodeIdentities, Request, Response, StatusCode,
    StreamConfig, StreamId, StreamKind, StreamLimits, Streams,
};

pub const TABLE: TableId = FIRST_DEDICATED_TABLE + 1;
pub const LIMITS: StreamLimits = StreamLimits {
    max_streams: 64,
    max_unidentified: 8,
    max_report_streams: 16,
};
/// The stream kinds that carry discovery requests.
pub const DISCOVERY_KINDS: [StreamKind; 2] = [StreamKind::StateOfTheWorld, StreamKind::Delta];
/// Limit on calls of `advance` within one `advance_time`, to detect timers that fire without end.
const MAX_STEPS: usize = 100_000;

pub fn settings() -> Settings {
    let class = |idempotency| RequestClass {
        target_latency: 1000.0,
        deadline: 3000.0,
        value: 1.0,
        idempotency,
        is_zone_bound: false,
        is_write: false,
    };
    Settings {
        classes: vec![
            class(Idempotency::Idempotent),
            class(Idempotency::NotIdempotent),
        ],
        fleet: FleetSettings {
            zones: 2,
            proxies: 8,
            ..FleetSettings::default()
        },
        channel: ChannelSettings {
            max_messages: 12,
            message_window: 10_000.0,
            ..ChannelSettings::default()
        },
        proxies: ProxySettings {
            admission_kind: AdmissionKind::Ratio,
            ..ProxySettings::default()
        },
        report_interval: 1000.0,
        ..Settings::default()
    }
}

pub fn names() -> Names {
    let owned = |names: [&str; 2]| names.map(String::from).to_vec();
    Names {
        zones: owned(["east", "west"]),
        classes: owned(["look", "pay"]),
    }
}

pub fn stream_config(incarnation: u64) -> StreamConfig {
    StreamConfig {
        identities: NodeIdentities::default(),
        incarnation,
        limits: LIMITS,
        join_timeout: 1200.0,
        accept_timeout: 10_000.0,
        request_host_reports: false,
    }
}

/// The streams under test, with the results of the last step.
pub struct Harness {
    pub streams: Streams,
    pub now: Ms,
    pub events: Vec<Event>,
    /// Stream ids with the responses sent.
    pub responses: Vec<(u64, Response)>,
    /// Ids and status codes of the streams that were ended.
    pub ended: Vec<(u64, StatusCode)>,
    /// Names of the counters that were incremented.
    pub counters: Vec<&'static str>,
    /// Whether the transport accepts each response at once.
    pub accepts_responses: bool,
}

impl Harness {
    pub fn new() -> Harness {
        Harness::with_config(stream_config(7))
    }

    pub fn with_config(config: StreamConfig) -> Harness {
        let mut harness = Harness {
            streams: Streams::new(config, &settings(), &names()),
            now: 1_000_000.0,
            events: Vec::new(),
            responses: Vec::new(),
            ended: Vec::new(),
            counters: Vec::new(),
            accepts_responses: true,
        };
        harness.set_hosts(&["a1", "a2", "b1"]);
        harness
    }

    /// Proxy 3 has joined on stream 1, and is bound to `TABLE` under ack number 1.
    pub fn with_bound_proxy(kind: StreamKind) -> Harness {
        let mut harness = Harness::new();
        harness.join(1, 3, kind);
        harness.bind(1, &[3]);
        harness
    }

    /// Sets the membership list, with one port per host. Hosts whose name starts with `b` are in the second zone.
    pub fn set_hosts(&mut self, hosts: &[&str]) {
        let listed = |(index, host): (usize, &&str)| {
            let entry = HostEntry {
                host: (*host).into(),
                zone: usize::from(host.starts_with('b')),
                cell: 0,
                readiness: Readiness::Ready,
                weight: 1.0,
                started_at: 0.0,
            };
            (entry, format!("127.0.0.9:{}", 7000 + index))
        };
        let entries: Vec<(HostEntry, String)> = hosts.iter().enumerate().map(listed).collect();
        self.streams.update_hosts(
            self.now,
            entries.iter().map(|(entry, address)| (entry, address)),
        );
        self.collect();
    }

    fn clear(&mut self) {
        self.events.clear();
        self.responses.clear();
        self.ended.clear();
        self.counters.clear();
    }

    pub fn step(&mut self, input: Input) {
        self.clear();
        self.streams.step(self.now, input);
        self.collect();
    }

    /// Advances the clock by `ms`, runs all timers, and collects the results.
    pub fn advance_time(&mut self, ms: Ms) {
        self.clear();
        let end = self.now + ms;
        for steps in 0.. {
            let next = self.streams.advance(self.now);
            self.collect();
            assert!(steps < MAX_STEPS, "timers keep firing without end");
            if next > end {
                break;
            }
            assert!(
                next > self.now,
                "the next timer {next} is not after {}",
                self.now
            );
            self.now = next;
        }
        self.now = end;
        self.streams.advance(self.now);
        self.collect();
    }

    /// Collects the results of the steps so far and accepts responses, until no more are sent.
    fn collect(&mut self) {
        loop {
            self.streams.advance(self.now);
            let outbox = self.streams.take_outbox();
            assert_eq!(outbox.violations, Vec::<&str>::new());
            self.events.extend(outbox.events);
            self.counters
                .extend(outbox.increments.iter().map(|(counter, _)| counter));
            let mut sent_on = Vec::new();
            for effect in outbox.effects {
                match effect {
                    Effect::SendResponse { stream, response } => {
                        sent_on.push(stream);
                        self.responses.push((stream.0, response));
                    }
                    Effect::EndStream { stream, status, .. } => self.ended.push((stream.0, status)),
                    _ => {}
                }
            }
            if sent_on.is_empty() || !self.accepts_responses {
                return;
            }
            for stream in sent_on {
                self.streams
                    .step(self.now, Input::ResponseAccepted { stream });
            }
        }
    }

    pub fn open(&mut self, stream: u64, connection: u64, kind: StreamKind) {
        self.step(Input::StreamOpened {
            stream: StreamId(stream),
            connection: ConnectionId(connection),
            kind,
            peer: "127.0.0.1:9".into(),
        });
    }

    /// Reports that the transport or the peer ended a stream.
    pub fn close(&mut self, stream: u64, reason: &str) {
        self.step(Input::StreamClosed {
            stream: StreamId(stream),
            reason: reason.into(),
        });
    }

    pub fn request(&mut self, stream: u64, request: Request) {
        self.step(Input::RequestReceived {
            stream: StreamId(stream),
            request,
        });
    }

    pub fn discovery_request(&mut self, stream: u64, request: DiscoveryRequest) {
        let request = DiscoveryRequest {
            type_url: CLUSTER_LOAD_ASSIGNMENT_TYPE_URL.into(),
            ..request
        };
        self.request(stream, Request::Discovery(request));
    }

    pub fn delta_request(&mut self, stream: u64, request: DeltaDiscoveryRequest) {
        let request = DeltaDiscoveryRequest {
            type_url: CLUSTER_LOAD_ASSIGNMENT_TYPE_URL.into(),
            ..request
        };
        self.request(stream, Request::Delta(request));
    }

    /// Reports that the transport accepted the last response of a stream.
    pub fn accept_response(&mut self, stream: u64) {
        self.step(Input::ResponseAccepted {
            stream: StreamId(stream),
        });
    }

    /// Opens a stream on which a proxy joins and subscribes to both classes.
    pub fn join(&mut self, stream: u64, proxy: ProxyId, kind: StreamKind) {
        self.open(stream, stream, kind);
        self.first_request(stream, proxy, kind);
        assert!(
            matches!(self.events[..], [Event::ProxyJoined { .. }]),
            "{:?}",
            self.events
        );
    }

    /// Sends the first request of a stream, which identifies the proxy and subscribes to both classes.
    pub fn first_request(&mut self, stream: u64, proxy: ProxyId, kind: StreamKind) {
        let node = Some(node(proxy));
        match kind {
            StreamKind::StateOfTheWorld => {
                let request = DiscoveryRequest {
                    node,
                    resource_names: both_classes(),
                    ..DiscoveryRequest::default()
                };
                self.discovery_request(stream, request);
            }
            StreamKind::Delta => {
                let request = DeltaDiscoveryRequest {
                    node,
                    resource_names_subscribe: both_classes(),
                    ..DeltaDiscoveryRequest::default()
                };
                self.delta_request(stream, request);
            }
            StreamKind::LoadReporting => {
                let request = LoadStatsRequest {
                    node,
                    cluster_stats: vec![],
                };
                self.request(stream, Request::LoadStats(request));
            }
        }
    }

    pub fn ack(&mut self, stream: u64, kind: StreamKind, nonce: &str) {
        self.answer(stream, kind, nonce, None);
    }

    pub fn nack(&mut self, stream: u64, kind: StreamKind, nonce: &str, error: &str) {
        self.answer(stream, kind, nonce, Some(error.into()));
    }

    fn answer(&mut self, stream: u64, kind: StreamKind, nonce: &str, error_detail: Option<String>) {
        let response_nonce = nonce.to_string();
        match kind {
            StreamKind::Delta => {
                let request = DeltaDiscoveryRequest {
                    response_nonce,
                    error_detail,
                    ..DeltaDiscoveryRequest::default()
                };
                self.delta_request(stream, request);
            }
            _ => {
                let request = DiscoveryRequest {
                    response_nonce,
                    error_detail,
                    resource_names: both_classes(),
                    ..DiscoveryRequest::default()
                };
                self.discovery_request(stream, request);
            }
        }
    }

    /// Applies a batch of policy actions that requests an ack number.
    pub fn apply(&mut self, ack_number: u16, mut actions: Vec<Action>) {
        self.clear();
        actions.push(Action::RequestAck { ack_number });
        self.streams.apply_actions(self.now, &actions);
        self.collect();
    }

    /// Fills `TABLE` and binds the proxies to it.
    pub fn bind(&mut self, ack_number: u16, proxies: &[ProxyId]) {
        let mut actions = vec![set_weight("a1", 1.0), set_weight("b1", 0.25)];
        actions.extend(proxies.iter().map(|proxy| Action::BindProxy {
            proxy: *proxy,
            table: TABLE,
            classes: 0,
        }));
        self.apply(ack_number, actions);
    }

    /// Ack numbers confirmed to the policy in the last step, by proxy.
    pub fn acknowledged(&self) -> Vec<(ProxyId, u16)> {
        let acknowledged = |event: &Event| match event {
            Event::Acknowledged {
                proxy,
                ack_number: number,
                channel: Channel::Dedicated,
                ..
            } => Some((*proxy, *number)),
            _ => None,
        };
        self.events.iter().filter_map(acknowledged).collect()
    }

    /// `NotApplied` events of the last step: proxy, first ack number, and whether a message is sent now.
    pub fn not_applied(&self) -> Vec<(ProxyId, u16, bool)> {
        let not_applied = |event: &Event| match event {
            Event::NotApplied {
                proxy,
                ack_number: number,
                is_resent: resent,
            } => Some((*proxy, *number, *resent)),
            _ => None,
        };
        self.events.iter().filter_map(not_applied).collect()
    }

    pub fn gauge(&self, name: &str) -> f64 {
        let gauges = self.streams.gauges();
        let found = gauges.iter().find(|(gauge, _, _)| *gauge == name);
        let (_, _, value) = found.expect("a known gauge");
        *value
    }
}

pub fn both_classes() -> Vec<String> {
    vec!["look".into(), "pay".into()]
}

pub fn node(proxy: ProxyId) -> Node {
    Node {
        id: format!("relay-{proxy}"),
        zone: "east".into(),
        rate: Some(5.0),
    }
}

pub fn set_weight(host: &str, weight: f64) -> Action {
    Action::SetEndpoint {
        table: TABLE,
        host: host.into(),
        weight,
    }
}

pub fn set_pay_level(quota: f64, policy: RetryPolicy) -> Action {
    Action::SetAdmission {
        table: TABLE,
        classes: 0b10,
        quota,
        retry_policy: policy,
    }
}

pub fn withdraw(host: &str, channel: Channel) -> Action {
    Action::SetWithdrawn {
        host: host.into(),
        is_withdrawn: true,
        channel,
    }
}

pub fn nonce(response: &Response) -> String {
    response.nonce().expect("a discovery response").into()
}

/// Names of the classes in a response.
pub fn classes(response: &Response) -> Vec<&str> {
    response
        .resources()
        .iter()
        .map(|resource| resource.assignment.cluster_name.as_str())
        .collect()
}

/// Host, weight and draining flag of each endpoint in a class's resource.
pub fn endpoints(response: &Response, class: &str) -> Vec<(String, u32, bool)> {
    response
        .resources()
        .iter()
        .filter(|resource| resource.assignment.cluster_name == class)
        .flat_map(|resource| &resource.assignment.localities)
        .flat_map(|locality| &locality.endpoints)
        .map(|endpoint| {
            (
                endpoint.host.to_string(),
                endpoint.weight,
                endpoint.draining,
            )
        })
        .collect()
}
