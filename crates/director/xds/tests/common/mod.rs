//! Streams on a fake clock, with orders given by hand.
#![allow(dead_code)]

use rushcourse_director_settings::Names;
use rushcourse_policy::interface::*;
use rushcourse_xds::{
    CLUSTER_LOAD_ASSIGNMENT_TYPE_URL, ConnectionId, DeltaDiscoveryRequest, DiscoveryRequest, Input,
    LoadStatsRequest, Node, NodeIdentities, Request, Resource, Response, StatusCode, StreamConfig,
    StreamId, StreamKind, StreamLimits, Streams,
};

pub const TABLE: TableId = FIRST_DEDICATED_TABLE + 1;
pub const LIMITS: StreamLimits = StreamLimits {
    max_streams: 64,
    max_unidentified: 8,
    max_report_streams: 16,
};

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
    let words = |all: [&str; 2]| all.map(String::from).to_vec();
    Names {
        zones: words(["east", "west"]),
        classes: words(["look", "pay"]),
        quantum: 4.0,
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

pub struct Stand {
    pub streams: Streams,
    pub now: Ms,
    /// What came of the last step.
    pub events: Vec<Event>,
    pub responses: Vec<(u64, Response)>,
    pub ended: Vec<(u64, StatusCode)>,
    pub counts: Vec<&'static str>,
    /// The transport takes each response at once.
    pub takes: bool,
}

impl Stand {
    pub fn new() -> Stand {
        Stand::of(stream_config(7))
    }

    pub fn of(config: StreamConfig) -> Stand {
        let mut stand = Stand {
            streams: Streams::new(config, &settings(), &names()),
            now: 1_000_000.0,
            events: Vec::new(),
            responses: Vec::new(),
            ended: Vec::new(),
            counts: Vec::new(),
            takes: true,
        };
        stand.list(&["a1", "a2", "b1"]);
        stand
    }

    pub fn list(&mut self, hosts: &[&str]) {
        let entry = |h: &&str| HostEntry {
            host: (*h).into(),
            zone: usize::from(h.starts_with('b')),
            cell: 0,
            readiness: Readiness::Ready,
            weight: 1.0,
            started_at: 0.0,
        };
        let entries: Vec<(HostEntry, String)> = hosts
            .iter()
            .map(|h| (entry(h), format!("127.0.0.9:{}", h.len() + 70)))
            .collect();
        // Each has a port of its own.
        let entries: Vec<(HostEntry, String)> = entries
            .into_iter()
            .enumerate()
            .map(|(k, (e, _))| (e, format!("127.0.0.9:{}", 7000 + k)))
            .collect();
        self.streams
            .update_hosts(self.now, entries.iter().map(|(e, a)| (e, a)));
        self.settle();
    }

    pub fn give(&mut self, input: Input) {
        (self.events, self.responses, self.ended, self.counts) = Default::default();
        self.streams.step(self.now, input);
        self.settle();
    }

    /// Lets time pass, and gathers all that comes of it.
    pub fn pass(&mut self, ms: Ms) {
        (self.events, self.responses, self.ended, self.counts) = Default::default();
        let end = self.now + ms;
        for steps in 0.. {
            let next = self.streams.advance(self.now);
            self.settle();
            assert!(steps < 100_000, "it does not wake itself without end");
            if next > end {
                break;
            }
            assert!(next > self.now, "time goes on: {next} at {}", self.now);
            self.now = next;
        }
        self.now = end;
        self.streams.advance(self.now);
        self.settle();
    }

    fn settle(&mut self) {
        loop {
            self.streams.advance(self.now);
            let out = self.streams.take_outbox();
            assert_eq!(out.violations, Vec::<&str>::new());
            self.events.extend(out.events);
            self.counts.extend(out.increments.iter().map(|c| c.0));
            let mut taken = Vec::new();
            for effect in out.effects {
                match effect {
                    rushcourse_xds::Effect::SendResponse { stream, response } => {
                        taken.push(stream);
                        self.responses.push((stream.0, response));
                    }
                    rushcourse_xds::Effect::EndStream { stream, status, .. } => {
                        self.ended.push((stream.0, status))
                    }
                    _ => {}
                }
            }
            if taken.is_empty() || !self.takes {
                return;
            }
            taken.into_iter().for_each(|stream| {
                self.streams
                    .step(self.now, Input::ResponseAccepted { stream })
            });
        }
    }

    pub fn open(&mut self, stream: u64, connection: u64, kind: StreamKind) {
        self.give(Input::StreamOpened {
            stream: StreamId(stream),
            connection: ConnectionId(connection),
            kind,
            peer: "127.0.0.1:9".into(),
        });
    }

    pub fn discovery(&mut self, stream: u64, request: DiscoveryRequest) {
        let request = DiscoveryRequest {
            type_url: CLUSTER_LOAD_ASSIGNMENT_TYPE_URL.into(),
            ..request
        };
        self.request(stream, Request::Discovery(request));
    }

    pub fn delta(&mut self, stream: u64, request: DeltaDiscoveryRequest) {
        let request = DeltaDiscoveryRequest {
            type_url: CLUSTER_LOAD_ASSIGNMENT_TYPE_URL.into(),
            ..request
        };
        self.request(stream, Request::Delta(request));
    }

    pub fn request(&mut self, stream: u64, request: Request) {
        self.give(Input::RequestReceived {
            stream: StreamId(stream),
            request,
        });
    }

    /// The transport accepts the last response of a stream.
    pub fn accept(&mut self, stream: u64) {
        self.give(Input::ResponseAccepted {
            stream: StreamId(stream),
        });
    }

    /// A stream ends.
    pub fn close(&mut self, stream: u64, reason: &str) {
        self.give(Input::StreamClosed {
            stream: StreamId(stream),
            reason: reason.into(),
        });
    }

    /// A relay joins and asks for both classes.
    pub fn join(&mut self, stream: u64, proxy: ProxyId, kind: StreamKind) {
        self.open(stream, stream, kind);
        self.first(stream, proxy, kind);
        assert!(
            matches!(self.events[..], [Event::ProxyJoined { .. }]),
            "{:?}",
            self.events
        );
    }

    pub fn first(&mut self, stream: u64, proxy: ProxyId, kind: StreamKind) {
        let (node, names) = (Some(node(proxy)), vec!["look".to_string(), "pay".into()]);
        match kind {
            StreamKind::StateOfTheWorld => self.discovery(
                stream,
                DiscoveryRequest {
                    node,
                    resource_names: names,
                    ..DiscoveryRequest::default()
                },
            ),
            StreamKind::Delta => self.delta(
                stream,
                DeltaDiscoveryRequest {
                    node,
                    resource_names_subscribe: names,
                    ..DeltaDiscoveryRequest::default()
                },
            ),
            StreamKind::LoadReporting => {
                let stats = LoadStatsRequest {
                    node,
                    cluster_stats: vec![],
                };
                self.request(stream, Request::LoadStats(stats));
            }
        }
    }

    /// A reply of the module: these orders, and a mark.
    pub fn reply(&mut self, mark: u16, mut orders: Vec<Action>) {
        (self.events, self.responses, self.ended, self.counts) = Default::default();
        orders.push(Action::RequestAck { ack_number: mark });
        self.streams.apply_actions(self.now, &orders);
        self.settle();
    }

    /// Binds proxies to a filled table.
    pub fn bind(&mut self, mark: u16, proxies: &[ProxyId]) {
        let mut orders = vec![line("a1", 1.0), line("b1", 0.25)];
        orders.extend(proxies.iter().map(|proxy| Action::BindProxy {
            proxy: *proxy,
            table: TABLE,
            classes: 0,
        }));
        self.reply(mark, orders);
    }

    pub fn answer(&mut self, stream: u64, kind: StreamKind, nonce: &str, error: Option<&str>) {
        let (nonce, error) = (nonce.to_string(), error.map(String::from));
        let names = vec!["look".to_string(), "pay".into()];
        match kind {
            StreamKind::Delta => self.delta(
                stream,
                DeltaDiscoveryRequest {
                    response_nonce: nonce,
                    error_detail: error,
                    ..DeltaDiscoveryRequest::default()
                },
            ),
            _ => self.discovery(
                stream,
                DiscoveryRequest {
                    response_nonce: nonce,
                    error_detail: error,
                    resource_names: names,
                    ..DiscoveryRequest::default()
                },
            ),
        }
    }

    /// Marks that are proved, by proxy.
    pub fn proved(&self) -> Vec<(ProxyId, u16)> {
        let of = |e: &Event| match e {
            Event::Acknowledged {
                proxy,
                ack_number: mark,
                channel: Channel::Dedicated,
                ..
            } => Some((*proxy, *mark)),
            _ => None,
        };
        self.events.iter().filter_map(of).collect()
    }

    pub fn behind(&self) -> Vec<(ProxyId, u16, bool)> {
        let of = |e: &Event| match e {
            Event::NotApplied {
                proxy,
                ack_number: mark,
                is_resent: again,
            } => Some((*proxy, *mark, *again)),
            _ => None,
        };
        self.events.iter().filter_map(of).collect()
    }
}

pub fn node(proxy: ProxyId) -> Node {
    Node {
        id: format!("relay-{proxy}"),
        zone: "east".into(),
        rate: Some(5.0),
    }
}

pub fn line(host: &str, weight: f64) -> Action {
    Action::SetEndpoint {
        table: TABLE,
        host: host.into(),
        weight,
    }
}

pub fn nonce(response: &Response) -> String {
    response.nonce().map(String::from).unwrap_or_default()
}

pub fn tables(response: &Response) -> Vec<&Resource> {
    response.resources().iter().collect()
}

/// Host, weight, whether it drains, of a response's table for a class.
pub fn lines(response: &Response, class: &str) -> Vec<(String, u32, bool)> {
    let of = tables(response)
        .into_iter()
        .filter(|r| r.assignment.cluster_name == class);
    let endpoints = of
        .flat_map(|r| r.assignment.localities.iter())
        .flat_map(|l| l.endpoints.iter());
    endpoints
        .map(|e| (e.host.to_string(), e.weight, e.draining))
        .collect()
}
