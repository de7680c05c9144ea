//! Demand of clients by zone, class and pool, and the capacity of the hosts.

use crate::constants::{MIN_ZONE_CAPACITY, MIN_ZONE_HEADROOM};
use crate::director::Director;
use crate::interface::{ClassId, HostId, Ms, RequestClass, ZoneId};
use crate::state::{AttemptTotals, Candidate, ListedHost, ZoneBalance};

/// Demand and capacity of a pool. Proxies and hosts of other zones count by their cross-zone weight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolLoad {
    /// Recent attempts at the pool's proxies.
    pub attempts: f64,
    /// Sum of the listed weights of its ready hosts. Positive, as it is used as a divisor.
    pub weight: f64,
}

impl PoolLoad {
    /// Attempts per unit of weight.
    pub fn per_weight(&self) -> f64 {
        self.attempts / self.weight
    }

    /// Attempts per unit of weight once another proxy adds `attempts`.
    pub fn per_weight_with(&self, attempts: f64) -> f64 {
        (self.attempts + attempts) / self.weight
    }
}

impl Director {
    /// Fraction of its capacity that a host has `age` ms after its start according to the settings.
    pub(crate) fn promised_capacity(&self, age: Ms) -> f64 {
        let hosts = &self.settings.hosts;
        let growth = (1.0 - hosts.start_capacity) * age.max(0.0) / hosts.warm_up.max(1.0);
        (hosts.start_capacity + growth).min(1.0)
    }

    pub(crate) fn host_slow_start_factor(&self, host: &ListedHost) -> f64 {
        self.slow_start_factor(self.clock.now - host.entry.started_at)
    }

