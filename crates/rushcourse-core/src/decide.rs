//! Every decision of a director. Its types stand in `interface.rs`, its plain records in `state.rs`.
//!
//! "Design" is the design page, "paper" is CCG: `docs/design.md` tells what was kept and what changed.

use crate::books::*;
use crate::interface::*;
use crate::state::*;

use std::collections::{BTreeMap, BTreeSet};

// ---- constants: unit, reason, source ("ours": a default we chose, by reasoning and simulated days) ----

/// ms after its answer until a removal is certain (design; paper 4.3: removals late).
const REMOVAL_DELAY: Ms = 1000.0;
/// ms until an unanswered line counts as certain (design); longer while the channel is seen to be slow.
const ANSWER_TIMEOUT: Ms = 3000.0;
/// ms after which a host is forgotten that is gone and that nothing names: far beyond late reports (ours).
const FORGOTTEN_AFTER: Ms = 60_000.0;
/// ms that a change may fail the check before the fallback takes it (design).
const FALLBACK_AFTER: Ms = 2000.0;
/// Part of its listed weight at which a started host enters, ms until it has all (design), steps (ours).
const RAMP_FROM: f64 = 0.1;
const RAMP_OVER: Ms = 10_000.0;
const RAMP_STEPS: f64 = 6.0;
/// Hosts a pool is planned for, with room to grow up to `TABLE_MOST` (ours).
const POOL_PLAN: usize = 24;
/// A proxy changes to a pool that, with it, has this much less to carry for its weight (ours).
const EVEN: f64 = 1.2;
/// ms for which the rate that a proxy is said to bring counts beside what is seen to come (ours).
const RATE_HOLDS: Ms = 10_000.0;
/// ms between rounds of ordinary changes; withdrawals and bare proxies don't wait for a round (ours).
const ROUND: Ms = 250.0;
/// Parts of the channel's limit for ordinary and urgent orders; of a proxy's messages for ordinary (ours).
const ORDINARY_PART: f64 = 0.35;
const URGENT_PART: f64 = 0.9;
const ORDINARY_MESSAGES: f64 = 0.5;
/// Part of a drain's grace for which other orders may lie in the channel, by its data sheet, and at least so
/// many ms of it: usual joinings are bound at once (ours).
const AHEAD_OF_DRAINS: f64 = 0.5;
const AHEAD_LEAST: Ms = 1800.0;
/// Smallest change of weight worth an order: part of the target, and of what is listed in a well zone (ours).
const WORTH_A_LINE: f64 = 0.1;
const WORTH_OF_LISTED: f64 = 0.05;
/// Other zones' lines weigh at least this over the price of a crossing, 1 at most: never 0, so that no zone's
/// loss empties a table. Part by which a reach must be off to be set anew (ours).
const ACROSS: f64 = 0.01;
const REACH_MOVES: f64 = 0.3;
/// Report periods over which sums decay to a third, and after which they are too old to go by (ours).
const MEMORY: f64 = 1.2;
const STALE: f64 = 2.5;
/// A host is ejected from this part of failed tries and so many tries, while the others are not jammed and
/// took this part of all tries: they can carry it. ms that it stays out, doubled up to four times (ours).
const OUTLIER_FAILS: f64 = 0.85;
const OUTLIER_TRIES: f64 = 4.0;
const REST_PART: f64 = 0.3;
const OUT_FOR: Ms = 4000.0;
/// Strain from which a host that strains twice as much as the rest loses weight, a higher one while hardly
/// a try fails (then weights stay as listed); it comes back once the host is well. The step, the least
/// part, the tries it takes, pauses between gains (ours).
const GRADE_DOWN: f64 = 1.3;
const GRADE_CALM: f64 = 2.6;
const GRADE_STEP: f64 = 0.7;
const GRADE_LEAST: f64 = 0.2;
const GRADE_TRIES: f64 = 7.0;
const GRADE_REST: f64 = 9.0;

/// Mean time of good answers, as a part of the aim, at which hosts are full: later ones miss it. Part of the
/// tries, at the hosts that strain least, that speaks for the fleet: a few struck hosts do not (ours).
const FULL_LAG: f64 = 0.4;
const BETTER_PART: f64 = 0.75;
/// Safe part of what makes a cold host fall over, over what a weight usually carries (ours).
const COLD_PART: f64 = 0.5;
/// Fullness or failed part from which a zone is jammed, under which it is well; the part also as the chance
/// of a run of failures that makes proxies keep away, from which they are taken to flee (ours).
const FULL_DOWN: f64 = 1.1;
const FULL_UP: f64 = 0.8;
const FAILS_DOWN: f64 = 0.1;
/// Part let in of what hosts were seen to carry: steps in a jam and when well, its least; least level (ours).
const PART_DOWN: f64 = 0.85;
const PART_UP: f64 = 1.5;
const PART_LEAST: f64 = 0.15;
const LEVEL_LEAST: f64 = 0.01;

