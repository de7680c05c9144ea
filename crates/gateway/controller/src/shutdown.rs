//! Graceful shutdown: before it exits, the process waits for a standby to replace it in the voting set.

use rushcourse_types::Timestamp;
use std::time::Duration;

/// Fraction of `bounds.grace_period_s` for which a shutting-down process waits to be replaced by a standby.
const HANDOVER_SHARE: f64 = 0.5;

/// The progress of a graceful shutdown: not begun, or waiting for a replacement until the deadline.
pub(crate) struct Shutdown {
    handover_timeout: Duration,
    /// When the process exits even without a replacement; `None` until shutdown begins.
    deadline: Option<Timestamp>,
}

impl Shutdown {
    /// Creates the state of a process that is not shutting down. `grace_period` is the time from SIGTERM until the
    /// platform kills the process.
    pub(crate) fn new(grace_period: Duration) -> Shutdown {
        let handover_ms = (grace_period.as_secs_f64() * 1000.0 * HANDOVER_SHARE) as u64;
        Shutdown {
            handover_timeout: Duration::from_millis(handover_ms),
            deadline: None,
        }
    }

    /// Begins the shutdown and sets its deadline. Returns false if it had already begun.
    pub(crate) fn begin(&mut self, now: Timestamp) -> bool {
        let is_new = self.deadline.is_none();
        self.deadline.get_or_insert(now + self.handover_timeout);
        is_new
    }

    /// Whether SIGTERM was received.
    pub(crate) fn has_begun(&self) -> bool {
        self.deadline.is_some()
    }

    /// Whether the deadline has passed, so that the process exits without waiting for a replacement.
    pub(crate) fn is_due(&self, now: Timestamp) -> bool {
        self.deadline.is_some_and(|deadline| now >= deadline)
    }
}
