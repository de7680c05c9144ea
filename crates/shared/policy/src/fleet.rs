//! The list of hosts, and how hosts and proxies are dealt to pools.

use crate::{books::*, interface::*, state::*, tuned::*};
use std::collections::BTreeSet;

impl Director {
    /// The list: deltas apply to the one held, a complete one removes what it doesn't name.
    pub(crate) fn listed(&mut self, kind: HostListKind, entries: Vec<HostEntry>) {
        if kind == HostListKind::Unavailable {
            return self
                .out
                .push(Action::StartTimer { token: "ask".into(), at: self.now + self.s.report_interval });
        }
        let named: BTreeSet<HostId> = entries.iter().map(|e| e.host.clone()).collect();
        let missing = |h: &&HostId| kind != HostListKind::Delta && !named.contains(*h);
        let missing: Vec<HostId> = self.list.keys().filter(missing).cloned().collect();
        missing.iter().for_each(|host| _ = self.dropped(host));
        for mut entry in entries {
            if entry.readiness == Readiness::Gone && self.dropped(&entry.host) {
                continue;
            }
            entry.weight = if entry.weight > 0.0 { entry.weight.min(1e6) } else { 1.0 };
            entry.started_at = if entry.started_at > 0.0 { entry.started_at } else { f64::NEG_INFINITY };
            let restarted = self.list.get(&entry.host).is_some_and(|l| l.entry.started_at < entry.started_at);
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
    pub(crate) fn dropped(&mut self, host: &HostId) -> bool {
        let Some(l) = self.list.get_mut(host) else { return false };
        let stays = self.s.hosts.may_keep_unlisted && l.entry.readiness == Readiness::Ready;
        l.doubted = if stays { l.doubted.or(Some(self.now)) } else { None };
        l.entry.readiness = if stays { Readiness::Ready } else { Readiness::Gone };
        stays
    }

    /// Believes the list about hosts that fail, or of which nothing was heard since.
    pub(crate) fn believe(&mut self) {
        for (host, l) in self.list.iter_mut() {
            let Some(since) = l.doubted else { continue };
            let mine = (0..self.s.fleet.zones.max(1)).filter_map(|z| self.sums.get(&(z, host.clone())));
            let s = total(mine.filter(|s| s.at > since));
            if s.failed > 0.5 * s.tries || s.tries == 0.0 && self.now - since > 2.0 * self.pause {
                (l.entry.readiness, l.doubted) = (Readiness::Gone, None);
            }
        }
    }

    /// Deals hosts to pools, each zone's by listed weight. Pools grow in number with the list; hosts stay in
    /// theirs, but where one has under half of another's weight.
    pub(crate) fn deal(&mut self) {
        let ready = |l: &Listed| l.entry.readiness == Readiness::Ready;
        self.pools =
            self.pools.max(self.list.values().filter(|l| ready(l)).count().div_ceil(POOL_PLAN)).max(1);
        for zone in 0..self.s.fleet.zones.max(1) {
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

    /// Moves one proxy a round and zone to a pool that has much less to carry.
    pub(crate) fn even_out(&mut self) {
        for zone in 0..self.s.fleet.zones.max(1) {
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
