//! Target tables: a zone's hosts by listed weight, other zones' for less, the ramp of started hosts.

use crate::{books::*, interface::*, state::*, tuned::*};
use std::collections::BTreeSet;

impl Director {
    /// Part of its weight `age` ms after a start: the ramp in steps, under the capacity promised by then.
    pub(crate) fn ramp(&self, age: Ms) -> f64 {
        let step = (age / RAMP_OVER * RAMP_STEPS).floor().clamp(0.0, RAMP_STEPS) / RAMP_STEPS;
        let most = ((self.promised(age) * RAMP_STEPS).ceil() / RAMP_STEPS).min(1.0 - 1e-9);
        if age >= RAMP_OVER.max(self.s.hosts.warm_up) {
            1.0
        } else {
            (RAMP_FROM + (1.0 - RAMP_FROM) * step).min(most)
        }
    }

    pub(crate) fn promised(&self, age: Ms) -> f64 {
        (self.s.hosts.start_capacity
            + (1.0 - self.s.hosts.start_capacity) * age.max(0.0) / self.s.hosts.warm_up.max(1.0))
        .min(1.0)
    }

    /// How far tables reach into other zones: as far as a zone has more to carry than its part of what all
    /// hosts can do, and a little by the price of a crossing, so that no zone's loss empties a table. Harm:
    /// a wrong guess of what other directors' proxies bring fills a zone that had room.
    pub(crate) fn reach(&mut self) {
        let (zones, demand, mut can) =
            (self.s.fleet.zones.max(1), self.demand(), vec![0.0; self.s.fleet.zones.max(1)]);
        for (host, l) in self.list.iter().filter(|(_, l)| l.entry.readiness == Readiness::Ready) {
            let up = self.ramp(self.now - l.entry.started_at);
            let part = up * self.fit(l.entry.zone, host) * l.entry.weight;
            can.get_mut(l.entry.zone).into_iter().for_each(|c| *c += part);
        }
        let (least, full) = (0.01 * sum(&can), sum(&demand) / sum(&can));
        can.iter_mut().for_each(|c| *c = c.max(least));
        let tries = |bound: bool| -> f64 {
            let of = (0..self.s.classes.len()).filter(|c| self.s.classes[*c].is_zone_bound == bound);
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

    pub(crate) fn target(&self, key: TableKey) -> ByHost<f64> {
        let ((zone, _, closed, pool, _), bound) = (key, self.groups[key.1].1);
        // A class bound to its zone takes the zone's warm hosts too where its pool has none.
        let mine = self.list.iter().filter(|(h, l)| self.ready(h) && l.entry.zone == zone && l.pool == pool);
        let warm = |l: &Listed| self.ramp(self.now - l.entry.started_at) >= 1.0;
        let (all, few) = (mine.clone().count(), bound && !mine.clone().any(|(_, l)| warm(l)));
        let mut parts: Vec<Part> = Vec::new();
        for (host, l) in self.list.iter().filter(|(_, l)| !closed && l.entry.readiness == Readiness::Ready) {
            let e = &l.entry;
            if (l.pool == pool || few && (all == 0 || warm(l))) && (e.zone == zone || !bound) {
                let weight = e.weight * self.near(zone, e.zone);
                let up = self.ramp(self.now - e.started_at);
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
            (1.0, room.max((COLD_PART * self.s.hosts.overload_multiple * room).min(1.0)))
        };
        let held = if warm { held } else { held.max(RAMP_FROM) };
        let room = |up: f64| if up > RAMP_FROM { risen } else { least };
        let part = |p: &Part| if p.up < 1.0 { p.up.min(held).min(p.fit) * room(p.up) } else { p.fit };
        parts.iter().filter(|p| part(p) > 0.0).map(|p| (p.host.clone(), p.weight * part(p))).collect()
    }

    /// Proxies whose zone has only cold hosts for a zone-bound class, beyond what those can take: they get an
    /// empty table, as levels may be off. Harm: refusals while the hosts could have done a little more.
    pub(crate) fn closed(&self, group: usize) -> BTreeSet<ProxyId> {
        let zones = if self.groups[group].1 { self.s.fleet.zones } else { 0 };
        let ready = self.list.values().map(|l| &l.entry).filter(|e| e.readiness == Readiness::Ready);
        let able = |e: &HostEntry| self.promised(self.now - e.started_at);
        // Hosts are taken to carry just what proxies usually bring: a director may not have seen more yet.
        let usual = self.all_rates() / ready.clone().map(|e| e.weight).sum::<f64>().max(1e-9);
        let room = |zone: ZoneId| {
            let mine = ready.clone().filter(|e| e.zone == zone);
            let can: f64 = mine.clone().map(|e| e.weight * able(e)).sum();
            let warm = can == 0.0 || mine.clone().any(|e| able(e) >= 1.0);
            if warm { f64::INFINITY } else { COLD_PART * self.s.hosts.overload_multiple * can * usual }
        };
        let mut rooms: Vec<f64> = (0..zones).map(room).collect();
        let mut over = |p: &Proxy| rooms.get_mut(p.zone).is_some_and(|room| (*room -= p.rate, *room < 0.0).1);
        self.proxies.iter().filter(|(_, p)| over(p)).map(|(id, _)| *id).collect()
    }
}
