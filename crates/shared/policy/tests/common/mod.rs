//! A harness that passes scripted events to a director and records the state that results from its actions.
#![allow(dead_code)] // Each test file uses only some of these items.

pub mod load;

use rushcourse_policy::Director;
use rushcourse_policy::interface::{
    AckNumber, Action, AdmissionKind, Channel, ChannelSettings, ClassId, ClassMask, Event, FleetSettings,
    HostEntry, HostListKind, HostLoad, HostSettings, Idempotency, Ms, ProxyId, ProxySettings, Readiness,
    RequestClass, RetryPolicy, Settings, TableId, ZoneId,
};
use std::collections::BTreeMap;

/// Length of the period that each report covers.
const REPORT_SPAN: Ms = 1000.0;
/// Time in which proxies apply a batch.
const ACK_DELAY: Ms = 300.0;
/// Token of the director's round timer.
pub const ROUND_TIMER: &str = "round";

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

/// `settings()` after `change` was applied to them.
pub fn settings_with(change: impl FnOnce(&mut Settings)) -> Settings {
    let mut settings = settings();
    change(&mut settings);
    settings
}

/// `settings()` with a zone-bound second class.
pub fn zone_bound_settings() -> Settings {
    settings_with(|s| s.classes[1].is_zone_bound = true)
}

/// A ready host of weight 1 that started long ago.
pub fn host(name: &str, zone: ZoneId) -> HostEntry {
    let (host, cell, weight, started_at) = (name.into(), 0, 1.0, 0.0);
    HostEntry { host, zone, cell, readiness: Readiness::Ready, weight, started_at }
}

pub fn with_state(mut entry: HostEntry, readiness: Readiness, started_at: Ms) -> HostEntry {
    (entry.readiness, entry.started_at) = (readiness, started_at);
    entry
}

pub fn draining(name: &str, zone: ZoneId) -> HostEntry {
    with_state(host(name, zone), Readiness::Draining, 0.0)
}

pub fn gone(name: &str, zone: ZoneId) -> HostEntry {
    with_state(host(name, zone), Readiness::Gone, 0.0)
}

pub fn started(name: &str, zone: ZoneId, at: Ms) -> HostEntry {
    with_state(host(name, zone), Readiness::Ready, at)
}

pub fn delta(entries: &[HostEntry]) -> Event {
    Event::HostsListed { kind: HostListKind::Delta, entries: entries.to_vec() }
}

pub fn full_list(entries: &[HostEntry]) -> Event {
    Event::HostsListed { kind: HostListKind::Full, entries: entries.to_vec() }
}

pub fn cached_list(entries: &[HostEntry]) -> Event {
    Event::HostsListed { kind: HostListKind::Cached, entries: entries.to_vec() }
}

pub fn join(proxy: ProxyId, zone: ZoneId) -> Event {
    join_with_rate(proxy, zone, 5.0)
}

pub fn join_with_rate(proxy: ProxyId, zone: ZoneId, rate: f64) -> Event {
    Event::ProxyJoined { proxy, zone, rate, is_fresh: true, channel: Channel::Shared }
}

/// Joins of the given proxies, even numbers in zone 0 and odd numbers in zone 1.
pub fn join_by_turns(proxies: std::ops::Range<ProxyId>) -> Vec<Event> {
    proxies.map(|proxy| join(proxy, proxy as usize % 2)).collect()
}

pub fn left(proxy: ProxyId) -> Event {
    Event::ProxyLeft { proxy, channel: Channel::Shared }
}

pub fn acknowledged(ack_number: AckNumber, proxy: ProxyId) -> Event {
    Event::Acknowledged { ack_number, proxy, elapsed: ACK_DELAY, channel: Channel::Shared }
}

pub fn unconfirmed(ack_number: AckNumber, may_have_run: bool) -> Event {
    Event::CallUnconfirmed { ack_number, may_have_run }
}

pub fn host_report(zone: ZoneId, host: &str, attempts: f64, failed: f64, mean_latency: Ms) -> Event {
    let load = HostLoad::default();
    Event::HostReported { zone, host: host.into(), attempts, failed, mean_latency, span: REPORT_SPAN, load }
}

pub fn traffic(proxy: ProxyId, class: ClassId, attempts: f64) -> Event {
    Event::TrafficReported { proxy, class, attempts, failed: 0.0, span: REPORT_SPAN }
}

pub fn round_timer() -> Event {
    Event::TimerFired { token: ROUND_TIMER.into() }
}

/// Whether the actions withdraw a host on a channel.
pub fn withdraws(actions: &[Action], name: &str, channel: Channel) -> bool {
    actions.contains(&Action::SetWithdrawn { host: name.into(), is_withdrawn: true, channel })
}

/// A director with a manual clock, and the tables and bindings that result from its actions.
pub struct Harness {
    pub director: Director,
    pub now: Ms,
    pub tables: BTreeMap<TableId, BTreeMap<String, f64>>,
    pub bindings: BTreeMap<(ProxyId, ClassMask), TableId>,
    /// Whether a host is withdrawn on the shared channel; hosts without a withdrawal have no entry.
    pub withdrawn: BTreeMap<String, bool>,
    pub admission: BTreeMap<(TableId, ClassMask), (f64, RetryPolicy)>,
    pub last_ack_number: Option<AckNumber>,
    pub logs: Vec<String>,
    next_round: Ms,
}

