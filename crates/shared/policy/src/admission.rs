//! Levels and retries, by zone of the proxies.

use crate::{books::*, interface::*, state::*, tuned::*};

impl Director {
    /// Moves the admission levels of a zone's proxies a step at a time, on sums that had a pause to fill.
    pub(crate) fn steer(&mut self, zone: ZoneId) {
        self.gates[zone].flees = self.flees(zone);
        let Some((full, fails)) = self.middle(zone) else { return self.gates[zone].at = self.now };
        let (mut g, met, rates) =
            (self.gates[zone].clone(), total(self.met(zone).values()), self.rates(zone));
        let jammed = full > FULL_DOWN || fails > FAILS_DOWN;
        let free = full < FULL_UP && fails < FAILS_DOWN / 2.0;
        let fled = self.s.proxies.ejection_failures > 0
            && fails.powi(self.s.proxies.ejection_failures as i32) > FAILS_DOWN
            || g.hold == 0.0;
        let jam = jammed || g.hold < 1.0 && !free;
        g.hold = if !jam { 1.0 } else { RAMP_FROM * f64::from(!fled) };
        if self.now - g.at >= self.pause {
            // A jam is cut to a part of what the hosts were seen to carry, never to nothing on late evidence.
            let carried = (met.tries - met.failed) / rates;
            g.carried = if jammed && g.carried > 0.0 { g.carried } else { carried.max(g.carried) };
            let calm = if free { (FULL_UP / full).min(PART_UP) } else { 1.0 };
            let step = if jammed && full >= 0.97 * g.full { PART_DOWN } else { calm };
            g.part = (g.part * step).max(PART_LEAST);
            (g.full, g.at) = (full, self.now);
            let let_in = |c: usize, admit: f64| g.usage[c].tries * admit.powf(self.cheapness(c));
            let asked = |admit: f64| (0..g.usage.len()).map(|c| let_in(c, admit)).sum::<f64>();
            // Who is refused asks again: of those tries less comes through than the level says, if at all.
            let through = if g.admit < 0.95 && !jammed { met.tries / asked(g.admit).max(1e-9) } else { 1.0 };
            let (room, mut admit) = (g.part * g.carried * rates / through.clamp(PART_LEAST, 1.0), 1.0);
            while (jammed || g.admit < 1.0) && admit > LEVEL_LEAST && asked(admit) > room {
                admit *= 0.95;
            }
            (admit, g.part) = if !jammed && admit > 0.9 { (1.0, 1.0) } else { (admit, g.part) };
            let told = self.s.proxies.admission_kind == AdmissionKind::Ratio;
            if told && (admit - std::mem::replace(&mut g.admit, admit)).abs() > 0.02 {
                self.log(format!(
                    "zone {zone}: admission {admit:.2}: strain {full:.2}, {fails:.2} of tries fail"
                ));
            }
        }
        self.gates[zone] = g;
    }

    /// Whether proxies make so many tries at a host while another warms up that a run of failures could make
    /// them keep away from it. By what the tries see: a busy proxy counts for more. Large fleets don't flee.
    pub(crate) fn flees(&self, zone: ZoneId) -> bool {
        let mine = || self.proxies.values().filter(|p| p.zone == zone).map(|p| p.came.tries);
        let usual = mine().map(|n| n * n).sum::<f64>() / mine().sum::<f64>().max(1e-9);
        let hosts =
            self.list.values().filter(|l| l.entry.zone == zone && l.entry.readiness == Readiness::Ready);
        let each = hosts.count() as f64 / self.pools.max(1) as f64;
        self.s.proxies.ejection_failures > 0
            && usual / each.max(1.0) >= f64::from(self.s.proxies.ejection_failures)
    }

    /// 1 for the class worth least for its time, less for dearer ones: their levels fall by that power.
    pub(crate) fn cheapness(&self, class: ClassId) -> f64 {
        let dear = |c: &RequestClass| c.value.max(1e-6) / c.target_latency.max(1.0);
        self.s.classes.iter().map(dear).fold(f64::INFINITY, f64::min) / dear(&self.s.classes[class])
    }

    /// Proxies try again as the site has it, after proof only unless the class is free. In a jam not at all:
    /// it takes what a full host refused to the next one, or to a cold one that still has room.
    pub(crate) fn level(&self, zone: ZoneId, class: ClassId) -> (f64, RetryPolicy) {
        let quota = self.gate(zone).admit.powf(self.cheapness(class));
        let free = self.s.classes[class].idempotency == Idempotency::Idempotent;
        let safe = if free { RetryPolicy::TwiceAfterFailure } else { RetryPolicy::OnceIfNotRun };
        let again = if self.gate(zone).hold < 1.0 {
            RetryPolicy::Never
        } else {
            self.s.proxies.retry_policy.min(safe)
        };
        ((quota * 100.0).round().max(1.0) / 100.0, again)
    }
}
