//! A director's step: events in, orders out; the model of what each proxy may hold; the fallback.
//! `docs/design.md` tells what was kept of the design page and of CCG's paper, and what changed.

use crate::{books::*, interface::*, state::*, tuned::*};
use std::collections::BTreeMap;

impl Director {
    pub fn new(s: Settings) -> Director {
        let mask = |bound: bool| {
            let of = s.classes.iter().enumerate().filter(|(_, c)| c.is_zone_bound == bound);
            of.fold(0u32, |m, (k, _)| m | 1 << k)
        };
        let groups = [(mask(false), false), (mask(true), true)].into_iter().filter(|g| g.0 > 0).collect();
        let usage = vec![Sums::default(); s.classes.len()];
        let well = Gate { hold: 1.0, flees: true, admit: 1.0, part: 1.0, usage, ..Gate::default() };
        let gates = vec![well; s.fleet.zones.max(1)];
        Director {
            groups,
            reply: 1,
            gates,
            pause: 2.0 * (s.report_interval + s.channel.mean_transit),
            s,
            ..Director::default()
        }
    }

    pub fn handle(&mut self, now: Ms, events: Vec<Event>) -> Vec<Action> {
        // Silence of the reports says nothing of the hosts: older sums judge nobody.
        (self.now, self.heard_from) = (now, now - STALE * self.s.report_interval);
        let first = !std::mem::replace(&mut self.started, true);
        if self.s.classes.is_empty()
            || self.s.channel.lines_per_second <= 0.0
            || self.s.channel.max_queued_lines <= 0.0
        {
            let text = "settings make no sense (no classes, or a channel that carries nothing): no orders";
            return first.then(|| Action::Log { text: text.into() }).into_iter().collect();
        }
        self.out.extend(first.then(|| Action::StartTimer { token: "round".into(), at: now + ROUND }));
        self.out.extend((first && self.s.must_subscribe).then_some(Action::SubscribeToHosts));
        // Answers and sums wait for a round; what changes who holds what is acted on at once.
        let listed = events.iter().any(|e| matches!(e, Event::HostsListed { .. }));
        let who = |e: &Event| matches!(e, Event::ProxyJoined { .. } | Event::ProxyLeft { .. });
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

    pub(crate) fn take(&mut self, event: Event) {
        let (now, memory) = (self.now, MEMORY * self.s.report_interval);
        match event {
            Event::HostsListed { kind, entries } => self.listed(kind, entries),
            // It joins with lines that we don't know: bare to the model, bound at once. Messages count on.
            Event::ProxyJoined { proxy, zone, rate, channel, .. } => {
                let old = self.unbound(proxy).unwrap_or_default();
                (self.came_at, self.joins) = (now, self.joins + usize::from(self.joined.insert(proxy)));
                let (bound, lines) = self.groups.iter().map(|_| (None, BTreeMap::new())).unzip();
                self.reach();
                let came = Sums { tries: rate * RATE_HOLDS / 1000.0, at: now, ..Sums::default() };
                let load: Vec<f64> = self.burden(zone).iter().map(|x| (x.0 + came.tries) / x.1).collect();
                let pool = lowest(&load, 1.0);
                let nth = self.joins;
                self.proxies
                    .insert(proxy, Proxy { zone, rate, pool, came, bound, lines, channel, nth, ..old });
            }
            // What a channel says of a proxy that has joined by another one is of before.
            Event::ProxyLeft { proxy, channel } if self.by(&proxy, channel) => drop(self.unbound(proxy)),
            Event::Acknowledged { ack_number, proxy, elapsed, channel } if self.by(&proxy, channel) => {
                self.answered(ack_number, proxy, elapsed)
            }
            Event::CallUnconfirmed { ack_number, may_have_run } => self.delayed(ack_number, may_have_run),
            Event::NotApplied { proxy, ack_number, is_resent } => self.behind(proxy, ack_number, is_resent),
            Event::HostReported { zone, host, attempts, failed, mean_latency, .. }
                if self.list.contains_key(&host) =>
            {
                let sums = self.sums.entry((zone, host)).or_default();
                add(sums, now, memory, attempts, failed, mean_latency * (attempts - failed));
            }
            Event::TrafficReported { proxy, class, attempts, failed, .. } => {
                let Some(p) = self.proxies.get_mut(&proxy) else { return };
                add(&mut p.came, now, RATE_HOLDS, attempts, failed, 0.0);
                let gate = self.gates.get_mut(p.zone).and_then(|g| g.usage.get_mut(class));
                gate.into_iter().for_each(|sums| add(sums, now, memory, attempts, failed, 0.0));
            }
            Event::TimerFired { token } if token == "round" => {
                self.out.push(Action::StartTimer { token, at: now + ROUND })
            }
            Event::TimerFired { .. } => {
                self.out.extend(self.s.must_subscribe.then_some(Action::SubscribeToHosts))
            }
            Event::HostReported { .. } | Event::HealthChecked { .. } | Event::PeerMessage { .. } => {}
            Event::ProxyLeft { .. } | Event::Acknowledged { .. } => {}
        }
    }

    // ---- model (paper 4.2, 4.3): what each proxy may hold ----

    /// Time settles what no answer did; later on a slow channel, where lines may still wait (extension).
    /// The room of the channel at once, the lines of all proxies once a round.
    pub(crate) fn settle(&mut self, lines: bool) {
        let after = |slowest: Ms| ANSWER_TIMEOUT.max(2.0 * slowest).max(2.0 * self.s.channel.max_transit);
        let (now, shared) = (self.now, after(self.slowest));
        let timeout = |p: &Proxy| if p.channel == Channel::Dedicated { after(p.slowest) } else { shared };
        for p in self.proxies.values_mut().filter(|_| lines) {
            let timeout = timeout(p);
            p.lines.iter_mut().for_each(|group| {
                group.retain(|_, l| {
                    if l.standing == Certainty::Adding && now - l.since >= timeout {
                        l.standing = Certainty::Certain;
                    }
                    let gone = l.answered.unwrap_or(l.since + timeout) + REMOVAL_DELAY;
                    l.standing != Certainty::Removing || now < gone
                })
            });
        }
        self.flights.retain(|_, f| !f.lines.is_empty() && now - f.at < 4.0 * shared);
        if lines {
            self.looked += self.proxies.len() as u64;
            self.clear_idle(FORGOTTEN_AFTER);
        }
    }

    // ---- fallback (paper 5.3; design: a fresh target table) ----

    /// A change failed the check for too long: the next round binds proxies to a fresh table.
    pub(crate) fn fall_back(&mut self) {
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
}
