//! The five rules, checked from outside: it sees what proxies hold and when, what the list says, and what was sent to
//! whom. It knows nothing of how tables are made.

use crate::proxy::Table;
use crate::script::{At, CLASSES, Phase};
use std::collections::{BTreeMap, BTreeSet};

/// ms beyond the settings' limits: two ways of a message and the director's round.
const SLACK: At = 800.0;

/// The rules' figures, as the settings have them.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub unserved: At,
    pub grace: At,
    pub start_capacity: f64,
    pub cold: At,
    pub fall_multiple: f64,
    pub overload_for: At,
    pub cap: usize,
    pub counted_over: At,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq)]
pub struct Broken {
    pub at: At,
    pub rule: &'static str,
    pub what: String,
}

#[derive(Clone, Debug)]
struct Listed {
    phase: Phase,
    since: At,
    up_since: At,
}

#[derive(Clone, Debug)]
struct Held {
    rate: f64,
    joined: Option<At>,
    /// It takes nothing: what it holds is nobody's fault.
    stalled: bool,
    tables: BTreeMap<&'static str, Table>,
    /// Since when it had no host to pick, by class.
    bare: BTreeMap<&'static str, At>,
    messages: Vec<At>,
    /// Nothing could be told to it before this, as it stalled.
    excused: At,
}

impl Default for Held {
    fn default() -> Held {
        Held {
            rate: 0.0,
            joined: None,
            stalled: false,
            tables: BTreeMap::new(),
            bare: BTreeMap::new(),
            messages: Vec::new(),
            excused: f64::NEG_INFINITY,
        }
    }
}

#[derive(Clone, Debug)]
pub struct Checker {
    limits: Limits,
    hosts: BTreeMap<String, Listed>,
    proxies: BTreeMap<u32, Held>,
    over: BTreeMap<String, At>,
    /// Until when a director that came back is excused.
    excused: At,
    pub broken: Vec<Broken>,
    /// Checks made, by rule.
    pub made: BTreeMap<&'static str, u64>,
    said: BTreeSet<(&'static str, String)>,
}

impl Checker {
    pub fn new(limits: Limits) -> Checker {
        Checker {
            limits,
            hosts: BTreeMap::new(),
            proxies: BTreeMap::new(),
            over: BTreeMap::new(),
            excused: f64::NEG_INFINITY,
            broken: Vec::new(),
            made: BTreeMap::new(),
            said: BTreeSet::new(),
        }
    }

    pub fn listed(&mut self, now: At, host: &str, phase: Phase, up_since: At) {
        let since = match self.hosts.get(host) {
            Some(l) if l.phase == phase => l.since,
            _ => now,
        };
        self.hosts.insert(
            host.into(),
            Listed {
                phase,
                since,
                up_since,
            },
        );
    }

    pub fn joined(&mut self, now: At, proxy: u32, rate: f64) {
        let held = self.proxies.entry(proxy).or_default();
        (held.rate, held.joined) = (rate, Some(now));
        held.tables.clear();
        held.bare.clear();
    }

    pub fn left(&mut self, proxy: u32) {
        // Its next stream is another one, with a count of its own.
        let held = self.proxies.entry(proxy).or_default();
        held.joined = None;
        held.messages.clear();
    }

    pub fn stalled(&mut self, now: At, proxy: u32, stalled: bool) {
        let held = self.proxies.entry(proxy).or_default();
        held.stalled = stalled;
        held.excused = if stalled { f64::INFINITY } else { now };
    }

    /// The director has come back, from nothing: all limits begin anew, and so does the count of messages, as no
    /// director knows what the one before it had written.
    pub fn restarted(&mut self, now: At) {
        self.excused = now;
        for held in self.proxies.values_mut() {
            held.bare.clear();
            held.messages.clear();
        }
    }

    pub fn message(&mut self, now: At, proxy: u32) {
        let (cap, over) = (self.limits.cap, self.limits.counted_over);
        let held = self.proxies.entry(proxy).or_default();
        held.messages.retain(|at| now - at <= over);
        held.messages.push(now);
        let n = held.messages.len();
        self.check("messages", now, n <= cap, || {
            format!("proxy {proxy} got {n} messages in {over} ms")
        });
    }

    pub fn holds(&mut self, proxy: u32, class: &'static str, table: Table) {
        let held = self.proxies.entry(proxy).or_default();
        held.tables.insert(class, table);
    }

    fn check(&mut self, rule: &'static str, at: At, holds: bool, what: impl FnOnce() -> String) {
        *self.made.entry(rule).or_default() += 1;
        if !holds {
            let what = what();
            // The same fault is told once.
            if self.said.insert((rule, what.clone())) {
                self.broken.push(Broken { at, rule, what });
            }
        }
    }

