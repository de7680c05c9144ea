//! Book-keeping on the plain records: look-ups, what an order costs on the wire, arithmetic on sums. What is
//! ordered, and when, is decided in the policy files; there is no tuned value here.

use crate::interface::*;
use crate::state::*;
use crate::tuned::TABLE_MOST;
use std::collections::{BTreeMap, BTreeSet};

/// Numbers of marks (16 bits on the wire).
pub(crate) const MARKS: u64 = 65_535;

impl Director {
    pub(crate) fn ready(&self, host: &HostId) -> bool {
        self.list.get(host).is_some_and(|l| l.entry.readiness == Readiness::Ready)
    }

    /// Ready, and not shut out of the tables of a channel's proxies.
    pub(crate) fn live(&self, host: &HostId, channel: Channel) -> bool {
        self.ready(host) && !self.list[host].withdrawn[channel as usize]
    }

    /// Ready, and not shut out as far as verdicts on hosts go: the channels differ only while one is stalled.
    pub(crate) fn judged(&self, host: &HostId) -> bool {
        self.live(host, Channel::Shared)
    }

    pub(crate) fn classes(&self, group: usize) -> impl Iterator<Item = ClassId> + '_ {
        (0..self.s.classes.len()).filter(move |c| self.groups[group].0 >> c & 1 == 1)
    }

    /// Whether a proxy is reached by a channel.
    pub(crate) fn by(&self, proxy: &ProxyId, channel: Channel) -> bool {
        self.proxies.get(proxy).is_some_and(|p| p.channel == channel)
    }

    pub(crate) fn users(&self, table: TableId) -> impl Iterator<Item = ProxyId> + '_ {
        self.tables.get(&table).into_iter().flat_map(|t| t.users.iter().copied())
    }

    /// Forgets a proxy, and that it was on tables; answers what was known of it.
    pub(crate) fn unbound(&mut self, proxy: ProxyId) -> Option<Proxy> {
        let old = self.proxies.remove(&proxy)?;
        self.joined.remove(&proxy);
        for table in old.bound.iter().flatten() {
            self.tables.get_mut(table).into_iter().for_each(|t| _ = t.users.remove(&proxy));
        }
        Some(old)
    }

    pub(crate) fn gate(&self, zone: ZoneId) -> &Gate {
        &self.gates[zone.min(self.gates.len() - 1)]
    }

    /// Requests a second that a zone's joined proxies usually bring: marks hold for those who are here now.
    pub(crate) fn rates(&self, zone: ZoneId) -> f64 {
        self.proxies.values().filter(|p| p.zone == zone).map(|p| p.rate).sum::<f64>().max(1e-3)
    }

    pub(crate) fn all_rates(&self) -> f64 {
        (0..self.gates.len()).map(|zone| self.rates(zone)).sum()
    }

    /// What a host of a zone weighs for proxies of another.
    pub(crate) fn near(&self, mine: ZoneId, its: ZoneId) -> f64 {
        if mine == its { 1.0 } else { self.reach.get(mine).and_then(|r| r.get(its)).copied().unwrap_or(1.0) }
    }

    /// What was asked of a class of late, in all zones.
    pub(crate) fn used(&self, class: ClassId) -> f64 {
        self.gates.iter().map(|g| g.usage[class].tries).sum()
    }

    /// What comes to each zone's proxies. Those that others direct are taken for usual ones, spread over the
    /// zones like one's own, or over the other zones where proxies join their own zone's director.
    pub(crate) fn demand(&self) -> Vec<f64> {
        let mut seen = vec![0.0; self.s.fleet.zones.max(1)];
        for p in self.proxies.values() {
            seen.get_mut(p.zone).into_iter().for_each(|s| *s += p.came.tries);
        }
        let others = self.s.fleet.proxies.saturating_sub(self.proxies.len()) as f64;
        let unseen = others * sum(&seen) / self.proxies.len().max(1) as f64;
        let share = |z: usize| {
            if self.s.fleet.is_zonal { f64::from(self.s.fleet.own_zone != Some(z)) } else { seen[z] }
        };
        let all = (0..seen.len()).map(share).sum::<f64>().max(1e-9);
        (0..seen.len()).map(|z| seen[z] + unseen * share(z) / all).collect()
    }

    /// The aim of the mean request.
    pub(crate) fn aim(&self) -> f64 {
        let used = |c: usize| self.used(c) + 1e-6;
        let all: f64 = (0..self.s.classes.len()).map(used).sum();
        self.s.classes.iter().enumerate().map(|(k, c)| c.target_latency.max(1.0) * used(k) / all).sum()
    }

    /// What a zone's proxies met at each live host, as far as it was heard of late.
    pub(crate) fn met(&self, zone: ZoneId) -> ByHost<Sums> {
        let mine =
            self.sums.iter().filter(|((z, h), s)| *z == zone && self.judged(h) && s.at >= self.heard_from);
        mine.map(|((_, host), s)| (host.clone(), s.clone())).collect()
    }

    /// What proxies of all zones met at each live host, as far as it was heard of late.
    pub(crate) fn by_host(&self) -> ByHost<Sums> {
        let mut hosts: ByHost<Sums> = BTreeMap::new();
        for ((_, host), s) in self.sums.iter().filter(|((_, h), s)| self.judged(h) && s.at >= self.heard_from)
        {
            let of = hosts.entry(host.clone()).or_default();
            *of = both(of, s, 1.0);
        }
        hosts
    }

    /// What each pool has to carry for its listed weight, as seen from a zone.
    pub(crate) fn burden(&self, zone: ZoneId) -> Vec<(f64, f64)> {
        let near = |other: ZoneId| self.near(zone, other);
        let mut load: Vec<(f64, f64)> = vec![(0.0, 1e-6); self.pools.max(1)];
        for l in self.list.values().filter(|l| l.entry.readiness == Readiness::Ready) {
            load.get_mut(l.pool).into_iter().for_each(|x| x.1 += l.entry.weight * near(l.entry.zone));
        }
        for p in self.proxies.values() {
            load[p.pool % self.pools.max(1)].0 += p.came.tries * near(p.zone);
        }
        load
    }

    /// The table of a key; a new one is filled before anyone is bound to it, which costs no line.
    pub(crate) fn table_for(&mut self, key: TableKey) -> TableId {
        if let Some(table) = self.current.get(&key) {
            return *table;
        }
        let base = if key.4 == Channel::Dedicated { FIRST_DEDICATED_TABLE } else { 0 };
        let free = |k: &TableId| !self.tables.contains_key(k);
        let table =
            (0..).map(|k| base + (self.last_table + k) % 65_000 + 1).find(free).expect("few are in use");
        self.last_table = table - base;
        self.tables.insert(table, Table { key, ..Table::default() });
        self.current.insert(key, table);
        table
    }

    /// Tables that nobody is on any more are cleared, which costs no line; one that binds wait for stays. Hosts
    /// that are gone are forgotten after a while.
    pub(crate) fn clear_idle(&mut self, forgotten_after: Ms) {
        let pools = self.pools.max(1);
        self.current.retain(|key, _| key.3 < pools);
        let current: BTreeSet<TableId> = self.current.values().copied().collect();
        let idle = |(id, t): &(&TableId, &Table)| t.users.is_empty() && !current.contains(id);
        for table in self.tables.iter().filter(idle).map(|(id, _)| *id).collect::<Vec<_>>() {
            self.tables.remove(&table);
            self.out.push(Action::ClearTable { table });
        }
        self.forget_gone(forgotten_after);
    }

    /// Hosts that are gone, that no table and no proxy names, are forgotten after a while, and all that is known
    /// of them; their withdrawal is taken back first, which then costs no line: an id may be listed again.
    pub(crate) fn forget_gone(&mut self, after: Ms) {
        let mut due = Vec::new();
        for (host, l) in self.list.iter_mut() {
            let since = if l.entry.readiness == Readiness::Gone { l.gone.or(Some(self.now)) } else { None };
            l.gone = since;
            due.extend(since.filter(|at| self.now - at >= after).map(|_| host.clone()));
        }
        for host in due {
            let held = |p: &Proxy| p.lines.iter().any(|g| g.contains_key(&host));
            let tables = self.tables.values().any(|t| t.lines.contains_key(&host));
            let back = Channel::ALL.map(|channel| (channel, Key::Return(host.clone(), channel)));
            let costs = back.iter().any(|(_, back)| !self.cost(back).is_empty());
            if tables || self.proxies.values().any(held) || costs {
                continue;
            }
            for (channel, back) in back {
                if self.list[&host].withdrawn[channel as usize] {
                    self.apply(&back, 0.0);
                }
            }
            self.list.remove(&host);
            self.grades.remove(&host);
            self.health.remove(&host);
            self.sums.retain(|(_, other), _| *other != host);
        }
    }

    /// Proxies of the shared channel that wait for a bind, by their joining: a look at each, so not while they come by
    /// the thousand.
    pub(crate) fn waiting(&mut self) -> Vec<usize> {
        self.looked += self.proxies.len() as u64;
        let waits = |p: &&Proxy| p.channel == Channel::Shared && p.bound.contains(&None);
        self.proxies.values().filter(waits).map(|p| p.nth).collect()
    }

    /// Part of the hosts that a table names: the chance that a proxy whose lines we don't know holds a given one.
    fn named(&self) -> f64 {
        (TABLE_MOST as f64 / self.list.len().max(1) as f64).min(1.0)
    }

    /// Lines that so many withdrawals take at a proxy whose lines we don't know, and those of a usual bind.
    pub(crate) fn retelling(&self, hosts: usize) -> f64 {
        self.charged(hosts as f64 * self.named())
    }

    pub(crate) fn binding(&self) -> f64 {
        let lines: usize = self.current.values().map(|t| self.tables[t].lines.len()).sum();
        self.charged(lines as f64 / self.current.len().max(1) as f64)
    }

    /// The lines that an order writes, by proxy, as the wire charges them.
    pub(crate) fn cost(&self, key: &Key) -> Vec<(ProxyId, f64)> {
        match key {
            Key::Line(table, _) | Key::Level(table, _) => self.users(*table).map(|p| (p, 1.0)).collect(),
            Key::Bind(proxy, _, table) => {
                let (t, channel) = (&self.tables[table], self.proxies[proxy].channel as usize);
                let out = |h: &&HostId| self.list.get(*h).is_some_and(|l| l.withdrawn[channel]);
                let shut = t.lines.keys().filter(out).count();
                vec![(*proxy, 1.0 + (t.lines.len() + t.levels.len() + shut) as f64)]
            }
            Key::Withdraw(host, channel) | Key::Return(host, channel) => {
                let names = |(id, t): (&TableId, &Table)| t.lines.contains_key(host).then_some(*id);
                let naming: BTreeSet<TableId> = self.tables.iter().filter_map(names).collect();
                let holds = |t: &TableId| naming.contains(t);
                // Who is not bound yet holds lines that we don't know: a table of under 30 hosts, so that of a
                // thousand such proxies few name this one. Counted as a whole line each, a release's withdrawals
                // filled the channel's window by themselves, and waited for it.
                let unknown = self.named();
                let line = |p: &Proxy| {
                    let known = p.bound.iter().flatten().any(holds);
                    let maybe = p.bound.iter().any(Option::is_none).then_some(unknown);
                    if known { Some(1.0) } else { maybe }
                };
                let of = self.proxies.iter().filter(|(_, p)| p.channel == *channel);
                of.filter_map(|(id, p)| Some((*id, line(p)?))).collect()
            }
        }
    }

    /// What a message of so many lines takes of the channel. Under one line is the chance that there is a message:
    /// counted whole at a thousand proxies of which few hold the host, one withdrawal took a second of the channel.
    pub(crate) fn charged(&self, lines: f64) -> f64 {
        lines + (self.s.channel.lines_per_message + 1.0) * lines.min(1.0)
    }

    /// What so many lines more take, beside those of the reply in the making.
    pub(crate) fn charged_more(&self, proxy: &ProxyId, lines: f64) -> f64 {
        let had = self.lines.get(proxy).copied().unwrap_or(0.0);
        self.charged(had + lines) - self.charged(had)
    }

    /// Lines sent that no answer has confirmed.
    pub(crate) fn flying(&self) -> f64 {
        self.flights.values().map(|f| (1.0 + f.again) * f.waiting).sum()
    }

    /// The reply whose messages bear a mark, if the shared channel waits for answers to it.
    pub(crate) fn marked(&self, mark: u16) -> Option<u64> {
        self.flights.keys().rev().find(|r| (**r % MARKS) as u16 == mark).copied()
    }

    /// An answer makes additions certain at once, removals late. Its channel is in order: all before it left;
    /// it shows nothing of other channels.
    pub(crate) fn answered(&mut self, mark: u16, proxy: ProxyId, took: Ms) {
        let shared = self.by(&proxy, Channel::Shared);
        let reply = if shared { self.marked(mark) } else { self.recent(mark) };
        let (Some(reply), Some(p)) = (reply, self.proxies.get_mut(&proxy)) else { return };
        let slowest = if shared { &mut self.slowest } else { &mut p.slowest };
        *slowest = took.max(*slowest * 0.95);
        for held in p.lines.iter_mut().flat_map(|g| g.values_mut()).filter(|h| h.reply <= reply) {
            match held.standing {
                Certainty::Removing => held.answered = held.answered.or(Some(self.now)),
                _ => held.standing = Certainty::Certain,
            }
        }
        if shared {
            self.flights.retain(|r, _| *r >= reply);
            let flight = self.flights.get_mut(&reply);
            flight.into_iter().for_each(|f| f.waiting -= f.lines.remove(&proxy).unwrap_or(0.0));
        }
    }

    /// The messages of a mark, and all behind them, leave only now: nothing about them is older. Where the call
    /// may have been carried out, that counts as a message of this moment, and its repeat as one more.
    pub(crate) fn delayed(&mut self, mark: u16, twice: bool) {
        let (Some(reply), now) = (self.marked(mark), self.now) else { return };
        self.flights.range_mut(reply..).for_each(|(_, f)| f.at = now);
        for (id, p) in self.proxies.iter_mut().filter(|(_, p)| p.channel == Channel::Shared) {
            // One message of each of these replies has not left yet, as far as is known.
            let ahead = self.flights.range(reply..).filter(|(_, f)| f.lines.contains_key(id)).count();
            p.written.iter_mut().rev().take(ahead).for_each(|at| *at = now);
            p.written.extend((twice && self.flights[&reply].lines.contains_key(id)).then_some(now));
            let waiting = p.lines.iter_mut().flat_map(|g| g.values_mut());
            waiting.filter(|l| l.reply >= reply && l.answered.is_none()).for_each(|l| l.since = now);
        }
        let flight = self.flights.get_mut(&reply).filter(|_| twice);
        flight.into_iter().for_each(|f| f.again += 1.0);
    }

    /// The reply of a mark that a front of own channels speaks of: the last one that bore it.
    pub(crate) fn recent(&self, mark: u16) -> Option<u64> {
        let back = (self.reply % MARKS + MARKS - u64::from(mark) % MARKS) % MARKS;
        self.reply.checked_sub(if back == 0 { MARKS } else { back })
    }

    /// A proxy with a channel of its own does not hold what a mark and those behind it asked for: nothing of that
    /// turns certain by time. `again`: one more message leaves now.
    pub(crate) fn behind(&mut self, proxy: ProxyId, mark: u16, again: bool) {
        let (Some(reply), now) = (self.recent(mark), self.now) else { return };
        let Some(p) = self.proxies.get_mut(&proxy).filter(|p| p.channel == Channel::Dedicated) else {
            return;
        };
        p.written.extend(again.then_some(now));
        let waiting = p.lines.iter_mut().flat_map(|g| g.values_mut());
        waiting.filter(|l| l.reply >= reply && l.answered.is_none()).for_each(|l| l.since = now);
    }

    /// Most messages written to one of the proxies that a mark reaches, within the span that the cap counts and
    /// the longest way of a message more, its next one included.
    pub(crate) fn most_written(&self, mark: u16, now: Ms) -> usize {
        let over = self.s.channel.message_window + self.s.channel.max_transit;
        let of = self.marked(mark).and_then(|reply| self.flights.get(&reply));
        let met = of.into_iter().flat_map(|f| f.lines.keys()).filter_map(|id| self.proxies.get(id));
        met.map(|p| p.written.iter().filter(|at| now - **at <= over).count()).max().unwrap_or(0)
    }

    /// Carries a sent change into the orders and, as uncertain, into the model.
    pub(crate) fn apply(&mut self, key: &Key, value: f64) {
        let sent = Held { standing: Certainty::Adding, reply: self.reply, since: self.now, answered: None };
        match key {
            Key::Line(table, host) => {
                let users: Vec<ProxyId> = self.users(*table).collect();
                let t = self.tables.get_mut(table).expect("a table in use");
                t.lines.insert(host.clone(), value);
                t.lines.retain(|_, weight| *weight > 0.0);
                for p in users {
                    let proxy = self.proxies.get_mut(&p).expect("a user is joined");
                    touch(&mut proxy.lines[t.key.1], host, value > 0.0, &sent);
                }
                self.out.push(Action::SetEndpoint { table: *table, host: host.clone(), weight: value });
            }
            Key::Bind(proxy, group, table) => {
                let (p, t) = (self.proxies.get_mut(proxy).expect("joined"), &self.tables[table]);
                let hosts: BTreeSet<HostId> = p.lines[*group].keys().chain(t.lines.keys()).cloned().collect();
                for host in hosts {
                    touch(&mut p.lines[*group], &host, t.lines.contains_key(&host), &sent);
                }
                let old = p.bound[*group].replace(*table);
                let left = |p: &Proxy, t: TableId| !p.bound.contains(&Some(t));
                if let Some(old) = old.filter(|old| left(p, *old)) {
                    self.tables.get_mut(&old).into_iter().for_each(|t| _ = t.users.remove(proxy));
                }
                self.tables.get_mut(table).into_iter().for_each(|t| _ = t.users.insert(*proxy));
                let classes = if self.groups.len() > 1 { self.groups[*group].0 } else { 0 };
                self.out.push(Action::BindProxy { proxy: *proxy, table: *table, classes });
            }
            Key::Level(..) => {}
            Key::Withdraw(host, channel) | Key::Return(host, channel) => {
                let (out, channel) = (matches!(key, Key::Withdraw(..)), *channel);
                if let Some(l) = self.list.get_mut(host) {
                    l.withdrawn[channel as usize] = out;
                    l.told = if channel == Channel::Shared { (self.joins, self.now) } else { l.told };
                }
                self.out.push(Action::SetWithdrawn { host: host.clone(), is_withdrawn: out, channel });
            }
        }
    }

    /// Carries a level, and the way of trying again with it, into the orders.
    pub(crate) fn apply_level(&mut self, table: TableId, class: ClassId, (quota, again): (f64, RetryPolicy)) {
        self.tables.get_mut(&table).expect("known").levels.insert(class, (quota, again));
        self.out.push(Action::SetAdmission { table, classes: 1 << class, quota, retry_policy: again });
    }

    /// Number of records kept of hosts, tables and messages.
    pub fn record_count(&self) -> usize {
        let of_hosts = self.list.len() + self.sums.len() + self.health.len() + self.grades.len();
        of_hosts + self.tables.len() + self.current.len() + self.flights.len() + self.buffer.len()
    }

    /// Proxies and changes looked at since the start: work that grows with the fleet, whatever the machine.
    pub fn examined_count(&self) -> u64 {
        self.looked
    }

    /// What is held, to look at.
    pub fn view(&self) -> DirectorView {
        let group = |p: &Proxy, g: usize| {
            let lines = p.lines[g].iter();
            let endpoints = lines.map(|(host, l)| EndpointView { host: host.clone(), certainty: l.standing });
            ClassGroupView { classes: self.groups[g].0, table: p.bound[g], endpoints: endpoints.collect() }
        };
        let proxies = self.proxies.iter().map(|(proxy, p)| {
            let groups = (0..self.groups.len()).map(|g| group(p, g)).collect();
            ProxyView { proxy: *proxy, zone: p.zone, groups }
        });
        let of = |channel: Channel| self.list.iter().filter(move |(_, l)| l.withdrawn[channel as usize]);
        let out = Channel::ALL
            .into_iter()
            .flat_map(|c| of(c).map(move |(host, _)| WithdrawnHost { host: host.clone(), channel: c }));
        DirectorView {
            proxies: proxies.collect(),
            tables: self
                .tables
                .iter()
                .map(|(id, t)| TableView { table: *id, weights: t.lines.clone() })
                .collect(),
            withdrawn: out.collect(),
            unacknowledged_lines: self.flying(),
            pending_updates: self.buffer.len(),
        }
    }

    pub(crate) fn log(&mut self, text: String) {
        self.out.push(Action::Log { text });
    }

    /// Ends the reply: one mark for all that it reaches.
    pub(crate) fn close(&mut self) -> Vec<Action> {
        if !self.lines.is_empty() {
            self.out.push(Action::RequestAck { ack_number: (self.reply % MARKS) as u16 });
            for id in self.lines.keys() {
                let Some(p) = self.proxies.get_mut(id) else { continue };
                p.written.retain(|at| {
                    *at >= self.now - self.s.channel.message_window - self.s.channel.max_transit
                });
                p.written.push_back(self.now);
            }
            let mut lines = std::mem::take(&mut self.lines);
            lines.retain(|id, _| self.by(id, Channel::Shared));
            lines.values_mut().for_each(|l| *l = self.charged(*l));
            if !lines.is_empty() {
                let waiting = lines.values().sum();
                self.flights.insert(self.reply, Flight { at: self.now, lines, waiting, again: 0.0 });
            }
            (self.reply, self.sent) = (self.reply + 1, 0.0);
        }
        std::mem::take(&mut self.out)
    }
}

