//! Counters by reason, summarized in the log at a fixed interval.

use rushcourse_types::Timestamp;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

/// Minimum time between two summary lines of one counter; limits the log volume of a sustained flood.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Counts occurrences of an event by reason. Reasons are string constants, so the number of counters is bounded.
pub struct ReasonCounters {
    event: &'static str,
    since_last_line: BTreeMap<&'static str, u64>,
    totals: BTreeMap<&'static str, u64>,
    last_line_at: Timestamp,
}

impl ReasonCounters {
    /// Creates counters that are logged as `event=EVENT span_s=SECONDS REASON=COUNT...`.
    pub fn new(event: &'static str) -> ReasonCounters {
        ReasonCounters {
            event,
            since_last_line: BTreeMap::new(),
            totals: BTreeMap::new(),
            last_line_at: Timestamp::ZERO,
        }
    }

    /// Increments the counter of `reason`. Returns true for its first occurrence since the last summary line.
    pub fn count(&mut self, reason: &'static str) -> bool {
        *self.totals.entry(reason).or_default() += 1;
        let count = self.since_last_line.entry(reason).or_default();
        *count += 1;
        *count == 1
    }

    /// Returns the summary line of all counts since the last one, and resets them. `None` if the last line is less than
    /// 10 seconds old or nothing was counted.
    pub fn take_log_line(&mut self, now: Timestamp) -> Option<String> {
        let span = now.since(self.last_line_at);
        if span < LOG_INTERVAL {
            return None;
        }
        self.last_line_at = now;
        let counts = std::mem::take(&mut self.since_last_line);
        if counts.is_empty() {
            return None;
        }
        let mut line = format!("event={} span_s={}", self.event, span.as_secs());
        for (reason, count) in &counts {
            let _ = write!(line, " {}={count}", reason.replace(' ', "_"));
        }
        Some(line)
    }

    /// Counts by reason since the process started.
    pub fn totals(&self) -> &BTreeMap<&'static str, u64> {
        &self.totals
    }
}
