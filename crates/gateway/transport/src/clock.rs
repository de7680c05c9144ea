//! The clocks of a process, read outside of all decisions.

use rushcourse_types::{Timestamp, WallTime};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What the steady clock shows at its start, so that [`Timestamp::ZERO`] is long past.
const START: Duration = Duration::from_secs(1);

/// The steady clock of a process, and the time of day of its machine.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts the steady clock.
    pub fn start() -> Clock {
        Clock {
            started: Instant::now(),
        }
    }

    /// The present moment by the steady clock.
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO + START + self.started.elapsed()
    }

    /// The present moment by the steady clock in milliseconds with their fractions, to measure short spans with.
    pub fn precise_millis(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1000.0 + START.as_secs_f64() * 1000.0
    }

    /// The machine's time of day.
    pub fn wall_time(&self) -> WallTime {
        let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH);
        WallTime(since_1970.map_or(0, |span| span.as_millis() as u64))
    }
}
