//! Checks five rules against the tables that proxies hold, the list of hosts and the messages that were sent. The checks
//! are independent of the policy that computes the tables.

use crate::proxy::ProxyTable;
use crate::script::{CLASSES, NOT_IDEMPOTENT_CLASS, Phase};
use rushcourse_policy::interface::Ms;
use std::collections::{BTreeMap, BTreeSet};

/// Time added to the limits, in ms. Covers the transit of two messages and a round of the director.
const TOLERANCE: Ms = 800.0;

/// Names of the rules. They are printed and serve as keys of `Checker::checks`.
mod rule {
    /// A joined proxy has a ready host in its tables.
    pub const HOSTS_TO_PICK: &str = "lines";
    /// Non-idempotent requests are retried only if the failed attempt provably did not run.
    pub const RETRIES: &str = "repeats";
    /// Proxies send no new requests to hosts that drain or are gone.
    pub const DRAINS: &str = "drains";
    /// Warming hosts get no more requests than they can handle.
    pub const WARMING_HOSTS: &str = "cold";
    /// The number of messages to a proxy stays within the message cap.
    pub const MESSAGES: &str = "messages";
}

/// Limits of the rules; they must match the director's settings.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum time for which a joined proxy may have no ready host, in ms.
    pub max_unserved: Ms,
    /// Time from the start of a host's drain until proxies must have removed the host from their tables, in ms.
    pub drain_grace: Ms,
    /// Minimum capacity of a host when it starts, as a fraction of its full capacity.
    pub start_capacity: f64,
    /// Time from a host's start until it has its full capacity, in ms.
    pub warm_up: Ms,
    /// Load that overloads a warming host, as a multiple of its current capacity.
    pub overload_multiple: f64,
    /// Time for which a warming host tolerates an overload, in ms.
    pub overload_duration: Ms,
    /// Maximum number of messages to one proxy within `message_window`.
    pub max_messages: usize,
    /// Length of the sliding window in which messages to a proxy are counted, in ms.
    pub message_window: Ms,
}

/// A violation of a rule. Violations with the same description are recorded once.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Time of the check that failed, in ms since the start.
    pub at: Ms,
    /// Name of the violated rule, such as `drains`.
    pub rule: &'static str,
    /// Description with the proxy or host concerned.
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
    /// Whether the proxy handles no messages. It is then exempt from the rule that it needs a ready host.
    is_stalled: bool,
    tables: BTreeMap<&'static str, ProxyTable>,
    /// Start of the period without a ready host, by class.
    unserved_since: BTreeMap<&'static str, Ms>,
    message_times: Vec<Ms>,
    /// End of the last stall: infinite during a stall, negative infinity if there was none.
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
    /// Requests per second that the proxy sends to a host according to its tables.
    fn rate_to(&self, host: &str) -> f64 {
        let share = |table: &ProxyTable| {
            let total: f64 = table.weights.values().map(|w| f64::from(*w)).sum();
            let weight = f64::from(table.weights.get(host).copied().unwrap_or(0));
            weight / total.max(1.0) * f64::from(table.admitted_per_million) / 1e6
        };
        self.tables.values().map(share).sum::<f64>() / CLASSES.len() as f64 * self.rate
    }
}

/// Tracks the hosts, proxies and tables of a run, and records violations of the rules.
#[derive(Clone, Debug)]
pub struct Checker {
    limits: Limits,
    hosts: BTreeMap<String, HostState>,
    proxies: BTreeMap<u32, ProxyState>,
    /// Start of the current overload of each overloaded warming host.
    overloaded_since: BTreeMap<String, Ms>,
    /// Time of the director's last restart. Time limits count from it at the earliest.
    restarted_at: Ms,
    /// Recorded violations in order of time, without repetitions.
    pub violations: Vec<Violation>,
    /// Number of checks by rule, failed ones included.
    pub checks: BTreeMap<&'static str, u64>,
    reported_violations: BTreeSet<(&'static str, String)>,
}

impl Checker {
    /// Creates a checker that knows no hosts and no proxies.
    pub fn new(limits: Limits) -> Checker {
        Checker {
            limits,
            hosts: BTreeMap::new(),
            proxies: BTreeMap::new(),
            overloaded_since: BTreeMap::new(),
            restarted_at: f64::NEG_INFINITY,
            violations: Vec::new(),
            checks: BTreeMap::new(),
            reported_violations: BTreeSet::new(),
        }
    }

    /// Records a host's entry in the list. `started_at` is in ms since the start of the run.
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

    /// Records that a proxy joined the director, and discards its former tables. `rate` is in requests per second.
    pub fn proxy_joined(&mut self, now: Ms, proxy: u32, rate: f64) {
        let state = self.proxies.entry(proxy).or_default();
        state.rate = rate;
        state.joined_at = Some(now);
        state.tables.clear();
        state.unserved_since.clear();
    }

    /// Records that a proxy left. Its messages are counted from zero when it joins again.
    pub fn proxy_left(&mut self, proxy: u32) {
        let state = self.proxies.entry(proxy).or_default();
        state.joined_at = None;
        state.message_times.clear();
    }

    /// Records the start or the end of a proxy's stall.
    pub fn proxy_stalled(&mut self, now: Ms, proxy: u32, is_stalled: bool) {
        let state = self.proxies.entry(proxy).or_default();
        state.is_stalled = is_stalled;
        state.reachable_since = if is_stalled { f64::INFINITY } else { now };
    }

    /// Records a restart of the director. All time limits and message counts start over, as the director does not know
    /// which messages were sent before the restart.
    pub fn director_restarted(&mut self, now: Ms) {
        self.restarted_at = now;
        for state in self.proxies.values_mut() {
            state.unserved_since.clear();
            state.message_times.clear();
        }
    }

