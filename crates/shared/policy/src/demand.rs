//! What comes to whom, and what there is to carry it.

use crate::director::Director;
use crate::interface::{ClassId, HostId, Ms, RequestClass, ZoneId};
use crate::state::{AttemptTotals, Candidate, ListedHost, ZoneBalance};
use crate::constants::{MIN_ZONE_CAPACITY, MIN_ZONE_ROOM};

/// What the proxies of a pool bring and what its hosts can carry, as seen from a zone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolLoad {
    /// What came to its proxies of late.
    pub attempts: f64,
    /// The listed weight of its hosts; a little at least, as it is divided by.
    pub weight: f64,
}

impl PoolLoad {
    /// What each unit of weight has to carry.
    pub fn per_weight(&self) -> f64 {
        self.attempts / self.weight
    }

    /// The same with a proxy more that brings so many attempts.
    pub fn per_weight_with(&self, attempts: f64) -> f64 {
        (self.attempts + attempts) / self.weight
    }
}

impl Director {
    /// Part of its capacity that the settings promise of a host `age` ms after its start.
    pub(crate) fn promised_capacity(&self, age: Ms) -> f64 {
        let hosts = &self.settings.hosts;
        let growth = (1.0 - hosts.start_capacity) * age.max(0.0) / hosts.warm_up.max(1.0);
        (hosts.start_capacity + growth).min(1.0)
    }

    /// The part of its weight that slow start leaves a host now.
    pub(crate) fn slow_start_of(&self, host: &ListedHost) -> f64 {
        self.slow_start_factor(self.clock.now - host.entry.started_at)
    }

