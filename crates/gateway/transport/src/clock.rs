//! The steady clock and the wall clock of a process. Only the I/O layer reads them; state machines get the time as an
//! input.

use rushcourse_types::{Timestamp, WallTime};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Initial reading of the steady clock; makes every timestamp of the process later than [`Timestamp::ZERO`].
const START: Duration = Duration::from_secs(1);

/// Access to the steady clock of the process and to the wall clock of its machine.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Creates a clock whose steady time starts at one second.
    pub fn start() -> Clock {
        Clock {
            started: Instant::now(),
        }
    }

    /// The current steady time. It never goes backwards and is only comparable within this process.
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO + START + self.started.elapsed()
    }

    /// The current steady time in milliseconds with sub-millisecond precision, for latency measurements.
    pub fn precise_millis(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1000.0 + START.as_secs_f64() * 1000.0
    }

    /// The machine's wall clock time. It may jump; a time before 1970 is returned as 0.
    pub fn wall_time(&self) -> WallTime {
        let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH);
        WallTime(since_1970.map_or(0, |span| span.as_millis() as u64))
    }
}
