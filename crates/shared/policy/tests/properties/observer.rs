//! Independent record of the host list, the proxies and the sent updates, and the invariants over them.

use rushcourse_policy::interface::{
    AckNumber, Action, Channel, HostEntry, Ms, ProxyId, Readiness, RetryPolicy, Settings, TableId, ZoneId,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A message in the shared channel's queue.
#[derive(Clone, Copy)]
pub struct Message {
    pub proxy: ProxyId,
    pub ack_number: AckNumber,
    pub lines: f64,
}

pub struct Observer {
    settings: Settings,
    pub hosts: BTreeMap<String, HostEntry>,
    /// Time of each host's last restart or change of readiness, as listed.
    known_since: BTreeMap<String, Ms>,
    pub joined: BTreeMap<ProxyId, ZoneId>,
    tables: BTreeMap<TableId, BTreeMap<String, f64>>,
    bindings: BTreeMap<ProxyId, TableId>,
    withdrawn: BTreeSet<String>,
    message_times: BTreeMap<ProxyId, VecDeque<Ms>>,
    /// Queue of the shared channel, oldest message first.
    pub queue: VecDeque<Message>,
}

impl Observer {
    pub fn new(settings: Settings) -> Observer {
        Observer {
            settings,
            hosts: BTreeMap::new(),
            known_since: BTreeMap::new(),
            joined: BTreeMap::new(),
            tables: BTreeMap::new(),
            bindings: BTreeMap::new(),
            withdrawn: BTreeSet::new(),
            message_times: BTreeMap::new(),
            queue: VecDeque::new(),
        }
    }

    pub fn list(&mut self, now: Ms, entries: &[HostEntry]) {
        for entry in entries {
            let old = self.hosts.insert(entry.host.to_string(), entry.clone());
            let is_changed =
                old.is_none_or(|old| old.started_at < entry.started_at || old.readiness != entry.readiness);
            if is_changed || !self.known_since.contains_key(&*entry.host) {
                self.known_since.insert(entry.host.to_string(), now);
            }
        }
    }

    /// Removes a proxy and returns whether it was joined.
    pub fn leave(&mut self, proxy: ProxyId) -> bool {
        let was_joined = self.joined.remove(&proxy).is_some();
        if was_joined {
            self.bindings.remove(&proxy);
            self.message_times.remove(&proxy);
        }
        was_joined
    }

    /// Records the actions of a batch, queues its messages and checks the queue limit.
    pub fn record(&mut self, now: Ms, actions: &[Action]) {
        let mut lines: BTreeMap<ProxyId, f64> = BTreeMap::new();
        for action in actions {
            self.record_action(action, &mut lines);
        }
        let ack_number = actions.iter().find_map(|action| match action {
            Action::RequestAck { ack_number } => Some(*ack_number),
            _ => None,
        });
        assert_eq!(
            ack_number.is_some(),
            !lines.is_empty(),
            "each batch with messages requests acknowledgements"
        );
        for (proxy, lines) in lines {
            let lines = lines + self.settings.channel.lines_per_message + 1.0;
            self.queue.push_back(Message { proxy, ack_number: ack_number.expect("requested"), lines });
            self.record_message(now, proxy);
        }
        let waiting = self.waiting_lines();
        assert!(waiting <= self.settings.channel.max_queued_lines, "{waiting} queued lines");
    }

    fn record_action(&mut self, action: &Action, lines: &mut BTreeMap<ProxyId, f64>) {
        match action {
            Action::SetEndpoint { table, host, weight } => {
                assert!(*weight >= 0.0 && weight.is_finite());
                assert!(self.known_since.contains_key(&**host), "a host never listed: {host}");
                add_line(lines, self.users(*table));
                self.set_endpoint(*table, host, *weight);
            }
            Action::ClearTable { table } => {
                assert_eq!(self.users(*table).len(), 0, "a table in use was cleared");
                self.tables.remove(table);
            }
            Action::BindProxy { proxy, table, .. } => {
                assert!(self.joined.contains_key(proxy), "a proxy that has not joined");
                let size = self.tables.get(table).map_or(0, |weights| weights.len());
                *lines.entry(*proxy).or_default() += 1.0 + size as f64;
                self.bindings.insert(*proxy, *table);
            }
            Action::SetWithdrawn { host, is_withdrawn, channel: Channel::Shared } => {
                add_line(lines, self.holders(host));
                if *is_withdrawn {
                    self.withdrawn.insert(host.to_string());
                } else {
                    self.withdrawn.remove(&**host);
                }
            }
            Action::SetAdmission { table, quota, retry_policy, classes } => {
                add_line(lines, self.users(*table));
                assert!(*quota > 0.0 && *quota <= 1.0);
                let allowed = self.settings.proxies.retry_policy.max(RetryPolicy::OnceIfNotRun);
                assert!(*retry_policy <= allowed, "{retry_policy:?} for classes {classes}");
            }
            _ => {}
        }
    }

    fn set_endpoint(&mut self, table: TableId, host: &str, weight: f64) {
        let weights = self.tables.entry(table).or_default();
        if weight > 0.0 {
            weights.insert(host.to_string(), weight);
        } else {
            weights.remove(host);
            let is_emptied = weights.is_empty() && self.bindings.values().any(|bound| *bound == table);
            assert!(!is_emptied, "a removal emptied a table in use");
        }
    }

    fn record_message(&mut self, now: Ms, proxy: ProxyId) {
        let (cap, window) = (self.settings.channel.max_messages, self.settings.channel.message_window);
        let times = self.message_times.entry(proxy).or_default();
        times.push_back(now);
        times.retain(|time| now - time < window);
        assert!(cap == 0 || times.len() <= cap, "{} messages to proxy {proxy}", times.len());
    }

    fn users(&self, table: TableId) -> Vec<ProxyId> {
        let bound = self.bindings.iter().filter(|(_, bound)| **bound == table);
        bound.map(|(proxy, _)| *proxy).collect()
    }

    /// Proxies that may hold a host. Proxies without a bind count as holders, because their endpoints are unknown.
    fn holders(&self, host: &str) -> Vec<ProxyId> {
        let names =
            |table: &TableId| self.tables.get(table).is_some_and(|weights| weights.contains_key(host));
        let may_hold = |proxy: &&ProxyId| self.bindings.get(*proxy).is_none_or(names);
        self.joined.keys().filter(may_hold).copied().collect()
    }

    fn waiting_lines(&self) -> f64 {
        self.queue.iter().map(|message| message.lines).sum()
    }

    fn is_ready(&self, host: &str) -> bool {
        self.hosts.get(host).is_some_and(|entry| entry.readiness == Readiness::Ready)
    }

    fn is_live(&self, host: &str) -> bool {
        self.is_ready(host) && !self.withdrawn.contains(host)
    }

    /// Checks the invariants on withdrawals, table sizes, live hosts per proxy and slow start.
    pub fn check(&self, now: Ms) {
        self.check_withdrawals(now);
        for (proxy, table) in &self.bindings {
            let weights = &self.tables[table];
            assert!(weights.len() < 30, "{} hosts in a table", weights.len());
            let has_host = weights.keys().any(|host| self.is_live(host)) || self.is_capped();
            let could_have = self.known_since.keys().any(|host| self.is_live(host));
            assert!(has_host || !could_have, "proxy {proxy} has no host at {now}");
            self.check_slow_start(now, weights);
        }
    }

    fn is_capped(&self) -> bool {
        self.settings.channel.max_messages > 0
    }

    /// Asserts that hosts that are not ready are withdrawn or in no table, at the latest after the grace period.
    fn check_withdrawals(&self, now: Ms) {
        // A message cap may delay withdrawals within the grace period; otherwise they are sent at once.
        let grace = if self.is_capped() { self.settings.hosts.drain_grace * 0.9 } else { 0.0 };
        let binds = |host: &String| {
            !self.settings.hosts.may_keep_unlisted || self.hosts[host].readiness == Readiness::Draining
        };
        for (host, since) in self.known_since.iter().filter(|(host, _)| !self.is_ready(host) && binds(host)) {
            let is_used = self.bindings.values().any(|table| self.tables[table].contains_key(host));
            let is_late = is_used && !self.withdrawn.contains(host) && now - since > grace;
            assert!(!is_late, "{host} is not ready, yet proxies may send to it");
        }
    }

    /// Asserts that a host started less than 1 s ago has a small share of a mostly warm table. Skipped if a cap or a
    /// full channel may delay updates.
    fn check_slow_start(&self, now: Ms, weights: &BTreeMap<String, f64>) {
        let has_room = self.waiting_lines() < 0.5 * self.settings.channel.max_queued_lines;
        if self.is_capped() || !has_room {
            return;
        }
        let is_warm = |host: &String| self.hosts[host].started_at == 0.0;
        let live = || weights.iter().filter(|(host, _)| self.is_live(host));
        let total: f64 = live().map(|(_, weight)| weight).sum();
        let warm: f64 = live().filter(|(host, _)| is_warm(host)).map(|(_, weight)| weight).sum();
        for (host, weight) in live().filter(|(host, _)| !is_warm(host)) {
            let (age, known) = (now - self.hosts[host].started_at, now - self.known_since[host]);
            if age < 1000.0 && known < 1000.0 && warm > 0.6 * total {
                // A tenth of its weight, which may be twice the weight of the others.
                let part = weight / total;
                assert!(part <= 0.2, "{host} is {age} ms old and has {part} of its table");
            }
        }
    }
}

fn add_line(lines: &mut BTreeMap<ProxyId, f64>, proxies: Vec<ProxyId>) {
    for proxy in proxies {
        *lines.entry(proxy).or_default() += 1.0;
    }
}
