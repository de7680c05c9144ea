//! Every decision of a director. Its types stand in `interface.rs`, its plain records in `state.rs`.
//!
//! Order: constants, model, target tables, check, scheduler, fallback, health, levels and retries, join and
//! crash. "Design" is docs/design.md's source page, "paper" is CCG; "ours" marks a default we chose.

use crate::interface::*;
use crate::state::*;
use std::collections::{BTreeMap, BTreeSet};

// ---- constants: value, unit, reason, source ----

/// ms after its answer until a removal is certain (design, from paper 4.3: late removals).
const REMOVAL_DELAY: Ms = 1000.0;
/// ms until an unanswered line counts as certain (design); longer while the channel is seen to be slow.
const ANSWER_TIMEOUT: Ms = 3000.0;
/// ms that a change may fail the check before the fallback takes it (design).
const FALLBACK_AFTER: Ms = 2000.0;
/// Part of its listed weight at which a started host enters, and ms until it has all of it (design).
const RAMP_FROM: f64 = 0.1;
const RAMP_OVER: Ms = 10_000.0;
/// Steps of the ramp: fewer lines than a smooth one, each well under what a cold host can take (ours).
const RAMP_STEPS: f64 = 6.0;
/// Lines in a table at most (design: under 30), and hosts a pool is planned for, with room to grow (ours).
const TABLE_MOST: usize = 29;
const POOL_PLAN: usize = 24;
/// ms between rounds of ordinary changes; withdrawals and bare proxies don't wait for a round (ours).
const ROUND: Ms = 250.0;
/// Parts of the channel's limit that ordinary and urgent orders may fill: under half, and short of it (ours).
const ORDINARY_PART: f64 = 0.35;
const URGENT_PART: f64 = 0.9;
/// Part of the messages to one proxy that ordinary orders may use; the rest is for urgent ones (ours).
const ORDINARY_MESSAGES: f64 = 0.5;
/// Smallest change of a weight worth an order, as a part of the line's target (ours).
const WORTH_A_LINE: f64 = 0.1;
/// Weight of other zones' lines in a zone's tables, narrow to wide; never 0, so that no zone's loss empties
/// a table (ours).
const REACH: [f64; 3] = [0.06, 0.35, 1.0];
/// A crossing costing less than this part of a request is never worth avoiding (ours).
const CHEAP_CROSSING: f64 = 0.02;
/// Report periods over which sums decay to a third (ours).
const MEMORY: f64 = 1.2;
/// A host is an outlier from this part of failed tries and from so many tries, while the other hosts are
/// not jammed (ours: far from what overload does, which is half and shared).
const OUTLIER_FAILS: f64 = 0.85;
const OUTLIER_TRIES: f64 = 4.0;
/// ms that an ejected host stays out at first; doubled at each relapse, up to four times (ours).
const OUT_FOR: Ms = 4000.0;
/// Strain (1: answers begin to miss their aim) from which a host that strains twice as much as the rest loses
/// part of its weight, and under which it gets it back; the step, the least part, the tries it takes (ours).
const GRADE_DOWN: f64 = 1.6;
const GRADE_UP: f64 = 0.7;
const GRADE_STEP: f64 = 0.7;
const GRADE_LEAST: f64 = 0.2;
const GRADE_TRIES: f64 = 6.0;
/// Mean time of good answers, as a part of the aim, at which hosts count as full: later ones miss it (ours).
const FULL_LAG: f64 = 0.4;
/// Part of the hosts, by strain, that speaks for the fleet: a few struck ones do not (ours).
const BETTER_PART: f64 = 0.75;
/// Share of busy processors at which hosts count as full (ours).
const FULL_BUSY: f64 = 0.9;
/// Fullness and failed part of the tries from which less is let in, and fullness under which more is (ours).
const FULL_DOWN: f64 = 1.1;
const FULL_UP: f64 = 0.8;
const FAILS_DOWN: f64 = 0.1;
/// Part of what hosts were seen to carry that is let in: its steps down in a jam that gets no better and up
/// when the fleet is well, its bounds; how much of that mark is kept a step; the least level (ours).
const PART_DOWN: f64 = 0.85;
const PART_UP: f64 = 1.15;
const PART_LEAST: f64 = 0.35;
const PART_MOST: f64 = 1.0;
const CARRIED_KEEP: f64 = 0.98;
const LEVEL_LEAST: f64 = 0.05;

impl Director {
    pub fn new(s: Settings, _seed: u64) -> Director {
        let mask = |bound: bool| {
            let of = s.classes.iter().enumerate().filter(|(_, c)| c.zone_bound == bound);
            of.fold(0u32, |m, (k, _)| m | 1 << k)
        };
        let groups = [(mask(false), false), (mask(true), true)].into_iter().filter(|g| g.0 > 0);
        let usage = vec![Sums::default(); s.classes.len()];
        Director {
            groups: groups.collect(),
            reply: 1,
            admit: 1.0,
            part: 1.0,
            usage,
            s,
            ..Director::default()
        }
    }

