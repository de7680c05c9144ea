//! Rate limit on the responses that a proxy's own requests cause, so that a proxy which resubscribes in a loop doesn't
//! use up the message budget that the policy has for it.

use rushcourse_policy::interface::Ms;
use std::collections::VecDeque;

/// A sliding-window rate limiter.
#[derive(Debug)]
pub struct RateLimiter {
    max_messages: usize,
    window: Ms,
    sent_at: VecDeque<Ms>,
}

impl RateLimiter {
    /// Allows at most `max_messages` within any `window` ms; 0 means no limit.
    pub fn new(max_messages: usize, window: Ms) -> RateLimiter {
        RateLimiter {
            max_messages,
            window,
            sent_at: VecDeque::new(),
        }
    }

    /// Counts a message that is sent at `now`.
    pub fn record(&mut self, now: Ms) {
        self.sent_at.push_back(now);
        self.sent_at.retain(|at| now - at <= self.window);
    }

    /// The earliest time at which one more message is allowed; `now` if it is allowed at once.
    pub fn next_allowed_at(&self, now: Ms) -> Ms {
        let in_window: Vec<Ms> = self
            .sent_at
            .iter()
            .copied()
            .filter(|at| now - at <= self.window)
            .collect();
        match in_window.len().checked_sub(self.max_messages) {
            Some(excess) if self.max_messages > 0 => in_window[excess] + self.window,
            _ => now,
        }
    }
}