    /// A host as it may stand in tables of a zone's proxies.
    pub(crate) fn candidate<'a>(&self, zone: ZoneId, id: &'a HostId, host: &ListedHost) -> Candidate<'a> {
        let weight = host.entry.weight * self.cross_zone_weights.get(zone, host.entry.zone);
        let health = self.health_factor(zone, id);
        Candidate { id, weight, slow_start: self.slow_start_of(host), health }
    }

    /// The weight of a zone's hosts as far as the settings promise it, if all of them are warming.
    pub(crate) fn warming_weight(&self, zone: ZoneId) -> Option<f64> {
        let capacity = |host: &ListedHost| self.promised_capacity(self.clock.now - host.entry.started_at);
        let hosts = || self.hosts.ready_in(zone);
        let weight: f64 = hosts().map(|host| host.entry.weight * capacity(host)).sum();
        let is_warm = weight == 0.0 || hosts().any(|host| capacity(host) >= 1.0);
        (!is_warm).then_some(weight)
    }

    /// Requests a second that all zones' proxies were said to bring.
    pub(crate) fn total_rate(&self) -> f64 {
        self.zone_ids().map(|zone| self.proxies.rate_in_zone(zone)).sum()
    }

    /// What clients asked of a class of late, in all zones.
    pub(crate) fn class_demand(&self, class: ClassId) -> f64 {
        self.zones.iter().map(|zone| zone.demand[class].attempts).sum()
    }

    /// The part of the requests that may cross zones: those of classes that are not bound to one.
    pub(crate) fn movable_part(&self) -> f64 {
        let demand = |is_zone_bound: bool| -> f64 {
            let classes = self.settings.classes.iter().enumerate();
            let of_kind = classes.filter(|(_, class)| class.is_zone_bound == is_zone_bound);
            of_kind.map(|(class, _)| self.class_demand(class) + 1e-6).sum()
        };
        demand(false) / (demand(false) + demand(true))
    }

    /// The target latency of the mean request.
    pub(crate) fn mean_target_latency(&self) -> Ms {
        let demand = |class: ClassId| self.class_demand(class) + 1e-6;
        let all: f64 = (0..self.settings.classes.len()).map(demand).sum();
        let classes = self.settings.classes.iter().enumerate();
        classes.map(|(id, class)| class.target_latency.max(1.0) * demand(id) / all).sum()
    }

    /// What would be admitted of what clients asked of late, at a level.
    pub(crate) fn admitted_demand(&self, zone: ZoneId, level: f64) -> f64 {
        let admitted = |(class, demand): (ClassId, &AttemptTotals)| {
            demand.attempts * level.powf(self.shedding_exponent(class))
        };
        self.zones[zone].demand.iter().enumerate().map(admitted).sum::<f64>()
    }

    /// 1 for the class of least value for its latency, less for dearer ones: their levels fall by that power.
    pub(crate) fn shedding_exponent(&self, class: ClassId) -> f64 {
        let density = |class: &RequestClass| class.value.max(1e-6) / class.target_latency.max(1.0);
        let classes = &self.settings.classes;
        classes.iter().map(density).fold(f64::INFINITY, f64::min) / density(&classes[class])
    }

    /// What comes to each zone's proxies. Those of other directors are taken for average ones: spread over
    /// the zones like one's own, or over the other zones where proxies join a director of their own zone.
    pub(crate) fn demand_by_zone(&self) -> Vec<f64> {
        let fleet = &self.settings.fleet;
        let mut seen = vec![0.0; self.zones.len()];
        for proxy in self.proxies.by_id.values() {
            seen.get_mut(proxy.zone).into_iter().for_each(|sum| *sum += proxy.traffic.attempts);
        }
        let others = fleet.proxies.saturating_sub(self.proxies.by_id.len()) as f64;
        let unseen = others * positive_sum(&seen) / self.proxies.by_id.len().max(1) as f64;
        let share = |zone: ZoneId| {
            if fleet.is_zonal { f64::from(fleet.own_zone != Some(zone)) } else { seen[zone] }
        };
        let all = self.zone_ids().map(share).sum::<f64>().max(1e-9);
        self.zone_ids().map(|zone| seen[zone] + unseen * share(zone) / all).collect()
    }

    /// What each zone has to carry and can.
    pub(crate) fn zone_balances(&self) -> Vec<ZoneBalance> {
        let (demand, mut capacity) = (self.demand_by_zone(), vec![0.0; self.zones.len()]);
        for (host, listed) in self.hosts.ready() {
            let part = self.slow_start_of(listed)
                * self.health_factor(listed.entry.zone, host)
                * listed.entry.weight;
            capacity.get_mut(listed.entry.zone).into_iter().for_each(|sum| *sum += part);
        }
        let (least, load) =
            (MIN_ZONE_CAPACITY * positive_sum(&capacity), positive_sum(&demand) / positive_sum(&capacity));
        let movable_part = self.movable_part();
        let balance = |(capacity, demand): (f64, &f64)| {
            let capacity = capacity.max(least);
            let bound = demand * (1.0 - movable_part);
            let room = (load * capacity - bound).max(MIN_ZONE_ROOM * load * capacity);
            let movable = demand * movable_part;
            ZoneBalance { movable, capacity, room, spare: (room - movable).max(0.0) }
        };
        capacity.into_iter().zip(&demand).map(balance).collect()
    }

    /// What each pool has to carry, and its listed weight, as seen from a zone.
    pub(crate) fn pool_loads(&self, zone: ZoneId) -> Vec<PoolLoad> {
        let nearness = |other: ZoneId| self.cross_zone_weights.get(zone, other);
        let mut loads = vec![PoolLoad { attempts: 0.0, weight: 1e-6 }; self.hosts.pools()];
        for (_, host) in self.hosts.ready() {
            if let Some(load) = host.pool.and_then(|pool| loads.get_mut(pool)) {
                load.weight += host.entry.weight * nearness(host.entry.zone);
            }
        }
        for proxy in self.proxies.by_id.values() {
            loads[proxy.pool % self.hosts.pools()].attempts += proxy.traffic.attempts * nearness(proxy.zone);
        }
        loads
    }
}

/// The sum of some values; a little at least, as it is divided by.
pub(crate) fn positive_sum(values: &[f64]) -> f64 {
    values.iter().sum::<f64>().max(1e-9)
}

/// Where the least value is; the first of equal ones.
pub(crate) fn index_of_min(values: &[f64]) -> usize {
    (0..values.len()).min_by(|a, b| values[*a].total_cmp(&values[*b])).unwrap_or(0)
}

/// Where the largest value is; the first of equal ones.
pub(crate) fn index_of_max(values: &[f64]) -> usize {
    (0..values.len()).min_by(|a, b| values[*b].total_cmp(&values[*a])).unwrap_or(0)
}
