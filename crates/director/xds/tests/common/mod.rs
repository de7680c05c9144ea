//! Streams on a fake clock, with orders given by hand.
#![allow(dead_code)]

use rushcourse_director_settings::Names;
use rushcourse_policy::interface::*;
use rushcourse_xds::*;

pub const TABLE: TableId = FIRST_DEDICATED_TABLE + 1;
pub const LIMITS: Limits = Limits {
    streams: 64,
    strangers: 8,
    nodes: 16,
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
    }
}

pub fn rules(epoch: u64) -> Rules {
    Rules {
        identities: Identities::default(),
        epoch,
        limits: LIMITS,
        join_within: 1200.0,
        take_within: 10_000.0,
        ask_hosts: false,
    }
}

pub struct Stand {
    pub streams: Streams,
    pub now: Ms,
    /// What came of the last step.
    pub events: Vec<Event>,
    pub responses: Vec<(Stream, Response)>,
    pub ended: Vec<(Stream, Code)>,
    pub counts: Vec<&'static str>,
    /// The transport takes each response at once.
    pub takes: bool,
}

impl Stand {
    pub fn new() -> Stand {
        Stand::of(rules(7))
    }

    pub fn of(rules: Rules) -> Stand {
        let mut stand = Stand {
            streams: Streams::new(rules, &settings(), &names()),
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
            .listed(self.now, entries.iter().map(|(e, a)| (e, a)));
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
            let out = self.streams.take();
            assert_eq!(out.broken, Vec::<&str>::new());
            self.events.extend(out.events);
            self.counts.extend(out.counts.iter().map(|c| c.0));
            let mut taken = Vec::new();
            for effect in out.effects {
                match effect {
                    rushcourse_xds::Effect::Respond { stream, response } => {
                        taken.push(stream);
                        self.responses.push((stream, response));
                    }
                    rushcourse_xds::Effect::End { stream, code, .. } => {
                        self.ended.push((stream, code))
                    }
                    _ => {}
                }
            }
            if taken.is_empty() || !self.takes {
                return;
            }
            taken
                .into_iter()
                .for_each(|stream| self.streams.step(self.now, Input::Taken { stream }));
        }
    }

    pub fn open(&mut self, stream: Stream, connection: u64, service: Service) {
        self.give(Input::Opened {
            stream,
            connection,
            service,
            peer: "127.0.0.1:9".into(),
        });
    }

    pub fn whole(&mut self, stream: Stream, ask: Ask) {
        let ask = Ask {
            type_url: TABLE_TYPE.into(),
            ..ask
        };
        self.give(Input::Said {
            stream,
            said: Said::Whole(ask),
        });
    }

    pub fn delta(&mut self, stream: Stream, ask: DeltaAsk) {
        let ask = DeltaAsk {
            type_url: TABLE_TYPE.into(),
            ..ask
        };
        self.give(Input::Said {
            stream,
            said: Said::Delta(ask),
        });
    }

    /// A relay joins and asks for both classes.
    pub fn join(&mut self, stream: Stream, proxy: ProxyId, service: Service) {
        self.open(stream, stream, service);
        self.first(stream, proxy, service);
        assert!(
            matches!(self.events[..], [Event::ProxyJoined { .. }]),
            "{:?}",
            self.events
        );
    }

    pub fn first(&mut self, stream: Stream, proxy: ProxyId, service: Service) {
        let (node, names) = (Some(node(proxy)), vec!["look".to_string(), "pay".into()]);
        match service {
            Service::Whole => self.whole(
                stream,
                Ask {
                    node,
                    names,
                    ..Ask::default()
                },
            ),
            Service::Delta => self.delta(
                stream,
                DeltaAsk {
                    node,
                    subscribe: names,
                    ..DeltaAsk::default()
                },
            ),
            Service::Load => {
                let stats = LoadStats {
                    node,
                    clusters: vec![],
                };
                self.give(Input::Said {
                    stream,
                    said: Said::Load(stats),
                });
            }
        }
    }

    /// A reply of the module: these orders, and a mark.
    pub fn reply(&mut self, mark: u16, mut orders: Vec<Action>) {
        (self.events, self.responses, self.ended, self.counts) = Default::default();
        orders.push(Action::RequestAck { ack_number: mark });
        self.streams.reply(self.now, &orders);
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

    pub fn answer(&mut self, stream: Stream, service: Service, nonce: &str, error: Option<&str>) {
        let (nonce, error) = (nonce.to_string(), error.map(String::from));
        let names = vec!["look".to_string(), "pay".into()];
        match service {
            Service::Delta => self.delta(
                stream,
                DeltaAsk {
                    nonce,
                    error,
                    ..DeltaAsk::default()
                },
            ),
            _ => self.whole(
                stream,
                Ask {
                    nonce,
                    error,
                    names,
                    ..Ask::default()
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
    match response {
        Response::Whole { nonce, .. } | Response::Delta { nonce, .. } => nonce.clone(),
        Response::Load { .. } => String::new(),
    }
}

pub fn tables(response: &Response) -> Vec<&Resource> {
    match response {
        Response::Whole { resources, .. } | Response::Delta { resources, .. } => {
            resources.iter().collect()
        }
        Response::Load { .. } => Vec::new(),
    }
}

/// Host, weight, whether it drains, of a response's table for a class.
pub fn lines(response: &Response, class: &str) -> Vec<(String, u32, bool)> {
    let of = tables(response)
        .into_iter()
        .filter(|r| r.table.cluster == class);
    let endpoints = of
        .flat_map(|r| r.table.localities.iter())
        .flat_map(|l| l.endpoints.iter());
    endpoints
        .map(|e| (e.host.to_string(), e.weight, e.draining))
        .collect()
}
