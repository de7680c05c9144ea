//! The timers that the policy has started.

use rushcourse_policy::interface::Ms;
use std::collections::BTreeMap;

/// Timers that may be pending.
const MAX_TIMERS: usize = 4096;

/// A moment in whole microseconds, which order as moments do. One between two of them counts as the later one.
fn micros(at: Ms) -> u64 {
    (at.max(0.0) * 1000.0).ceil() as u64
}

/// When a timer fires, and its place among all that were started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    fires_at_us: u64,
    sequence: u64,
}

/// Pending timers, by when they fire and in what order they were started. The values are their tokens.
#[derive(Default)]
pub(crate) struct PolicyTimers {
    pending: BTreeMap<TimerKey, String>,
    started: u64,
}

impl PolicyTimers {
    pub(crate) fn start(&mut self, at: Ms, token: String) {
        self.started += 1;
        let key = TimerKey {
            fires_at_us: micros(at),
            sequence: self.started,
        };
        self.pending.insert(key, token);
    }

    /// The token of the next timer that is due.
    pub(crate) fn take_due(&mut self, now: Ms) -> Option<String> {
        let first = self.pending.first_entry()?;
        (first.key().fires_at_us <= micros(now)).then(|| first.remove())
    }

    /// When the next timer fires.
    pub(crate) fn next(&self) -> Option<Ms> {
        let (key, _) = self.pending.first_key_value()?;
        Some(key.fires_at_us as f64 / 1000.0)
    }

    pub(crate) fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether no more timers are pending than ever should.
    pub(crate) fn is_within_limit(&self) -> bool {
        self.pending.len() <= MAX_TIMERS
    }
}