impl Director {
    pub fn new(s: Settings, _seed: u64) -> Director {
        let mask = |bound: bool| {
            let of = s.classes.iter().enumerate().filter(|(_, c)| c.zone_bound == bound);
            of.fold(0u32, |m, (k, _)| m | 1 << k)
        };
        let groups = [(mask(false), false), (mask(true), true)].into_iter().filter(|g| g.0 > 0).collect();
        let usage = vec![Sums::default(); s.classes.len()];
        let well = Gate { hold: 1.0, flees: true, admit: 1.0, part: 1.0, usage, ..Gate::default() };
        let gates = vec![well; s.zones.max(1)];
        Director { groups, reply: 1, gates, pause: 2.0 * (s.report_every + s.late), s, ..Director::default() }
    }

    pub fn handle(&mut self, now: Ms, events: Vec<Event>) -> Vec<Action> {
        // Silence of the reports says nothing of the hosts: older sums judge nobody.
        (self.now, self.heard_from) = (now, now - STALE * self.s.report_every);
        let first = !std::mem::replace(&mut self.started, true);
        if self.s.classes.is_empty() || self.s.push_rate <= 0.0 || self.s.backlog <= 0.0 {
            let text = "settings make no sense (no classes, or a channel that carries nothing): no orders";
            return first.then(|| Action::Log { text: text.into() }).into_iter().collect();
        }
        self.out.extend(first.then(|| Action::Timer { token: "round".into(), at: now + ROUND }));
        self.out.extend((first && self.s.must_subscribe).then_some(Action::Subscribe));
        // Answers and sums wait for a round; what changes who holds what is acted on at once.
        let listed = events.iter().any(|e| matches!(e, Event::List { .. }));
        let who = |e: &Event| matches!(e, Event::Joined { .. } | Event::Left { .. });
        let news = listed || events.iter().any(who);
        events.into_iter().for_each(|event| self.take(event));
        // It opens a round after its start: by then it knows who joins, and fills tables once.
        self.opens = if first { now + ROUND } else { self.opens };
        if now < self.opens || now < self.next_round && !news {
            return self.close();
        }
        let round = now >= self.next_round;
        if round {
            self.reach();
            self.believe();
            self.judge();
            (0..self.gates.len()).for_each(|zone| self.steer(zone));
            self.even_out();
        }
        self.settle(round);
        self.plan(round || listed);
        self.close()
    }

    fn take(&mut self, event: Event) {
        let (now, memory) = (self.now, MEMORY * self.s.report_every);
        match event {
            Event::List { kind, entries } => self.listed(kind, entries),
            // It joins with lines that we don't know: bare to the model, bound at once. Messages count on.
            Event::Joined { proxy, zone, rate, channel, .. } => {
                let old = self.unbound(proxy).unwrap_or_default();
                self.joined.insert(proxy);
                let (bound, lines) = self.groups.iter().map(|_| (None, BTreeMap::new())).unzip();
                self.reach();
                let came = Sums { tries: rate * RATE_HOLDS / 1000.0, at: now, ..Sums::default() };
                let load: Vec<f64> = self.burden(zone).iter().map(|x| (x.0 + came.tries) / x.1).collect();
                let pool = lowest(&load, 1.0);
                self.proxies.insert(proxy, Proxy { zone, rate, pool, came, bound, lines, channel, ..old });
            }
            // What a channel says of a proxy that has joined by another one is of before.
            Event::Left { proxy, channel } if self.by(&proxy, channel) => drop(self.unbound(proxy)),
            Event::Applied { mark, proxy, took, channel } if self.by(&proxy, channel) => {
                self.answered(mark, proxy, took)
            }
            Event::Delayed { mark, twice } => self.delayed(mark, twice),
            Event::Behind { proxy, mark, again } => self.behind(proxy, mark, again),
            Event::Heard { zone, host, tries, failed, mean, .. } if self.list.contains_key(&host) => {
                let sums = self.sums.entry((zone, host)).or_default();
                add(sums, now, memory, tries, failed, mean * (tries - failed));
            }
            Event::Usage { proxy, class, tries, failed, .. } => {
                let Some(p) = self.proxies.get_mut(&proxy) else { return };
                add(&mut p.came, now, RATE_HOLDS, tries, failed, 0.0);
                let gate = self.gates.get_mut(p.zone).and_then(|g| g.usage.get_mut(class));
                gate.into_iter().for_each(|sums| add(sums, now, memory, tries, failed, 0.0));
            }
            Event::Timer { token } if token == "round" => {
                self.out.push(Action::Timer { token, at: now + ROUND })
            }
            Event::Timer { .. } => self.out.extend(self.s.must_subscribe.then_some(Action::Subscribe)),
            Event::Heard { .. } | Event::Probed { .. } | Event::Told { .. } => {}
            Event::Left { .. } | Event::Applied { .. } => {}
        }
    }

    // ---- model (paper 4.2, 4.3): what each proxy may hold ----

