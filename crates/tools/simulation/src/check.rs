//! The five rules, checked from outside: it sees what proxies hold and when, what the list says, and what was sent to
//! whom. It knows nothing of how tables are made.

use crate::proxy::ProxyTable;
use crate::script::{CLASSES, NOT_IDEMPOTENT_CLASS, Phase};
use rushcourse_policy::interface::Ms;
use std::collections::{BTreeMap, BTreeSet};

/// ms beyond the settings' limits: two ways of a message and the director's round.
const TOLERANCE: Ms = 800.0;

/// The names of the rules.
mod rule {
    /// No proxy without a host to pick.
    pub const HOSTS_TO_PICK: &str = "lines";
    /// No request twice whose effect must come once.
    pub const RETRIES: &str = "repeats";
    /// Nothing new to hosts that drain or are gone.
    pub const DRAINS: &str = "drains";
    /// No more to a warming host than it can take.
    pub const WARMING_HOSTS: &str = "cold";
    /// No more messages to a proxy than the cap allows.
    pub const MESSAGES: &str = "messages";
}

/// The rules' figures, as the settings have them.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// How long a joined proxy may have no host to pick.
    pub max_unserved: Ms,
    /// Time from the news that a host drains until no request may reach it.
    pub drain_grace: Ms,
    /// The part of its capacity that a host has at least when it starts.
    pub start_capacity: f64,
    /// The age at which a host has all of its capacity.
    pub warm_up: Ms,
    /// A warming host that gets this multiple of its present capacity fails after a while.
    pub overload_multiple: f64,
    /// That while.
    pub overload_duration: Ms,
    /// Messages to one proxy within `message_window`.
    pub max_messages: usize,
    /// The span over which messages to a proxy are counted.
    pub message_window: Ms,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// When, in ms since the start.
    pub at: Ms,
    /// The name of the rule.
    pub rule: &'static str,
    /// What happened.
    pub description: String,
}

#[derive(Clone, Debug)]
struct HostState {
    phase: Phase,
    since: Ms,
    started_at: Ms,
}

#[derive(Clone, Debug)]
struct ProxyState {
    rate: f64,
    joined_at: Option<Ms>,
    /// It takes nothing: what it holds is nobody's fault.
    is_stalled: bool,
    tables: BTreeMap<&'static str, ProxyTable>,
    /// Since when it had no host to pick, by class.
    unserved_since: BTreeMap<&'static str, Ms>,
    message_times: Vec<Ms>,
    /// Nothing could be told to it before this, as it stalled.
    reachable_since: Ms,
}

impl Default for ProxyState {
    fn default() -> ProxyState {
        ProxyState {
            rate: 0.0,
            joined_at: None,
            is_stalled: false,
            tables: BTreeMap::new(),
            unserved_since: BTreeMap::new(),
            message_times: Vec::new(),
            reachable_since: f64::NEG_INFINITY,
        }
    }
}

impl ProxyState {
    /// Requests a second that it sends to a host by its tables.
    fn rate_to(&self, host: &str) -> f64 {
        let part = |table: &ProxyTable| {
            let all: f64 = table.weights.values().map(|w| f64::from(*w)).sum();
            let weight = f64::from(table.weights.get(host).copied().unwrap_or(0));
            weight / all.max(1.0) * f64::from(table.admitted_per_million) / 1e6
        };
        self.tables.values().map(part).sum::<f64>() / CLASSES.len() as f64 * self.rate
    }
}

/// Watches a run and notes what breaks a rule.
#[derive(Clone, Debug)]
pub struct Checker {
    limits: Limits,
    hosts: BTreeMap<String, HostState>,
    proxies: BTreeMap<u32, ProxyState>,
    /// Since when a warming host has got more than it can take.
    overloaded_since: BTreeMap<String, Ms>,
    /// When the director last came back: what was before is not its fault.
    restarted_at: Ms,
    /// What broke a rule, each once.
    pub violations: Vec<Violation>,
    /// Checks made, by rule.
    pub checks: BTreeMap<&'static str, u64>,
    known_violations: BTreeSet<(&'static str, String)>,
}

impl Checker {
    /// A checker that has seen nothing yet.
    pub fn new(limits: Limits) -> Checker {
        Checker {
            limits,
            hosts: BTreeMap::new(),
            proxies: BTreeMap::new(),
            overloaded_since: BTreeMap::new(),
            restarted_at: f64::NEG_INFINITY,
            violations: Vec::new(),
            checks: BTreeMap::new(),
            known_violations: BTreeSet::new(),
        }
    }

