//! Overload state of each zone, and the balance of load between zones.

use super::attempts::AttemptTotals;
use crate::interface::{Ms, ZoneId};
use std::fmt;

/// Overload control of a zone: the current limits and the inputs from which they are derived.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneState {
    /// Maximum fraction of its weight that a warming host gets: 1 in normal operation, less in an overload.
    pub warming_limit: f64,
    /// Whether proxies send enough attempts to a host to eject it by themselves.
    pub may_eject: bool,
    /// Admitted fraction of the class that is shed first.
    pub admission: f64,
    /// Peak of the recent successful attempts, divided by the announced request rate of the joined proxies.
    pub peak_capacity: f64,
    /// Fraction of the peak that is admitted.
    pub capacity_fraction: f64,
    /// Saturation at the previous adjustment.
    pub saturation: f64,
    /// Time of the previous adjustment, or of the last round without usable reports.
    pub adjusted_at: Ms,
    /// Decaying totals of client requests, by class.
    pub demand: Vec<AttemptTotals>,
}

impl ZoneState {
    /// State of a zone without reports. Everything is admitted, and proxies are assumed to eject hosts.
    pub fn new(classes: usize) -> ZoneState {
        ZoneState {
            warming_limit: 1.0,
            may_eject: true,
            admission: 1.0,
            capacity_fraction: 1.0,
            demand: vec![AttemptTotals::default(); classes],
            ..ZoneState::default()
        }
    }

    /// Admitted fraction of the peak capacity, per request per second of the announced rate.
    pub fn admitted_capacity(&self) -> f64 {
        self.capacity_fraction * self.peak_capacity
    }
}

/// Load on the least saturated hosts of a zone, which decides whether the zone is overloaded.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ZonePressure {
    /// Relative latency as computed by `Director::saturation`; 1 is the limit of the hosts' capacity.
    pub saturation: f64,
    /// Failed attempts divided by all attempts.
    pub failure_ratio: f64,
}

impl fmt::Display for ZonePressure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "saturation={:.2} failed={:.2}", self.saturation, self.failure_ratio)
    }
}

/// Demand of a zone and capacity of its hosts. `capacity` is a weight, the other fields are attempts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ZoneBalance {
    /// Demand of classes that are not zone-bound.
    pub movable: f64,
    /// Weight of the hosts, scaled by slow start and health.
    pub capacity: f64,
    /// Attempts that the hosts can serve in addition to the zone-bound demand.
    pub headroom: f64,
    /// Attempts that the hosts can serve in addition to all demand of the zone.
    pub spare_capacity: f64,
}

/// Weight factors of hosts in tables of other zones, relative to hosts of the own zone. Empty until the first
/// update.
#[derive(Debug, Default)]
pub(crate) struct CrossZoneWeights(Vec<Vec<f64>>);

impl CrossZoneWeights {
    /// Computes the factors of all pairs of zones. The arguments of `weight` are the zone of the table and the
    /// zone of the host.
    pub fn new(zones: usize, weight: impl Fn(ZoneId, ZoneId) -> f64) -> CrossZoneWeights {
        let row = |own: ZoneId| (0..zones).map(|other| weight(own, other)).collect();
        CrossZoneWeights((0..zones).map(row).collect())
    }

    /// Whether no factors have been computed yet. All factors count as 1 then.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Factor of hosts of zone `other` in tables of zone `own`; 1 within a zone and for unknown pairs.
    pub fn get(&self, own: ZoneId, other: ZoneId) -> f64 {
        let set = || self.0.get(own).and_then(|row| row.get(other)).copied();
        if own == other { 1.0 } else { set().unwrap_or(1.0) }
    }

    /// Whether any factor differs by more than `tolerance`, relative to the larger one.
    pub fn differ(&self, others: &CrossZoneWeights, tolerance: f64) -> bool {
        let mut pairs = self.0.iter().flatten().zip(others.0.iter().flatten());
        pairs.any(|(a, b)| (a - b).abs() > tolerance * a.max(*b))
    }
}