    /// An answer makes additions certain at once, removals late. Its channel is in order: all before it left;
    /// it shows nothing of other channels.
    fn answered(&mut self, mark: u16, proxy: ProxyId, took: Ms) {
        let shared = self.by(&proxy, Channel::Shared);
        let reply = if shared { self.marked(mark) } else { self.recent(mark) };
        let (Some(reply), Some(p)) = (reply, self.proxies.get_mut(&proxy)) else { return };
        let slowest = if shared { &mut self.slowest } else { &mut p.slowest };
        *slowest = took.max(*slowest * 0.95);
        for held in p.lines.iter_mut().flat_map(|g| g.values_mut()).filter(|h| h.reply <= reply) {
            match held.standing {
                Standing::Removing => held.answered = held.answered.or(Some(self.now)),
                _ => held.standing = Standing::Certain,
            }
        }
        if shared {
            self.flights.retain(|r, _| *r >= reply);
            let flight = self.flights.get_mut(&reply);
            flight.into_iter().for_each(|f| f.waiting -= f.lines.remove(&proxy).unwrap_or(0.0));
        }
    }

    /// Time settles what no answer did; later on a slow channel, where lines may still wait (extension).
    /// The room of the channel at once, the lines of all proxies once a round.
    fn settle(&mut self, lines: bool) {
        let after = |slowest: Ms| ANSWER_TIMEOUT.max(2.0 * slowest).max(2.0 * self.s.transit_max);
        let (now, shared) = (self.now, after(self.slowest));
        let timeout = |p: &Proxy| if p.channel == Channel::Own { after(p.slowest) } else { shared };
        for p in self.proxies.values_mut().filter(|_| lines) {
            let timeout = timeout(p);
            p.lines.iter_mut().for_each(|group| {
                group.retain(|_, l| {
                    if l.standing == Standing::Adding && now - l.since >= timeout {
                        l.standing = Standing::Certain;
                    }
                    let gone = l.answered.unwrap_or(l.since + timeout) + REMOVAL_DELAY;
                    l.standing != Standing::Removing || now < gone
                })
            });
        }
        self.flights.retain(|_, f| !f.lines.is_empty() && now - f.at < 4.0 * shared);
        if lines {
            self.looked += self.proxies.len() as u64;
            self.clear_idle(FORGOTTEN_AFTER);
        }
    }

    // ---- target tables: a zone's hosts by listed weight, other zones' for less ----

    /// Part of its weight `age` ms after a start: the ramp in steps, under the capacity promised by then.
    fn ramp(&self, age: Ms) -> f64 {
        let step = (age / RAMP_OVER * RAMP_STEPS).floor().clamp(0.0, RAMP_STEPS) / RAMP_STEPS;
        let most = ((self.promised(age) * RAMP_STEPS).ceil() / RAMP_STEPS).min(1.0 - 1e-9);
        if age >= RAMP_OVER.max(self.s.cold) { 1.0 } else { (RAMP_FROM + (1.0 - RAMP_FROM) * step).min(most) }
    }

    fn promised(&self, age: Ms) -> f64 {
        (self.s.start_capacity + (1.0 - self.s.start_capacity) * age.max(0.0) / self.s.cold.max(1.0)).min(1.0)
    }

    /// What comes to each zone's proxies. Those that others direct are taken for usual ones, spread over the
    /// zones like one's own, or over the other zones where proxies join their own zone's director.
    fn demand(&self) -> Vec<f64> {
        let mut seen = vec![0.0; self.s.zones.max(1)];
        for p in self.proxies.values() {
            seen.get_mut(p.zone).into_iter().for_each(|s| *s += p.came.tries);
        }
        let others = self.s.proxies.saturating_sub(self.proxies.len()) as f64;
        let unseen = others * sum(&seen) / self.proxies.len().max(1) as f64;
        let share = |z: usize| if self.s.zonal { f64::from(self.s.my_zone != Some(z)) } else { seen[z] };
        let all = (0..seen.len()).map(share).sum::<f64>().max(1e-9);
        (0..seen.len()).map(|z| seen[z] + unseen * share(z) / all).collect()
    }

    /// How far tables reach into other zones: as far as a zone has more to carry than its part of what all
    /// hosts can do, and a little by the price of a crossing, so that no zone's loss empties a table. Harm:
    /// a wrong guess of what other directors' proxies bring fills a zone that had room.
    fn reach(&mut self) {
        let (zones, demand, mut can) = (self.s.zones.max(1), self.demand(), vec![0.0; self.s.zones.max(1)]);
        for (host, l) in self.list.iter().filter(|(_, l)| l.entry.readiness == Readiness::Ready) {
            let up = self.ramp(self.now - l.entry.up_since);
            let part = up * self.fit(l.entry.zone, host) * l.entry.weight;
            can.get_mut(l.entry.zone).into_iter().for_each(|c| *c += part);
        }
        let (least, full) = (0.01 * sum(&can), sum(&demand) / sum(&can));
        can.iter_mut().for_each(|c| *c = c.max(least));
        let tries = |bound: bool| -> f64 {
            let of = (0..self.s.classes.len()).filter(|c| self.s.classes[*c].zone_bound == bound);
            of.map(|c| self.used(c) + 1e-6).sum()
        };
        let open = tries(false) / (tries(false) + tries(true));
        let room = |z: usize| (full * can[z] - demand[z] * (1.0 - open)).max(0.05 * full * can[z]);
        let spare: Vec<f64> = (0..zones).map(|z| (room(z) - demand[z] * open).max(0.0)).collect();
        let across = (ACROSS / self.s.cross_zone_price.max(1e-9)).min(1.0);
        let weigh = |z: usize, y: usize| {
            let over = (1.0 - room(z) / (demand[z] * open).max(1e-9)).clamp(0.0, 0.95);
            let need = over / (1.0 - over) * spare[y] / sum(&spare) * can[z] / can[y];
            need.max(across * room(y) / can[y] * can[z] / room(z)).min(4.0)
        };
        let now: Vec<Vec<f64>> = (0..zones).map(|z| (0..zones).map(|y| weigh(z, y)).collect()).collect();
        let mut both = now.iter().flatten().zip(self.reach.iter().flatten());
        // While all zones are known to be well, weights stay as they are.
        let calm = self.gates.iter().all(|g| g.full < FULL_UP) && self.gates.iter().any(|g| g.full > 0.0);
        if self.reach.is_empty() || !calm && both.any(|(a, b)| (a - b).abs() > REACH_MOVES * a.max(*b)) {
            self.reach = now;
        }
    }