    /// A host stands in the list.
    pub fn host_listed(&mut self, now: Ms, host: &str, phase: Phase, started_at: Ms) {
        let since = match self.hosts.get(host) {
            Some(known) if known.phase == phase => known.since,
            _ => now,
        };
        let state = HostState {
            phase,
            since,
            started_at,
        };
        self.hosts.insert(host.into(), state);
    }

    /// A proxy has joined the director.
    pub fn proxy_joined(&mut self, now: Ms, proxy: u32, rate: f64) {
        let state = self.proxies.entry(proxy).or_default();
        state.rate = rate;
        state.joined_at = Some(now);
        state.tables.clear();
        state.unserved_since.clear();
    }

    /// A proxy has left. Its next stream is another one, with a count of messages of its own.
    pub fn proxy_left(&mut self, proxy: u32) {
        let state = self.proxies.entry(proxy).or_default();
        state.joined_at = None;
        state.message_times.clear();
    }

    /// A proxy has stalled, or runs again.
    pub fn proxy_stalled(&mut self, now: Ms, proxy: u32, is_stalled: bool) {
        let state = self.proxies.entry(proxy).or_default();
        state.is_stalled = is_stalled;
        state.reachable_since = if is_stalled { f64::INFINITY } else { now };
    }

    /// The director has come back, from nothing: all limits begin anew, and so does the count of messages, as no
    /// director knows what the one before it had written.
    pub fn director_restarted(&mut self, now: Ms) {
        self.restarted_at = now;
        for state in self.proxies.values_mut() {
            state.unserved_since.clear();
            state.message_times.clear();
        }
    }

    /// A message was written to a proxy.
    pub fn message_sent(&mut self, now: Ms, proxy: u32) {
        let (max, window) = (self.limits.max_messages, self.limits.message_window);
        let state = self.proxies.entry(proxy).or_default();
        state.message_times.retain(|at| now - at <= window);
        state.message_times.push(now);
        let count = state.message_times.len();
        self.check(rule::MESSAGES, now, count <= max, || {
            format!("proxy {proxy} got {count} messages in {window} ms")
        });
    }

    /// A proxy follows a table for a class from now on.
    pub fn table_held(&mut self, proxy: u32, class: &'static str, table: ProxyTable) {
        let state = self.proxies.entry(proxy).or_default();
        state.tables.insert(class, table);
    }

    fn check(
        &mut self,
        rule: &'static str,
        at: Ms,
        holds: bool,
        describe: impl FnOnce() -> String,
    ) {
        *self.checks.entry(rule).or_default() += 1;
        if !holds {
            let description = describe();
            if self.known_violations.insert((rule, description.clone())) {
                self.violations.push(Violation {
                    at,
                    rule,
                    description,
                });
            }
        }
    }

    /// Checks everything as it stands now.
    pub fn check_all(&mut self, now: Ms) {
        self.check_proxies(now);
        self.check_drains(now);
        self.check_warming_hosts(now);
    }

    fn is_ready(&self, host: &str) -> bool {
        let state = self.hosts.get(host);
        state.is_some_and(|state| state.phase == Phase::Ready)
    }

    /// No proxy without a host to pick, and no request twice: what has an effect is retried after proof only.
    fn check_proxies(&mut self, now: Ms) {
        let has_ready_host = self.hosts.values().any(|host| host.phase == Phase::Ready);
        for (proxy, mut state) in std::mem::take(&mut self.proxies) {
            for class in CLASSES {
                self.check_unserved(now, proxy, &mut state, class, has_ready_host);
                if let Some(table) = state.tables.get(class) {
                    let is_safe = class != NOT_IDEMPOTENT_CLASS || table.retry_policy <= 1;
                    self.check(rule::RETRIES, now, is_safe, || {
                        format!(
                            "proxy {proxy} may try {class} again by {}",
                            table.retry_policy
                        )
                    });
                }
            }
            self.proxies.insert(proxy, state);
        }
    }

