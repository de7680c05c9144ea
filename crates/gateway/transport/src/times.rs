//! The clocks of a process, read outside of all decisions.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A steady clock that begins at 1 s, so that 0 is long past, and the time of day.
#[derive(Clone, Copy, Debug)]
pub struct Times(Instant);

impl Times {
    pub fn start() -> Times {
        Times(Instant::now())
    }

    /// ms, steady.
    pub fn now(&self) -> u64 {
        self.0.elapsed().as_millis() as u64 + 1_000
    }

    /// ms, steady, with fractions.
    pub fn exact(&self) -> f64 {
        self.0.elapsed().as_secs_f64() * 1000.0 + 1_000.0
    }

    /// ms since 1970.
    pub fn wall(&self) -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_millis() as u64)
    }

    /// A number by lot, for lives and retries; not for secrets.
    pub fn lot(&self) -> u64 {
        use std::hash::{BuildHasher, Hasher};
        std::collections::hash_map::RandomState::new()
            .build_hasher()
            .finish()
    }
}
