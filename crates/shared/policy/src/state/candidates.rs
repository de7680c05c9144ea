//! Hosts that may stand in a table, and what they get of their weight.

use crate::interface::HostId;

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