    fn check_unserved(
        &mut self,
        now: Ms,
        proxy: u32,
        state: &mut ProxyState,
        class: &'static str,
        has_ready_host: bool,
    ) {
        let serves = |table: &ProxyTable| table.weights.keys().any(|host| self.is_ready(host));
        let is_served = state.tables.get(class).is_some_and(serves);
        let is_unserved = state.joined_at.is_some() && has_ready_host && !is_served;
        if !is_unserved || state.is_stalled {
            state.unserved_since.remove(class);
            return;
        }
        let excused_until = state.joined_at.unwrap_or(now).max(self.restarted_at);
        let since = *state.unserved_since.entry(class).or_insert(now);
        let is_within = now - since.max(excused_until) <= self.limits.max_unserved + TOLERANCE;
        self.check(rule::HOSTS_TO_PICK, now, is_within, || {
            format!("proxy {proxy} has no host for {class}")
        });
    }

    /// A draining or gone host gets nothing new once its grace is over.
    fn check_drains(&mut self, now: Ms) {
        let grace = self.limits.drain_grace + TOLERANCE;
        let out: Vec<(String, Ms)> = self
            .hosts
            .iter()
            .filter(|(_, host)| host.phase != Phase::Ready)
            .map(|(id, host)| (id.clone(), host.since))
            .collect();
        for (proxy, state) in self.proxies.clone() {
            let is_settled = state.joined_at.is_some_and(|at| now - at > grace);
            for (host, since) in &out {
                let known_since = since.max(state.reachable_since).max(self.restarted_at);
                if now - known_since > grace && is_settled {
                    let names = |table: &ProxyTable| table.weights.contains_key(host);
                    let is_named = state.tables.values().any(names);
                    self.check(rule::DRAINS, now, !is_named, || {
                        format!("proxy {proxy} still picks {host}")
                    });
                }
            }
        }
    }

    /// What all proxies together send to a warming host must not make it fail.
    fn check_warming_hosts(&mut self, now: Ms) {
        let is_ready = |host: &&HostState| host.phase == Phase::Ready;
        let is_warm = |host: &HostState| now - host.started_at >= self.limits.warm_up;
        let has_warm = self.hosts.values().filter(is_ready).any(is_warm);
        let warming: Vec<(String, Ms)> = self
            .hosts
            .iter()
            .filter(|(_, host)| is_ready(host) && !is_warm(host))
            .map(|(id, host)| (id.clone(), now - host.started_at))
            .collect();
        self.overloaded_since
            .retain(|host, _| warming.iter().any(|(id, _)| id == host));
        let is_settled = now - self.restarted_at > self.limits.drain_grace;
        let usual = self.usual_rate();
        for (host, age) in warming.into_iter().filter(|_| has_warm && is_settled) {
            let most = self.limits.overload_multiple * self.promised_capacity(age) * usual;
            self.check_warming_host(now, host, most);
        }
    }

    /// Requests a second that one host usually gets.
    fn usual_rate(&self) -> f64 {
        let ready = self.hosts.values().filter(|h| h.phase == Phase::Ready);
        let joined = self.proxies.values().filter(|p| p.joined_at.is_some());
        joined.map(|proxy| proxy.rate).sum::<f64>() / ready.count().max(1) as f64
    }

    fn promised_capacity(&self, age: Ms) -> f64 {
        let start = self.limits.start_capacity;
        (start + (1.0 - start) * age / self.limits.warm_up).min(1.0)
    }

    fn check_warming_host(&mut self, now: Ms, host: String, most: f64) {
        // Who could not be told of the start goes on as before.
        let grace = self.limits.drain_grace + TOLERANCE;
        let is_informed =
            |proxy: &&ProxyState| proxy.joined_at.is_some() && now - proxy.reachable_since > grace;
        let informed = self.proxies.values().filter(is_informed);
        let rate: f64 = informed.map(|proxy| proxy.rate_to(&host)).sum();
        let since = if rate > most {
            *self.overloaded_since.entry(host.clone()).or_insert(now)
        } else {
            self.overloaded_since.remove(&host);
            now
        };
        let holds = now - since <= self.limits.overload_duration;
        self.check(rule::WARMING_HOSTS, now, holds, || {
            format!("{host} is pushed over: {rate:.2} come, it takes {most:.2}")
        });
    }
}
