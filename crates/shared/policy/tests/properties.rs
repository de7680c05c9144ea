//! Long random but legal sequences, from fixed seeds; orders are checked against records kept here.

mod common;
use common::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rushcourse_policy::Director;
use rushcourse_policy::interface::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What a fair observer knows: the list, who joined, what each table and proxy was sent, what still waits.
struct Records {
    s: Settings,
    hosts: BTreeMap<String, HostEntry>,
    known: BTreeMap<String, Ms>,
    joined: BTreeMap<ProxyId, ZoneId>,
    tables: BTreeMap<TableId, BTreeMap<String, f64>>,
    bound: BTreeMap<ProxyId, TableId>,
    out: BTreeSet<String>,
    messages: BTreeMap<ProxyId, VecDeque<Ms>>,
    /// The channel, in order: proxy, mark, lines.
    queue: VecDeque<(ProxyId, u16, f64)>,
}

impl Records {
    fn record(&mut self, now: Ms, actions: &[Action]) {
        let mut lines: BTreeMap<ProxyId, f64> = BTreeMap::new();
        let mut mark = None;
        for action in actions {
            let users = |t: TableId| self.bound.iter().filter(move |(_, b)| **b == t).map(|(p, _)| *p);
            match action {
                Action::SetEndpoint { table, host, weight } => {
                    assert!(*weight >= 0.0 && weight.is_finite());
                    assert!(self.known.contains_key(&**host), "a host never listed: {host}");
                    users(*table).for_each(|p| *lines.entry(p).or_default() += 1.0);
                    let held = self.tables.entry(*table).or_default();
                    if *weight > 0.0 {
                        held.insert(host.to_string(), *weight);
                    } else {
                        held.remove(&**host);
                        let bare = held.is_empty() && self.bound.values().any(|b| b == table);
                        assert!(!bare, "a removal emptied a table in use");
                    }
                }
                Action::ClearTable { table } => {
                    assert_eq!(users(*table).count(), 0, "a table in use was cleared");
                    self.tables.remove(table);
                }
                Action::BindProxy { proxy, table, .. } => {
                    assert!(self.joined.contains_key(proxy), "a proxy that has not joined");
                    let size = self.tables.get(table).map_or(0, |t| t.len());
                    *lines.entry(*proxy).or_default() += 1.0 + size as f64;
                    self.bound.insert(*proxy, *table);
                }
                Action::SetWithdrawn { host, is_withdrawn: out, channel: Channel::Shared } => {
                    let holds = |t: &TableId| self.tables.get(t).is_some_and(|t| t.contains_key(&**host));
                    // Who joined and waits for its bind holds lines that nobody knows: it is told too.
                    let held = |p: &&ProxyId| self.bound.get(*p).is_none_or(holds);
                    let held: Vec<ProxyId> = self.joined.keys().filter(held).copied().collect();
                    held.into_iter().for_each(|p| *lines.entry(p).or_default() += 1.0);
                    if *out {
                        self.out.insert(host.to_string())
                    } else {
                        self.out.remove(&**host)
                    };
                }
                Action::SetAdmission { table, quota, retry_policy: again, classes } => {
                    users(*table).for_each(|p| *lines.entry(p).or_default() += 1.0);
                    assert!(*quota > 0.0 && *quota <= 1.0);
                    let allowed = self.s.proxies.retry_policy.max(RetryPolicy::OnceIfNotRun);
                    assert!(*again <= allowed, "{again:?} for classes {classes}");
                }
                Action::RequestAck { ack_number: number } => mark = Some(*number),
                _ => {}
            }
        }
        assert_eq!(mark.is_some(), !lines.is_empty(), "messages and marks go together");
        for (proxy, lines) in lines {
            self.queue.push_back((
                proxy,
                mark.expect("a mark"),
                lines + self.s.channel.lines_per_message + 1.0,
            ));
            let times = self.messages.entry(proxy).or_default();
            times.push_back(now);
            times.retain(|t| now - t < self.s.channel.message_window);
            let cap = self.s.channel.max_messages;
            assert!(cap == 0 || times.len() <= cap, "{} messages to proxy {proxy}", times.len());
        }
        let waiting: f64 = self.queue.iter().map(|q| q.2).sum();
        assert!(waiting <= self.s.channel.max_queued_lines, "{waiting} lines wait");
    }

    fn ready(&self, host: &str) -> bool {
        self.hosts.get(host).is_some_and(|e| e.readiness == Readiness::Ready)
    }