    pub fn handle(&mut self, now: Ms, events: Vec<Event>) -> Vec<Action> {
        self.now = now;
        if self.s.classes.is_empty() || self.s.push_rate <= 0.0 || self.s.backlog <= 0.0 {
            if !std::mem::replace(&mut self.started, true) {
                self.log("settings make no sense (no classes, or a channel that carries nothing): no orders");
            }
            return std::mem::take(&mut self.out);
        }
        if !std::mem::replace(&mut self.started, true) {
            self.out.push(Action::Timer { token: "round".into(), at: now + ROUND });
            if self.s.must_subscribe {
                self.out.push(Action::Subscribe);
            }
        }
        for event in events {
            self.take(event);
        }
        self.settle();
        if now >= self.next_round {
            self.judge();
            self.steer();
        }
        self.plan();
        self.close()
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::List { kind, entries } => self.listed(kind, entries),
            Event::Joined { proxy, zone, rate, .. } => self.joined(proxy, zone, rate),
            Event::Left { proxy } => drop(self.proxies.remove(&proxy)),
            Event::Applied { mark, proxy, took } => self.answered(mark, proxy, took),
            Event::Heard { zone, host, tries, failed, mean, load, .. } => {
                self.heard(zone, host, tries, failed, mean, load);
            }
            Event::Usage { class, tries, failed, .. } => {
                let (now, memory) = (self.now, MEMORY * self.s.report_every);
                if let Some(sums) = self.usage.get_mut(class) {
                    add(sums, now, memory, tries, failed, 0.0);
                }
            }
            Event::Timer { token } if token == "round" => {
                self.out.push(Action::Timer { token, at: self.now + ROUND });
            }
            Event::Timer { .. } if self.s.must_subscribe => self.out.push(Action::Subscribe),
            Event::Timer { .. } | Event::Probed { .. } | Event::Told { .. } => {}
        }
    }

    fn log(&mut self, text: &str) {
        self.out.push(Action::Log { text: text.into() });
    }

    // ---- model (paper 4.2, 4.3): what each proxy may hold ----

    fn wire_mark(reply: u64) -> u16 {
        (reply % 65_535) as u16
    }

    /// A line that a proxy can pick: its host runs and isn't shut out.
    fn live(&self, host: &HostId) -> bool {
        self.list.get(host).is_some_and(|l| l.entry.readiness == Readiness::Ready && !l.withdrawn)
    }

    /// An answer makes additions certain at once; removals wait for their delay. The channel is in order, so
    /// an answer also shows that all replies before it have left.
    fn answered(&mut self, mark: u16, proxy: ProxyId, took: Ms) {
        let marked = self.flights.keys().rev().find(|r| Self::wire_mark(**r) == mark).copied();
        let (Some(reply), Some(p)) = (marked, self.proxies.get_mut(&proxy)) else { return };
        self.slowest = took.max(self.slowest * 0.95);
        for held in p.lines.iter_mut().flat_map(|g| g.values_mut()).filter(|h| h.reply <= reply) {
            match held.standing {
                Standing::Adding => held.standing = Standing::Certain,
                Standing::Removing => held.answered = held.answered.or(Some(self.now)),
                Standing::Certain => {}
            }
        }
        self.flights.retain(|r, _| *r >= reply);
        if let Some(flight) = self.flights.get_mut(&reply) {
            flight.lines.remove(&proxy);
        }
    }

    /// Time settles what no answer did. A slow channel stretches the timeout (extension: the design's 3 s
    /// would call lines certain that still wait in the channel).
    fn settle(&mut self) {
        let timeout = ANSWER_TIMEOUT.max(2.0 * self.slowest).max(2.0 * self.s.transit_max);
        let now = self.now;
        for group in self.proxies.values_mut().flat_map(|p| p.lines.iter_mut()) {
            group.retain(|_, held| match held.standing {
                Standing::Certain => true,
                Standing::Adding => {
                    if now - held.since >= timeout {
                        held.standing = Standing::Certain;
                    }
                    true
                }
                Standing::Removing => {
                    let sure = held.answered.unwrap_or(held.since + timeout);
                    now < sure + REMOVAL_DELAY
                }
            });
        }
        self.flights.retain(|_, f| !f.lines.is_empty() && now - f.at < 4.0 * timeout);
        let used = |t: &TableId| self.proxies.values().any(|p| p.bound.contains(&Some(*t)));
        let idle: Vec<TableId> = self.tables.keys().copied().filter(|t| !used(t)).collect();
        for table in idle {
            self.tables.remove(&table);
            self.current.retain(|_, t| *t != table);
            self.out.push(Action::Clear { table });
        }
    }

    // ---- target tables: a zone's hosts by listed weight, other zones' at the zone's reach ----

    /// Part of its weight that a host has `age` ms after its start: the design's ramp in steps, and never
    /// more than the capacity that the settings promise by then.
    fn ramp(&self, age: Ms) -> f64 {
        if age >= RAMP_OVER.max(self.s.cold) {
            return 1.0;
        }
        let most = 1.0 - 1e-9;
        let step = (age / RAMP_OVER * RAMP_STEPS).floor().min(RAMP_STEPS) / RAMP_STEPS;
        let promised = self.s.start_capacity + (1.0 - self.s.start_capacity) * age / self.s.cold.max(1.0);
        (RAMP_FROM + (1.0 - RAMP_FROM) * step).min((promised * RAMP_STEPS).ceil() / RAMP_STEPS).min(most)
    }

    fn target(&self, key: TableKey) -> ByHost<f64> {
        let (zone, group, reach, pool) = key;
        let bound = self.groups[group].1;
        let mut parts: Vec<(&HostId, f64, f64, f64)> = Vec::new();
        for (host, l) in &self.list {
            let e = &l.entry;
            if e.readiness != Readiness::Ready || l.pool != pool || bound && e.zone != zone {
                continue;
            }
            let near = if e.zone == zone { 1.0 } else { REACH[reach] };
            let up = if e.up_since > 0.0 { self.ramp(self.now - e.up_since) } else { 1.0 };
            parts.push((host, e.weight * near, up, self.fit(zone, host)));
        }
        if parts.iter().all(|p| p.3 == 0.0) {
            parts.iter_mut().for_each(|p| p.3 = 1.0);
        }
        parts.truncate(TABLE_MOST);
        // A cold host gets its part of a full table, not of what is left of one: else it would carry the
        // load of all that is out, just when it can carry least.
        let full: f64 = parts.iter().map(|p| p.1).sum();
        let warm: f64 = parts.iter().map(|p| p.1 * p.2.min(p.3)).sum();
        let room = ((warm / full.max(1e-9)) * 8.0).ceil() / 8.0;
        // In a jam proxies flee full hosts, and a cold one that still answers draws them all: its ramp stays
        // at the first step until the jam is over or it is warm. Harm: a jam for want of hosts lasts longer.
        let held = if self.jammed { RAMP_FROM } else { 1.0 };
        let weigh = |p: &(&HostId, f64, f64, f64)| {
            let up = if p.2 < 1.0 { p.2.min(held).min(p.3) } else { p.3 };
            p.1 * if up < 1.0 { up * room } else { 1.0 }
        };
        parts.iter().filter(|p| p.3 > 0.0).map(|p| (p.0.clone(), weigh(p))).collect()
    }

    fn key_of(&self, proxy: ProxyId, zone: ZoneId, group: usize) -> TableKey {
        let reach = if self.groups[group].1 { 0 } else { self.reach_of(zone) };
        (zone, group, reach, proxy as usize % self.pools.max(1))
    }

    fn reach_of(&self, zone: ZoneId) -> usize {
        let first = if self.s.cross_zone_price < CHEAP_CROSSING { REACH.len() - 1 } else { 1 };
        self.reach.get(&zone).map_or(first, |r| r.0)
    }

    /// The table of a key; a new one is filled before anyone is bound to it, which costs no line.
    fn table_for(&mut self, key: TableKey) -> TableId {
        if let Some(table) = self.current.get(&key) {
            return *table;
        }
        loop {
            self.last_table = self.last_table % 65_000 + 1;
            if !self.tables.contains_key(&self.last_table) {
                break;
            }
        }
        let table = self.last_table;
        self.tables.insert(table, Table { group: key.1, ..Table::default() });
        self.current.insert(key, table);
        table
    }

    // ---- check (paper 4.4; design's invariant) ----

    /// A change passes if each proxy it touches keeps a certain line that isn't being removed.
    fn passes(&self, key: &Key) -> bool {
        let keeps = |p: &Proxy, group: usize, stays: &dyn Fn(&HostId) -> bool| {
            p.lines[group].iter().any(|(h, l)| l.standing == Standing::Certain && self.live(h) && stays(h))
        };
        match key {
            Key::Line(table, host) => {
                let group = self.tables[table].group;
                self.users(*table).all(|p| keeps(&self.proxies[&p], group, &|h| h != host))
            }
            Key::Bind(proxy, group, table) => {
                let new = &self.tables[table].lines;
                keeps(&self.proxies[proxy], *group, &|h| new.contains_key(h))
            }
            _ => true,
        }
    }

    fn users(&self, table: TableId) -> impl Iterator<Item = ProxyId> + '_ {
        let on = move |p: &Proxy| p.bound.contains(&Some(table));
        self.proxies.iter().filter(move |(_, p)| on(p)).map(|(id, _)| *id)
    }

    // ---- scheduler (design: as many changes a round as the channel carries, largest first) ----

    /// Lists every difference between tables and targets, sends what is urgent at once, and in a round the
    /// rest by size; what fails the check stays in the buffer, and from there goes to the fallback.
    fn plan(&mut self) {
        let round = self.now >= self.next_round;
        let shut = |(h, l): (&HostId, &Listed)| {
            let gone = l.entry.readiness != Readiness::Ready && !l.withdrawn;
            gone.then(|| Change { size: f64::INFINITY, key: Key::Withdraw(h.clone()), value: 0.0 })
        };
        let mut changes: Vec<Change> = self.list.iter().filter_map(shut).collect();
        self.send_all(&mut changes, true);
        let mut binds = self.binds();
        let keys: Vec<(TableKey, TableId)> = self.current.iter().map(|(k, t)| (*k, *t)).collect();
        let mut heavy: BTreeSet<HostId> = BTreeSet::new();
        for (key, table) in keys {
            self.compare(key, table, &mut changes, &mut heavy);
        }
        self.send_all(&mut changes, true);
        self.send_all(&mut binds, true);
        if !round {
            return;
        }
        self.next_round = self.now + ROUND;
        let back = |l: &Listed| l.withdrawn && l.entry.readiness == Readiness::Ready;
        for (host, l) in self.list.iter().filter(|(h, l)| back(l) && !heavy.contains(*h)) {
            changes.push(Change { size: l.entry.weight, key: Key::Return(host.clone()), value: 0.0 });
        }
        changes.append(&mut binds);
        changes.sort_by(|a, b| b.size.total_cmp(&a.size).then_with(|| a.key.cmp(&b.key)));
        let open: BTreeSet<&Key> = changes.iter().map(|c| &c.key).collect();
        self.buffer.retain(|k, _| open.contains(k));
        self.send_all(&mut changes, false);
        self.fall_back();
    }

    /// Binds that proxies lack. One whose proxy the model shows without a line is urgent.
    fn binds(&mut self) -> Vec<Change> {
        let mut binds = Vec::new();
        let joined: Vec<(ProxyId, ZoneId)> = self.proxies.iter().map(|(id, p)| (*id, p.zone)).collect();
        for (proxy, zone) in joined {
            for group in 0..self.groups.len() {
                let table = self.table_for(self.key_of(proxy, zone, group));
                let p = &self.proxies[&proxy];
                if p.bound[group] != Some(table) {
                    let mut may = p.lines[group].iter().filter(|(_, l)| l.standing != Standing::Removing);
                    let bare = !may.any(|(h, _)| self.live(h));
                    let size = if bare { f64::INFINITY } else { p.rate.max(1.0) };
                    binds.push(Change { size, key: Key::Bind(proxy, group, table), value: 0.0 });
                }
            }
        }
        binds
    }

    /// The changes that bring a table to its target. Filling an unused or empty table is urgent, so is
    /// taking weight off a host that has started anew under the same name. `heavy` gathers withdrawn hosts
    /// that still weigh too much to be let back.
    fn compare(
        &self,
        key: TableKey,
        table: TableId,
        changes: &mut Vec<Change>,
        heavy: &mut BTreeSet<HostId>,
    ) {
        let (t, target) = (&self.tables[&table], self.target(key));
        let free = self.users(table).next().is_none() || !t.lines.keys().any(|h| self.live(h));
        let mut push = |size: f64, urgent: bool, key: Key, value: f64| {
            changes.push(Change { size: if free || urgent { f64::INFINITY } else { size }, key, value });
        };
        let total: f64 = target.values().sum::<f64>().max(1e-9);
        for (host, want) in &target {
            let have = t.lines.get(host).copied().unwrap_or(0.0);
            if (want - have).abs() > WORTH_A_LINE * want {
                let anew = have > 2.0 * want && self.live(host);
                push((want - have).abs() / total, anew, Key::Line(table, host.clone()), *want);
                if have > *want {
                    heavy.insert(host.clone());
                }
            }
        }
        for host in t.lines.keys().filter(|h| !target.contains_key(*h)) {
            push(t.lines[host] / total, false, Key::Line(table, host.clone()), 0.0);
            heavy.insert(host.clone());
        }
        for class in (0..self.s.classes.len()).filter(|c| self.groups[key.1].0 >> c & 1 == 1) {
            let (want, have) = (self.level(class), t.levels.get(&class).copied());
            let have = have.unwrap_or((1.0, self.s.base_again));
            if want != have {
                push((want.0 - have.0).abs() + 0.01, false, Key::Level(table, class), want.0);
            }
        }
    }

    /// Sends what passes the check and the budget, urgent or ordinary. What is sent leaves the list.
    fn send_all(&mut self, changes: &mut Vec<Change>, urgent: bool) {
        let (now, all) = (self.now, std::mem::take(changes));
        for c in all {
            let mine = urgent == c.size.is_infinite();
            let checked = matches!((&c.key, c.value == 0.0), (Key::Line(..), true) | (Key::Bind(..), _));
            let safe = !mine || urgent || !checked || self.passes(&c.key);
            if !safe {
                self.buffer.entry(c.key.clone()).or_insert(now);
            }
            if mine && safe && self.send(&c.key, c.value, urgent) {
                self.buffer.remove(&c.key);
            } else {
                changes.push(c);
            }
        }
    }

    /// The one sender: counts the lines as the wire charges them and refuses what the budget can't hold.
    fn send(&mut self, key: &Key, value: f64, urgent: bool) -> bool {
        let cost: Vec<(ProxyId, f64)> = match key {
            Key::Line(table, _) | Key::Level(table, _) => self.users(*table).map(|p| (p, 1.0)).collect(),
            Key::Bind(proxy, _, table) => {
                let t = &self.tables[table];
                let shut = t.lines.keys().filter(|h| self.list.get(*h).is_some_and(|l| l.withdrawn)).count();
                vec![(*proxy, 1.0 + (t.lines.len() + t.levels.len() + shut) as f64)]
            }
            Key::Withdraw(host) | Key::Return(host) => {
                let holds = |t: &TableId| self.tables.get(t).is_some_and(|t| t.lines.contains_key(host));
                let has = |p: &&ProxyId| self.proxies[*p].bound.iter().flatten().any(holds);
                self.proxies.keys().filter(has).map(|p| (*p, 1.0)).collect()
            }
        };
        if !self.affords(&cost, urgent) {
            return false;
        }
        for (proxy, lines) in cost {
            *self.lines.entry(proxy).or_insert(self.s.per_message + 1.0) += lines;
        }
        self.apply(key, value);
        true
    }

    /// Lines not yet answered bound what may still wait, whatever the channel's pace is today.
    fn affords(&self, cost: &[(ProxyId, f64)], urgent: bool) -> bool {
        let flying: f64 = self.flights.values().flat_map(|f| f.lines.values()).sum();
        let head = |p: &ProxyId| if self.lines.contains_key(p) { 0.0 } else { self.s.per_message + 1.0 };
        let now: f64 = self.lines.values().sum::<f64>() + cost.iter().map(|(p, l)| l + head(p)).sum::<f64>();
        let part = if urgent { URGENT_PART } else { ORDINARY_PART };
        let most = self.s.update_cap as f64 * if urgent { 1.0 } else { ORDINARY_MESSAGES };
        let since = self.now - self.s.counted_over;
        let full = |p: &ProxyId| {
            let written = self.proxies[p].written.iter().filter(|at| **at >= since).count();
            self.s.update_cap > 0 && !self.lines.contains_key(p) && written as f64 + 1.0 > most
        };
        cost.is_empty() || flying + now <= part * self.s.backlog && !cost.iter().any(|(p, _)| full(p))
    }

    /// Carries a sent change into the orders and, as uncertain, into the model.
    fn apply(&mut self, key: &Key, value: f64) {
        let (reply, since) = (self.reply, self.now);
        let held = |standing| Held { standing, reply, since, answered: None };
        match key {
            Key::Line(table, host) => {
                let users: Vec<ProxyId> = self.users(*table).collect();
                let Some(t) = self.tables.get_mut(table) else { return };
                if value > 0.0 {
                    t.lines.insert(host.clone(), value);
                } else {
                    t.lines.remove(host);
                }
                for p in users {
                    let lines = &mut self.proxies.get_mut(&p).expect("a user is joined").lines[t.group];
                    let certain = lines.get(host).is_some_and(|l| l.standing == Standing::Certain);
                    if value == 0.0 {
                        lines.insert(host.clone(), held(Standing::Removing));
                    } else if !certain {
                        lines.insert(host.clone(), held(Standing::Adding));
                    }
                }
                self.out.push(Action::Line { table: *table, host: host.clone(), weight: value });
            }
            Key::Bind(proxy, group, table) => {
                let new = &self.tables[table].lines;
                let p = self.proxies.get_mut(proxy).expect("a bound proxy is joined");
                for (host, line) in p.lines[*group].iter_mut() {
                    if !new.contains_key(host) && line.standing != Standing::Removing {
                        *line = held(Standing::Removing);
                    }
                }
                for host in new.keys() {
                    let certain = p.lines[*group].get(host).is_some_and(|l| l.standing == Standing::Certain);
                    if !certain {
                        p.lines[*group].insert(host.clone(), held(Standing::Adding));
                    }
                }
                p.bound[*group] = Some(*table);
                let classes = if self.groups.len() > 1 { self.groups[*group].0 } else { 0 };
                self.out.push(Action::Bind { proxy: *proxy, table: *table, classes });
            }
            Key::Level(table, class) => {
                let (quota, again) = self.level(*class);
                self.tables.get_mut(table).expect("known").levels.insert(*class, (quota, again));
                self.out.push(Action::Level { table: *table, classes: 1 << class, quota, again });
            }
            Key::Withdraw(host) | Key::Return(host) => {
                let out = matches!(key, Key::Withdraw(_));
                if let Some(l) = self.list.get_mut(host) {
                    l.withdrawn = out;
                }
                self.out.push(Action::Withdraw { host: host.clone(), out });
            }
        }
    }

    /// Ends the reply: one mark for all that it reaches.
    fn close(&mut self) -> Vec<Action> {
        if !self.lines.is_empty() {
            self.out.push(Action::Mark { number: Self::wire_mark(self.reply) });
            let since = self.now - self.s.counted_over;
            for proxy in self.lines.keys() {
                let written = &mut self.proxies.get_mut(proxy).expect("written to while joined").written;
                written.retain(|at| *at >= since);
                written.push_back(self.now);
            }
            let lines = std::mem::take(&mut self.lines);
            self.flights.insert(self.reply, Flight { at: self.now, lines });
            self.reply += 1;
        }
        std::mem::take(&mut self.out)
    }

    // ---- fallback (paper 5.3; design: a fresh target table) ----

    /// A change that failed the check for too long: its table is replaced by a fresh one, which the next
    /// round binds proxies to; the old one is cleared when nobody is on it.
    fn fall_back(&mut self) {
        let due = self.buffer.iter().filter(|(_, since)| self.now - **since >= FALLBACK_AFTER);
        let due: Vec<Key> = due.map(|(k, _)| k.clone()).collect();
        for key in due {
            self.buffer.remove(&key);
            match key {
                Key::Line(table, _) => {
                    self.current.retain(|_, t| *t != table);
                    self.log(&format!("fallback: table {table} is replaced by a fresh one"));
                }
                Key::Bind(proxy, group, table) => {
                    self.log(&format!("fallback: proxy {proxy} goes to table {table} outside the check"));
                    self.send(&Key::Bind(proxy, group, table), 0.0, true);
                }
                _ => {}
            }
        }
    }

    // ---- health: from the sums; an outlier goes out, and comes back by the ramp ----

    fn heard(&mut self, zone: ZoneId, host: HostId, tries: f64, failed: f64, mean: Ms, load: Load) {
        let Some(listed) = self.list.get_mut(&host) else { return };
        listed.busy = load.busy.or(listed.busy);
        let (now, memory) = (self.now, MEMORY * self.s.report_every);
        let sums = self.sums.entry((zone, host)).or_default();
        add(sums, now, memory, tries, failed, mean * (tries - failed));
    }

    /// Part of its weight that health leaves a host in a zone's tables.
    fn fit(&self, zone: ZoneId, host: &HostId) -> f64 {
        let grade = self.grades.get(host).map_or(1.0, |g| g.0);
        match self.health.get(host).filter(|h| h.zones.contains(&zone)) {
            Some(Health { until, .. }) if self.now < *until => 0.0,
            Some(Health { until, .. }) => grade * self.ramp(self.now - until),
            None => grade,
        }
    }

    /// Ejects hosts that answer (almost) nothing to a zone's proxies while the rest serve them well. Guards
    /// against hosts that hang, are silent, refuse all, or lie behind a cut. Slow or pausing hosts still
    /// carry load and stay: taking them out in a jam only moves the jam. Harm: a zone with little traffic
    /// may lose a good host to chance, until the ramp brings it back.
    fn judge(&mut self) {
        let (now, over) = (self.now, RAMP_OVER.max(self.s.cold));
        let mut notes = Vec::new();
        for (host, h) in self.health.iter_mut().filter(|(_, h)| now >= h.until && !h.proved) {
            let heard = |z: &ZoneId| self.sums.get(&(*z, host.clone())).map_or(0.0, |s| s.tries - s.failed);
            h.proved = h.zones.iter().any(|z| heard(z) >= 0.5);
            h.until = if h.proved { h.until } else { now };
        }
        self.health.retain(|_, h| now - h.until < over);
        let mut bad: ByHost<(f64, Vec<ZoneId>)> = BTreeMap::new();
        for zone in 0..self.s.zones.max(1) {
            let seen = || self.sums.iter().filter(|((z, h), _)| *z == zone && self.live(h));
            let fails = |s: &Sums| s.tries > 0.0 && s.failed >= OUTLIER_FAILS * s.tries;
            let rest = seen()
                .filter(|(_, s)| !fails(s))
                .fold((0.0, 0.0), |a, (_, s)| (a.0 + s.tries, a.1 + s.failed));
            if rest.0 < OUTLIER_TRIES || rest.1 > FAILS_DOWN * rest.0 {
                continue;
            }
            for ((_, host), s) in seen().filter(|(_, s)| fails(s)) {
                let of = bad.entry(host.clone()).or_default();
                of.0 += s.tries;
                of.1.push(zone);
            }
        }
        for (host, (tries, zones)) in bad {
            let h = self.health.entry(host.clone()).or_default();
            let fresh = zones.iter().any(|z| !h.zones.contains(z)) || now >= h.until;
            if fresh && tries >= if h.strikes > 0 { OUTLIER_TRIES / 2.0 } else { OUTLIER_TRIES } {
                self.sums.retain(|(z, other), _| *other != host || !zones.contains(z));
                h.until = now + OUT_FOR * f64::from(1 << h.strikes.min(2));
                notes.push(format!("{host} fails for zones {zones:?}: out of their tables"));
                (h.proved, h.strikes) = (false, h.strikes + 1);
                h.zones.extend(zones);
            }
        }
        self.health.retain(|_, h| h.strikes > 0);
        notes.iter().for_each(|n| self.log(n));
        self.grade();
    }

    /// Takes part of its weight off a host that lags or fails while the rest are well, a step at a time, and
    /// gives it back when it is well too. Guards against hosts slower than listed, pausing, or hampered in
    /// ways no list names, and acts before an ejection can be proved. A failed try counts as one aim lost.
    /// In a jam all lag, so nobody is singled out. Harm: a host that is slow for good is tried again and again.
    fn grade(&mut self) {
        let (hosts, now) = (self.by_host(), self.now);
        let all = hosts.values().fold(Sums::default(), |mut a, s| {
            (a.tries, a.failed, a.time) = (a.tries + s.tries, a.failed + s.failed, a.time + s.time);
            a
        });
        let pause = 2.0 * self.s.report_every + 2.0 * self.s.late;
        for (host, s) in hosts.iter().filter(|(_, s)| s.tries >= GRADE_TRIES) {
            let (part, at) = self.grades.get(host).copied().unwrap_or((1.0, 0.0));
            let (mine, tries) = (self.strain(s), (all.tries - s.tries).max(1e-9));
            let rest =
                self.strain(&Sums { tries, failed: all.failed - s.failed, time: all.time - s.time, at: 0.0 });
            let step = if !self.jammed && mine > GRADE_DOWN && mine > 2.0 * rest && now - at >= pause {
                (part * GRADE_STEP).max(GRADE_LEAST)
            } else if part < 1.0 && mine < GRADE_UP && now - at >= 2.0 * pause {
                (part / GRADE_STEP).min(1.0)
            } else {
                continue;
            };
            self.grades.insert(host.clone(), (step, now));
        }
    }

    // ---- levels and retries ----

    /// The aim of the mean request.
    fn aim(&self) -> f64 {
        let used: f64 = self.usage.iter().map(|u| u.tries + 1e-6).sum();
        self.s.classes.iter().zip(&self.usage).map(|(c, u)| c.aim.max(1.0) * (u.tries + 1e-6) / used).sum()
    }

    /// What proxies of all zones met at each live host.
    fn by_host(&self) -> ByHost<Sums> {
        let mut hosts: ByHost<Sums> = BTreeMap::new();
        for ((_, host), s) in self.sums.iter().filter(|((_, h), _)| self.live(h)) {
            let of = hosts.entry(host.clone()).or_default();
            of.tries += s.tries;
            of.failed += s.failed;
            of.time += s.time;
        }
        hosts
    }

    /// How far a host's tries fall short: 1 is where answers begin to miss their aim. A failed try counts as
    /// one aim lost.
    fn strain(&self, s: &Sums) -> f64 {
        (s.time + s.failed * self.aim()) / (s.tries.max(1e-9) * FULL_LAG * self.aim())
    }

    /// Strain and failed part of the better hosts of a zone (or of all): what the fleet as a whole suffers,
    /// not what a broken or pausing part of it does to the mean.
    fn middle(&self, zone: Option<ZoneId>) -> Option<(f64, f64)> {
        let hosts = self.by_host();
        let inside = |h: &HostId| zone.is_none_or(|z| self.list[h].entry.zone == z);
        let mut seen: Vec<(f64, &Sums, Option<f64>)> = hosts
            .iter()
            .filter(|(h, _)| inside(h))
            .map(|(h, s)| (self.strain(s), s, self.list[h].busy))
            .collect();
        seen.sort_by(|a, b| a.0.total_cmp(&b.0));
        seen.truncate((seen.len() as f64 * BETTER_PART).ceil() as usize);
        let sum = |f: &dyn Fn(&Sums) -> f64| seen.iter().map(|x| f(x.1)).sum::<f64>();
        let (tries, failed, time) = (sum(&|s| s.tries), sum(&|s| s.failed), sum(&|s| s.time));
        let busy = seen.iter().filter_map(|x| x.2).sum::<f64>() / seen.len().max(1) as f64 / FULL_BUSY;
        let full = self.strain(&Sums { tries, failed, time, at: 0.0 });
        (tries >= 1.0).then(|| (full.max(busy), failed / tries))
    }

    /// Moves each zone's reach and the admission levels one step at a time, on evidence.
    fn steer(&mut self) {
        let pause = 2.0 * self.s.report_every + 2.0 * self.s.late;
        let dear = self.s.cross_zone_price >= CHEAP_CROSSING;
        for zone in 0..self.s.zones {
            let (reach, at) = (self.reach_of(zone), self.reach.get(&zone).map_or(0.0, |r| r.1));
            let Some(own) = self.middle(Some(zone)).map(|m| m.0) else { continue };
            let rest: Vec<f64> = (0..self.s.zones)
                .filter(|z| *z != zone)
                .filter_map(|z| self.middle(Some(z)))
                .map(|m| m.0)
                .collect();
            let rest = rest.iter().copied().fold(f64::INFINITY, f64::min);
            if own > 0.8 && own > rest && reach + 1 < REACH.len() && self.now - at > pause {
                self.reach.insert(zone, (reach + 1, self.now));
            } else if own < 0.6 && reach > 0 && dear && self.now - at > 2.0 * pause {
                self.reach.insert(zone, (reach - 1, self.now));
            }
        }
        let Some((full, fails)) = self.middle(None) else { return };
        let jammed = full > FULL_DOWN || fails > FAILS_DOWN;
        let free = full < FULL_UP && fails < FAILS_DOWN / 2.0;
        self.jammed = jammed || self.jammed && !free;
        if self.s.level_kind != LevelKind::Ratio || self.now - self.levels_at < pause {
            return;
        }
        // What the hosts were seen to carry is the measure: a jam is cut to a part of that, however often
        // clients ask again, and never to nothing because old answers still come late.
        let carried: f64 = self.by_host().values().map(|s| s.tries - s.failed).sum();
        if !jammed {
            self.carried = carried.max(self.carried * CARRIED_KEEP);
        }
        let better = full < 0.97 * self.full;
        self.part = if jammed && !better {
            (self.part * PART_DOWN).max(PART_LEAST)
        } else if free {
            self.part * PART_UP
        } else {
            self.part
        };
        (self.full, self.levels_at) = (full, self.now);
        let asked = |admit: f64| -> f64 {
            let let_in = |c: usize| self.usage[c].tries * admit.powf(self.cheapness(c));
            (0..self.usage.len()).map(let_in).sum()
        };
        let (room, mut admit) = (self.part * self.carried, 1.0);
        while admit > LEVEL_LEAST && asked(admit) > room {
            admit *= 0.95;
        }
        if !jammed && admit > 0.9 {
            (admit, self.part) = (1.0, self.part.max(1.0).min(PART_MOST));
        }
        if (admit - self.admit).abs() > 0.02 {
            self.log(&format!(
                "admission to {admit:.2}: hosts at {full:.2} of full, {fails:.2} of tries fail"
            ));
            self.admit = admit;
        }
    }

    /// 1 for the class worth least for its time, less for dearer ones: their levels fall by that power.
    fn cheapness(&self, class: ClassId) -> f64 {
        let dear = |c: &Class| c.worth.max(1e-6) / c.aim.max(1.0);
        self.s.classes.iter().map(dear).fold(f64::INFINITY, f64::min) / dear(&self.s.classes[class])
    }

    /// The dearer a class is for its time, the less of it is refused. A try after proof that the first never
    /// ran repeats no effect, whatever the class; in a jam it only carries what a full host refused to the
    /// next full one, or to the one cold host that still has room, so there it stops.
    fn level(&self, class: ClassId) -> (f64, Again) {
        let quota = self.admit.powf(self.cheapness(class));
        (
            (quota * 50.0).round() / 50.0,
            if self.jammed { Again::Never } else { self.s.base_again.max(Again::AfterProof) },
        )
    }

    // ---- join and crash ----

    /// A proxy joins with lines we don't know: the model shows it bare, so it is bound at once.
    fn joined(&mut self, proxy: ProxyId, zone: ZoneId, rate: f64) {
        let groups = self.groups.len();
        let (bound, lines) = (vec![None; groups], vec![BTreeMap::new(); groups]);
        let written = Default::default();
        self.proxies.insert(proxy, Proxy { zone, rate, bound, lines, written });
    }

    /// The list: deltas apply to the one held, a complete one removes what it doesn't name.
    fn listed(&mut self, kind: ListKind, entries: Vec<Entry>) {
        if kind == ListKind::Lost {
            self.out
                .push(Action::Timer { token: "ask".into(), at: self.now + self.s.report_every.max(ROUND) });
            return;
        }
        if matches!(kind, ListKind::Full | ListKind::Held) {
            let named: BTreeSet<&HostId> = entries.iter().map(|e| &e.host).collect();
            for (host, l) in self.list.iter_mut().filter(|(h, _)| !named.contains(h)) {
                let _ = host;
                l.entry.readiness = Readiness::Gone;
            }
        }
        if self.pools == 0 {
            self.pools = entries.len().div_ceil(POOL_PLAN).max(1);
        }
        for mut entry in entries {
            if !(entry.weight > 0.0 && entry.weight.is_finite()) {
                entry.weight = 1.0;
            }
            let restarted = self.list.get(&entry.host).is_some_and(|l| l.entry.up_since < entry.up_since);
            if restarted || entry.readiness != Readiness::Ready {
                self.health.remove(&entry.host);
                self.grades.remove(&entry.host);
                self.sums.retain(|(_, h), _| *h != entry.host);
            }
            let in_pool =
                |p: usize| self.list.values().filter(|l| l.pool == p && l.entry.zone == entry.zone).count();
            let pool = (0..self.pools).min_by_key(|p| in_pool(*p)).unwrap_or(0);
            let fresh = Listed { entry: entry.clone(), pool, withdrawn: false, busy: None };
            let host = entry.host.clone();
            self.list.entry(host).or_insert(fresh).entry = entry;
        }
    }
}

/// Adds to sums that decay over `memory`.
fn add(sums: &mut Sums, now: Ms, memory: Ms, tries: f64, failed: f64, time: f64) {
    let keep = (-(now - sums.at).max(0.0) / memory.max(1.0)).exp();
    sums.tries = sums.tries * keep + tries;
    sums.failed = sums.failed * keep + failed.min(tries);
    sums.time = sums.time * keep + time;
    sums.at = now;
}