    fn target(&self, key: TableKey) -> ByHost<f64> {
        let ((zone, _, closed, pool, _), bound) = (key, self.groups[key.1].1);
        // A class bound to its zone takes the zone's warm hosts too where its pool has none.
        let mine = self.list.iter().filter(|(h, l)| self.ready(h) && l.entry.zone == zone && l.pool == pool);
        let warm = |l: &Listed| self.ramp(self.now - l.entry.up_since) >= 1.0;
        let (all, few) = (mine.clone().count(), bound && !mine.clone().any(|(_, l)| warm(l)));
        let mut parts: Vec<Part> = Vec::new();
        for (host, l) in self.list.iter().filter(|(_, l)| !closed && l.entry.readiness == Readiness::Ready) {
            let e = &l.entry;
            if (l.pool == pool || few && (all == 0 || warm(l))) && (e.zone == zone || !bound) {
                let weight = e.weight * self.near(zone, e.zone);
                let up = self.ramp(self.now - e.up_since);
                parts.push(Part { host, weight, up, fit: self.fit(zone, host) });
            }
        }
        parts.truncate(TABLE_MOST);
        // Ejection must leave enough warm hosts to carry a table; else the few cold ones would fall over.
        let full: f64 = parts.iter().map(|p| p.weight).sum();
        let kept: f64 = parts.iter().filter(|p| p.fit > 0.0).map(|p| p.weight * p.up).sum();
        let restore = f64::from(kept < REST_PART * full);
        parts.iter_mut().filter(|p| p.fit == 0.0).for_each(|p| p.fit = restore);
        // A cold host gets its part of a full table, not of what is left of one: the load of all that is out.
        let left: f64 = parts.iter().map(|p| p.weight * p.up.min(p.fit)).sum::<f64>() / full.max(1e-9);
        let room = (left * 16.0).floor().max(1.0) / 16.0;
        let (warm, gate) = (parts.iter().any(|p| p.up >= 1.0 && p.fit > 0.0), self.gate(zone));
        // While some are still refused, the next jam is near: it must not meet a cold host at its full part.
        let least = if gate.admit < 1.0 { room * COLD_PART } else { room };
        let (held, risen) = if gate.flees || gate.hold == 0.0 {
            // In a jam all flee to a cold host: it stays at the first step or out. Harm: jams last longer.
            (gate.hold, least)
        } else {
            // Proxies that make too few tries to flee bring a cold host what they bring the others: from the
            // second step on a safe part of the multiple at which it falls over. Held back, it ends no jam.
            (1.0, room.max((COLD_PART * self.s.fall_multiple * room).min(1.0)))
        };
        let held = if warm { held } else { held.max(RAMP_FROM) };
        let room = |up: f64| if up > RAMP_FROM { risen } else { least };
        let part = |p: &Part| if p.up < 1.0 { p.up.min(held).min(p.fit) * room(p.up) } else { p.fit };
        parts.iter().filter(|p| part(p) > 0.0).map(|p| (p.host.clone(), p.weight * part(p))).collect()
    }

    /// Proxies whose zone has only cold hosts for a zone-bound class, beyond what those can take: they get an
    /// empty table, as levels may be off. Harm: refusals while the hosts could have done a little more.
    fn closed(&self, group: usize) -> BTreeSet<ProxyId> {
        let zones = if self.groups[group].1 { self.s.zones } else { 0 };
        let ready = self.list.values().map(|l| &l.entry).filter(|e| e.readiness == Readiness::Ready);
        let able = |e: &Entry| self.promised(self.now - e.up_since);
        // Hosts are taken to carry just what proxies usually bring: a director may not have seen more yet.
        let usual = self.all_rates() / ready.clone().map(|e| e.weight).sum::<f64>().max(1e-9);
        let room = |zone: ZoneId| {
            let mine = ready.clone().filter(|e| e.zone == zone);
            let can: f64 = mine.clone().map(|e| e.weight * able(e)).sum();
            let warm = can == 0.0 || mine.clone().any(|e| able(e) >= 1.0);
            if warm { f64::INFINITY } else { COLD_PART * self.s.fall_multiple * can * usual }
        };
        let mut rooms: Vec<f64> = (0..zones).map(room).collect();
        let mut over = |p: &Proxy| rooms.get_mut(p.zone).is_some_and(|room| (*room -= p.rate, *room < 0.0).1);
        self.proxies.iter().filter(|(_, p)| over(p)).map(|(id, _)| *id).collect()
    }

