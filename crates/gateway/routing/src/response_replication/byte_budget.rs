//! A token bucket for bytes.

use rushcourse_types::Timestamp;
use std::time::Duration;

/// The budget never exceeds what accrues in this time.
const BURST: Duration = Duration::from_secs(1);

/// Limits the bytes sent per second. May be overdrawn by the last message that is sent.
#[derive(Clone, Debug)]
pub(super) struct ByteBudget {
    bytes_per_second: f64,
    available: f64,
    refilled_at: Timestamp,
}

impl ByteBudget {
    /// Creates a full budget.
    pub(super) fn new(bytes_per_second: f64) -> ByteBudget {
        ByteBudget {
            bytes_per_second,
            available: bytes_per_second * BURST.as_secs_f64(),
            refilled_at: Timestamp::ZERO,
        }
    }

    /// Adds what has accrued since the last call.
    pub(super) fn refill(&mut self, now: Timestamp) {
        let accrued = self.bytes_per_second * now.since(self.refilled_at).as_secs_f64();
        let capacity = self.bytes_per_second * BURST.as_secs_f64();
        self.available = (self.available + accrued).min(capacity);
        self.refilled_at = now;
    }

    /// Whether a message may be sent.
    pub(super) fn is_available(&self) -> bool {
        self.available > 0.0
    }

    /// Takes the bytes of a message.
    pub(super) fn spend(&mut self, bytes: usize) {
        self.available -= bytes as f64;
    }
}