    /// A host with its weight and factors in tables of a zone's proxies.
    pub(crate) fn candidate<'a>(&self, zone: ZoneId, id: &'a HostId, host: &ListedHost) -> Candidate<'a> {
        let weight = host.entry.weight * self.cross_zone_weights.get(zone, host.entry.zone);
        let health = self.health_factor(zone, id);
        Candidate { id, weight, slow_start: self.host_slow_start_factor(host), health }
    }

    /// Capacity that the settings promise for a zone whose ready hosts are all warming, in units of weight.
    /// `None` if the zone has a warm host or no ready host.
    pub(crate) fn warming_zone_capacity(&self, zone: ZoneId) -> Option<f64> {
        let capacity = |host: &ListedHost| self.promised_capacity(self.clock.now - host.entry.started_at);
        let hosts = || self.hosts.ready_in(zone);
        let weight: f64 = hosts().map(|host| host.entry.weight * capacity(host)).sum();
        let is_warm = weight == 0.0 || hosts().any(|host| capacity(host) >= 1.0);
        (!is_warm).then_some(weight)
    }

    /// Sum of the rates that the joined proxies announced, in requests per second.
    pub(crate) fn total_rate(&self) -> f64 {
        self.zone_ids().map(|zone| self.proxies.rate_in_zone(zone)).sum()
    }

    /// Recent client requests of a class in all zones.
    pub(crate) fn class_demand(&self, class: ClassId) -> f64 {
        self.zones.iter().map(|zone| zone.demand[class].attempts).sum()
    }

    /// Fraction of the client requests whose class is not zone-bound.
    pub(crate) fn cross_zone_fraction(&self) -> f64 {
        let demand = |is_zone_bound: bool| -> f64 {
            let classes = self.settings.classes.iter().enumerate();
            let of_kind = classes.filter(|(_, class)| class.is_zone_bound == is_zone_bound);
            of_kind.map(|(class, _)| self.class_demand(class) + 1e-6).sum()
        };
        demand(false) / (demand(false) + demand(true))
    }

    /// Target latency averaged over the classes, weighted by demand.
    pub(crate) fn mean_target_latency(&self) -> Ms {
        let demand = |class: ClassId| self.class_demand(class) + 1e-6;
        let all: f64 = (0..self.settings.classes.len()).map(demand).sum();
        let classes = self.settings.classes.iter().enumerate();
        classes.map(|(id, class)| class.target_latency.max(1.0) * demand(id) / all).sum()
    }

    /// Recent client requests of a zone that would have been admitted at the admission level `level`.
    pub(crate) fn admitted_demand(&self, zone: ZoneId, level: f64) -> f64 {
        let admitted = |(class, demand): (ClassId, &AttemptTotals)| {
            demand.attempts * level.powf(self.shedding_exponent(class))
        };
        self.zones[zone].demand.iter().enumerate().map(admitted).sum::<f64>()
    }

    /// Exponent that turns a zone's admission level into the quota of a class: 1 for the class with the lowest
    /// value per target latency, smaller for more valuable ones, which are shed later.
    pub(crate) fn shedding_exponent(&self, class: ClassId) -> f64 {
        let density = |class: &RequestClass| class.value.max(1e-6) / class.target_latency.max(1.0);
        let classes = &self.settings.classes;
        classes.iter().map(density).fold(f64::INFINITY, f64::min) / density(&classes[class])
    }

    /// Demand at the proxies of each zone. Proxies of other directors are assumed to have the average demand of
    /// the joined ones. They are spread over the zones like those, or, if proxies join a director of their own
    /// zone, evenly over the other zones.
    pub(crate) fn demand_by_zone(&self) -> Vec<f64> {
        let fleet = &self.settings.fleet;
        let mut known_demand = vec![0.0; self.zones.len()];
        for proxy in self.proxies.by_id.values() {
            known_demand.get_mut(proxy.zone).into_iter().for_each(|sum| *sum += proxy.traffic.attempts);
        }
        let others = fleet.proxies.saturating_sub(self.proxies.by_id.len()) as f64;
        let unknown_demand = others * positive_sum(&known_demand) / self.proxies.by_id.len().max(1) as f64;
        let share = |zone: ZoneId| {
            if fleet.is_zonal { f64::from(fleet.own_zone != Some(zone)) } else { known_demand[zone] }
        };
        let all = self.zone_ids().map(share).sum::<f64>().max(1e-9);
        self.zone_ids().map(|zone| known_demand[zone] + unknown_demand * share(zone) / all).collect()
    }

    /// Demand and capacity of each zone, by zone number.
    pub(crate) fn zone_balances(&self) -> Vec<ZoneBalance> {
        let (demand, mut capacity) = (self.demand_by_zone(), vec![0.0; self.zones.len()]);
        for (host, listed) in self.hosts.ready() {
            let part = self.host_slow_start_factor(listed)
                * self.health_factor(listed.entry.zone, host)
                * listed.entry.weight;
            capacity.get_mut(listed.entry.zone).into_iter().for_each(|sum| *sum += part);
        }
        let (min_capacity, load) =
            (MIN_ZONE_CAPACITY * positive_sum(&capacity), positive_sum(&demand) / positive_sum(&capacity));
        let cross_zone_fraction = self.cross_zone_fraction();
        let balance = |(capacity, demand): (f64, &f64)| {
            let capacity = capacity.max(min_capacity);
            let bound = demand * (1.0 - cross_zone_fraction);
            let headroom = (load * capacity - bound).max(MIN_ZONE_HEADROOM * load * capacity);
            let movable = demand * cross_zone_fraction;
            ZoneBalance { movable, capacity, headroom, spare_capacity: (headroom - movable).max(0.0) }
        };
        capacity.into_iter().zip(&demand).map(balance).collect()
    }

    /// The load of each pool, with cross-zone weights as seen from `zone`.
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

/// Sum of the values, at least 1e-9 so that it can be used as a divisor.
pub(crate) fn positive_sum(values: &[f64]) -> f64 {
    values.iter().sum::<f64>().max(1e-9)
}

/// Index of the smallest value. The first of equal values wins; 0 if there are none.
pub(crate) fn index_of_min(values: &[f64]) -> usize {
    (0..values.len()).min_by(|a, b| values[*a].total_cmp(&values[*b])).unwrap_or(0)
}

/// Index of the largest value. The first of equal values wins; 0 if there are none.
pub(crate) fn index_of_max(values: &[f64]) -> usize {
    (0..values.len()).min_by(|a, b| values[*b].total_cmp(&values[*a])).unwrap_or(0)
}
