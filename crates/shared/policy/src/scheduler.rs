//! The check (paper 4.4) and the scheduler: what differs between tables and targets, what of it is sent.

use crate::{interface::*, state::*, tuned::*};
use std::collections::BTreeSet;

impl Director {
    // ---- check (paper 4.4; design's invariant) ----

    /// A change passes if each proxy it touches keeps a certain line that isn't being removed. A line comes
    /// back only when its removal is certain, so that the two can't meet on the way (paper 2 and 6).
    pub(crate) fn passes(&self, change: &Change) -> bool {
        let keeps = |proxy: &ProxyId, group: usize, stays: &dyn Fn(&HostId) -> bool| {
            let p = &self.proxies[proxy];
            let mut lines = p.lines[group].iter();
            lines.any(|(h, l)| l.standing == Certainty::Certain && self.live(h, p.channel) && stays(h))
        };
        match &change.1 {
            Key::Line(table, host) => {
                let group = self.tables[table].key.1;
                let held = |p: &ProxyId| self.proxies[p].lines[group].get(host).map(|l| l.standing);
                let returns = |p: &ProxyId| change.2 > 0.0 && held(p) != Some(Certainty::Removing);
                self.users(*table).all(|p| returns(&p) || change.2 == 0.0 && keeps(&p, group, &|h| h != host))
            }
            Key::Bind(proxy, group, table) => {
                keeps(proxy, *group, &|h| self.tables[table].lines.contains_key(h))
            }
            _ => true,
        }
    }

    // ---- scheduler (design: as many changes a round as the channel carries, largest first) ----

    /// Sends urgent differences between tables and targets at once, in a round the rest by size; what fails
    /// the check stays in the buffer, and goes from there to the fallback. Between rounds and lists only who
    /// came and tables that nobody uses want anything: a thousand may come within a second.
    pub(crate) fn plan(&mut self, all: bool) {
        // Who joins behind a withdrawal learns of it by a bind. Where thousands wait for theirs, either these
        // are bound first, or it goes out again once all are here: what takes less of the channel. Harm: a
        // line again at those who knew.
        let crowd = if self.now - self.came_at < JOINING { Vec::new() } else { self.waiting() };
        let fresh = |l: &Listed| l.withdrawn[0] && self.came_at - l.told.1 < self.s.hosts.drain_grace / 2.0;
        let last = crowd.iter().copied().max().unwrap_or(0);
        let late = |l: &Listed| fresh(l) && l.told.0 < last;
        let told: Vec<usize> =
            self.list.iter().filter(|(h, l)| !self.ready(h) && late(l)).map(|(_, l)| l.told.0).collect();
        let since = told.iter().copied().min().unwrap_or(usize::MAX);
        let behind = crowd.iter().filter(|joined| **joined > since).count() as f64;
        let again = self.retelling(told.len()) * (crowd.len() as f64) < self.binding() * behind;
        let every = || Channel::ALL.into_iter().flat_map(|c| self.list.iter().map(move |(h, l)| (c, h, l)));
        let knows = |c: Channel, l: &Listed| c == Channel::Dedicated || !again || !late(l);
        let out = |c: Channel, l: &Listed| l.withdrawn[c as usize] && knows(c, l);
        let mut shut: Vec<_> = every().filter(|(c, h, l)| !out(*c, l) && !self.ready(h)).collect();
        // What nobody was told yet goes first: behind fifty told again, ten came two seconds late.
        shut.sort_by_key(|(c, _, l)| l.withdrawn[*c as usize]);
        let shut = shut.into_iter().map(|(c, h, _)| Change(f64::INFINITY, Key::Withdraw(h.clone(), c), 0.0));
        let mut changes: Vec<Change> = shut.collect();
        self.send_all(&mut changes, true);
        let mut binds = self.binds(all, since);
        let mut heavy = BTreeSet::new();
        for (table, _) in self.tables.iter().filter(|(_, t)| all || t.users.is_empty()) {
            self.compare(*table, &mut changes, &mut heavy);
        }
        self.looked += changes.len() as u64;
        self.send_all(&mut changes, true);
        self.send_all(&mut binds, true);
        if self.now < self.next_round {
            return;
        }
        self.next_round = self.now + ROUND;
        let every = || Channel::ALL.into_iter().flat_map(|c| self.list.iter().map(move |(h, l)| (c, h, l)));
        let light = |c: Channel, h: &HostId| self.ready(h) && !heavy.contains(&(h.clone(), c));
        let back = every().filter(|(c, h, l)| l.withdrawn[*c as usize] && light(*c, h));
        changes.extend(back.map(|(c, h, l)| Change(l.entry.weight, Key::Return(h.clone(), c), 0.0)));
        changes.append(&mut binds);
        changes.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        let open: BTreeSet<&Key> = changes.iter().map(|c| &c.1).collect();
        self.buffer.retain(|k, _| open.contains(k));
        self.send_all(&mut changes, false);
        self.fall_back();
    }