    /// Looks at everything as it stands now.
    pub fn look(&mut self, now: At) {
        self.lines(now);
        self.drains(now);
        self.cold_hosts(now);
    }

    /// No proxy without a line, and no request twice: what has an effect is tried again after proof only.
    fn lines(&mut self, now: At) {
        let l = self.limits;
        let up = self.hosts.values().any(|h| h.phase == Phase::Ready);
        for (proxy, mut held) in std::mem::take(&mut self.proxies) {
            let since = held.joined.unwrap_or(now).max(self.excused);
            for class in CLASSES {
                let can = |t: &Table| {
                    t.lines
                        .keys()
                        .any(|h| self.hosts.get(h).is_some_and(|h| h.phase == Phase::Ready))
                };
                let bare = held.joined.is_some() && up && !held.tables.get(class).is_some_and(can);
                if !bare || held.stalled {
                    held.bare.remove(class);
                } else {
                    let from = *held.bare.entry(class).or_insert(now);
                    let within = now - from.max(since) <= l.unserved + SLACK;
                    self.check("lines", now, within, || {
                        format!("proxy {proxy} has no host for {class}")
                    });
                }
                if let Some(table) = held.tables.get(class) {
                    let safe = class != "pay" || table.again <= 1;
                    self.check("repeats", now, safe, || {
                        format!("proxy {proxy} may try {class} again by {}", table.again)
                    });
                }
            }
            self.proxies.insert(proxy, held);
        }
    }

    /// A draining or gone host gets nothing new once its grace is over.
    fn drains(&mut self, now: At) {
        let l = self.limits;
        let out: Vec<(String, At)> = self
            .hosts
            .iter()
            .filter(|(_, h)| h.phase != Phase::Ready)
            .map(|(id, h)| (id.clone(), h.since))
            .collect();
        for (proxy, held) in self.proxies.clone() {
            for (host, since) in &out {
                let late = now - since.max(held.excused).max(self.excused) > l.grace + SLACK;
                if !late || held.joined.is_none_or(|at| now - at <= l.grace + SLACK) {
                    continue;
                }
                let named = held.tables.values().any(|t| t.lines.contains_key(host));
                self.check("drains", now, !named, || {
                    format!("proxy {proxy} still picks {host}")
                });
            }
        }
    }

    /// What all proxies together send to a cold host must not push it over.
    fn cold_hosts(&mut self, now: At) {
        let l = self.limits;
        let ready = self.hosts.values().filter(|h| h.phase == Phase::Ready);
        let usual = self
            .proxies
            .values()
            .filter(|p| p.joined.is_some())
            .map(|p| p.rate)
            .sum::<f64>()
            / ready.count().max(1) as f64;
        let is_warm = |h: &Listed| h.phase == Phase::Ready && now - h.up_since >= l.cold;
        let warm = self.hosts.values().any(is_warm);
        let cold: Vec<(String, f64)> = self
            .hosts
            .iter()
            .filter(|(_, h)| h.phase == Phase::Ready && now - h.up_since < l.cold)
            .map(|(id, h)| (id.clone(), now - h.up_since))
            .collect();
        self.over
            .retain(|host, _| cold.iter().any(|(c, _)| c == host));
        let begun = now - self.excused > l.grace;
        for (host, age) in cold.into_iter().filter(|_| warm && begun) {
            let part = |held: &Held| {
                let of = |t: &Table| {
                    let all: f64 = t.lines.values().map(|w| f64::from(*w)).sum();
                    f64::from(t.lines.get(&host).copied().unwrap_or(0)) / all.max(1.0)
                        * f64::from(t.level_ppm)
                        / 1e6
                };
                held.tables.values().map(of).sum::<f64>() / CLASSES.len() as f64 * held.rate
            };
            // Who could not be told of the start goes on as before.
            let told = |p: &&Held| p.joined.is_some() && now - p.excused > l.grace + SLACK;
            let comes: f64 = self.proxies.values().filter(told).map(part).sum();
            let promised = (l.start_capacity + (1.0 - l.start_capacity) * age / l.cold).min(1.0);
            let most = l.fall_multiple * promised * usual;
            let since = if comes > most {
                *self.over.entry(host.clone()).or_insert(now)
            } else {
                now
            };
            if comes <= most {
                self.over.remove(&host);
            }
            let holds = now - since <= l.overload_for;
            self.check("cold", now, holds, || {
                format!("{host} is pushed over: {comes:.2} come, it takes {most:.2}")
            });
        }
    }
}
