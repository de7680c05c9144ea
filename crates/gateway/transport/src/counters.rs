//! Rejections counted by their reason, and told as one line of the log while there are any.

use rushcourse_types::Timestamp;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

/// Time between two lines (ours): a flood that lasts is seen within a look at the log, and costs one line.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Counts of one event's reasons. Reasons are words of the code, so there are few.
pub struct ReasonCounters {
    event: &'static str,
    since_last_line: BTreeMap<&'static str, u64>,
    totals: BTreeMap<&'static str, u64>,
    last_line_at: Timestamp,
}

impl ReasonCounters {
    /// Counters for a line `event=EVENT span_s=SECONDS REASON=COUNT...`.
    pub fn new(event: &'static str) -> ReasonCounters {
        ReasonCounters {
            event,
            since_last_line: BTreeMap::new(),
            totals: BTreeMap::new(),
            last_line_at: Timestamp::ZERO,
        }
    }

    /// Counts one more of a reason. True for the first of its reason since the last line.
    pub fn count(&mut self, reason: &'static str) -> bool {
        *self.totals.entry(reason).or_default() += 1;
        let count = self.since_last_line.entry(reason).or_default();
        *count += 1;
        *count == 1
    }

    /// The log line of what was counted since the last one, once the next is due. `None` also where nothing was counted.
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

    /// All since the start, by reason.
    pub fn totals(&self) -> &BTreeMap<&'static str, u64> {
        &self.totals
    }
}
