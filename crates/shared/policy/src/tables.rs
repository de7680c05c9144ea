//! Target weights of tables: listed weights, cross-zone weights and slow start.

use crate::constants::{
    CROSS_ZONE_TOLERANCE, HEALTHY_SATURATION, MAX_CROSS_ZONE_WEIGHT, MAX_TABLE_HOSTS, MIN_CROSS_ZONE_WEIGHT,
    MIN_REMAINING_FRACTION, REMAINING_STEPS, SAFE_WARMING_FRACTION, SLOW_START_DURATION, SLOW_START_STEPS,
    SLOW_START_WEIGHT,
};
use crate::demand::positive_sum;
use crate::director::Director;
use crate::interface::{ByHost, Ms, ProxyId, ZoneId};
use crate::state::{Candidate, CrossZoneWeights, ListedHost, TableKey, WarmingLimits};
use std::collections::BTreeSet;

impl Director {
    /// Weight factor of a host `age` ms after its start. It rises in steps from `SLOW_START_WEIGHT` and never
    /// exceeds the capacity that the settings promise for that age, rounded up to a step.
    pub(crate) fn slow_start_factor(&self, age: Ms) -> f64 {
        if age >= SLOW_START_DURATION.max(self.settings.hosts.warm_up) {
            return 1.0;
        }
        let steps = (age / SLOW_START_DURATION * SLOW_START_STEPS).floor().clamp(0.0, SLOW_START_STEPS);
        let promised = (self.promised_capacity(age) * SLOW_START_STEPS).ceil() / SLOW_START_STEPS;
        let stepped = SLOW_START_WEIGHT + (1.0 - SLOW_START_WEIGHT) * (steps / SLOW_START_STEPS);
        stepped.min(promised.min(1.0 - 1e-9))
    }

    /// Updates the cross-zone weights, unless all zones are healthy or the change is within the tolerance.
    pub(crate) fn update_cross_zone_weights(&mut self) {
        let wanted = self.target_cross_zone_weights();
        let saturations = || self.zones.iter().map(|zone| zone.saturation);
        let all_healthy = saturations().all(|s| s < HEALTHY_SATURATION) && saturations().any(|s| s > 0.0);
        let needs_update = !all_healthy && wanted.differ(&self.cross_zone_weights, CROSS_ZONE_TOLERANCE);
        if self.cross_zone_weights.is_empty() || needs_update {
            self.cross_zone_weights = wanted;
        }
    }

    /// Cross-zone weights that spill a zone's excess demand to zones with spare capacity. A minimum weight,
    /// which falls with the price of a crossing, keeps tables usable when a zone is lost.
    fn target_cross_zone_weights(&self) -> CrossZoneWeights {
        let zones = self.zone_balances();
        let spare: Vec<f64> = zones.iter().map(|zone| zone.spare_capacity).collect();
        let min_weight = (MIN_CROSS_ZONE_WEIGHT / self.settings.cross_zone_price.max(1e-9)).min(1.0);
        CrossZoneWeights::new(zones.len(), |own, other| {
            let (own, other) = (&zones[own], &zones[other]);
            let excess = (1.0 - own.headroom / own.movable.max(1e-9)).clamp(0.0, 0.95);
            let ratio = excess / (1.0 - excess) * other.spare_capacity / positive_sum(&spare);
            let needed = ratio * own.capacity / other.capacity;
            let minimum = min_weight * other.headroom / other.capacity * own.capacity / own.headroom;
            needed.max(minimum).min(MAX_CROSS_ZONE_WEIGHT)
        })
    }

    /// Target weights of a table, by host. Hosts with weight 0 are left out.
    pub(crate) fn target_weights(&self, key: TableKey) -> ByHost<f64> {
        let mut candidates = if key.is_closed { Vec::new() } else { self.candidates(key) };
        candidates.truncate(MAX_TABLE_HOSTS);
        // If ejections leave too little warm capacity, ejected hosts return: warming ones would fail.
        let full: f64 = candidates.iter().map(|host| host.weight).sum();
        let healthy = candidates.iter().filter(|host| host.health > 0.0);
        let remaining_weight: f64 = healthy.map(|host| host.weight * host.slow_start).sum();
        let restored = f64::from(remaining_weight < MIN_REMAINING_FRACTION * full);
        candidates.iter_mut().filter(|host| host.health == 0.0).for_each(|host| host.health = restored);
        let limits = self.warming_limits(key.zone, &candidates, full);
        let factors = candidates.iter().map(|host| (host, limits.weight_fraction(host, SLOW_START_WEIGHT)));
        let selected = factors.filter(|(_, factor)| *factor > 0.0);
        selected.map(|(host, factor)| (host.id.clone(), host.weight * factor)).collect()
    }

