//! The one clock: Unix time in ms at the start, from there on a clock that never goes back. Times in lists are
//! Unix times of the same kind, so they need no mapping.

use std::time::{Duration, Instant, SystemTime};

#[derive(Clone, Copy)]
pub struct Clock {
    unix: f64,
    start: Instant,
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            unix: unix.as_secs_f64() * 1000.0,
            start: Instant::now(),
        }
    }

    pub fn now(&self) -> f64 {
        self.unix + self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// When a time of this clock comes.
    pub fn instant(&self, at: f64) -> Instant {
        let ms = (at - self.unix).clamp(0.0, 1e12);
        self.start + Duration::from_secs_f64(ms / 1000.0)
    }
}
