//! Target tables: a zone's hosts by listed weight, other zones' for less, slow start of started hosts.

use crate::demand::positive_sum;
use crate::director::Director;
use crate::interface::{ByHost, Ms, ProxyId, ZoneId};
use crate::state::{Candidate, CrossZoneWeights, ListedHost, TableKey, WarmingLimits};
use crate::constants::{
    CROSS_ZONE_TOLERANCE, HEALTHY_SATURATION, MAX_CROSS_ZONE_WEIGHT, MAX_TABLE_HOSTS, MIN_CROSS_ZONE_WEIGHT,
    MIN_REMAINING_PART, REMAINING_STEPS, SAFE_WARMING_PART, SLOW_START_DURATION, SLOW_START_STEPS,
    SLOW_START_WEIGHT,
};
use std::collections::BTreeSet;

impl Director {
    /// Part of its weight `age` ms after a start: slow start in steps, under the capacity promised by then.
    pub(crate) fn slow_start_factor(&self, age: Ms) -> f64 {
        if age >= SLOW_START_DURATION.max(self.settings.hosts.warm_up) {
            return 1.0;
        }
        let steps = (age / SLOW_START_DURATION * SLOW_START_STEPS).floor().clamp(0.0, SLOW_START_STEPS);
        let promised = (self.promised_capacity(age) * SLOW_START_STEPS).ceil() / SLOW_START_STEPS;
        let risen = SLOW_START_WEIGHT + (1.0 - SLOW_START_WEIGHT) * (steps / SLOW_START_STEPS);
        risen.min(promised.min(1.0 - 1e-9))
    }

    /// Sets what hosts weigh in tables of other zones; it stays while all zones are known to be healthy.
    pub(crate) fn update_cross_zone_weights(&mut self) {
        let wanted = self.wanted_cross_zone_weights();
        let saturations = || self.zones.iter().map(|zone| zone.saturation);
        let is_calm = saturations().all(|s| s < HEALTHY_SATURATION) && saturations().any(|s| s > 0.0);
        let is_off = !is_calm && wanted.differ(&self.cross_zone_weights, CROSS_ZONE_TOLERANCE);
        if self.cross_zone_weights.is_empty() || is_off {
            self.cross_zone_weights = wanted;
        }
    }

    /// Tables reach into other zones as far as a zone has more to carry than its part of what all hosts can
    /// do, and a little by the price of a crossing, so that no zone's loss empties a table. Harm: a wrong
    /// guess of what other directors' proxies bring fills a zone that had room.
    fn wanted_cross_zone_weights(&self) -> CrossZoneWeights {
        let zones = self.zone_balances();
        let spare: Vec<f64> = zones.iter().map(|zone| zone.spare).collect();
        let least = (MIN_CROSS_ZONE_WEIGHT / self.settings.cross_zone_price.max(1e-9)).min(1.0);
        CrossZoneWeights::new(zones.len(), |own, other| {
            let (own, other) = (&zones[own], &zones[other]);
            let excess = (1.0 - own.room / own.movable.max(1e-9)).clamp(0.0, 0.95);
            let share = excess / (1.0 - excess) * other.spare / positive_sum(&spare);
            let needed = share * own.capacity / other.capacity;
            let priced = least * other.room / other.capacity * own.capacity / own.room;
            needed.max(priced).min(MAX_CROSS_ZONE_WEIGHT)
        })
    }

    /// The weight of each host that a table is to name.
    pub(crate) fn target_weights(&self, key: TableKey) -> ByHost<f64> {
        let mut candidates = if key.is_closed { Vec::new() } else { self.candidates(key) };
        candidates.truncate(MAX_TABLE_HOSTS);
        // Ejection must leave enough warm hosts to carry a table; else the few warming ones would fail.
        let full: f64 = candidates.iter().map(|host| host.weight).sum();
        let healthy = candidates.iter().filter(|host| host.health > 0.0);
        let kept: f64 = healthy.map(|host| host.weight * host.slow_start).sum();
        let restored = f64::from(kept < MIN_REMAINING_PART * full);
        candidates.iter_mut().filter(|host| host.health == 0.0).for_each(|host| host.health = restored);
        let limits = self.warming_limits(key.zone, &candidates, full);
        let parts = candidates.iter().map(|host| (host, limits.part(host, SLOW_START_WEIGHT)));
        let named = parts.filter(|(_, part)| *part > 0.0);
        named.map(|(host, part)| (host.id.clone(), host.weight * part)).collect()
    }

