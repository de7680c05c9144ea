//! Health from the reports: an outlier is ejected and comes back by slow start, a saturated host loses
//! weight.

use crate::director::Director;
use crate::interface::{ByHost, HostId, ZoneId};
use crate::state::{AttemptTotals, Derating, Outlier, ZonePressure};
use crate::constants::{
    BASE_EJECTION_TIME, CALM_DERATE_SATURATION, DERATE_ATTEMPTS, DERATE_RECOVERY_DELAYS, DERATE_SATURATION,
    DERATE_STEP, EJECTION_ATTEMPTS, EJECTION_FAILURES, HEALTHY_SATURATION, MIN_DERATED_PART,
    MIN_REMAINING_PART, OVERLOAD_FAILURES, REPRESENTATIVE_PART, SLOW_START_DURATION,
};

impl Director {
    /// The part of its weight that a host's health leaves it in tables of a zone's proxies.
    pub(crate) fn health_factor(&self, zone: ZoneId, host: &HostId) -> f64 {
        let derated = self.verdicts.deratings.get(host).map_or(1.0, |derating| derating.part);
        match self.verdicts.ejections.get(host).filter(|ejection| ejection.zones.contains(&zone)) {
            None => derated,
            Some(ejection) if self.clock.now < ejection.until => 0.0,
            Some(ejection) => derated * self.slow_start_factor(self.clock.now - ejection.until),
        }
    }

    /// Ejects hosts that answer (almost) nothing to a zone's proxies while the rest serve them well: hung,
    /// silent, refusing, or cut off. Slow ones still carry load. Harm: a good host may go out by chance.
    pub(crate) fn judge_hosts(&mut self) {
        self.end_ejections();
        for (host, outlier) in self.outliers() {
            self.eject(host, outlier);
        }
        self.derate_hosts();
    }

    /// A host that is back is eased in from its first good answer on; until then it stays at the first step.
    fn end_ejections(&mut self) {
        let now = self.clock.now;
        let duration = SLOW_START_DURATION.max(self.settings.hosts.warm_up);
        self.verdicts.ejections.retain(|host, ejection| {
            if now >= ejection.until && !ejection.has_recovered {
                let reports = ejection.zones.iter().filter_map(|zone| self.reports.get(*zone, host));
                ejection.has_recovered = reports.into_iter().any(|totals| totals.successes() >= 0.5);
                ejection.until = if ejection.has_recovered { ejection.until } else { now };
            }
            now - ejection.until < duration
        });
    }

    /// Hosts that fail for proxies of some zones while others serve these well and can carry the load.
    fn outliers(&self) -> ByHost<Outlier> {
        let mut outliers: ByHost<Outlier> = ByHost::new();
        let fails = |totals: &AttemptTotals| totals.has_failed(EJECTION_FAILURES);
        for zone in self.zone_ids() {
            let reports = || self.reports_of_zone(zone);
            let totals = || reports().map(|(_, totals)| totals);
            let well = AttemptTotals::sum(totals().filter(|totals| !fails(totals)));
            let attempts: f64 = totals().map(|totals| totals.attempts).sum();
            let can_carry = well.attempts >= EJECTION_ATTEMPTS.max(MIN_REMAINING_PART * attempts)
                && well.failed <= OVERLOAD_FAILURES * well.attempts;
            for (host, totals) in reports().filter(|(_, totals)| can_carry && fails(totals)) {
                let outlier = outliers.entry(host.clone()).or_default();
                outlier.attempts += totals.attempts;
                outlier.zones.insert(zone);
            }
        }
        outliers
    }

    fn eject(&mut self, host: HostId, outlier: Outlier) {
        let now = self.clock.now;
        let ejection = self.verdicts.ejections.entry(host.clone()).or_default();
        let is_new = now >= ejection.until || !outlier.zones.is_subset(&ejection.zones);
        let needed = if ejection.count > 0 { EJECTION_ATTEMPTS / 2.0 } else { EJECTION_ATTEMPTS };
        if is_new && outlier.attempts >= needed {
            self.reports.forget_in(&outlier.zones, &host);
            let duration = BASE_EJECTION_TIME * f64::from(1 << ejection.count.min(2));
            self.outbox.log(format!("event=host_ejected host={host} {outlier}"));
            ejection.begin(now + duration, outlier.zones);
        }
    }

    /// Takes weight off a host that lags or fails while the rest are well, by steps: slower than listed,
    /// pausing, hampered in ways no list names, or dead before that is proved. Where all lag alike nobody is
    /// singled out. Harm: a host slow for good is tried again and again.
    fn derate_hosts(&mut self) {
        let (hosts, now, delay) = (self.observed_by_host(), self.clock.now, self.reports.feedback_delay);
        let all = AttemptTotals::sum(hosts.values());
        for (host, totals) in hosts.iter().filter(|(_, totals)| totals.attempts >= DERATE_ATTEMPTS) {
            let Derating { part, changed_at } = self.verdicts.derating(host);
            let (own, others) = (self.saturation(totals), self.saturation(&all.minus(totals)));
            let hardly_fails = totals.failed < OVERLOAD_FAILURES * totals.attempts;
            let threshold = if hardly_fails { CALM_DERATE_SATURATION } else { DERATE_SATURATION };
            let lags = own > threshold && own > 2.0 * others;
            let age = now - changed_at;
            let is_well = own < HEALTHY_SATURATION && age >= DERATE_RECOVERY_DELAYS * delay;
            let gains = part < 1.0 && is_well;
            if gains || lags && age >= delay {
                let lower = (part * DERATE_STEP).max(MIN_DERATED_PART);
                let part = if gains { (part / DERATE_STEP).min(1.0) } else { lower };
                self.verdicts.deratings.insert(host.clone(), Derating { part, changed_at: now });
                self.outbox.log(format!(
                    "event=host_derated host={host} part={part:.2} saturation={own:.2} others={others:.2}"
                ));
            }
        }
    }

    /// Saturation and failed part of the better hosts: what the fleet suffers as a whole.
    pub(crate) fn zone_pressure(&self, zone: ZoneId) -> Option<ZonePressure> {
        let all = self.observed_at_least_saturated(zone, REPRESENTATIVE_PART);
        // Saturated hosts answer late. Where good answers are quick, failures are no matter of load.
        let good = all.successful();
        let has_good = good.attempts >= MIN_REMAINING_PART * all.attempts;
        let all = if has_good && self.saturation(&good) < HEALTHY_SATURATION { good } else { all };
        let (saturation, failed) = (self.saturation(&all), all.failed / all.attempts);
        (all.attempts >= 1.0).then_some(ZonePressure { saturation, failed })
    }
}
