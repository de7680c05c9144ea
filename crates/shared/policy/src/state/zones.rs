//! What holds for the proxies of a zone.

use super::attempts::AttemptTotals;
use crate::interface::{Ms, ZoneId};
use std::fmt;

/// What proxies of a zone are ordered in an overload, and what that rests on.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneState {
    /// The part of its weight that a warming host may have: all while proxies are served well, less in an
    /// overload.
    pub warming_limit: f64,
    /// In an overload proxies may eject saturated hosts by themselves.
    pub may_eject: bool,
    /// The part of the cheapest class that is admitted.
    pub admission: f64,
    /// The most successful attempts seen within the reports' memory, for each request a second that the
    /// joined proxies were said to bring.
    pub peak_capacity: f64,
    /// The part of the peak that is admitted.
    pub capacity_part: f64,
    /// The last saturation.
    pub saturation: f64,
    /// When the level was last looked at.
    pub adjusted_at: Ms,
    /// What clients asked for, by class.
    pub demand: Vec<AttemptTotals>,
}

impl ZoneState {
    /// A zone of which nothing is known: all is admitted, and proxies are taken to eject hosts.
    pub fn new(classes: usize) -> ZoneState {
        ZoneState {
            warming_limit: 1.0,
            may_eject: true,
            admission: 1.0,
            capacity_part: 1.0,
            demand: vec![AttemptTotals::default(); classes],
            ..ZoneState::default()
        }
    }

    /// The successful attempts that are admitted, for each request a second that proxies were said to bring.
    pub fn admitted_capacity(&self) -> f64 {
        self.capacity_part * self.peak_capacity
    }
}

/// What a zone's proxies suffer at the better of their hosts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ZonePressure {
    /// How far attempts fall short; from 1 on they miss the target latency.
    pub saturation: f64,
    /// The part of them that fails.
    pub failed: f64,
}

impl fmt::Display for ZonePressure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "saturation={:.2} failed={:.2}", self.saturation, self.failed)
    }
}

/// What a zone has to carry, and what its hosts can, in attempts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ZoneBalance {
    /// What comes to its proxies and may go to other zones.
    pub movable: f64,
    /// The weight of its hosts, as far as they are warm and healthy.
    pub capacity: f64,
    /// What its hosts can carry beside what must stay in the zone.
    pub room: f64,
    /// What they can carry beside all that comes to the zone's own proxies.
    pub spare: f64,
}

/// What a host of a zone weighs in tables of another, beside one of their own zone. Empty until it is first
/// set.
#[derive(Debug, Default)]
pub(crate) struct CrossZoneWeights(Vec<Vec<f64>>);

impl CrossZoneWeights {
    /// The weights that a function gives for each pair of zones: of the table, of the host.
    pub fn new(zones: usize, weight: impl Fn(ZoneId, ZoneId) -> f64) -> CrossZoneWeights {
        let row = |own: ZoneId| (0..zones).map(|other| weight(own, other)).collect();
        CrossZoneWeights((0..zones).map(row).collect())
    }

    /// Whether none were set yet.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The weight of hosts of a zone in tables of another; 1 in their own and where none is set.
    pub fn get(&self, own: ZoneId, other: ZoneId) -> f64 {
        let set = || self.0.get(own).and_then(|row| row.get(other)).copied();
        if own == other { 1.0 } else { set().unwrap_or(1.0) }
    }

    /// Whether a weight differs by more than a part of the larger one.
    pub fn differ(&self, others: &CrossZoneWeights, tolerance: f64) -> bool {
        let mut pairs = self.0.iter().flatten().zip(others.0.iter().flatten());
        pairs.any(|(a, b)| (a - b).abs() > tolerance * a.max(*b))
    }
}