    /// What must hold after every reply.
    fn check(&self, now: Ms) {
        let binds =
            |h: &String| !self.s.hosts.may_keep_unlisted || self.hosts[h].readiness == Readiness::Draining;
        for host in self.known.keys().filter(|h| !self.ready(h) && binds(h)) {
            let used = self.bound.values().any(|t| self.tables[t].contains_key(host));
            // A message cap may space the news out, well within the grace; else it goes in the same reply.
            let grace = if self.s.channel.max_messages > 0 { self.s.hosts.drain_grace * 0.9 } else { 0.0 };
            let late = used && !self.out.contains(host) && now - self.known[host] > grace;
            assert!(!late, "{host} is not ready, yet proxies may send to it");
        }
        for (proxy, table) in &self.bound {
            let live = |h: &&String| self.ready(h) && !self.out.contains(*h);
            let lines = self.tables[table].len();
            assert!(lines < 30, "{lines} lines in a table");
            let any = self.tables[table].keys().any(|h| live(&h)) || self.s.channel.max_messages > 0;
            let could = self.known.keys().any(|h| self.ready(h) && !self.out.contains(h));
            assert!(any || !could, "proxy {proxy} has no line at {now}");
            let total: f64 = self.tables[table].iter().filter(|(h, _)| live(h)).map(|(_, w)| w).sum();
            let warm = |h: &String| self.hosts[h].started_at == 0.0;
            let waiting: f64 = self.queue.iter().map(|q| q.2).sum();
            let grace0 = self.s.channel.max_messages == 0 && waiting < 0.5 * self.s.channel.max_queued_lines;
            let all_warm: f64 =
                self.tables[table].iter().filter(|(h, _)| live(h) && warm(h)).map(|x| x.1).sum();
            for (host, w) in self.tables[table].iter().filter(|(h, _)| live(h)) {
                let (age, seen) = (now - self.hosts[host].started_at, now - self.known[host]);
                if grace0 && !warm(host) && age < 1000.0 && seen < 1000.0 && all_warm > 0.6 * total {
                    // A tenth of its weight, which may be twice that of the few others.
                    assert!(w / total <= 0.2, "{host} is {age} ms old and has {} of its table", w / total);
                }
            }
        }
    }
}

/// How large a fleet is played, and whether it grows and its list is wrong for a while.
#[derive(Clone, Copy)]
struct Scale {
    hosts: usize,
    spare: usize,
    proxies: u32,
    steps: usize,
    grown: bool,
}

const SMALL: Scale = Scale { hosts: 12, spare: 4, proxies: 8, steps: 1500, grown: false };
const LARGE: Scale = Scale { hosts: 200, spare: 200, proxies: 240, steps: 400, grown: true };

fn play(seed: u64, s: Settings, pace: f64, news: i32) -> Vec<Vec<Action>> {
    play_at(SMALL, seed, s, pace, news)
}