    // ---- check (paper 4.4; design's invariant) ----

    /// A change passes if each proxy it touches keeps a certain line that isn't being removed. A line comes
    /// back only when its removal is certain, so that the two can't meet on the way (paper 2 and 6).
    fn passes(&self, change: &Change) -> bool {
        let keeps = |proxy: &ProxyId, group: usize, stays: &dyn Fn(&HostId) -> bool| {
            let p = &self.proxies[proxy];
            let mut lines = p.lines[group].iter();
            lines.any(|(h, l)| l.standing == Standing::Certain && self.live(h, p.channel) && stays(h))
        };
        match &change.1 {
            Key::Line(table, host) => {
                let group = self.tables[table].key.1;
                let held = |p: &ProxyId| self.proxies[p].lines[group].get(host).map(|l| l.standing);
                let returns = |p: &ProxyId| change.2 > 0.0 && held(p) != Some(Standing::Removing);
                self.users(*table).all(|p| returns(&p) || change.2 == 0.0 && keeps(&p, group, &|h| h != host))
            }
            Key::Bind(proxy, group, table) => {
                keeps(proxy, *group, &|h| self.tables[table].lines.contains_key(h))
            }
            _ => true,
        }
    }

    // ---- scheduler (design: as many changes a round as the channel carries, largest first) ----

