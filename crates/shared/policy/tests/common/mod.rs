//! A small stand on which scripted events meet a director; it records orders, it simulates nothing.
#![allow(dead_code)]

use rushcourse_policy::Director;
use rushcourse_policy::interface::*;
use std::collections::BTreeMap;

pub fn class(effect: Effect, worth: f64, zone_bound: bool) -> Class {
    Class {
        aim: 1000.0,
        deadline: 3000.0,
        worth,
        effect,
        key_scope: KeyScope::Cell,
        key_ttl: 1500.0,
        zone_bound,
        writes: false,
    }
}

pub fn settings() -> Settings {
    Settings {
        classes: vec![class(Effect::Free, 2.0, false), class(Effect::SingleShot, 5.0, false)],
        zones: 2,
        my_zone: Some(0),
        me: 0,
        directors: 2,
        proxies: 4,
        backlog: 4000.0,
        push_rate: 2000.0,
        per_message: 3.0,
        update_cap: 0,
        counted_over: 10_000.0,
        late: 200.0,
        transit_max: 500.0,
        unserved_max: 6000.0,
        report_every: 1000.0,
        level_kind: LevelKind::Ratio,
        base_again: Again::Never,
        first_wait: 0.8,
        drain_grace: 2000.0,
        start_capacity: 0.2,
        cold: 15_000.0,
        fall_multiple: 2.5,
        overload_for: 2000.0,
        cross_zone_price: 0.1,
        ..Settings::default()
    }
}

pub fn host(name: &str, zone: ZoneId) -> Entry {
    let (host, cell, weight, up_since) = (name.into(), 0, 1.0, 0.0);
    Entry { host, zone, cell, readiness: Readiness::Ready, weight, up_since }
}

pub fn with(mut entry: Entry, readiness: Readiness, up_since: Ms) -> Entry {
    (entry.readiness, entry.up_since) = (readiness, up_since);
    entry
}

pub fn list(kind: ListKind, entries: &[Entry]) -> Event {
    Event::List { kind, entries: entries.to_vec() }
}

pub fn join(proxy: ProxyId, zone: ZoneId) -> Event {
    Event::Joined { proxy, zone, rate: 5.0, fresh: true, channel: Channel::Shared }
}

pub fn heard(zone: ZoneId, host: &str, tries: f64, failed: f64, mean: Ms) -> Event {
    let load = Load::default();
    Event::Heard { zone, host: host.into(), tries, failed, mean, span: 1000.0, load }
}

/// A director with its clock, its orders so far, and what they left in tables and at proxies.
pub struct Stand {
    pub director: Director,
    pub now: Ms,
    pub tables: BTreeMap<TableId, BTreeMap<String, f64>>,
    pub bound: BTreeMap<(ProxyId, u32), TableId>,
    pub withdrawn: BTreeMap<String, bool>,
    pub levels: BTreeMap<(TableId, u32), (f64, Again)>,
    pub last_mark: Option<u16>,
    pub logs: Vec<String>,
    next: Ms,
}

impl Stand {
    pub fn new(settings: Settings) -> Stand {
        // The director has been up for a while: it opens a round after its start.
        let mut director = Director::new(settings, 7);
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
                Action::Line { table, host, weight } => {
                    let lines = self.tables.entry(table).or_default();
                    if weight > 0.0 {
                        lines.insert(host.to_string(), weight);
                    } else {
                        lines.remove(&*host);
                    }
                }
                Action::Clear { table } => drop(self.tables.remove(&table)),
                Action::Bind { proxy, table, classes } => drop(self.bound.insert((proxy, classes), table)),
                Action::Withdraw { host, out, channel: Channel::Shared } => {
                    self.withdrawn.insert(host.to_string(), out);
                }
                Action::Level { table, classes, quota, again } => {
                    self.levels.insert((table, classes), (quota, again));
                }
                Action::Mark { number } => self.last_mark = Some(number),
                Action::Timer { token, at } if token == "round" => self.next = at,
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
            all.extend(self.give(vec![Event::Timer { token: "round".into() }]));
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
                .map(|p| Event::Applied { mark, proxy: *p, took: 300.0, channel: Channel::Shared })
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
    let hosts: Vec<Entry> = HOSTS.iter().map(|h| host(h, usize::from(h.starts_with('b')))).collect();
    stand.give(vec![list(ListKind::Held, &hosts)]);
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
