//! When the holder of the duty sends which report, and what follows from the platform's response. One call is under way
//! at a time. A report whose outcome is unknown is sent again with the same bytes.

use rushcourse_messages::{DutyState, UsageReport};
use rushcourse_types::{Fence, Timestamp, WindowNumber};
use std::collections::BTreeSet;
use std::time::Duration;

/// Pause after the first failed call. Doubles with each further failure, up to [`MAX_RETRY_DELAY`].
const MIN_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Longest pause between two calls that fail.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(3_200);
/// Longest time that a call may take. Afterwards a further one may be made even if no outcome was reported.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Limit of windows that are remembered as delivered before that is agreed on.
const MAX_DELIVERED: usize = 256;

/// The outcome of a call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryOutcome {
    /// The platform has the report (2xx).
    Accepted,
    /// The platform has seen a higher fence (409).
    FenceRefused,
    /// Any other response, or none. The report may have been accepted.
    Failed,
}

/// State of the calls to the platform.
#[derive(Clone, Debug, Default)]
pub struct Delivery {
    /// When the call under way started.
    started_at: Option<Timestamp>,
    /// No call is made before this time.
    wait_until: Timestamp,
    failures: u32,
    /// Windows whose reports the platform has, as far as this process knows.
    delivered: BTreeSet<WindowNumber>,
    /// The highest fence that the platform has refused. No call carries it or a lower one any more.
    refused: Option<Fence>,
}

impl Delivery {
    /// Whether the platform has refused this fence because it had seen a higher one.
    pub fn is_refused(&self, fence: Fence) -> bool {
        self.refused.is_some_and(|refused| fence <= refused)
    }

    /// The first report of the state that this process knows to be delivered.
    pub fn first_delivered(&self, duty: &DutyState) -> Option<WindowNumber> {
        let mut windows = duty.undelivered.iter().map(|report| report.window);
        windows.find(|window| self.delivered.contains(window))
    }

    /// Returns the report to send now, oldest first, and marks a call as under way. `None` if none is due.
    pub fn start_next(&mut self, now: Timestamp, duty: &DutyState) -> Option<UsageReport> {
        let is_busy = self
            .started_at
            .is_some_and(|started_at| now < started_at + CALL_TIMEOUT);
        if is_busy || now < self.wait_until || self.is_refused(duty.fence) {
            return None;
        }
        let mut pending = duty.undelivered.iter();
        let report = pending.find(|report| !self.delivered.contains(&report.window))?;
        self.started_at = Some(now);
        Some(report.clone())
    }

    /// Records the outcome of the call under way.
    pub fn finish(
        &mut self,
        now: Timestamp,
        fence: Fence,
        window: WindowNumber,
        outcome: DeliveryOutcome,
    ) {
        self.started_at = None;
        match outcome {
            DeliveryOutcome::Accepted => {
                self.failures = 0;
                self.delivered.insert(window);
                while self.delivered.len() > MAX_DELIVERED {
                    self.delivered.pop_first();
                }
            }
            DeliveryOutcome::FenceRefused => {
                self.refused = self.refused.max(Some(fence));
            }
            DeliveryOutcome::Failed => {
                let delay = MIN_RETRY_DELAY * 2_u32.saturating_pow(self.failures.min(16));
                self.failures = self.failures.saturating_add(1);
                self.wait_until = now + delay.min(MAX_RETRY_DELAY);
            }
        }
    }
}
