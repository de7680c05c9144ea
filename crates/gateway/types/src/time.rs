//! Times. Decisions go by the steady clock of their own process alone; between nodes only spans are sent, since clocks
//! differ between machines. All are in whole milliseconds.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

/// Whole milliseconds of a span; beyond what 64 bits hold, the most that they do.
#[inline]
fn whole_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// A moment by the steady clock of one process, in milliseconds. Moments of two processes can't be compared.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Timestamp(u64);

impl Timestamp {
    /// Before all that happens in a process: its clock starts at a second.
    pub const ZERO: Timestamp = Timestamp(0);

    /// A moment by its milliseconds.
    #[inline]
    pub const fn from_millis(millis: u64) -> Timestamp {
        Timestamp(millis)
    }

    /// The milliseconds of this moment.
    #[inline]
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// The span since an earlier moment; zero if that one is later.
    #[inline]
    pub const fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// The moment a span before this one, or [`Timestamp::ZERO`].
    #[must_use]
    #[inline]
    pub fn saturating_sub(self, span: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(whole_millis(span)))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    #[inline]
    fn add(self, span: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(whole_millis(span)))
    }
}

impl AddAssign<Duration> for Timestamp {
    #[inline]
    fn add_assign(&mut self, span: Duration) {
        *self = *self + span;
    }
}

impl Sub<Timestamp> for Timestamp {
    type Output = Duration;

    /// The span since an earlier moment; zero if that one is later.
    #[inline]
    fn sub(self, earlier: Timestamp) -> Duration {
        self.since(earlier)
    }
}

/// The time of day of one machine, in milliseconds since 1970. It may step, and differs between machines: it is shown
/// to people, and nothing is decided by it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct WallTime(pub u64);

impl WallTime {
    /// The time of day a span before this one, or 1970.
    #[must_use]
    #[inline]
    pub fn saturating_sub(self, span: Duration) -> WallTime {
        WallTime(self.0.saturating_sub(whole_millis(span)))
    }
}

/// A span of time as it stands in messages and in the state file: whole milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Millis(pub u64);

impl From<Duration> for Millis {
    #[inline]
    fn from(span: Duration) -> Millis {
        Millis(whole_millis(span))
    }
}

impl From<Millis> for Duration {
    #[inline]
    fn from(span: Millis) -> Duration {
        Duration::from_millis(span.0)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}
