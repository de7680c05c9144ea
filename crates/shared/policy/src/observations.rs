//! What proxies observed at hosts, and how far that falls short.

use crate::director::Director;
use crate::interface::{ByHost, HostId, ZoneId};
use crate::state::AttemptTotals;
use crate::constants::SATURATED_LATENCY;

impl Director {
    /// What proxies of a zone observed at each live host, as far as the reports are recent.
    pub(crate) fn observed_in_zone(&self, zone: ZoneId) -> ByHost<AttemptTotals> {
        let recent = self.reports.recent();
        let of_zone = recent.filter(|(reporting, host, _)| *reporting == zone && self.hosts.is_judged(host));
        of_zone.map(|(_, host, totals)| (host.clone(), totals.clone())).collect()
    }

    /// The same, all hosts together.
    pub(crate) fn totals_of_zone(&self, zone: ZoneId) -> AttemptTotals {
        AttemptTotals::sum(self.observed_in_zone(zone).values())
    }

    /// What proxies of all zones observed at each live host, as far as the reports are recent.
    pub(crate) fn observed_by_host(&self) -> ByHost<AttemptTotals> {
        let mut hosts: ByHost<AttemptTotals> = ByHost::new();
        for (_, host, totals) in self.reports.recent().filter(|(_, host, _)| self.hosts.is_judged(host)) {
            let sum = hosts.entry(host.clone()).or_default();
            *sum = sum.plus(totals);
        }
        hosts
    }

    /// How far attempts fall short: 1 is where they begin to miss the target latency; a failed one loses all
    /// of it.
    pub(crate) fn saturation(&self, totals: &AttemptTotals) -> f64 {
        let target = self.mean_target_latency();
        (totals.latency + totals.failed * target) / (totals.attempts.max(1e-9) * SATURATED_LATENCY * target)
    }

    /// What proxies of a zone observed at each live host, old reports included.
    pub(crate) fn reports_of_zone(&self, zone: ZoneId) -> impl Iterator<Item = (&HostId, &AttemptTotals)> {
        let of_zone = self.reports.iter().filter(move |(reporting, _, _)| *reporting == zone);
        of_zone.map(|(_, host, totals)| (host, totals)).filter(|(host, _)| self.hosts.is_judged(host))
    }

    /// What proxies of a zone observed at its least saturated hosts, as many as took a part of all attempts.
    pub(crate) fn observed_at_least_saturated(&self, zone: ZoneId, part: f64) -> AttemptTotals {
        let hosts = self.observed_in_zone(zone);
        let mut left = part * hosts.values().map(|totals| totals.attempts).sum::<f64>();
        let mut by_saturation: Vec<(f64, &AttemptTotals)> =
            hosts.values().map(|totals| (self.saturation(totals), totals)).collect();
        by_saturation.sort_by(|a, b| a.0.total_cmp(&b.0));
        by_saturation.retain(|(_, totals)| {
            let is_counted = left > 0.0;
            left -= totals.attempts;
            is_counted
        });
        AttemptTotals::sum(by_saturation.into_iter().map(|(_, totals)| totals))
    }
}
