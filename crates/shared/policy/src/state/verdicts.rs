//! What is held against hosts by what proxies observed there.

use crate::interface::{ByHost, HostId, Ms, ZoneId};
use std::collections::BTreeSet;
use std::fmt;

/// A host that fails for proxies of some zones.
#[derive(Debug, Default)]
pub(crate) struct Outlier {
    /// Attempts of these proxies.
    pub attempts: f64,
    /// The zones of the proxies.
    pub zones: BTreeSet<ZoneId>,
}

impl fmt::Display for Outlier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let zones: Vec<String> = self.zones.iter().map(ToString::to_string).collect();
        write!(f, "zones={}", zones.join(","))
    }
}

/// A host that failed for proxies of some zones: out of their tables for a while, then back by slow start.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ejection {
    /// The zones of the proxies.
    pub zones: BTreeSet<ZoneId>,
    /// When it comes back.
    pub until: Ms,
    /// It has answered since it came back.
    pub has_recovered: bool,
    /// How often it was ejected in a row.
    pub count: u32,
}

impl Ejection {
    /// The host is out for proxies of more zones, until a time.
    pub fn begin(&mut self, until: Ms, zones: BTreeSet<ZoneId>) {
        self.until = until;
        self.zones.extend(zones);
        self.has_recovered = false;
        self.count += 1;
    }
}

/// A host that keeps only a part of its weight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Derating {
    /// The part.
    pub part: f64,
    /// When that was set.
    pub changed_at: Ms,
}

/// All verdicts.
#[derive(Debug, Default)]
pub(crate) struct HostVerdicts {
    pub ejections: ByHost<Ejection>,
    pub deratings: ByHost<Derating>,
}

impl HostVerdicts {
    /// The derating of a host; one that never was derated has all of its weight.
    pub fn derating(&self, host: &HostId) -> Derating {
        self.deratings.get(host).copied().unwrap_or(Derating { part: 1.0, changed_at: 0.0 })
    }

    /// Drops the verdicts on a host.
    pub fn forget(&mut self, host: &HostId) {
        self.ejections.remove(host);
        self.deratings.remove(host);
    }
}

/// A host that may stand in a table.
#[derive(Debug)]
pub(crate) struct Candidate<'a> {
    pub id: &'a HostId,
    /// Its weight in the table if it is warm and healthy.
    pub weight: f64,
    /// The part of it that slow start leaves.
    pub slow_start: f64,
    /// The part of it that its health leaves.
    pub health: f64,
}

impl Candidate<'_> {
    /// Whether it can carry its weight.
    pub fn is_warm(&self) -> bool {
        self.slow_start >= 1.0 && self.health > 0.0
    }
}

/// What warming hosts of a table may have of their weight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WarmingLimits {
    /// The largest part.
    pub limit: f64,
    /// What is left of that at the first step of slow start.
    pub first: f64,
    /// What is left of it at later steps.
    pub later: f64,
}

impl WarmingLimits {
    /// The part of its weight that a host gets; `first_step` is the part that slow start begins with.
    pub fn part(&self, host: &Candidate<'_>, first_step: f64) -> f64 {
        if host.slow_start >= 1.0 {
            return host.health;
        }
        let left = if host.slow_start > first_step { self.later } else { self.first };
        host.slow_start.min(self.limit).min(host.health) * left
    }
}
