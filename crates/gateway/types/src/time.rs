//! Time types, all in whole milliseconds. A process makes decisions only by its own monotonic clock. Messages between
//! nodes carry durations instead of timestamps, because clocks differ between machines.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

/// Truncates to whole milliseconds, saturating at `u64::MAX`.
#[inline]
fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// A reading of this process's monotonic clock, in milliseconds. Timestamps of different processes are not comparable.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Timestamp(u64);

impl Timestamp {
    /// Precedes every event in a process, whose clock starts at one second.
    pub const ZERO: Timestamp = Timestamp(0);

    /// Creates a timestamp from a monotonic clock reading in milliseconds.
    #[inline]
    pub const fn from_millis(millis: u64) -> Timestamp {
        Timestamp(millis)
    }

    /// The monotonic clock reading in milliseconds.
    #[inline]
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// The duration since `earlier`, or zero if `earlier` is later than `self`.
    #[inline]
    pub const fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// Subtracts a duration, saturating at [`Timestamp::ZERO`].
    #[must_use]
    #[inline]
    pub fn saturating_sub(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(whole_millis(duration)))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    #[inline]
    fn add(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(whole_millis(duration)))
    }
}

impl AddAssign<Duration> for Timestamp {
    #[inline]
    fn add_assign(&mut self, duration: Duration) {
        *self = *self + duration;
    }
}

impl Sub<Timestamp> for Timestamp {
    type Output = Duration;

    /// The duration since `earlier`, or zero if `earlier` is later than `self`.
    #[inline]
    fn sub(self, earlier: Timestamp) -> Duration {
        self.since(earlier)
    }
}

/// Wall-clock time of one machine, in milliseconds since the Unix epoch. It may jump and differs between machines, so
/// it is displayed, and used for nothing but the windows of usage reports, which are spans of the wall clock.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct WallTime(pub u64);

impl WallTime {
    /// Subtracts a duration, saturating at the Unix epoch.
    #[must_use]
    #[inline]
    pub fn saturating_sub(self, duration: Duration) -> WallTime {
        WallTime(self.0.saturating_sub(whole_millis(duration)))
    }
}

/// A duration as encoded in messages and in the state file, in whole milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Millis(pub u64);

impl From<Duration> for Millis {
    #[inline]
    fn from(duration: Duration) -> Millis {
        Millis(whole_millis(duration))
    }
}

impl From<Millis> for Duration {
    #[inline]
    fn from(millis: Millis) -> Duration {
        Duration::from_millis(millis.0)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}