    /// Hosts of the table's pool. A class bound to its zone takes the zone's warm hosts too where its pool
    /// has none, and all of its hosts where its pool is empty.
    fn candidates(&self, key: TableKey) -> Vec<Candidate<'_>> {
        let is_bound = self.tables.group(&key).is_zone_bound;
        let in_pool = |host: &ListedHost| host.pool == Some(key.pool);
        let is_warm = |host: &ListedHost| self.slow_start_of(host) >= 1.0;
        let pool = || self.hosts.ready_in(key.zone).filter(|host| in_pool(host));
        let is_empty = pool().next().is_none();
        let lacks_warm = is_bound && !pool().any(is_warm);
        let is_named = |host: &ListedHost| {
            let is_open = in_pool(host) || lacks_warm && (is_empty || is_warm(host));
            is_open && (host.entry.zone == key.zone || !is_bound)
        };
        let named = self.hosts.ready().filter(|(_, host)| is_named(host));
        named.map(|(id, host)| self.candidate(key.zone, id, host)).collect()
    }

    /// What warming hosts of a table may have; `full` is what all its hosts weigh together.
    fn warming_limits(&self, zone: ZoneId, hosts: &[Candidate<'_>], full: f64) -> WarmingLimits {
        // A warming host gets its part of a full table; of what is left of one it would get the load of all.
        let left = hosts.iter().map(|host| host.weight * host.slow_start.min(host.health)).sum::<f64>();
        let left = ((left / full.max(1e-9) * REMAINING_STEPS).floor().max(1.0)) / REMAINING_STEPS;
        let (state, has_warm) = (self.zone(zone), hosts.iter().any(Candidate::is_warm));
        // While some are rejected, the next overload is near: no warming host must meet it at its full part.
        let first = if state.admission < 1.0 { left * SAFE_WARMING_PART } else { left };
        let (limit, later) = if state.may_eject || state.warming_limit == 0.0 {
            // In an overload all turn to a warming host: it stays at the first step or out. Harm: longer
            // ones.
            (state.warming_limit, first)
        } else {
            // Proxies that make too few attempts to eject bring a warming host what they bring the others:
            // from the second step on a safe part of the multiple at which it fails. Held back, it ends no
            // overload.
            let safe = SAFE_WARMING_PART * self.settings.hosts.overload_multiple * left;
            (1.0, left.max(safe.min(1.0)))
        };
        let limit = if has_warm { limit } else { limit.max(SLOW_START_WEIGHT) };
        WarmingLimits { limit, first, later }
    }

    /// Proxies whose zone has only warming hosts for a zone-bound class, beyond what those can take: they get
    /// an empty table, as levels may be off. Harm: rejections while the hosts could have done a little more.
    pub(crate) fn proxies_beyond_capacity(&self, group: usize) -> BTreeSet<ProxyId> {
        let is_bound = self.tables.groups[group].is_zone_bound;
        let zones = if is_bound { self.settings.fleet.zones } else { 0 };
        // Hosts are taken to carry just what proxies usually bring: a director may not have seen more yet.
        let all_weights = self.hosts.ready().map(|(_, host)| host.entry.weight).sum::<f64>();
        let usual = self.total_rate() / all_weights.max(1e-9);
        let safe = SAFE_WARMING_PART * self.settings.hosts.overload_multiple;
        let room = |zone| self.warming_weight(zone).map_or(f64::INFINITY, |weight| safe * weight * usual);
        self.proxies.beyond_room((0..zones).map(room).collect())
    }
}
