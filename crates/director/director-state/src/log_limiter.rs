//! Rate limit for log lines of the same kind, and a length limit for each line, because log texts quote data received
//! from peers.

use crate::time::millis;
use rushcourse_policy::interface::Ms;
use std::collections::BTreeMap;
use std::time::Duration;

/// Kind of the log lines that the policy writes, which have a higher limit.
pub(crate) const POLICY_LOG_KIND: &str = "policy";

/// Length at which the text of a line is truncated, not counting its kind.
const MAX_CHARACTERS: usize = 400;
/// Lines of one kind that are written per [`WINDOW`].
const MAX_LINES_PER_WINDOW: u64 = 5;
/// Limit for the policy, which may log a line for each of many hosts in one batch.
const MAX_POLICY_LINES_PER_WINDOW: u64 = 50;
const WINDOW: Duration = Duration::from_secs(1);

/// Lines of one kind in the current window.
struct KindUsage {
    window_start: Ms,
    lines_in_window: u64,
    /// Lines dropped since the last one that was written.
    suppressed: u64,
}

#[derive(Default)]
pub(crate) struct LogLimiter {
    kinds: BTreeMap<&'static str, KindUsage>,
}

impl LogLimiter {
    /// Returns the line to write, with the number of lines dropped before it, or `None` if its kind exceeds the limit.
    /// The text is built only if it is written.
    pub(crate) fn admit(
        &mut self,
        now: Ms,
        kind: &'static str,
        text: impl FnOnce() -> String,
    ) -> Option<String> {
        let usage = self.kinds.entry(kind).or_insert(KindUsage {
            window_start: now,
            lines_in_window: 0,
            suppressed: 0,
        });
        if now - usage.window_start >= millis(WINDOW) {
            usage.window_start = now;
            usage.lines_in_window = 0;
        }
        usage.lines_in_window += 1;
        if usage.lines_in_window > max_lines_per_window(kind) {
            usage.suppressed += 1;
            return None;
        }
        let suffix = match std::mem::take(&mut usage.suppressed) {
            0 => String::new(),
            suppressed => format!(" ({suppressed} more of this kind were left out)"),
        };
        let text: String = text().chars().take(MAX_CHARACTERS).collect();
        Some(format!("{kind}: {text}{suffix}"))
    }
}

fn max_lines_per_window(kind: &str) -> u64 {
    if kind == POLICY_LOG_KIND {
        MAX_POLICY_LINES_PER_WINDOW
    } else {
        MAX_LINES_PER_WINDOW
    }
}