impl Harness {
    /// A director that was started half a second ago, so that it already sends updates.
    pub fn new(settings: Settings) -> Harness {
        let mut harness = Harness::starting_at(settings, 500.0);
        harness.director.handle(500.0, vec![]);
        harness.now = 1000.0;
        harness
    }

    /// A director that has not been started yet.
    pub fn starting_at(settings: Settings, now: Ms) -> Harness {
        Harness {
            director: Director::new(settings),
            now,
            tables: BTreeMap::new(),
            bindings: BTreeMap::new(),
            withdrawn: BTreeMap::new(),
            admission: BTreeMap::new(),
            last_ack_number: None,
            logs: Vec::new(),
            next_round: 0.0,
        }
    }

    /// Passes events to the director at the current time, and records and returns its actions.
    pub fn handle(&mut self, events: Vec<Event>) -> Vec<Action> {
        let actions = self.director.handle(self.now, events);
        actions.iter().cloned().for_each(|action| self.record(action));
        actions
    }

    fn record(&mut self, action: Action) {
        match action {
            Action::SetEndpoint { table, host, weight } => {
                let weights = self.tables.entry(table).or_default();
                if weight > 0.0 {
                    weights.insert(host.to_string(), weight);
                } else {
                    weights.remove(&*host);
                }
            }
            Action::ClearTable { table } => drop(self.tables.remove(&table)),
            Action::BindProxy { proxy, table, classes } => {
                self.bindings.insert((proxy, classes), table);
            }
            Action::SetWithdrawn { host, is_withdrawn, channel: Channel::Shared } => {
                self.withdrawn.insert(host.to_string(), is_withdrawn);
            }
            Action::SetAdmission { table, classes, quota, retry_policy } => {
                self.admission.insert((table, classes), (quota, retry_policy));
            }
            Action::RequestAck { ack_number } => self.last_ack_number = Some(ack_number),
            Action::StartTimer { token, at } if token == ROUND_TIMER => self.next_round = at,
            Action::Log { text } => self.logs.push(text),
            _ => {}
        }
    }

    /// Advances the clock by `span`, firing only the round timer, and returns all actions.
    pub fn advance(&mut self, span: Ms) -> Vec<Action> {
        let end = self.now + span;
        let mut all = Vec::new();
        while self.next_round <= end {
            self.now = self.now.max(self.next_round);
            all.extend(self.handle(vec![round_timer()]));
        }
        self.now = end;
        all
    }

    /// Acknowledgement number of the last batch that requested one.
    pub fn ack_number(&self) -> AckNumber {
        self.last_ack_number.expect("a batch asked to be acknowledged")
    }

    /// Acknowledges the last batch for the given proxies on the shared channel.
    pub fn acknowledge(&mut self, proxies: &[ProxyId]) -> Vec<Action> {
        self.acknowledge_on(Channel::Shared, proxies)
    }

    pub fn acknowledge_on(&mut self, channel: Channel, proxies: &[ProxyId]) -> Vec<Action> {
        let ack_number = self.ack_number();
        let acknowledged =
            |proxy: &ProxyId| Event::Acknowledged { ack_number, proxy: *proxy, elapsed: ACK_DELAY, channel };
        self.handle(proxies.iter().map(acknowledged).collect())
    }

    /// Weights of the table that a proxy uses for all classes.
    pub fn weights(&self, proxy: ProxyId) -> BTreeMap<String, f64> {
        self.tables[&self.bindings[&(proxy, 0)]].clone()
    }
}

pub const HOSTS: [&str; 6] = ["a1", "a2", "a3", "b1", "b2", "b3"];

/// Zone of one of `HOSTS`: 0 for names starting with `a`, 1 for `b`.
pub fn zone_of(host: &str) -> ZoneId {
    usize::from(host.starts_with('b'))
}

/// A director with the listed `HOSTS`: two zones of three hosts.
pub fn with_hosts(settings: Settings) -> Harness {
    let mut harness = Harness::new(settings);
    harness.handle(vec![cached_list(&HOSTS.map(|name| host(name, zone_of(name))))]);
    harness
}

/// A director with `HOSTS`, proxy 1 in zone 0 and proxy 2 in zone 1.
pub fn with_proxies(settings: Settings) -> Harness {
    let mut harness = with_hosts(settings);
    harness.handle(vec![join(1, 0), join(2, 1)]);
    harness
}

/// A director whose proxies 1 and 2 have acknowledged their first tables.
pub fn settled_with(settings: Settings) -> Harness {
    let mut harness = with_proxies(settings);
    harness.now += ACK_DELAY;
    harness.acknowledge(&[1, 2]);
    harness
}

/// `settled_with` for the default test settings.
pub fn settled() -> Harness {
    settled_with(settings())
}

/// `count` hosts that alternate between zones 0 and 1.
pub fn fleet(count: usize) -> Vec<HostEntry> {
    (0..count).map(|k| host(&format!("h{k:03}"), k % 2)).collect()
}

/// A director with a host list of `count` hosts and no proxies.
pub fn with_fleet(settings: Settings, count: usize) -> Harness {
    let mut harness = Harness::new(settings);
    harness.handle(vec![cached_list(&fleet(count))]);
    harness
}