fn play_at(size: Scale, seed: u64, s: Settings, pace: f64, news: i32) -> Vec<Vec<Action>> {
    let name = |k: usize| format!("h{k:02}");
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (mut a, mut b) = (Director::new(s.clone()), Director::new(s.clone()));
    let mut records = Records {
        s: s.clone(),
        hosts: BTreeMap::new(),
        known: BTreeMap::new(),
        joined: BTreeMap::new(),
        tables: BTreeMap::new(),
        bound: BTreeMap::new(),
        out: BTreeSet::new(),
        messages: BTreeMap::new(),
        queue: VecDeque::new(),
    };
    let (mut now, mut next, mut sent, mut log) = (500.0, 0.0, 0.0, Vec::new());
    let mut answers: Vec<(Ms, Event)> = Vec::new();
    let mut start: Vec<HostEntry> = (0..size.hosts).map(|k| host(&name(k), k % 2)).collect();
    start.iter_mut().for_each(|e| e.weight = rng.random_range(0.5..2.0));
    for step in 0..size.steps {
        now += 40.0;
        let mut events = Vec::new();
        let mut listed: Vec<HostEntry> = if step == 0 { start.clone() } else { Vec::new() };
        if now >= next {
            events.push(Event::TimerFired { token: "round".into() });
        }
        match rng.random_range(0..100) {
            k if k < news => {
                let name = name(rng.random_range(0..size.hosts + size.spare));
                let mut e = records.hosts.get(&name).cloned().unwrap_or(host(&name, rng.random_range(0..2)));
                let restart = with(e.clone(), Readiness::Ready, now - 200.0);
                e.readiness = if rng.random() { Readiness::Draining } else { Readiness::Gone };
                let ready = records.hosts.values().filter(|e| e.readiness == Readiness::Ready).count();
                listed.push(if rng.random_bool(0.6) || ready < size.hosts / 2 { restart } else { e });
            }
            k if k < 3 * news => {
                let proxy = rng.random_range(0..size.proxies);
                if records.joined.remove(&proxy).is_some() {
                    records.bound.remove(&proxy);
                    records.messages.remove(&proxy);
                    answers
                        .retain(|(_, e)| !matches!(e, Event::Acknowledged { proxy: p, .. } if *p == proxy));
                    events.push(Event::ProxyLeft { proxy, channel: Channel::Shared });
                } else {
                    let zone = rng.random_range(0..2);
                    records.joined.insert(proxy, zone);
                    events.push(Event::ProxyJoined {
                        proxy,
                        zone,
                        rate: 4.0,
                        is_fresh: rng.random(),
                        channel: Channel::Shared,
                    });
                }
            }
            12..40 => {
                let name = name(rng.random_range(0..size.hosts + size.spare));
                let (tries, bad) = (rng.random_range(1..12) as f64, rng.random_bool(0.3));
                let failed = if bad { tries } else { 0.0 };
                events.push(heard(
                    rng.random_range(0..2),
                    &name,
                    tries,
                    failed,
                    rng.random_range(50.0..1500.0),
                ));
                events.push(Event::TrafficReported {
                    proxy: 0,
                    class: 0,
                    attempts: tries,
                    failed: 0.0,
                    span: 1000.0,
                });
            }
            _ => {}
        }
        if size.grown && step == 20 {
            for proxy in 0..size.proxies {
                let zone = proxy as usize % 2;
                if records.joined.insert(proxy, zone).is_none() {
                    let rate = if proxy % 11 == 0 { 40.0 } else { 4.0 };
                    events.push(Event::ProxyJoined {
                        proxy,
                        zone,
                        rate,
                        is_fresh: true,
                        channel: Channel::Shared,
                    });
                }
            }
        }
        // It doubles; later most of it is called gone for a while, and is back with the starts it had.
        if size.grown && step == 120 {
            let new = |k: usize| with(host(&name(k), k % 2), Readiness::Ready, now - 300.0);
            listed.extend((size.hosts..size.hosts + size.spare).map(new));
        }
        if size.grown && (step == 200 || step == 300) {
            let is = if step == 200 { Readiness::Gone } else { Readiness::Ready };
            let most = records.hosts.values().filter(|e| e.readiness != Readiness::Draining);
            listed.extend(most.take(size.hosts).map(|e| with(e.clone(), is, e.started_at)));
        }
        if !listed.is_empty() {
            for e in &listed {
                let old = records.hosts.insert(e.host.to_string(), e.clone());
                let fresh = old.is_none_or(|o| o.started_at < e.started_at || o.readiness != e.readiness);
                if fresh || !records.known.contains_key(&*e.host) {
                    records.known.insert(e.host.to_string(), now);
                }
            }
            let kind = if step == 0 { HostListKind::Cached } else { HostListKind::Delta };
            events.push(list(kind, &listed));
        }
        // The channel sends at the given pace; a tenth of the answers never come.
        sent += pace * s.channel.lines_per_second * 0.04;
        while let Some((proxy, mark, lines)) = records.queue.front().copied().filter(|q| q.2 <= sent) {
            (sent, _) = (sent - lines, records.queue.pop_front());
            if records.joined.contains_key(&proxy) && rng.random_bool(0.9) {
                answers.push((
                    now + rng.random_range(50.0..500.0),
                    Event::Acknowledged { ack_number: mark, proxy, elapsed: 300.0, channel: Channel::Shared },
                ));
            }
        }
        sent = if records.queue.is_empty() { 0.0 } else { sent };
        let (due, later) = answers.into_iter().partition::<Vec<_>, _>(|(at, _)| *at <= now);
        answers = later;
        events.extend(due.into_iter().map(|(_, e)| e));
        if events.is_empty() {
            continue;
        }
        let actions = a.handle(now, events.clone());
        assert_eq!(actions, b.handle(now, events), "the same events, other orders");
        for action in &actions {
            if let Action::StartTimer { token, at } = action {
                assert!(token == "round" && *at > now);
                next = *at;
            }
        }
        records.record(now, &actions);
        records.check(now);
        log.push(actions);
    }
    log
}

#[test]
fn orders_keep_the_books_on_an_ordinary_channel() {
    for seed in 0..24 {
        play(seed, settings(), 1.0, 4);
    }
}

#[test]
fn orders_keep_the_books_on_a_channel_five_times_slower() {
    for seed in 100..116 {
        let s = settings_with(|s| s.channel.max_queued_lines = 600.0);
        play(seed, s, 0.2, 3);
    }
}

#[test]
fn ordinary_orders_never_fill_the_channel() {
    // A channel at a twentieth of its pace: without the window, rounds of changes pile up in it.
    for seed in 300..312 {
        let s = settings_with(|s| s.channel.max_queued_lines = 150.0);
        play(seed, s, 0.05, 3);
    }
}

#[test]
fn orders_keep_the_message_cap() {
    for seed in 200..216 {
        let s = settings_with(|s| s.channel.max_messages = 12);
        play(seed, s, 1.0, 1);
    }
}

#[test]
fn another_seed_of_the_instance_changes_no_ordinary_order() {
    assert_eq!(play(1, settings(), 1.0, 4), play(1, settings(), 1.0, 4));
}

#[test]
fn orders_keep_the_books_of_a_large_fleet_that_grows_and_whose_list_is_wrong_for_a_while() {
    for seed in 400..404 {
        let s = settings_with(|s| {
            s.channel.max_queued_lines = 9000.0;
            s.channel.lines_per_second = 4500.0;
            s.hosts.may_keep_unlisted = seed % 2 == 0;
        });
        play_at(LARGE, seed, s, 1.0, 2);
    }
}

#[test]
fn a_large_fleet_on_a_slow_channel_keeps_the_books() {
    for seed in 410..412 {
        let s = settings_with(|s| {
            s.channel.max_queued_lines = 6000.0;
            s.channel.lines_per_second = 3000.0;
            s.hosts.may_keep_unlisted = true;
        });
        play_at(LARGE, seed, s, 0.25, 2);
    }
}
