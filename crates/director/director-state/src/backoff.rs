//! Exponential backoff between failed attempts: the delay doubles with each failure, up to a maximum.

use std::time::Duration;

/// Caps the exponent so that the multiplication cannot overflow.
const MAX_DOUBLINGS: u32 = 20;

pub(crate) struct Backoff {
    initial: Duration,
    max: Duration,
    failures: u32,
}

impl Backoff {
    pub(crate) fn new(initial: Duration, max: Duration) -> Backoff {
        Backoff {
            initial,
            max,
            failures: 0,
        }
    }

    /// Records a failure and returns the delay before the next attempt.
    pub(crate) fn next_delay(&mut self) -> Duration {
        let delay = self.initial * (1 << self.failures.min(MAX_DOUBLINGS));
        self.failures += 1;
        delay.min(self.max)
    }

    /// Records a success: the delay after the next failure is the initial one.
    pub(crate) fn reset(&mut self) {
        self.failures = 0;
    }
}
