//! The end of the process: a standby may take its place among the voters first.

use rushcourse_types::Timestamp;
use std::time::Duration;

/// Share of `bounds.grace_period_s` for which a process that is to end waits for a standby to take its place (ours).
const HANDOVER_SHARE: f64 = 0.5;

/// How far the end of the process is.
pub(crate) struct Shutdown {
    handover_timeout: Duration,
    /// When it ends in any case, once it is to end.
    deadline: Option<Timestamp>,
}

impl Shutdown {
    /// The process runs on. `grace_period`: after it the platform kills a process that it has told to end.
    pub(crate) fn new(grace_period: Duration) -> Shutdown {
        let handover_ms = (grace_period.as_secs_f64() * 1000.0 * HANDOVER_SHARE) as u64;
        Shutdown {
            handover_timeout: Duration::from_millis(handover_ms),
            deadline: None,
        }
    }

    /// The process is to end. False if that was known.
    pub(crate) fn begin(&mut self, now: Timestamp) -> bool {
        let is_new = self.deadline.is_none();
        self.deadline.get_or_insert(now + self.handover_timeout);
        is_new
    }

    /// Whether the process is to end.
    pub(crate) fn has_begun(&self) -> bool {
        self.deadline.is_some()
    }

    /// Whether the process is to end now, whoever takes its place.
    pub(crate) fn is_due(&self, now: Timestamp) -> bool {
        self.deadline.is_some_and(|deadline| now >= deadline)
    }
}
