//! The process's clock: Unix time in ms, read once at the start and advanced by the monotonic clock. Times in the
//! membership list are Unix times as well and need no conversion.

use rushcourse_policy::interface::Ms;
use std::time::{Duration, Instant, SystemTime};

/// Limit of the offset from the start that is converted to an `Instant`, in ms (about 30 years); avoids an overflow.
const MAX_OFFSET: Ms = 1e12;

/// Converts between the monotonic clock and Unix time in ms.
#[derive(Clone, Copy)]
pub(crate) struct Clock {
    /// Unix time of `start`, in ms.
    started_at: Ms,
    start: Instant,
}

impl Clock {
    /// Reads the system time; later changes to it have no effect on the clock.
    pub(crate) fn start() -> Clock {
        let since_epoch = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started_at: since_epoch.as_secs_f64() * 1000.0,
            start: Instant::now(),
        }
    }

    /// The current time in ms. It never decreases.
    pub(crate) fn now(&self) -> Ms {
        self.started_at + self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Converts a time in ms to an `Instant`. Times before the start become the start, and infinity a distant instant.
    pub(crate) fn instant(&self, at: Ms) -> Instant {
        let offset = (at - self.started_at).clamp(0.0, MAX_OFFSET);
        self.start + Duration::from_secs_f64(offset / 1000.0)
    }
}
