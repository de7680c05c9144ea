//! How much may be logged. Lines of one kind are limited, and long texts are cut: what others send may be long, and the
//! policy speaks of many hosts at once.

use crate::time::millis;
use rushcourse_policy::interface::Ms;
use std::collections::BTreeMap;
use std::time::Duration;

/// The kind of the policy's own lines.
pub(crate) const POLICY_LOG: &str = "policy";

/// Characters of a line after its kind.
const MAX_CHARACTERS: usize = 400;
/// Lines of one kind within the window.
const MAX_LINES: u64 = 5;
/// Lines of the policy within the window.
const MAX_POLICY_LINES: u64 = 50;
const WINDOW: Duration = Duration::from_secs(1);

/// What was logged of a kind.
struct KindUse {
    window_start: Ms,
    lines_in_window: u64,
    /// Lines left out since the last one that was written.
    suppressed: u64,
}

#[derive(Default)]
pub(crate) struct LogLimiter {
    kinds: BTreeMap<&'static str, KindUse>,
}

impl LogLimiter {
    /// The line to write, with a word on those left out before it; nothing where too many of its kind came.
    pub(crate) fn admit(
        &mut self,
        now: Ms,
        kind: &'static str,
        text: impl FnOnce() -> String,
    ) -> Option<String> {
        let usage = self.kinds.entry(kind).or_insert(KindUse {
            window_start: now,
            lines_in_window: 0,
            suppressed: 0,
        });
        if now - usage.window_start >= millis(WINDOW) {
            usage.window_start = now;
            usage.lines_in_window = 0;
        }
        usage.lines_in_window += 1;
        if usage.lines_in_window > max_lines(kind) {
            usage.suppressed += 1;
            return None;
        }
        let more = match std::mem::take(&mut usage.suppressed) {
            0 => String::new(),
            suppressed => format!(" ({suppressed} more of this kind were left out)"),
        };
        let text: String = text().chars().take(MAX_CHARACTERS).collect();
        Some(format!("{kind}: {text}{more}"))
    }
}

fn max_lines(kind: &str) -> u64 {
    if kind == POLICY_LOG {
        MAX_POLICY_LINES
    } else {
        MAX_LINES
    }
}
