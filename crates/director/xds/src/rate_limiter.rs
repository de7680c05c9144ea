//! Limits the messages that a proxy itself brings about: who subscribes again and again must not use up the messages
//! that the policy may send to it.

use rushcourse_policy::interface::Ms;
use std::collections::VecDeque;

/// A sliding window over the messages that were sent.
#[derive(Debug)]
pub struct RateLimiter {
    max_messages: usize,
    window: Ms,
    sent_at: VecDeque<Ms>,
}

impl RateLimiter {
    /// At most `max_messages` within any `window` ms; 0 is no limit.
    pub fn new(max_messages: usize, window: Ms) -> RateLimiter {
        RateLimiter {
            max_messages,
            window,
            sent_at: VecDeque::new(),
        }
    }

    /// Records a message that is sent now.
    pub fn record(&mut self, now: Ms) {
        self.sent_at.push_back(now);
        self.sent_at.retain(|at| now - at <= self.window);
    }

    /// The earliest time for one more message: now, or later.
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
