//! A small stand on which scripted events meet a director; it records orders, it simulates nothing.
#![allow(dead_code)]

use rushcourse_policy::Director;
use rushcourse_policy::interface::*;
use std::collections::BTreeMap;

pub fn class(idempotency: Idempotency, value: f64, is_zone_bound: bool) -> RequestClass {
    RequestClass {
        target_latency: 1000.0,
        deadline: 3000.0,
        value,
        idempotency,
        is_zone_bound,
        is_write: false,
    }
}

pub fn settings() -> Settings {
    Settings {
        classes: vec![
            class(Idempotency::Idempotent, 2.0, false),
            class(Idempotency::NotIdempotent, 5.0, false),
        ],
        fleet: FleetSettings {
            zones: 2,
            own_zone: Some(0),
            directors: 2,
            proxies: 4,
            ..FleetSettings::default()
        },
        channel: ChannelSettings {
            max_queued_lines: 4000.0,
            lines_per_second: 2000.0,
            lines_per_message: 3.0,
            max_messages: 0,
            message_window: 10_000.0,
            mean_transit: 200.0,
            max_transit: 500.0,
        },
        hosts: HostSettings {
            drain_grace: 2000.0,
            start_capacity: 0.2,
            warm_up: 15_000.0,
            overload_multiple: 2.5,
            ..HostSettings::default()
        },
        proxies: ProxySettings { admission_kind: AdmissionKind::Ratio, ..ProxySettings::default() },
        report_interval: 1000.0,
        cross_zone_price: 0.1,
        ..Settings::default()
    }
}

/// The usual settings with a change.
pub fn settings_with(change: impl FnOnce(&mut Settings)) -> Settings {
    let mut settings = settings();
    change(&mut settings);
    settings
}

pub fn host(name: &str, zone: ZoneId) -> HostEntry {
    let (host, cell, weight, started_at) = (name.into(), 0, 1.0, 0.0);
    HostEntry { host, zone, cell, readiness: Readiness::Ready, weight, started_at }
}

pub fn with(mut entry: HostEntry, readiness: Readiness, started_at: Ms) -> HostEntry {
    (entry.readiness, entry.started_at) = (readiness, started_at);
    entry
}

pub fn list(kind: HostListKind, entries: &[HostEntry]) -> Event {
    Event::HostsListed { kind, entries: entries.to_vec() }
}

pub fn join(proxy: ProxyId, zone: ZoneId) -> Event {
    Event::ProxyJoined { proxy, zone, rate: 5.0, is_fresh: true, channel: Channel::Shared }
}

pub fn heard(zone: ZoneId, host: &str, tries: f64, failed: f64, mean: Ms) -> Event {
    let load = HostLoad::default();
    Event::HostReported {
        zone,
        host: host.into(),
        attempts: tries,
        failed,
        mean_latency: mean,
        span: 1000.0,
        load,
    }
}

/// A director with its clock, its orders so far, and what they left in tables and at proxies.
pub struct Stand {
    pub director: Director,
    pub now: Ms,
    pub tables: BTreeMap<TableId, BTreeMap<String, f64>>,
    pub bound: BTreeMap<(ProxyId, u32), TableId>,
    pub withdrawn: BTreeMap<String, bool>,
    pub levels: BTreeMap<(TableId, u32), (f64, RetryPolicy)>,
    pub last_mark: Option<u16>,
    pub logs: Vec<String>,
    next: Ms,
}

impl Stand {
    pub fn new(settings: Settings) -> Stand {
        // The director has been up for a while: it opens a round after its start.
        let mut director = Director::new(settings);
        director.handle(500.0, vec![]);
        Stand {
            director,
            now: 1000.0,
            tables: BTreeMap::new(),
            bound: BTreeMap::new(),
            withdrawn: BTreeMap::new(),
            levels: BTreeMap::new(),
            last_mark: None,
            logs: Vec::new(),
            next: 0.0,
        }
    }

    /// Hands events over now and records the orders.
    pub fn give(&mut self, events: Vec<Event>) -> Vec<Action> {
        let actions = self.director.handle(self.now, events);
        for action in &actions {
            match action.clone() {
                Action::SetEndpoint { table, host, weight } => {
                    let lines = self.tables.entry(table).or_default();
                    if weight > 0.0 {
                        lines.insert(host.to_string(), weight);
                    } else {
                        lines.remove(&*host);
                    }
                }
                Action::ClearTable { table } => drop(self.tables.remove(&table)),
                Action::BindProxy { proxy, table, classes } => _ = self.bound.insert((proxy, classes), table),
                Action::SetWithdrawn { host, is_withdrawn: out, channel: Channel::Shared } => {
                    self.withdrawn.insert(host.to_string(), out);
                }
                Action::SetAdmission { table, classes, quota, retry_policy: again } => {
                    self.levels.insert((table, classes), (quota, again));
                }
                Action::RequestAck { ack_number: number } => self.last_mark = Some(number),
                Action::StartTimer { token, at } if token == "round" => self.next = at,
                Action::Log { text } => self.logs.push(text),
                _ => {}
            }
        }
        actions
    }

    /// Lets time pass with nothing but the director's own round timer.
    pub fn pass(&mut self, ms: Ms) -> Vec<Action> {
        let end = self.now + ms;
        let mut all = Vec::new();
        while self.next <= end {
            self.now = self.now.max(self.next);
            all.extend(self.give(vec![Event::TimerFired { token: "round".into() }]));
        }
        self.now = end;
        all
    }

    /// The named proxies answer the last mark.
    pub fn answer(&mut self, proxies: &[ProxyId]) -> Vec<Action> {
        let mark = self.last_mark.expect("a mark was set");
        self.give(
            proxies
                .iter()
                .map(|p| Event::Acknowledged {
                    ack_number: mark,
                    proxy: *p,
                    elapsed: 300.0,
                    channel: Channel::Shared,
                })
                .collect(),
        )
    }

    /// The lines of the table that a proxy is bound to.
    pub fn lines(&self, proxy: ProxyId) -> BTreeMap<String, f64> {
        self.tables[&self.bound[&(proxy, 0)]].clone()
    }
}

pub const HOSTS: [&str; 6] = ["a1", "a2", "a3", "b1", "b2", "b3"];

/// Two zones of three hosts, listed.
pub fn listed(settings: Settings) -> Stand {
    let mut stand = Stand::new(settings);
    let hosts: Vec<HostEntry> = HOSTS.iter().map(|h| host(h, usize::from(h.starts_with('b')))).collect();
    stand.give(vec![list(HostListKind::Cached, &hosts)]);
    stand
}

/// The same, and a proxy of each zone joined.
pub fn joined(settings: Settings) -> Stand {
    let mut stand = listed(settings);
    stand.give(vec![join(1, 0), join(2, 1)]);
    stand
}

/// The same with the usual settings, and the proxies have answered.
pub fn usual() -> Stand {
    let mut stand = joined(settings());
    stand.now += 300.0;
    stand.answer(&[1, 2]);
    stand
}
