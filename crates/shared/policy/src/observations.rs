//! Aggregated reports of proxies about hosts, and the saturation derived from them.

use crate::constants::SATURATED_LATENCY_RATIO;
use crate::director::Director;
use crate::interface::{ByHost, HostId, ZoneId};
use crate::state::AttemptTotals;

impl Director {
    /// Recent totals of a zone's proxies, by live host.
    pub(crate) fn observed_in_zone(&self, zone: ZoneId) -> ByHost<AttemptTotals> {
        let recent = self.reports.recent();
        let of_zone =
            recent.filter(|(reporting, host, _)| *reporting == zone && self.hosts.is_evaluated(host));
        of_zone.map(|(_, host, totals)| (host.clone(), totals.clone())).collect()
    }

    /// Recent totals of a zone's proxies, summed over all live hosts.
    pub(crate) fn totals_of_zone(&self, zone: ZoneId) -> AttemptTotals {
        AttemptTotals::sum(self.observed_in_zone(zone).values())
    }

    /// Recent totals of the proxies of all zones, by live host.
    pub(crate) fn observed_by_host(&self) -> ByHost<AttemptTotals> {
        let mut hosts: ByHost<AttemptTotals> = ByHost::new();
        for (_, host, totals) in self.reports.recent().filter(|(_, host, _)| self.hosts.is_evaluated(host)) {
            let sum = hosts.entry(host.clone()).or_default();
            *sum = sum.plus(totals);
        }
        hosts
    }

    /// Mean latency relative to the latency at which attempts begin to miss their target, which is saturation
    /// 1. A failed attempt counts with the full target latency.
    pub(crate) fn saturation(&self, totals: &AttemptTotals) -> f64 {
        let target = self.mean_target_latency();
        (totals.latency + totals.failed * target)
            / (totals.attempts.max(1e-9) * SATURATED_LATENCY_RATIO * target)
    }

    /// Totals of a zone's proxies by live host, including ones that are not recent.
    pub(crate) fn reports_of_zone(&self, zone: ZoneId) -> impl Iterator<Item = (&HostId, &AttemptTotals)> {
        let of_zone = self.reports.iter().filter(move |(reporting, _, _)| *reporting == zone);
        of_zone.map(|(_, host, totals)| (host, totals)).filter(|(host, _)| self.hosts.is_evaluated(host))
    }

    /// Recent totals of a zone's proxies at their least saturated hosts, which together received at least
    /// `fraction` of all attempts.
    pub(crate) fn observed_at_least_saturated_hosts(&self, zone: ZoneId, fraction: f64) -> AttemptTotals {
        let hosts = self.observed_in_zone(zone);
        let mut remaining = fraction * hosts.values().map(|totals| totals.attempts).sum::<f64>();
        let mut by_saturation: Vec<(f64, &AttemptTotals)> =
            hosts.values().map(|totals| (self.saturation(totals), totals)).collect();
        by_saturation.sort_by(|a, b| a.0.total_cmp(&b.0));
        by_saturation.retain(|(_, totals)| {
            let is_counted = remaining > 0.0;
            remaining -= totals.attempts;
            is_counted
        });
        AttemptTotals::sum(by_saturation.into_iter().map(|(_, totals)| totals))
    }
}
