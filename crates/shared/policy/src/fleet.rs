//! Which hosts the list is believed about, and how hosts and proxies are assigned to pools.

use crate::demand::{PoolLoad, index_of_max, index_of_min};
use crate::director::Director;
use crate::interface::{HostId, ZoneId};
use crate::state::{AttemptTotals, ListedHost, Proxy};
use crate::constants::{PLANNED_POOL_HOSTS, REBALANCE_MARGIN};

impl Director {
    /// A host that was not draining is no longer listed. Where that doesn't bind, what its proxies meet there
    /// decides: a list can be wrong about most of the fleet. Harm: a dead host is tried until reports tell.
    /// Answers whether it stays.
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

    /// Believes the list about missing hosts that fail, or of which nothing was reported since.
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

    /// Assigns hosts to pools, each zone's by listed weight. Pools grow in number with the list.
    pub(crate) fn assign_pools(&mut self) {
        let needed = self.hosts.ready().count().div_ceil(PLANNED_POOL_HOSTS);
        self.hosts.pool_count = self.hosts.pools().max(needed);
        self.zone_ids().for_each(|zone| self.assign_pools_in(zone));
    }

    /// Hosts stay in their pool, but where one has under half of another's weight.
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
                host.pool.into_iter().for_each(|former| weights[former] -= host.entry.weight);
                host.pool = Some(lightest);
                weights[lightest] += host.entry.weight;
            }
        }
    }

    /// The pool that has least to carry with a proxy more that brings so many attempts.
    pub(crate) fn pool_for_join(&self, zone: ZoneId, attempts: f64) -> usize {
        let loads = self.pool_loads(zone);
        index_of_min(&loads.iter().map(|load| load.per_weight_with(attempts)).collect::<Vec<_>>())
    }

    /// Moves one proxy a round and zone to a pool that has much less to carry.
    pub(crate) fn rebalance_pools(&mut self) {
        for zone in self.zone_ids() {
            let loads = self.pool_loads(zone);
            let per_weight: Vec<f64> = loads.iter().map(PoolLoad::per_weight).collect();
            let (least, most) = (index_of_min(&per_weight), index_of_max(&per_weight));
            let fits = |proxy: &Proxy| {
                loads[least].per_weight_with(proxy.traffic.attempts) * REBALANCE_MARGIN < per_weight[most]
            };
            let proxies = self.proxies.by_id.values_mut();
            let movable = proxies.filter(|proxy| proxy.zone == zone && proxy.pool == most && fits(proxy));
            let busiest = movable.max_by(|a, b| a.traffic.attempts.total_cmp(&b.traffic.attempts));
            busiest.into_iter().for_each(|proxy| proxy.pool = least);
        }
    }
}
