//! Health from the sums: an outlier goes out and comes back by the ramp, a straining host loses weight.

use crate::{books::*, interface::*, state::*, tuned::*};
use std::collections::BTreeMap;

impl Director {
    // ---- health: from the sums; an outlier goes out, and comes back by the ramp ----

    pub(crate) fn fit(&self, zone: ZoneId, host: &HostId) -> f64 {
        let grade = self.grades.get(host).map_or(1.0, |g| g.0);
        let Some(h) = self.health.get(host).filter(|h| h.zones.contains(&zone)) else { return grade };
        if self.now < h.until { 0.0 } else { grade * self.ramp(self.now - h.until) }
    }

    /// Ejects hosts that answer (almost) nothing to a zone's proxies while the rest serve them well: hung,
    /// silent, refusing, or cut off. Slow ones still carry load. Harm: a good host may go out by chance.
    pub(crate) fn judge(&mut self) {
        let (now, over) = (self.now, RAMP_OVER.max(self.s.hosts.warm_up));
        let mut notes = Vec::new();
        for (host, h) in self.health.iter_mut().filter(|(_, h)| now >= h.until && !h.proved) {
            let good = |z| self.sums.get(&(z, host.clone())).is_some_and(|s| s.tries - s.failed >= 0.5);
            (h.proved, h.until) =
                if h.zones.iter().any(|z| good(*z)) { (true, h.until) } else { (false, now) };
        }
        self.health.retain(|_, h| now - h.until < over);
        let mut bad: ByHost<(f64, Vec<ZoneId>)> = BTreeMap::new();
        for zone in 0..self.s.fleet.zones.max(1) {
            let seen = || self.sums.iter().filter(|((z, h), _)| *z == zone && self.judged(h));
            let fails = |s: &Sums| s.tries > 0.0 && s.failed >= OUTLIER_FAILS * s.tries;
            let well = total(seen().map(|(_, s)| s).filter(|s| !fails(s)));
            let least = OUTLIER_TRIES.max(REST_PART * seen().map(|(_, s)| s.tries).sum::<f64>());
            let carries = well.tries >= least && well.failed <= FAILS_DOWN * well.tries;
            for ((_, host), s) in seen().filter(|(_, s)| carries && fails(s)) {
                let of = bad.entry(host.clone()).or_default();
                of.0 += s.tries;
                of.1.push(zone);
            }
        }
        for (host, (tries, zones)) in bad {
            let h = self.health.entry(host.clone()).or_default();
            let fresh = zones.iter().any(|z| !h.zones.contains(z)) || now >= h.until;
            if fresh && tries >= if h.strikes > 0 { OUTLIER_TRIES / 2.0 } else { OUTLIER_TRIES } {
                self.sums.retain(|(z, other), _| *other != host || !zones.contains(z));
                h.until = now + OUT_FOR * f64::from(1 << h.strikes.min(2));
                notes.push(format!("{host} fails for zones {zones:?}: out of their tables"));
                (h.proved, h.strikes) = (false, h.strikes + 1);
                h.zones.extend(zones);
            }
        }
        self.grade(&mut notes);
        notes.into_iter().for_each(|text| self.log(text));
    }

    /// Takes weight off a host that lags or fails while the rest are well, by steps: slower than listed,
    /// pausing, hampered in ways no list names, or dead before that is proved. Where all lag alike nobody is
    /// singled out. Harm: a host slow for good is tried again and again.
    pub(crate) fn grade(&mut self, say: &mut Vec<String>) {
        let (hosts, now) = (self.by_host(), self.now);
        let all = total(hosts.values());
        for (host, s) in hosts.iter().filter(|(_, s)| s.tries >= GRADE_TRIES) {
            let (part, at) = self.grades.get(host).copied().unwrap_or((1.0, 0.0));
            let (mine, rest) = (self.strain(s), self.strain(&both(&all, s, -1.0)));
            let bar = if s.failed < FAILS_DOWN * s.tries { GRADE_CALM } else { GRADE_DOWN };
            let lags = mine > bar && mine > 2.0 * rest;
            let back = part < 1.0 && mine < FULL_UP && now - at >= GRADE_REST * self.pause;
            let step = if back { (part / GRADE_STEP).min(1.0) } else { (part * GRADE_STEP).max(GRADE_LEAST) };
            if back || lags && now - at >= self.pause {
                say.push(format!("{host} to {step:.2} of its weight: strain {mine:.2}, the rest {rest:.2}"));
                self.grades.insert(host.clone(), (step, now));
            }
        }
    }

    /// How far tries fall short: 1 is where answers begin to miss their aim; a failed one loses a whole aim.
    pub(crate) fn strain(&self, s: &Sums) -> f64 {
        let aim = self.aim();
        (s.time + s.failed * aim) / (s.tries.max(1e-9) * FULL_LAG * aim)
    }

    /// Strain and failed part of the better hosts: what the fleet suffers as a whole.
    pub(crate) fn middle(&self, zone: ZoneId) -> Option<(f64, f64)> {
        let hosts = self.met(zone);
        let mut seen: Vec<(f64, &Sums)> = hosts.values().map(|s| (self.strain(s), s)).collect();
        seen.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut left = BETTER_PART * hosts.values().map(|s| s.tries).sum::<f64>();
        seen.retain(|(_, s)| (left > 0.0, left -= s.tries).0);
        let all = total(seen.iter().map(|x| x.1));
        // Full hosts answer late. Where good answers are quick, failures are no matter of load.
        let good = Sums { tries: all.tries - all.failed, failed: 0.0, ..all.clone() };
        let quick = good.tries >= REST_PART * all.tries && self.strain(&good) < FULL_UP;
        let all = if quick { good } else { all };
        (all.tries >= 1.0).then(|| (self.strain(&all), all.failed / all.tries))
    }
}