    /// Binds that proxies lack, first of those that joined behind so many. One whose proxy the model shows
    /// without a line is urgent.
    pub(crate) fn binds(&mut self, all: bool, since: usize) -> Vec<Change> {
        let (mut binds, joined) = (Vec::new(), std::mem::take(&mut self.joined));
        let mut ids: Vec<ProxyId> =
            if all { self.proxies.keys().copied().collect() } else { joined.into_iter().collect() };
        ids.sort_by_key(|p| self.proxies[p].nth <= since);
        self.looked += ids.len() as u64;
        for group in 0..self.groups.len() {
            let closed = self.closed(group);
            for proxy in &ids {
                let (p, close) = (&self.proxies[proxy], closed.contains(proxy));
                let table = self.table_for((p.zone, group, close, p.pool % self.pools.max(1), p.channel));
                let p = &self.proxies[proxy];
                if p.bound[group] != Some(table) {
                    let may = |(h, l): (&HostId, &Held)| {
                        l.standing != Certainty::Removing && self.live(h, p.channel)
                    };
                    let bare = close || !p.lines[group].iter().any(may);
                    let size = if bare { f64::INFINITY } else { p.rate.max(1.0) };
                    binds.push(Change(size, Key::Bind(*proxy, group, table), 0.0));
                }
            }
        }
        binds
    }

    /// The changes that bring a table to its target. Filling an unused or empty table is urgent, so is taking
    /// weight off a host that has started anew, also in a table that its proxies are to leave, which gets no
    /// other change. `heavy` gathers hosts that weigh too much to be let back.
    pub(crate) fn compare(
        &self,
        table: TableId,
        to: &mut Vec<Change>,
        heavy: &mut BTreeSet<(HostId, Channel)>,
    ) {
        let (t, key) = (&self.tables[&table], self.tables[&table].key);
        let (target, old) = (self.target(key), self.current.get(&key) != Some(&table));
        let free = self.users(table).next().is_none() || !t.lines.keys().any(|h| self.live(h, key.4));
        let mut push = |size: f64, urgent: bool, key: Key, value: f64| {
            let size = if free || urgent { f64::INFINITY } else { size };
            to.extend((urgent || !old).then_some(Change(size, key, value)));
        };
        let total: f64 = target.values().sum::<f64>().max(1e-9);
        for (host, want) in &target {
            let have = t.lines.get(host).copied().unwrap_or(0.0);
            let anew = have > 2.0 * want && self.live(host, key.4);
            let well = have > 0.0 && self.gate(key.0).full < FULL_UP;
            let least = if well { WORTH_OF_LISTED * self.list[host].entry.weight } else { 0.0 };
            if anew || (want - have).abs() > least.max(WORTH_A_LINE * want) {
                push((want - have).abs() / total, anew, Key::Line(table, host.clone()), *want);
                heavy.extend((have > *want).then(|| (host.clone(), key.4)));
            }
        }
        for host in t.lines.keys().filter(|h| !target.contains_key(*h)) {
            push(t.lines[host] / total, false, Key::Line(table, host.clone()), 0.0);
            heavy.insert((host.clone(), key.4));
        }
        for class in self.classes(key.1) {
            let have = t.levels.get(&class).copied().unwrap_or((1.0, self.s.proxies.retry_policy));
            let want = self.level(key.0, class);
            if want != have {
                push((want.0 - have.0).abs() + 0.01, false, Key::Level(table, class), want.0);
            }
        }
    }

