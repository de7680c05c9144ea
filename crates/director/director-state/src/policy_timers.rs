//! Pending timers of the policy.

use rushcourse_policy::interface::Ms;
use std::collections::BTreeMap;

/// Upper bound on pending timers. Exceeding it violates an invariant; timers are not dropped.
const MAX_TIMERS: usize = 4096;

/// Converts a timestamp to whole microseconds, rounded up, to use it as an ordered key.
fn micros(at: Ms) -> u64 {
    (at.max(0.0) * 1000.0).ceil() as u64
}

/// Orders timers by due time, and timers due at the same time by the order in which they were started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    fires_at_us: u64,
    sequence: u64,
}

/// Pending timers with the tokens that are returned to the policy when they fire.
#[derive(Default)]
pub(crate) struct PolicyTimers {
    pending: BTreeMap<TimerKey, String>,
    last_sequence: u64,
}

impl PolicyTimers {
    pub(crate) fn start(&mut self, at: Ms, token: String) {
        self.last_sequence += 1;
        let key = TimerKey {
            fires_at_us: micros(at),
            sequence: self.last_sequence,
        };
        self.pending.insert(key, token);
    }

    /// Removes the earliest timer that is due and returns its token.
    pub(crate) fn take_due(&mut self, now: Ms) -> Option<String> {
        let first = self.pending.first_entry()?;
        (first.key().fires_at_us <= micros(now)).then(|| first.remove())
    }

    /// Due time of the earliest pending timer.
    pub(crate) fn next_deadline(&self) -> Option<Ms> {
        let (key, _) = self.pending.first_key_value()?;
        Some(key.fires_at_us as f64 / 1000.0)
    }

    pub(crate) fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether the number of pending timers is within [`MAX_TIMERS`].
    pub(crate) fn is_within_limit(&self) -> bool {
        self.pending.len() <= MAX_TIMERS
    }
}