    /// Records a message to a proxy and checks the message cap.
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

    /// Records the table that a proxy uses for a class from now on.
    pub fn table_applied(&mut self, proxy: u32, class: &'static str, table: ProxyTable) {
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
            if self.reported_violations.insert((rule, description.clone())) {
                self.violations.push(Violation {
                    at,
                    rule,
                    description,
                });
            }
        }
    }

    /// Checks all rules against the current state, except the message cap, which is checked for each message.
    pub fn check_all(&mut self, now: Ms) {
        self.check_proxies(now);
        self.check_drains(now);
        self.check_warming_hosts(now);
    }

    fn is_ready(&self, host: &str) -> bool {
        let state = self.hosts.get(host);
        state.is_some_and(|state| state.phase == Phase::Ready)
    }

    /// Checks that proxies have a ready host, and that their retry policies are safe for the class.
    fn check_proxies(&mut self, now: Ms) {
        let has_ready_host = self.hosts.values().any(|host| host.phase == Phase::Ready);
        for (proxy, mut state) in std::mem::take(&mut self.proxies) {
            for class in CLASSES {
                self.check_unserved(now, proxy, &mut state, class, has_ready_host);
                if let Some(table) = state.tables.get(class) {
                    let is_safe = class != NOT_IDEMPOTENT_CLASS || table.retry_policy <= 1;
                    self.check(rule::RETRIES, now, is_safe, || {
                        format!(
                            "proxy {proxy} uses an unsafe retry policy for {class}: {}",
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
        let counted_from = state.joined_at.unwrap_or(now).max(self.restarted_at);
        let since = *state.unserved_since.entry(class).or_insert(now);
        let is_within_limit = now - since.max(counted_from) <= self.limits.max_unserved + TOLERANCE;
        self.check(rule::HOSTS_TO_PICK, now, is_within_limit, || {
            format!("proxy {proxy} has no ready host for {class}")
        });
    }

    /// Checks that no proxy's table contains a host whose drain grace period has ended.
    fn check_drains(&mut self, now: Ms) {
        let grace = self.limits.drain_grace + TOLERANCE;
        let unavailable: Vec<(String, Ms)> = self
            .hosts
            .iter()
            .filter(|(_, host)| host.phase != Phase::Ready)
            .map(|(id, host)| (id.clone(), host.since))
            .collect();
        for (proxy, state) in self.proxies.clone() {
            let is_settled = state.joined_at.is_some_and(|at| now - at > grace);
            for (host, since) in &unavailable {
                let notified_since = since.max(state.reachable_since).max(self.restarted_at);
                if now - notified_since > grace && is_settled {
                    let names = |table: &ProxyTable| table.weights.contains_key(host);
                    let is_named = state.tables.values().any(names);
                    self.check(rule::DRAINS, now, !is_named, || {
                        format!("proxy {proxy} still sends requests to {host}")
                    });
                }
            }
        }
    }

    /// Checks that the proxies together do not overload a warming host. Skipped while no host is warm and for a grace
    /// period after a restart of the director.
    fn check_warming_hosts(&mut self, now: Ms) {
        let is_ready = |host: &&HostState| host.phase == Phase::Ready;
        let is_warm = |host: &HostState| now - host.started_at >= self.limits.warm_up;
        let has_warm_host = self.hosts.values().filter(is_ready).any(is_warm);
        let warming: Vec<(String, Ms)> = self
            .hosts
            .iter()
            .filter(|(_, host)| is_ready(host) && !is_warm(host))
            .map(|(id, host)| (id.clone(), now - host.started_at))
            .collect();
        self.overloaded_since
            .retain(|host, _| warming.iter().any(|(id, _)| id == host));
        let is_settled = now - self.restarted_at > self.limits.drain_grace;
        let usual_rate = self.usual_rate();
        for (host, age) in warming.into_iter().filter(|_| has_warm_host && is_settled) {
            let max_rate = self.limits.overload_multiple * self.min_capacity(age) * usual_rate;
            self.check_warming_host(now, host, max_rate);
        }
    }

    /// Mean number of requests per second for each ready host.
    fn usual_rate(&self) -> f64 {
        let ready = self.hosts.values().filter(|h| h.phase == Phase::Ready);
        let joined = self.proxies.values().filter(|p| p.joined_at.is_some());
        joined.map(|proxy| proxy.rate).sum::<f64>() / ready.count().max(1) as f64
    }

    fn min_capacity(&self, age: Ms) -> f64 {
        let start = self.limits.start_capacity;
        (start + (1.0 - start) * age / self.limits.warm_up).min(1.0)
    }

    fn check_warming_host(&mut self, now: Ms, host: String, max_rate: f64) {
        // Proxies that stalled or resumed recently may not know that the host has restarted.
        let grace = self.limits.drain_grace + TOLERANCE;
        let is_notified =
            |proxy: &&ProxyState| proxy.joined_at.is_some() && now - proxy.reachable_since > grace;
        let notified = self.proxies.values().filter(is_notified);
        let rate: f64 = notified.map(|proxy| proxy.rate_to(&host)).sum();
        let since = if rate > max_rate {
            *self.overloaded_since.entry(host.clone()).or_insert(now)
        } else {
            self.overloaded_since.remove(&host);
            now
        };
        let holds = now - since <= self.limits.overload_duration;
        self.check(rule::WARMING_HOSTS, now, holds, || {
            format!("warming host {host} is overloaded: {rate:.2} requests/s, limit {max_rate:.2}")
        });
    }
}