/// Two sums together, or one without the other by a sign of -1.
pub(crate) fn both(a: &Sums, b: &Sums, sign: f64) -> Sums {
    let (tries, failed) = (a.tries + sign * b.tries, a.failed + sign * b.failed);
    Sums { tries, failed, time: a.time + sign * b.time, at: a.at }
}

pub(crate) fn total<'a>(sums: impl Iterator<Item = &'a Sums>) -> Sums {
    sums.fold(Sums::default(), |a, s| both(&a, s, 1.0))
}

/// Adds to sums that decay to a third over `memory`.
pub(crate) fn add(sums: &mut Sums, now: Ms, memory: Ms, tries: f64, failed: f64, time: f64) {
    let keep = (-(now - sums.at).max(0.0) / memory.max(1.0)).exp();
    sums.tries = sums.tries * keep + tries;
    sums.failed = sums.failed * keep + failed.min(tries);
    sums.time = sums.time * keep + time;
    sums.at = now;
}

pub(crate) fn sum(values: &[f64]) -> f64 {
    values.iter().sum::<f64>().max(1e-9)
}

/// Where the least value is, or the largest by a sign of -1.
pub(crate) fn lowest(values: &[f64], sign: f64) -> usize {
    (0..values.len()).min_by(|a, b| (sign * values[*a]).total_cmp(&(sign * values[*b]))).unwrap_or(0)
}

/// Marks a sent line as uncertain, unless it was certain and stays.
pub(crate) fn touch(lines: &mut ByHost<Held>, host: &HostId, stays: bool, sent: &Held) {
    let standing = match (stays, lines.get(host).map(|l| l.standing)) {
        (true, Some(Certainty::Certain)) | (false, Some(Certainty::Removing)) => return,
        (true, _) => Certainty::Adding,
        (false, _) => Certainty::Removing,
    };
    lines.insert(host.clone(), Held { standing, ..sent.clone() });
}