    /// Sends every urgent difference between tables and targets at once, in a round the rest by size; what
    /// fails the check stays in the buffer, and goes from there to the fallback.
    /// Between rounds and lists only who came and tables that nobody uses want anything: a thousand may
    /// come within a second, and each look at all would hold up what must go out.
    fn plan(&mut self, all: bool) {
        let every = || Channel::ALL.into_iter().flat_map(|c| self.list.iter().map(move |(h, l)| (c, h, l)));
        let shut = every().filter(|(c, h, l)| !l.withdrawn[*c as usize] && !self.ready(h));
        let shut = shut.map(|(c, h, _)| Change(f64::INFINITY, Key::Withdraw(h.clone(), c), 0.0));
        let mut changes: Vec<Change> = shut.collect();
        self.send_all(&mut changes, true);
        let mut binds = self.binds(all);
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

    /// Binds that proxies lack. One whose proxy the model shows without a line is urgent.
    fn binds(&mut self, all: bool) -> Vec<Change> {
        let (mut binds, joined) = (Vec::new(), std::mem::take(&mut self.joined));
        let ids = if all { self.proxies.keys().copied().collect() } else { joined };
        self.looked += ids.len() as u64;
        for group in 0..self.groups.len() {
            let closed = self.closed(group);
            for proxy in &ids {
                let (p, close) = (&self.proxies[proxy], closed.contains(proxy));
                let table = self.table_for((p.zone, group, close, p.pool % self.pools.max(1), p.channel));
                let p = &self.proxies[proxy];
                if p.bound[group] != Some(table) {
                    let may = |(h, l): (&HostId, &Held)| {
                        l.standing != Standing::Removing && self.live(h, p.channel)
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
    fn compare(&self, table: TableId, to: &mut Vec<Change>, heavy: &mut BTreeSet<(HostId, Channel)>) {
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
            let have = t.levels.get(&class).copied().unwrap_or((1.0, self.s.base_again));
            let want = self.level(key.0, class);
            if want != have {
                push((want.0 - have.0).abs() + 0.01, false, Key::Level(table, class), want.0);
            }
        }
    }

    /// Sends what passes the check and the budget, urgent or ordinary. What is sent leaves the list.
    fn send_all(&mut self, changes: &mut Vec<Change>, urgent: bool) {
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
    fn send(&mut self, key: &Key, value: f64, urgent: bool) -> bool {
        let (cost, flying) = (self.cost(key), self.flying());
        let head = |p: &ProxyId| if self.lines.contains_key(p) { 0.0 } else { self.s.per_message + 1.0 };
        // The window is the shared channel's. On its own one a proxy's front keeps no queue.
        let new =
            cost.iter().filter(|(p, _)| self.by(p, Channel::Shared)).map(|(p, l)| l + head(p)).sum::<f64>();
        let part = if urgent { URGENT_PART } else { ORDINARY_PART };
        // What lies in the channel delays withdrawals: binds of thousands that joined filled nine seconds of
        // it and took all room that came free. Larger ones wait until nothing lies there.
        let ahead = self.s.push_rate / 1000.0 * (self.s.drain_grace * AHEAD_OF_DRAINS).max(AHEAD_LEAST);
        let first = matches!(key, Key::Withdraw(..)) || flying + self.sent <= 0.0;
        let most = (part * self.s.backlog).min(if first { f64::INFINITY } else { ahead });
        // Half go out freely, urgent ones beyond it evenly spaced, withdrawals but one left for a repeat.
        let (over, half) = (self.s.counted_over, ORDINARY_MESSAGES * self.s.update_cap as f64);
        let full = |p: &ProxyId| {
            let written = || self.proxies[p].written.iter().filter(|at| self.now - **at <= over);
            let (count, last) = (written().count() as f64 + 1.0, written().next_back().unwrap_or(&0.0));
            let must = matches!(key, Key::Withdraw(..)) && count < self.s.update_cap as f64;
            let spaced = urgent && self.now - last > over / half;
            self.s.update_cap > 0 && !self.lines.contains_key(p) && count > half && !must && !spaced
        };
        let fits = new == 0.0 || flying + self.sent + new <= most;
        let room = fits && !cost.iter().any(|(p, _)| full(p));
        let fits = room || cost.is_empty();
        if fits {
            self.sent += new;
            cost.iter().for_each(|(p, l)| *self.lines.entry(*p).or_insert(self.s.per_message + 1.0) += l);
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
    pub fn may_repeat(&self, mark: u16, now: Ms) -> bool {
        self.s.update_cap == 0 || self.most_written(mark, now) <= self.s.update_cap
    }

    // ---- fallback (paper 5.3; design: a fresh target table) ----

    /// A change failed the check for too long: the next round binds proxies to a fresh table.
    fn fall_back(&mut self) {
        let due = self.buffer.iter().filter(|(_, since)| self.now - **since >= FALLBACK_AFTER);
        for key in due.map(|(k, _)| k.clone()).collect::<Vec<_>>() {
            self.buffer.remove(&key);
            if let Key::Line(table, _) = key {
                self.current.retain(|_, t| *t != table);
                self.log(format!("fallback: table {table} is replaced by a fresh one"));
            } else {
                let sent = self.send(&key, 0.0, true);
                self.log(format!("fallback: outside the check, sent {sent}: {key:?}"));
            }
        }
    }

    // ---- health: from the sums; an outlier goes out, and comes back by the ramp ----

    fn fit(&self, zone: ZoneId, host: &HostId) -> f64 {
        let grade = self.grades.get(host).map_or(1.0, |g| g.0);
        let Some(h) = self.health.get(host).filter(|h| h.zones.contains(&zone)) else { return grade };
        if self.now < h.until { 0.0 } else { grade * self.ramp(self.now - h.until) }
    }

    /// Ejects hosts that answer (almost) nothing to a zone's proxies while the rest serve them well: hung,
    /// silent, refusing, or cut off. Slow ones still carry load. Harm: a good host may go out by chance.
    fn judge(&mut self) {
        let (now, over) = (self.now, RAMP_OVER.max(self.s.cold));
        let mut notes = Vec::new();
        for (host, h) in self.health.iter_mut().filter(|(_, h)| now >= h.until && !h.proved) {
            let good = |z| self.sums.get(&(z, host.clone())).is_some_and(|s| s.tries - s.failed >= 0.5);
            (h.proved, h.until) =
                if h.zones.iter().any(|z| good(*z)) { (true, h.until) } else { (false, now) };
        }
        self.health.retain(|_, h| now - h.until < over);
        let mut bad: ByHost<(f64, Vec<ZoneId>)> = BTreeMap::new();
        for zone in 0..self.s.zones.max(1) {
            let seen = || self.sums.iter().filter(|((z, h), _)| *z == zone && self.judged(h));
            let fails = |s: &Sums| s.tries > 0.0 && s.failed >= OUTLIER_FAILS * s.tries;
            let well = total(seen().map(|(_, s)| s).filter(|s| !fails(s)));
            let least = OUTLIER_TRIES.max(REST_PART * seen().map(|(_, s)| s.tries).sum::<f64>());
            let carries = well.tries >= least && well.failed <= FAILS_DOWN * well.tries;
            for ((_, host), s) in seen().filter(|(_, s)| carries && fails(s)) {
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
        self.grade(&mut notes);
        notes.into_iter().for_each(|text| self.log(text));
    }

    /// Takes weight off a host that lags or fails while the rest are well, by steps: slower than listed,
    /// pausing, hampered in ways no list names, or dead before that is proved. Where all lag alike nobody is
    /// singled out. Harm: a host slow for good is tried again and again.
    fn grade(&mut self, say: &mut Vec<String>) {
        let (hosts, now) = (self.by_host(), self.now);
        let all = total(hosts.values());
        for (host, s) in hosts.iter().filter(|(_, s)| s.tries >= GRADE_TRIES) {
            let (part, at) = self.grades.get(host).copied().unwrap_or((1.0, 0.0));
            let (mine, rest) = (self.strain(s), self.strain(&both(&all, s, -1.0)));
            let bar = if s.failed < FAILS_DOWN * s.tries { GRADE_CALM } else { GRADE_DOWN };
            let lags = mine > bar && mine > 2.0 * rest;
            let back = part < 1.0 && mine < FULL_UP && now - at >= GRADE_REST * self.pause;
            let step = if back { (part / GRADE_STEP).min(1.0) } else { (part * GRADE_STEP).max(GRADE_LEAST) };
            if back || lags && now - at >= self.pause {
                say.push(format!("{host} to {step:.2} of its weight: strain {mine:.2}, the rest {rest:.2}"));
                self.grades.insert(host.clone(), (step, now));
            }
        }
    }

    // ---- levels and retries ----

    /// How far tries fall short: 1 is where answers begin to miss their aim; a failed one loses a whole aim.
    fn strain(&self, s: &Sums) -> f64 {
        let aim = self.aim();
        (s.time + s.failed * aim) / (s.tries.max(1e-9) * FULL_LAG * aim)
    }

    /// Strain and failed part of the better hosts: what the fleet suffers as a whole.
    fn middle(&self, zone: ZoneId) -> Option<(f64, f64)> {
        let hosts = self.met(zone);
        let mut seen: Vec<(f64, &Sums)> = hosts.values().map(|s| (self.strain(s), s)).collect();
        seen.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut left = BETTER_PART * hosts.values().map(|s| s.tries).sum::<f64>();
        seen.retain(|(_, s)| (left > 0.0, left -= s.tries).0);
        let all = total(seen.iter().map(|x| x.1));
        // Full hosts answer late. Where good answers are quick, failures are no matter of load.
        let good = Sums { tries: all.tries - all.failed, failed: 0.0, ..all.clone() };
        let quick = good.tries >= REST_PART * all.tries && self.strain(&good) < FULL_UP;
        let all = if quick { good } else { all };
        (all.tries >= 1.0).then(|| (self.strain(&all), all.failed / all.tries))
    }

    /// Moves the admission levels of a zone's proxies a step at a time, on sums that had a pause to fill.
    fn steer(&mut self, zone: ZoneId) {
        self.gates[zone].flees = self.flees(zone);
        let Some((full, fails)) = self.middle(zone) else { return self.gates[zone].at = self.now };
        let (mut g, met, rates) =
            (self.gates[zone].clone(), total(self.met(zone).values()), self.rates(zone));
        let jammed = full > FULL_DOWN || fails > FAILS_DOWN;
        let free = full < FULL_UP && fails < FAILS_DOWN / 2.0;
        let fled = self.s.ejects > 0 && fails.powi(self.s.ejects as i32) > FAILS_DOWN || g.hold == 0.0;
        let jam = jammed || g.hold < 1.0 && !free;
        g.hold = if !jam { 1.0 } else { RAMP_FROM * f64::from(!fled) };
        if self.now - g.at >= self.pause {
            // A jam is cut to a part of what the hosts were seen to carry, never to nothing on late evidence.
            let carried = (met.tries - met.failed) / rates;
            g.carried = if jammed && g.carried > 0.0 { g.carried } else { carried.max(g.carried) };
            let calm = if free { (FULL_UP / full).min(PART_UP) } else { 1.0 };
            let step = if jammed && full >= 0.97 * g.full { PART_DOWN } else { calm };
            g.part = (g.part * step).max(PART_LEAST);
            (g.full, g.at) = (full, self.now);
            let let_in = |c: usize, admit: f64| g.usage[c].tries * admit.powf(self.cheapness(c));
            let asked = |admit: f64| (0..g.usage.len()).map(|c| let_in(c, admit)).sum::<f64>();
            // Who is refused asks again: of those tries less comes through than the level says, if at all.
            let through = if g.admit < 0.95 && !jammed { met.tries / asked(g.admit).max(1e-9) } else { 1.0 };
            let (room, mut admit) = (g.part * g.carried * rates / through.clamp(PART_LEAST, 1.0), 1.0);
            while (jammed || g.admit < 1.0) && admit > LEVEL_LEAST && asked(admit) > room {
                admit *= 0.95;
            }
            (admit, g.part) = if !jammed && admit > 0.9 { (1.0, 1.0) } else { (admit, g.part) };
            let told = self.s.level_kind == LevelKind::Ratio;
            if told && (admit - std::mem::replace(&mut g.admit, admit)).abs() > 0.02 {
                self.log(format!(
                    "zone {zone}: admission {admit:.2}: strain {full:.2}, {fails:.2} of tries fail"
                ));
            }
        }
        self.gates[zone] = g;
    }

    /// Whether proxies make so many tries at a host while another warms up that a run of failures could make
    /// them keep away from it. By what the tries see: a busy proxy counts for more. Large fleets don't flee.
    fn flees(&self, zone: ZoneId) -> bool {
        let mine = || self.proxies.values().filter(|p| p.zone == zone).map(|p| p.came.tries);
        let usual = mine().map(|n| n * n).sum::<f64>() / mine().sum::<f64>().max(1e-9);
        let hosts =
            self.list.values().filter(|l| l.entry.zone == zone && l.entry.readiness == Readiness::Ready);
        let each = hosts.count() as f64 / self.pools.max(1) as f64;
        self.s.ejects > 0 && usual / each.max(1.0) >= f64::from(self.s.ejects)
    }

    /// 1 for the class worth least for its time, less for dearer ones: their levels fall by that power.
    fn cheapness(&self, class: ClassId) -> f64 {
        let dear = |c: &Class| c.worth.max(1e-6) / c.aim.max(1.0);
        self.s.classes.iter().map(dear).fold(f64::INFINITY, f64::min) / dear(&self.s.classes[class])
    }

    /// Proxies try again as the site has it, after proof only unless the class is free. In a jam not at all:
    /// it takes what a full host refused to the next one, or to a cold one that still has room.
    fn level(&self, zone: ZoneId, class: ClassId) -> (f64, Again) {
        let quota = self.gate(zone).admit.powf(self.cheapness(class));
        let free = self.s.classes[class].effect == Effect::Free;
        let safe = if free { Again::TwiceAfterAny } else { Again::AfterProof };
        let again = if self.gate(zone).hold < 1.0 { Again::Never } else { self.s.base_again.min(safe) };
        ((quota * 100.0).round().max(1.0) / 100.0, again)
    }

    // ---- join and crash ----

    /// The list: deltas apply to the one held, a complete one removes what it doesn't name.
    fn listed(&mut self, kind: ListKind, entries: Vec<Entry>) {
        if kind == ListKind::Lost {
            return self.out.push(Action::Timer { token: "ask".into(), at: self.now + self.s.report_every });
        }
        let named: BTreeSet<HostId> = entries.iter().map(|e| e.host.clone()).collect();
        let missing = |h: &&HostId| kind != ListKind::Delta && !named.contains(*h);
        let missing: Vec<HostId> = self.list.keys().filter(missing).cloned().collect();
        missing.iter().for_each(|host| _ = self.dropped(host));
        for mut entry in entries {
            if entry.readiness == Readiness::Gone && self.dropped(&entry.host) {
                continue;
            }
            entry.weight = if entry.weight > 0.0 { entry.weight.min(1e6) } else { 1.0 };
            entry.up_since = if entry.up_since > 0.0 { entry.up_since } else { f64::NEG_INFINITY };
            let restarted = self.list.get(&entry.host).is_some_and(|l| l.entry.up_since < entry.up_since);
            if restarted || entry.readiness != Readiness::Ready {
                self.health.remove(&entry.host);
                self.grades.remove(&entry.host);
                self.sums.retain(|(_, h), _| *h != entry.host);
            }
            let l = self.list.entry(entry.host.clone()).or_insert_with(|| Listed::of(entry.clone()));
            (l.entry, l.doubted) = (entry, None);
        }
        self.deal();
    }

    /// A host that was not draining is no longer listed. Where that doesn't bind, what its proxies meet there
    /// decides: a list can be wrong about most of the fleet. Harm: a dead host is tried until sums tell.
    fn dropped(&mut self, host: &HostId) -> bool {
        let Some(l) = self.list.get_mut(host) else { return false };
        let stays = self.s.gone_may_stay && l.entry.readiness == Readiness::Ready;
        l.doubted = if stays { l.doubted.or(Some(self.now)) } else { None };
        l.entry.readiness = if stays { Readiness::Ready } else { Readiness::Gone };
        stays
    }

    /// Believes the list about hosts that fail, or of which nothing was heard since.
    fn believe(&mut self) {
        for (host, l) in self.list.iter_mut() {
            let Some(since) = l.doubted else { continue };
            let mine = (0..self.s.zones.max(1)).filter_map(|z| self.sums.get(&(z, host.clone())));
            let s = total(mine.filter(|s| s.at > since));
            if s.failed > 0.5 * s.tries || s.tries == 0.0 && self.now - since > 2.0 * self.pause {
                (l.entry.readiness, l.doubted) = (Readiness::Gone, None);
            }
        }
    }

    /// Deals hosts to pools, each zone's by listed weight. Pools grow in number with the list; hosts stay in
    /// theirs, but where one has under half of another's weight.
    fn deal(&mut self) {
        let ready = |l: &Listed| l.entry.readiness == Readiness::Ready;
        self.pools =
            self.pools.max(self.list.values().filter(|l| ready(l)).count().div_ceil(POOL_PLAN)).max(1);
        for zone in 0..self.s.zones.max(1) {
            let here = self.list.values_mut().filter(|l| ready(l) && l.entry.zone == zone);
            let hosts: Vec<&mut Listed> = here.collect();
            let mut size = vec![0.0; self.pools];
            hosts.iter().for_each(|l| size.get_mut(l.pool).into_iter().for_each(|s| *s += l.entry.weight));
            for l in hosts {
                let (least, most) = (lowest(&size, 1.0), lowest(&size, -1.0));
                if l.pool >= size.len() || l.pool == most && size[least] + l.entry.weight < size[most] / 2.0 {
                    size.get_mut(l.pool).into_iter().for_each(|s| *s -= l.entry.weight);
                    (l.pool, size[least]) = (least, size[least] + l.entry.weight);
                }
            }
        }
    }

    /// What each pool has to carry for its listed weight, as seen from a zone.
    fn burden(&self, zone: ZoneId) -> Vec<(f64, f64)> {
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

    /// Moves one proxy a round and zone to a pool that has much less to carry.
    fn even_out(&mut self) {
        for zone in 0..self.s.zones.max(1) {
            let load = self.burden(zone);
            let over: Vec<f64> = load.iter().map(|x| x.0 / x.1).collect();
            let (least, most) = (lowest(&over, 1.0), lowest(&over, -1.0));
            let fits = |p: &Proxy| (load[least].0 + p.came.tries) / load[least].1 * EVEN < over[most];
            let may = self.proxies.iter().filter(|(_, p)| p.zone == zone && p.pool == most && fits(p));
            let next = may.max_by(|a, b| a.1.came.tries.total_cmp(&b.1.came.tries)).map(|(id, _)| *id);
            next.and_then(|id| self.proxies.get_mut(&id)).into_iter().for_each(|p| p.pool = least);
        }
    }
}
