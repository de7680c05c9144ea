//! What a round, a report and a join cost a director, by proxies and hosts: what it examined, and the time it took.

use rushcourse_policy::Director;
use rushcourse_policy::interface::{
    AckNumber, Action, AdmissionKind, Channel, ChannelSettings, Event, FleetSettings, HostEntry,
    HostListKind, HostLoad, HostSettings, Idempotency, Ms, ProxyId, ProxySettings, Readiness,
    RequestClass, Settings,
};
use std::time::{Duration, Instant};

/// Rounds that are measured.
const ROUNDS: u32 = 40;
/// Time between two rounds on the fake clock, in ms.
const ROUND_INTERVAL: Ms = 250.0;
/// Each so many rounds reports come.
const ROUNDS_PER_REPORT: u32 = 4;
/// Joins that are measured.
const JOINS: u32 = 100;
/// Time until a batch is acknowledged, in ms.
const ACK_DELAY: Ms = 300.0;
/// Zones of the fleet.
const ZONES: usize = 3;
/// The span of a report, in ms.
const REPORT_SPAN: Ms = 1000.0;

/// The cost of one size of fleet. Times are mean ones of the machine it ran on, for information; counts are exact.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// Proxies of the director.
    pub proxies: u32,
    /// Hosts of the list.
    pub hosts: usize,
    /// A round in which nothing happens but reports.
    pub round: Duration,
    /// One report, handed over with others of its quantum.
    pub report: Duration,
    /// One proxy that joins between rounds, in a quantum of its own.
    pub join: Duration,
    /// Proxies and updates examined in a round.
    pub examined_in_round: u64,
    /// Proxies and updates examined for a join.
    pub examined_for_join: u64,
}

fn class(idempotency: Idempotency, value: f64) -> RequestClass {
    RequestClass {
        target_latency: 1000.0,
        deadline: 3000.0,
        value,
        idempotency,
        is_zone_bound: false,
        is_write: false,
    }
}

fn settings(proxies: u32) -> Settings {
    Settings {
        classes: vec![
            class(Idempotency::Idempotent, 2.0),
            class(Idempotency::Keyed, 5.0),
            class(Idempotency::NotIdempotent, 5.0),
        ],
        fleet: FleetSettings {
            zones: ZONES,
            proxies: 2 * proxies as usize,
            directors: 5,
            ..FleetSettings::default()
        },
        channel: channel_settings(),
        hosts: HostSettings {
            drain_grace: 3000.0,
            start_capacity: 0.2,
            warm_up: 15_000.0,
            overload_multiple: 2.5,
            ..HostSettings::default()
        },
        proxies: ProxySettings {
            admission_kind: AdmissionKind::Ratio,
            ejection_failures: 8,
            ..ProxySettings::default()
        },
        report_interval: REPORT_SPAN,
        cross_zone_price: 0.12,
        ..Settings::default()
    }
}

fn channel_settings() -> ChannelSettings {
    ChannelSettings {
        max_queued_lines: 1e6,
        lines_per_second: 5000.0,
        lines_per_message: 3.0,
        max_messages: 12,
        message_window: 10_000.0,
        mean_transit: 200.0,
        max_transit: 500.0,
    }
}

fn host(index: usize) -> HostEntry {
    HostEntry {
        host: format!("h{index:04}").into(),
        zone: index % ZONES,
        cell: index as u32 / 4,
        readiness: Readiness::Ready,
        weight: 3.0,
        started_at: 0.0,
    }
}

fn join(proxy: ProxyId) -> Event {
    Event::ProxyJoined {
        proxy,
        zone: proxy as usize % ZONES,
        rate: 0.5,
        is_fresh: false,
        channel: Channel::Shared,
    }
}

/// What proxies of each zone observed at each host of it, and what came to them: a second's reports.
fn reports(proxies: u32, hosts: usize) -> Vec<Event> {
    let observed = |index: usize| Event::HostReported {
        zone: index % ZONES,
        host: host(index).host,
        attempts: 6.0,
        failed: 0.0,
        mean_latency: 220.0,
        span: REPORT_SPAN,
        load: HostLoad::default(),
    };
    let traffic = |proxy| Event::TrafficReported {
        proxy,
        class: 0,
        attempts: 1.0,
        failed: 0.0,
        span: REPORT_SPAN,
    };
    let observed = (0..hosts).map(observed);
    observed.chain((0..proxies).map(traffic)).collect()
}

/// What something took.
#[derive(Clone, Copy, Debug, Default)]
struct Sample {
    time: Duration,
    examined: u64,
}

impl Sample {
    fn add(&mut self, other: Sample) {
        self.time += other.time;
        self.examined += other.examined;
    }
}

/// A director on a fake clock.
struct Bench {
    director: Director,
    now: Ms,
    ack_number: AckNumber,
}

impl Bench {
    /// A director that knows its hosts, whose proxies have acknowledged their tables.
    fn new(proxies: u32, hosts: usize) -> Bench {
        let mut bench = Bench {
            director: Director::new(settings(proxies)),
            now: 1000.0,
            ack_number: 0,
        };
        let list = Event::HostsListed {
            kind: HostListKind::Cached,
            entries: (0..hosts).map(host).collect(),
        };
        bench.handle(bench.now - 500.0, vec![list]);
        bench.handle(bench.now, (0..proxies).map(join).collect());
        let ack_number = bench.ack_number;
        let acknowledged = |proxy| Event::Acknowledged {
            ack_number,
            proxy,
            elapsed: ACK_DELAY,
            channel: Channel::Shared,
        };
        bench.handle(
            bench.now + ACK_DELAY,
            (0..proxies).map(acknowledged).collect(),
        );
        bench
    }

    fn handle(&mut self, now: Ms, events: Vec<Event>) -> Sample {
        let (begin, examined) = (Instant::now(), self.director.examined_count());
        let actions = self.director.handle(now, events);
        let time = begin.elapsed();
        for action in actions {
            if let Action::RequestAck { ack_number } = action {
                self.ack_number = ack_number;
            }
        }
        Sample {
            time,
            examined: self.director.examined_count() - examined,
        }
    }

    fn round(&mut self) -> Sample {
        let timer = Event::TimerFired {
            token: "round".into(),
        };
        self.handle(self.now, vec![timer])
    }
}

/// Plays ten seconds of reports and a hundred joins at one size.
pub fn measure(proxies: u32, hosts: usize) -> Cost {
    let mut bench = Bench::new(proxies, hosts);
    let (mut rounds, mut reported, mut report_count) = (Sample::default(), Sample::default(), 0);
    for round in 0..ROUNDS {
        bench.now += ROUND_INTERVAL;
        if round % ROUNDS_PER_REPORT == 0 {
            let events = reports(proxies, hosts);
            report_count += events.len() as u32;
            // Just after a round: reports are taken in, and wait for the next.
            reported.add(bench.handle(bench.now - ROUND_INTERVAL + 1.0, events));
        }
        rounds.add(bench.round());
    }
    let mut joins = Sample::default();
    for index in 0..JOINS {
        let now = bench.now + 1.0 + f64::from(index);
        joins.add(bench.handle(now, vec![join(proxies + index)]));
    }
    Cost {
        proxies,
        hosts,
        round: rounds.time / ROUNDS,
        report: reported.time / report_count.max(1),
        join: joins.time / JOINS,
        examined_in_round: rounds.examined / u64::from(ROUNDS),
        examined_for_join: joins.examined / u64::from(JOINS),
    }
}