    /// Hosts of the table's pool. For a zone-bound group whose pool has no warm host in the zone, also the
    /// zone's warm hosts of other pools, or all of the zone's hosts if the pool is empty.
    fn candidates(&self, key: TableKey) -> Vec<Candidate<'_>> {
        let is_bound = self.tables.group(&key).is_zone_bound;
        let in_pool = |host: &ListedHost| host.pool == Some(key.pool);
        let is_warm = |host: &ListedHost| self.host_slow_start_factor(host) >= 1.0;
        let pool = || self.hosts.ready_in(key.zone).filter(|host| in_pool(host));
        let is_empty = pool().next().is_none();
        let lacks_warm = is_bound && !pool().any(is_warm);
        let is_selected = |host: &ListedHost| {
            let is_open = in_pool(host) || lacks_warm && (is_empty || is_warm(host));
            is_open && (host.entry.zone == key.zone || !is_bound)
        };
        let selected = self.hosts.ready().filter(|(_, host)| is_selected(host));
        selected.map(|(id, host)| self.candidate(key.zone, id, host)).collect()
    }

    /// Weight limits for the warming hosts of a table. `full` is the sum of its hosts' full weights.
    fn warming_limits(&self, zone: ZoneId, hosts: &[Candidate<'_>], full: f64) -> WarmingLimits {
        // Scaled by the remaining weight, a warming host gets the load that it would get in a full table.
        let remaining = hosts.iter().map(|host| host.weight * host.slow_start.min(host.health)).sum::<f64>();
        let remaining = ((remaining / full.max(1e-9) * REMAINING_STEPS).floor().max(1.0)) / REMAINING_STEPS;
        let (state, has_warm) = (self.zone(zone), hosts.iter().any(Candidate::is_warm));
        // While requests are rejected, warming hosts keep a reserve for the next load peak.
        let first_step = if state.admission < 1.0 { remaining * SAFE_WARMING_FRACTION } else { remaining };
        let (limit, later_steps) = if state.may_eject || state.warming_limit == 0.0 {
            // Proxies that eject saturated hosts shift their load to the warming ones, which are limited even
            // though that prolongs the overload.
            (state.warming_limit, first_step)
        } else {
            // Without ejections a warming host gets the same load per weight as others. From the second step
            // on, that may be a safe fraction of the multiple of its capacity at which it fails.
            let safe = SAFE_WARMING_FRACTION * self.settings.hosts.overload_multiple * remaining;
            (1.0, remaining.max(safe.min(1.0)))
        };
        let limit = if has_warm { limit } else { limit.max(SLOW_START_WEIGHT) };
        WarmingLimits { limit, first_step, later_steps }
    }

    /// Proxies that are bound to an empty table for a zone-bound group, because the hosts of their zone are
    /// all warming and lack the capacity. Admission levels cannot be relied on here, as they may be off.
    pub(crate) fn proxies_over_capacity(&self, group: usize) -> BTreeSet<ProxyId> {
        let is_bound = self.tables.groups[group].is_zone_bound;
        let zones = if is_bound { self.settings.fleet.zones } else { 0 };
        // Assume that the capacity of all hosts equals the usual rate: a new director has no reports yet.
        let total_weight = self.hosts.ready().map(|(_, host)| host.entry.weight).sum::<f64>();
        let usual = self.total_rate() / total_weight.max(1e-9);
        let safe = SAFE_WARMING_FRACTION * self.settings.hosts.overload_multiple;
        let capacity =
            |zone| self.warming_zone_capacity(zone).map_or(f64::INFINITY, |weight| safe * weight * usual);
        self.proxies.over_capacity((0..zones).map(capacity).collect())
    }
}
