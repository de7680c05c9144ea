//! Admission levels and retry policies, per zone of the proxies.

use crate::constants::{
    ADMISSION_DECREASE, ADMISSION_SEARCH_STEP, CLIENT_RETRY_ADMISSION, EASING_RATIO, FULL_ADMISSION,
    HEALTHY_SATURATION, MAX_ADMISSION_INCREASE, MIN_ADMISSION, MIN_CAPACITY_FRACTION, OVERLOAD_FAILURE_RATIO,
    OVERLOAD_SATURATION, SLOW_START_WEIGHT,
};
use crate::director::Director;
use crate::interface::{ClassId, Idempotency, RetryPolicy, ZoneId};
use crate::state::{Admission, ZonePressure};

impl ZonePressure {
    fn is_overloaded(&self) -> bool {
        self.saturation > OVERLOAD_SATURATION || self.failure_ratio > OVERLOAD_FAILURE_RATIO
    }

    fn is_healthy(&self) -> bool {
        self.saturation < HEALTHY_SATURATION && self.failure_ratio < OVERLOAD_FAILURE_RATIO / 2.0
    }
}

impl Director {
    /// Adjusts a zone's admission level by at most one step per feedback delay, so that each step is based on
    /// reports that already reflect the previous one.
    pub(crate) fn adjust_admission(&mut self, zone: ZoneId) {
        let now = self.clock.now;
        self.zones[zone].may_eject = self.may_eject(zone);
        let Some(pressure) = self.zone_pressure(zone) else { return self.zones[zone].adjusted_at = now };
        self.limit_warming_hosts(zone, &pressure);
        if now - self.zones[zone].adjusted_at >= self.reports.feedback_delay {
            self.step_admission(zone, &pressure);
            self.zones[zone].adjusted_at = now;
        }
    }

    /// Caps warming hosts at the first slow-start step during an overload, and excludes them while proxies
    /// are likely to eject saturated hosts: the remaining traffic would overload the warming ones.
    fn limit_warming_hosts(&mut self, zone: ZoneId, pressure: &ZonePressure) {
        let limit = self.zones[zone].warming_limit;
        let threshold = self.settings.proxies.ejection_failures;
        let can_eject = threshold > 0
            && pressure.failure_ratio.powi(threshold as i32) > OVERLOAD_FAILURE_RATIO
            || limit == 0.0;
        let is_overloaded = pressure.is_overloaded() || limit < 1.0 && !pressure.is_healthy();
        let overload_limit = if can_eject { 0.0 } else { SLOW_START_WEIGHT };
        self.zones[zone].warming_limit = if is_overloaded { overload_limit } else { 1.0 };
    }

    /// Lowers the admitted fraction of the peak capacity while an overload grows, and raises it in a healthy
    /// zone. `MIN_CAPACITY_FRACTION` limits the reaction to reports, which lag behind the load.
    fn step_capacity(&mut self, zone: ZoneId, pressure: &ZonePressure, carried: f64) {
        let state = &mut self.zones[zone];
        let keeps_peak = pressure.is_overloaded() && state.peak_capacity > 0.0;
        state.peak_capacity = if keeps_peak { state.peak_capacity } else { carried.max(state.peak_capacity) };
        let is_easing = pressure.saturation < EASING_RATIO * state.saturation;
        let slack = (HEALTHY_SATURATION / pressure.saturation).min(MAX_ADMISSION_INCREASE);
        let healthy_step = if pressure.is_healthy() { slack } else { 1.0 };
        let step = if pressure.is_overloaded() && !is_easing { ADMISSION_DECREASE } else { healthy_step };
        state.capacity_fraction = (state.capacity_fraction * step).max(MIN_CAPACITY_FRACTION);
        state.saturation = pressure.saturation;
    }

    /// Searches for the highest admission level at which the admitted demand fits the admitted capacity.
    fn step_admission(&mut self, zone: ZoneId, pressure: &ZonePressure) {
        let (totals, rate) = (self.totals_of_zone(zone), self.proxies.rate_in_zone(zone));
        self.step_capacity(zone, pressure, totals.successes() / rate);
        let (is_overloaded, level) = (pressure.is_overloaded(), self.zones[zone].admission);
        let admitted = |level| self.admitted_demand(zone, level);
        // Rejected clients retry, which inflates the demand: fewer attempts reach the hosts than it suggests.
        let has_client_retries = level < CLIENT_RETRY_ADMISSION && !is_overloaded;
        let ratio = if has_client_retries { totals.attempts / admitted(level).max(1e-9) } else { 1.0 };
        let capacity = self.zones[zone].admitted_capacity() * rate / ratio.clamp(MIN_CAPACITY_FRACTION, 1.0);
        let (mut admission, is_limited) = (1.0, is_overloaded || level < 1.0);
        while is_limited && admission > MIN_ADMISSION && admitted(admission) > capacity {
            admission *= ADMISSION_SEARCH_STEP;
        }
        if !is_overloaded && admission > FULL_ADMISSION {
            (admission, self.zones[zone].capacity_fraction) = (1.0, 1.0);
        }
        self.set_admission(zone, admission, pressure);
    }

    /// Whether a typical proxy sends enough attempts to one host to reach the number of consecutive failures
    /// at which proxies eject it. The average is weighted by attempts, so busy proxies count for more.
    fn may_eject(&self, zone: ZoneId) -> bool {
        let attempts = || self.proxies.in_zone(zone).map(|proxy| proxy.traffic.attempts);
        let typical_attempts = attempts().map(|n| n * n).sum::<f64>() / attempts().sum::<f64>().max(1e-9);
        let pool_hosts = self.hosts.ready_in(zone).count() as f64 / self.hosts.pools() as f64;
        let threshold = self.settings.proxies.ejection_failures;
        threshold > 0 && typical_attempts / pool_hosts.max(1.0) >= f64::from(threshold)
    }

    /// Quota and retry policy of a class. Classes that are not idempotent retry only attempts that provably
    /// did not run. In an overload nothing is retried, as that would saturate further hosts.
    pub(crate) fn admission(&self, zone: ZoneId, class: ClassId) -> Admission {
        let state = self.zone(zone);
        let quota = state.admission.powf(self.shedding_exponent(class));
        let is_idempotent = self.settings.classes[class].idempotency == Idempotency::Idempotent;
        let safe = if is_idempotent { RetryPolicy::TwiceAfterFailure } else { RetryPolicy::OnceIfNotRun };
        let allowed = self.settings.proxies.retry_policy.min(safe);
        let retry_policy = if state.warming_limit < 1.0 { RetryPolicy::Never } else { allowed };
        Admission { quota: (quota * 100.0).round().max(1.0) / 100.0, retry_policy }
    }
}
