//! Measures the cost of a director's rounds, reports and joins by the size of its fleet.

use rushcourse_policy::Director;
use rushcourse_policy::interface::{
    AckNumber, Action, AdmissionKind, Channel, ChannelSettings, Event, FleetSettings, HostEntry,
    HostListKind, HostLoad, HostSettings, Idempotency, Ms, ProxyId, ProxySettings, Readiness,
    RequestClass, Settings,
};
use std::time::{Duration, Instant};

const MEASURED_ROUNDS: u32 = 40;
/// Time between two rounds on the fake clock, in ms.
const ROUND_INTERVAL: Ms = 250.0;
/// Number of rounds from one set of reports to the next.
const ROUNDS_PER_REPORT: u32 = 4;
const MEASURED_JOINS: u32 = 100;
/// Time from a batch until its acknowledgement by all proxies, in ms.
const ACK_DELAY: Ms = 300.0;
const ZONES: usize = 3;
/// Period that each report covers, in ms.
const REPORT_SPAN: Ms = 1000.0;

/// Cost of the operations of a director with a given fleet. Times are means and depend on the machine; counts do not.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// Number of proxies that are joined before the measured joins.
    pub proxies: u32,
    /// Number of listed hosts.
    pub hosts: usize,
    /// Mean time of a round.
    pub round_time: Duration,
    /// Mean time per report; the reports of all proxies and hosts arrive in one batch.
    pub report_time: Duration,
    /// Mean time to handle a proxy that joins between rounds, in a batch of its own.
    pub join_time: Duration,
    /// Mean number of proxies and updates that a round examines.
    pub examined_in_round: u64,
    /// Mean number of proxies and updates that a join examines.
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

/// Reports of one second: the attempts at each host from its own zone, and the traffic of each proxy.
fn reports(proxies: u32, hosts: usize) -> Vec<Event> {
    let host_report = |index: usize| Event::HostReported {
        zone: index % ZONES,
        host: host(index).host,
        attempts: 6.0,
        failed: 0.0,
        mean_latency: 220.0,
        span: REPORT_SPAN,
        load: HostLoad::default(),
    };
    let traffic_report = |proxy| Event::TrafficReported {
        proxy,
        class: 0,
        attempts: 1.0,
        failed: 0.0,
        span: REPORT_SPAN,
    };
    let host_report = (0..hosts).map(host_report);
    host_report
        .chain((0..proxies).map(traffic_report))
        .collect()
}

/// Time and examined items of one or more calls of the director.
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
struct DirectorHarness {
    director: Director,
    now: Ms,
    ack_number: AckNumber,
}

impl DirectorHarness {
    /// Starts a director with a list of hosts and proxies that have joined and acknowledged their tables.
    fn new(proxies: u32, hosts: usize) -> DirectorHarness {
        let mut harness = DirectorHarness {
            director: Director::new(settings(proxies)),
            now: 1000.0,
            ack_number: 0,
        };
        let list = Event::HostsListed {
            kind: HostListKind::Cached,
            entries: (0..hosts).map(host).collect(),
        };
        harness.handle(harness.now - 500.0, vec![list]);
        harness.handle(harness.now, (0..proxies).map(join).collect());
        let ack_number = harness.ack_number;
        let acknowledged = |proxy| Event::Acknowledged {
            ack_number,
            proxy,
            elapsed: ACK_DELAY,
            channel: Channel::Shared,
        };
        harness.handle(
            harness.now + ACK_DELAY,
            (0..proxies).map(acknowledged).collect(),
        );
        harness
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

    fn run_round(&mut self) -> Sample {
        let timer = Event::TimerFired {
            token: "round".into(),
        };
        self.handle(self.now, vec![timer])
    }
}

/// Measures rounds with reports and then joins between rounds, for a fleet of the given size.
pub fn measure(proxies: u32, hosts: usize) -> Cost {
    let mut harness = DirectorHarness::new(proxies, hosts);
    let (mut rounds, mut reported, mut report_count) = (Sample::default(), Sample::default(), 0);
    for round in 0..MEASURED_ROUNDS {
        harness.now += ROUND_INTERVAL;
        if round % ROUNDS_PER_REPORT == 0 {
            let events = reports(proxies, hosts);
            report_count += events.len() as u32;
            // Reports arrive 1 ms after the previous round, and the next round processes them.
            reported.add(harness.handle(harness.now - ROUND_INTERVAL + 1.0, events));
        }
        rounds.add(harness.run_round());
    }
    let mut joins = Sample::default();
    for index in 0..MEASURED_JOINS {
        let now = harness.now + 1.0 + f64::from(index);
        joins.add(harness.handle(now, vec![join(proxies + index)]));
    }
    Cost {
        proxies,
        hosts,
        round_time: rounds.time / MEASURED_ROUNDS,
        report_time: reported.time / report_count.max(1),
        join_time: joins.time / MEASURED_JOINS,
        examined_in_round: rounds.examined / u64::from(MEASURED_ROUNDS),
        examined_for_join: joins.examined / u64::from(MEASURED_JOINS),
    }
}
