//! Delays between attempts that fail: each twice the one before, up to a longest.

use std::time::Duration;

/// Doublings beyond which the delay is the longest in any case.
const MAX_DOUBLINGS: u32 = 20;

pub(crate) struct Backoff {
    first: Duration,
    longest: Duration,
    failures: u32,
}

impl Backoff {
    pub(crate) fn new(first: Duration, longest: Duration) -> Backoff {
        Backoff {
            first,
            longest,
            failures: 0,
        }
    }

    /// The delay after one more attempt that failed.
    pub(crate) fn next_delay(&mut self) -> Duration {
        let delay = self.first * (1 << self.failures.min(MAX_DOUBLINGS));
        self.failures += 1;
        delay.min(self.longest)
    }

    /// An attempt has succeeded: the next delay is the first again.
    pub(crate) fn reset(&mut self) {
        self.failures = 0;
    }
}
