//! Outlier detection from reports: ejection of failing hosts and derating of saturated ones.

use crate::constants::{
    BASE_EJECTION_TIME, DERATE_RECOVERY_DELAYS, DERATE_SATURATION, DERATE_STEP, EJECTION_FAILURE_RATIO,
    HEALTHY_SATURATION, LOW_FAILURE_DERATE_SATURATION, MIN_DERATE_ATTEMPTS, MIN_DERATING_FACTOR,
    MIN_EJECTION_ATTEMPTS, MIN_REMAINING_FRACTION, OVERLOAD_FAILURE_RATIO, REPRESENTATIVE_FRACTION,
    SLOW_START_DURATION,
};
use crate::director::Director;
use crate::interface::{ByHost, HostId, ZoneId};
use crate::state::{AttemptTotals, Derating, Outlier, ZonePressure};

impl Director {
    /// Weight factor of a host in tables of a zone's proxies, from 0 (ejected) to 1 (healthy).
    pub(crate) fn health_factor(&self, zone: ZoneId, host: &HostId) -> f64 {
        let derated = self.host_health.deratings.get(host).map_or(1.0, |derating| derating.factor);
        match self.host_health.ejections.get(host).filter(|ejection| ejection.zones.contains(&zone)) {
            None => derated,
            Some(ejection) if self.clock.now < ejection.until => 0.0,
            Some(ejection) => derated * self.slow_start_factor(self.clock.now - ejection.until),
        }
    }

    /// Ends completed ejections, ejects failing hosts and derates saturated ones. Called once per round.
    pub(crate) fn update_host_health(&mut self) {
        self.end_ejections();
        for (host, outlier) in self.outliers() {
            self.eject(host, outlier);
        }
        self.derate_hosts();
    }

    /// Removes ejections whose slow start is complete. The slow start of an ejected host begins at its first
    /// successful attempt after the ejection; until then the host stays at the first step.
    fn end_ejections(&mut self) {
        let now = self.clock.now;
        let duration = SLOW_START_DURATION.max(self.settings.hosts.warm_up);
        self.host_health.ejections.retain(|host, ejection| {
            if now >= ejection.until && !ejection.has_recovered {
                let reports = ejection.zones.iter().filter_map(|zone| self.reports.get(*zone, host));
                ejection.has_recovered = reports.into_iter().any(|totals| totals.successes() >= 0.5);
                ejection.until = if ejection.has_recovered { ejection.until } else { now };
            }
            now - ejection.until < duration
        });
    }

    /// Hosts at which almost all attempts from some zones fail, while other hosts can absorb their load.
    fn outliers(&self) -> ByHost<Outlier> {
        let mut outliers: ByHost<Outlier> = ByHost::new();
        let fails = |totals: &AttemptTotals| totals.reaches_failure_ratio(EJECTION_FAILURE_RATIO);
        for zone in self.zone_ids() {
            let reports = || self.reports_of_zone(zone);
            let totals = || reports().map(|(_, totals)| totals);
            let healthy = AttemptTotals::sum(totals().filter(|totals| !fails(totals)));
            let attempts: f64 = totals().map(|totals| totals.attempts).sum();
            let can_absorb = healthy.attempts >= MIN_EJECTION_ATTEMPTS.max(MIN_REMAINING_FRACTION * attempts)
                && healthy.failed <= OVERLOAD_FAILURE_RATIO * healthy.attempts;
            for (host, totals) in reports().filter(|(_, totals)| can_absorb && fails(totals)) {
                let outlier = outliers.entry(host.clone()).or_default();
                outlier.attempts += totals.attempts;
                outlier.zones.insert(zone);
            }
        }
        outliers
    }

    fn eject(&mut self, host: HostId, outlier: Outlier) {
        let now = self.clock.now;
        let ejection = self.host_health.ejections.entry(host.clone()).or_default();
        let is_new = now >= ejection.until || !outlier.zones.is_subset(&ejection.zones);
        let needed = if ejection.count > 0 { MIN_EJECTION_ATTEMPTS / 2.0 } else { MIN_EJECTION_ATTEMPTS };
        if is_new && outlier.attempts >= needed {
            self.reports.remove_in_zones(&outlier.zones, &host);
            let duration = BASE_EJECTION_TIME * f64::from(1 << ejection.count.min(2));
            self.outbox.log(format!("event=host_ejected host={host} {outlier}"));
            ejection.begin(now + duration, outlier.zones);
        }
    }

    /// Lowers the weight of hosts that are at least twice as saturated as the rest, in steps, and raises it
    /// again once they are healthy. A permanently slow host therefore regains weight from time to time.
    fn derate_hosts(&mut self) {
        let (hosts, now, delay) = (self.observed_by_host(), self.clock.now, self.reports.feedback_delay);
        let all = AttemptTotals::sum(hosts.values());
        for (host, totals) in hosts.iter().filter(|(_, totals)| totals.attempts >= MIN_DERATE_ATTEMPTS) {
            let Derating { factor, changed_at } = self.host_health.derating(host);
            let (own, others) = (self.saturation(totals), self.saturation(&all.minus(totals)));
            let has_few_failures = totals.failed < OVERLOAD_FAILURE_RATIO * totals.attempts;
            let threshold = if has_few_failures { LOW_FAILURE_DERATE_SATURATION } else { DERATE_SATURATION };
            let is_outlier = own > threshold && own > 2.0 * others;
            let age = now - changed_at;
            let is_stable = own < HEALTHY_SATURATION && age >= DERATE_RECOVERY_DELAYS * delay;
            let recovers = factor < 1.0 && is_stable;
            if recovers || is_outlier && age >= delay {
                let reduced = (factor * DERATE_STEP).max(MIN_DERATING_FACTOR);
                let factor = if recovers { (factor / DERATE_STEP).min(1.0) } else { reduced };
                self.host_health.deratings.insert(host.clone(), Derating { factor, changed_at: now });
                self.outbox.log(format!(
                    "event=host_derated host={host} part={factor:.2} saturation={own:.2} others={others:.2}"
                ));
            }
        }
    }

    /// Saturation and failure ratio at the least saturated hosts of a zone, or `None` without recent reports.
    pub(crate) fn zone_pressure(&self, zone: ZoneId) -> Option<ZonePressure> {
        let all = self.observed_at_least_saturated_hosts(zone, REPRESENTATIVE_FRACTION);
        // A saturated host responds late. If successful attempts are fast, failures have another cause.
        let good = all.successful();
        let has_good = good.attempts >= MIN_REMAINING_FRACTION * all.attempts;
        let all = if has_good && self.saturation(&good) < HEALTHY_SATURATION { good } else { all };
        let (saturation, failure_ratio) = (self.saturation(&all), all.failed / all.attempts);
        (all.attempts >= 1.0).then_some(ZonePressure { saturation, failure_ratio })
    }
}
