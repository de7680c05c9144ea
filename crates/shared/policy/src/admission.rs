//! Admission levels and retries, by zone of the proxies.

use crate::director::Director;
use crate::interface::{ClassId, Idempotency, RetryPolicy, ZoneId};
use crate::state::{Admission, ZonePressure};
use crate::constants::{
    ADMISSION_DECREASE, ADMISSION_SEARCH_STEP, EASING_PART, HEALTHY_SATURATION, MAX_ADMISSION_INCREASE,
    MIN_ADMISSION, MIN_CAPACITY_PART, OPEN_ADMISSION, OVERLOAD_FAILURES, OVERLOAD_SATURATION,
    REOPENED_ADMISSION, SLOW_START_WEIGHT,
};

impl ZonePressure {
    fn is_overloaded(&self) -> bool {
        self.saturation > OVERLOAD_SATURATION || self.failed > OVERLOAD_FAILURES
    }

    fn is_healthy(&self) -> bool {
        self.saturation < HEALTHY_SATURATION && self.failed < OVERLOAD_FAILURES / 2.0
    }
}

impl Director {
    /// Moves the admission levels of a zone's proxies a step at a time, once the totals show the last one.
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

    /// In an overload warming hosts stay at the first step, or out while proxies are taken to eject others.
    fn limit_warming_hosts(&mut self, zone: ZoneId, pressure: &ZonePressure) {
        let limit = self.zones[zone].warming_limit;
        let in_a_row = self.settings.proxies.ejection_failures;
        let eject = in_a_row > 0 && pressure.failed.powi(in_a_row as i32) > OVERLOAD_FAILURES || limit == 0.0;
        let is_overloaded = pressure.is_overloaded() || limit < 1.0 && !pressure.is_healthy();
        let overload_limit = if eject { 0.0 } else { SLOW_START_WEIGHT };
        self.zones[zone].warming_limit = if is_overloaded { overload_limit } else { 1.0 };
    }

    /// An overload is cut to a part of what the hosts were seen to carry, never to nothing on late evidence.
    fn step_capacity(&mut self, zone: ZoneId, pressure: &ZonePressure, carried: f64) {
        let state = &mut self.zones[zone];
        let keeps_peak = pressure.is_overloaded() && state.peak_capacity > 0.0;
        state.peak_capacity = if keeps_peak { state.peak_capacity } else { carried.max(state.peak_capacity) };
        let is_easing = pressure.saturation < EASING_PART * state.saturation;
        let slack = (HEALTHY_SATURATION / pressure.saturation).min(MAX_ADMISSION_INCREASE);
        let usual_step = if pressure.is_healthy() { slack } else { 1.0 };
        let step = if pressure.is_overloaded() && !is_easing { ADMISSION_DECREASE } else { usual_step };
        state.capacity_part = (state.capacity_part * step).max(MIN_CAPACITY_PART);
        state.saturation = pressure.saturation;
    }

    /// Sets the level at which what is admitted can be carried.
    fn step_admission(&mut self, zone: ZoneId, pressure: &ZonePressure) {
        let (totals, rate) = (self.totals_of_zone(zone), self.proxies.rate_in_zone(zone));
        self.step_capacity(zone, pressure, totals.successes() / rate);
        let (is_overloaded, level) = (pressure.is_overloaded(), self.zones[zone].admission);
        let admitted = |level| self.admitted_demand(zone, level);
        // Who is rejected asks again: of those attempts less comes through than the level says, if at all.
        let is_reopening = level < REOPENED_ADMISSION && !is_overloaded;
        let through = if is_reopening { totals.attempts / admitted(level).max(1e-9) } else { 1.0 };
        let room = self.zones[zone].admitted_capacity() * rate / through.clamp(MIN_CAPACITY_PART, 1.0);
        let (mut admission, is_limited) = (1.0, is_overloaded || level < 1.0);
        while is_limited && admission > MIN_ADMISSION && admitted(admission) > room {
            admission *= ADMISSION_SEARCH_STEP;
        }
        if !is_overloaded && admission > OPEN_ADMISSION {
            (admission, self.zones[zone].capacity_part) = (1.0, 1.0);
        }
        self.set_admission(zone, admission, pressure);
    }

    /// Whether proxies make so many attempts at a host while another warms up that a run of failures could
    /// make them eject it. By what the attempts see: a busy proxy counts for more. Large fleets don't eject.
    fn may_eject(&self, zone: ZoneId) -> bool {
        let attempts = || self.proxies.in_zone(zone).map(|proxy| proxy.traffic.attempts);
        let usual = attempts().map(|n| n * n).sum::<f64>() / attempts().sum::<f64>().max(1e-9);
        let pool_hosts = self.hosts.ready_in(zone).count() as f64 / self.hosts.pools() as f64;
        let in_a_row = self.settings.proxies.ejection_failures;
        in_a_row > 0 && usual / pool_hosts.max(1.0) >= f64::from(in_a_row)
    }

    /// Proxies retry as the site has it, after proof only unless the class is idempotent. In an overload not
    /// at all: a retry takes what a full host rejected to the next one, or to a warming one that still has
    /// room.
    pub(crate) fn admission(&self, zone: ZoneId, class: ClassId) -> Admission {
        let state = self.zone(zone);
        let quota = state.admission.powf(self.shedding_exponent(class));
        let is_idempotent = self.settings.classes[class].idempotency == Idempotency::Idempotent;
        let safe = if is_idempotent { RetryPolicy::TwiceAfterFailure } else { RetryPolicy::OnceIfNotRun };
        let usual = self.settings.proxies.retry_policy.min(safe);
        let retry_policy = if state.warming_limit < 1.0 { RetryPolicy::Never } else { usual };
        Admission { quota: (quota * 100.0).round().max(1.0) / 100.0, retry_policy }
    }
}