    /// Sends what passes the check and the budget, urgent or ordinary. What is sent leaves the list.
    pub(crate) fn send_all(&mut self, changes: &mut Vec<Change>, urgent: bool) {
        let (now, all) = (self.now, std::mem::take(changes));
        for c in all {
            let mine = urgent == c.0.is_infinite();
            let safe = mine && (urgent || self.passes(&c));
            if safe && self.send(&c.1, c.2, urgent) {
                self.buffer.remove(&c.1);
                continue;
            }
            if mine && !safe {
                self.buffer.entry(c.1.clone()).or_insert(now);
            }
            changes.push(c);
        }
    }

    /// The one sender: counts the lines as the wire charges them and refuses what the budget can't hold.
    /// Lines not yet answered bound what may still wait, at any pace of the channel.
    pub(crate) fn send(&mut self, key: &Key, value: f64, urgent: bool) -> bool {
        let (cost, flying) = (self.cost(key), self.flying());
        // The window is the shared channel's. On its own one a proxy's front keeps no queue.
        let on_it = cost.iter().filter(|(p, _)| self.by(p, Channel::Shared));
        let new: f64 = on_it.map(|(p, l)| self.charged_more(p, *l)).sum();
        let part = if urgent { URGENT_PART } else { ORDINARY_PART };
        // What lies in the channel delays withdrawals: binds of thousands that joined filled nine seconds.
        let ahead = self.s.channel.lines_per_second / 1000.0
            * (self.s.hosts.drain_grace * AHEAD_OF_DRAINS).max(AHEAD_LEAST);
        let first = matches!(key, Key::Withdraw(..)) || flying + self.sent <= 0.0;
        let most = (part * self.s.channel.max_queued_lines).min(if first { f64::INFINITY } else { ahead });
        // Half go out freely, urgent ones beyond it spaced, withdrawals but one left for a repeat.
        let (over, half) =
            (self.s.channel.message_window, ORDINARY_MESSAGES * self.s.channel.max_messages as f64);
        let full = |p: &ProxyId| {
            let written = || self.proxies[p].written.iter().filter(|at| self.now - **at <= over);
            let (count, last) = (written().count() as f64 + 1.0, written().next_back().unwrap_or(&0.0));
            let must = matches!(key, Key::Withdraw(..)) && count < self.s.channel.max_messages as f64;
            let spaced = urgent && self.now - last > over / half;
            self.s.channel.max_messages > 0 && !self.lines.contains_key(p) && count > half && !must && !spaced
        };
        let fits = new == 0.0 || flying + self.sent + new <= most;
        let room = fits && !cost.iter().any(|(p, _)| full(p));
        let fits = room || cost.is_empty();
        if fits {
            self.sent += new;
            cost.iter().for_each(|(p, l)| *self.lines.entry(*p).or_insert(0.0) += l);
            match key {
                Key::Level(table, class) => {
                    let level = self.level(self.tables[table].key.0, *class);
                    self.apply_level(*table, *class, level);
                }
                _ => self.apply(key, value),
            }
        }
        fits
    }

    /// A call of unknown outcome goes out again once its proxies have room under the cap for it.
    pub fn may_resend(&self, ack_number: AckNumber, now: Ms) -> bool {
        self.s.channel.max_messages == 0 || self.most_written(ack_number, now) <= self.s.channel.max_messages
    }
}
