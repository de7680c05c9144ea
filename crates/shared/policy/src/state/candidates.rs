//! Candidate hosts of a table, and the weight limits of warming ones.

use crate::interface::HostId;

/// A host that a table may contain, with the factors that determine its weight there.
#[derive(Debug)]
pub(crate) struct Candidate<'a> {
    pub id: &'a HostId,
    /// Weight in the table if the host is warm and healthy.
    pub weight: f64,
    /// Slow-start factor, from 0 to 1; 1 once the host is warm.
    pub slow_start: f64,
    /// Health factor, from 0 (ejected) to 1 (healthy).
    pub health: f64,
}

impl Candidate<'_> {
    /// Whether slow start is complete and the host is not ejected.
    pub fn is_warm(&self) -> bool {
        self.slow_start >= 1.0 && self.health > 0.0
    }
}

/// Limits on the weight of a table's warming hosts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WarmingLimits {
    /// Maximum fraction of its weight that a warming host gets.
    pub limit: f64,
    /// Factor on that fraction during the first step of slow start.
    pub first_step: f64,
    /// Factor on that fraction during later steps of slow start.
    pub later_steps: f64,
}

impl WarmingLimits {
    /// Fraction of its weight that a host gets. `initial_factor` is the slow-start factor of the first step.
    pub fn weight_fraction(&self, host: &Candidate<'_>, initial_factor: f64) -> f64 {
        if host.slow_start >= 1.0 {
            return host.health;
        }
        let step_factor = if host.slow_start > initial_factor { self.later_steps } else { self.first_step };
        host.slow_start.min(self.limit).min(host.health) * step_factor
    }
}
