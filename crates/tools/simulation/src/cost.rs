//! What a round, a report and a joining cost a director, by proxies and hosts: looks counted, and time taken.

use rushcourse_policy::Director;
use rushcourse_policy::interface::*;
use std::time::{Duration, Instant};

/// Rounds that are measured, 250 ms each on the fake clock.
const ROUNDS: u32 = 40;

/// The cost of one size of fleet. Times are mean ones of the machine it ran on, for information; looks are exact.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    pub proxies: u32,
    pub hosts: usize,
    /// A round in which nothing happens but reports.
    pub round: Duration,
    /// One report, handed over with others of its quantum.
    pub report: Duration,
    /// One proxy that joins between rounds, in a quantum of its own.
    pub joining: Duration,
    /// Proxies and changes looked at, for each round and for each joining.
    pub looks_round: u64,
    pub looks_joining: u64,
}

fn settings(proxies: u32) -> Settings {
    let class = |idempotency, value| RequestClass {
        target_latency: 1000.0,
        deadline: 3000.0,
        value,
        idempotency,
        is_zone_bound: false,
        is_write: false,
    };
    Settings {
        classes: vec![
            class(Idempotency::Idempotent, 2.0),
            class(Idempotency::Keyed, 5.0),
            class(Idempotency::NotIdempotent, 5.0),
        ],
        fleet: FleetSettings {
            zones: 3,
            proxies: 2 * proxies as usize,
            directors: 5,
            ..FleetSettings::default()
        },
        channel: ChannelSettings {
            max_queued_lines: 1e6,
            lines_per_second: 5000.0,
            lines_per_message: 3.0,
            max_messages: 12,
            message_window: 10_000.0,
            mean_transit: 200.0,
            max_transit: 500.0,
        },
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
        report_interval: 1000.0,
        cross_zone_price: 0.12,
        ..Settings::default()
    }
}

fn entry(k: usize) -> HostEntry {
    let (zone, cell, readiness) = (k % 3, k as u32 / 4, Readiness::Ready);
    HostEntry {
        host: format!("h{k:04}").into(),
        zone,
        cell,
        readiness,
        weight: 3.0,
        started_at: 0.0,
    }
}

fn join(proxy: ProxyId) -> Event {
    Event::ProxyJoined {
        proxy,
        zone: proxy as usize % 3,
        rate: 0.5,
        is_fresh: false,
        channel: Channel::Shared,
    }
}

/// What proxies of each zone met at each host of it, and what came to them: a second's reports.
fn reports(proxies: u32, hosts: usize) -> Vec<Event> {
    let heard = |k: usize| Event::HostReported {
        zone: k % 3,
        host: entry(k).host,
        attempts: 6.0,
        failed: 0.0,
        mean_latency: 220.0,
        span: 1000.0,
        load: HostLoad::default(),
    };
    let usage = |proxy| Event::TrafficReported {
        proxy,
        class: 0,
        attempts: 1.0,
        failed: 0.0,
        span: 1000.0,
    };
    (0..hosts)
        .map(heard)
        .chain((0..proxies).map(usage))
        .collect()
}

/// Plays ten seconds of reports and a hundred joinings at one size.
pub fn measure(proxies: u32, hosts: usize) -> Cost {
    let mut director = Director::new(settings(proxies));
    let (mut now, mut mark) = (1000.0, None);
    let round = || {
        vec![Event::TimerFired {
            token: "round".into(),
        }]
    };
    let mut step = |director: &mut Director, now: Ms, events: Vec<Event>| {
        let (at, looked) = (Instant::now(), director.examined_count());
        let actions = director.handle(now, events);
        let marked = actions.iter().find_map(|a| {
            if let Action::RequestAck { ack_number: number } = a {
                Some(*number)
            } else {
                None
            }
        });
        mark = marked.or(mark);
        (at.elapsed(), director.examined_count() - looked, mark)
    };
    let listed = Event::HostsListed {
        kind: HostListKind::Cached,
        entries: (0..hosts).map(entry).collect(),
    };
    step(&mut director, now - 500.0, vec![listed]);
    let (_, _, mark) = step(&mut director, now, (0..proxies).map(join).collect());
    let took = 300.0;
    let answer = |proxy| Event::Acknowledged {
        ack_number: mark.unwrap_or(0),
        proxy,
        elapsed: took,
        channel: Channel::Shared,
    };
    step(
        &mut director,
        now + took,
        (0..proxies).map(answer).collect(),
    );
    let (mut rounds, mut looks, mut told, mut count) = (Duration::ZERO, 0, Duration::ZERO, 0);
    for k in 0..ROUNDS {
        now += 250.0;
        if k % 4 == 0 {
            let events = reports(proxies, hosts);
            count += events.len() as u32;
            // Just after a round: reports are taken in, and wait for the next.
            told += step(&mut director, now - 249.0, events).0;
        }
        let (took, looked, _) = step(&mut director, now, round());
        (rounds, looks) = (rounds + took, looks + looked);
    }
    let (mut joinings, mut looks_joining) = (Duration::ZERO, 0);
    for k in 0..100 {
        let (took, looked, _) = step(
            &mut director,
            now + 1.0 + f64::from(k),
            vec![join(proxies + k)],
        );
        (joinings, looks_joining) = (joinings + took, looks_joining + looked);
    }
    Cost {
        proxies,
        hosts,
        round: rounds / ROUNDS,
        report: told / count.max(1),
        joining: joinings / 100,
        looks_round: looks / u64::from(ROUNDS),
        looks_joining: looks_joining / 100,
    }
}
