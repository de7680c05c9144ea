//! Removal of unlisted hosts, and assignment of hosts and proxies to pools.

use crate::constants::{PLANNED_POOL_HOSTS, REBALANCE_MARGIN};
use crate::demand::{PoolLoad, index_of_max, index_of_min};
use crate::director::Director;
use crate::interface::{HostId, ZoneId};
use crate::state::{AttemptTotals, ListedHost, Proxy};

impl Director {
    /// Handles a host that is no longer listed and returns whether it stays in use. If the settings allow it,
    /// a ready host stays until reports confirm the loss, as a faulty list can omit most of the fleet.
    pub(crate) fn remove_from_list(&mut self, host: &HostId) -> bool {
        let Some(listed) = self.hosts.by_id.get_mut(host) else { return false };
        let stays = self.settings.hosts.may_keep_unlisted && listed.is_ready();
        if stays {
            listed.mark_missing(self.clock.now)
        } else {
            listed.mark_gone()
        }
        stays
    }

    /// Marks missing hosts as gone if most attempts fail, or if no report about them has arrived since.
    pub(crate) fn confirm_missing_hosts(&mut self) {
        let (now, zones, silence) = (self.clock.now, self.zone_ids(), 2.0 * self.reports.feedback_delay);
        for (host, listed) in self.hosts.by_id.iter_mut() {
            let Some(since) = listed.missing_since else { continue };
            let reports = zones.clone().filter_map(|zone| self.reports.get(zone, host));
            let totals = AttemptTotals::sum(reports.filter(|totals| totals.updated_at > since));
            let is_silent = totals.attempts == 0.0 && now - since > silence;
            if totals.failed > 0.5 * totals.attempts || is_silent {
                listed.mark_gone();
            }
        }
    }

    /// Assigns the ready hosts of each zone to pools by listed weight. The pool count never decreases.
    pub(crate) fn assign_pools(&mut self) {
        let needed_pools = self.hosts.ready().count().div_ceil(PLANNED_POOL_HOSTS);
        self.hosts.pool_count = self.hosts.pools().max(needed_pools);
        self.zone_ids().for_each(|zone| self.assign_pools_in(zone));
    }

    /// Assigns new hosts to the lightest pool. Existing hosts move only from the heaviest pool to one that,
    /// with the host, still has less than half of its weight.
    fn assign_pools_in(&mut self, zone: ZoneId) {
        let mut weights = vec![0.0; self.hosts.pool_count];
        let hosts: Vec<&mut ListedHost> = self.hosts.ready_in_mut(zone).collect();
        for host in &hosts {
            host.pool.into_iter().for_each(|pool| weights[pool] += host.entry.weight);
        }
        for host in hosts {
            let (lightest, heaviest) = (index_of_min(&weights), index_of_max(&weights));
            let is_uneven = weights[lightest] + host.entry.weight < weights[heaviest] / 2.0;
            if host.pool.is_none() || host.pool == Some(heaviest) && is_uneven {
                host.pool.into_iter().for_each(|previous| weights[previous] -= host.entry.weight);
                host.pool = Some(lightest);
                weights[lightest] += host.entry.weight;
            }
        }
    }

    /// The pool that would have the lowest load per weight with `attempts` more, for a proxy that joins.
    pub(crate) fn pool_for_join(&self, zone: ZoneId, attempts: f64) -> usize {
        let loads = self.pool_loads(zone);
        index_of_min(&loads.iter().map(|load| load.per_weight_with(attempts)).collect::<Vec<_>>())
    }

    /// Moves at most one proxy per zone from the most to the least loaded pool, the busiest that fits.
    pub(crate) fn rebalance_pools(&mut self) {
        for zone in self.zone_ids() {
            let loads = self.pool_loads(zone);
            let per_weight: Vec<f64> = loads.iter().map(PoolLoad::per_weight).collect();
            let (target, source) = (index_of_min(&per_weight), index_of_max(&per_weight));
            let fits = |proxy: &Proxy| {
                loads[target].per_weight_with(proxy.traffic.attempts) * REBALANCE_MARGIN < per_weight[source]
            };
            let proxies = self.proxies.by_id.values_mut();
            let movable = proxies.filter(|proxy| proxy.zone == zone && proxy.pool == source && fits(proxy));
            let busiest = movable.max_by(|a, b| a.traffic.attempts.total_cmp(&b.traffic.attempts));
            busiest.into_iter().for_each(|proxy| proxy.pool = target);
        }
    }
}
