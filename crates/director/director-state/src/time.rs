//! Conversion of durations to the unit of the session's clock.
//!
//! Timestamps are [`Ms`]: fractional milliseconds on a monotonic clock that is set to the Unix time when the director
//! starts. The policy and the discovery service use the same unit, so timestamps need no conversion.

use rushcourse_policy::interface::Ms;
use std::time::Duration;

/// Converts a duration to milliseconds, truncated to whole microseconds.
pub(crate) fn millis(duration: Duration) -> Ms {
    duration.as_micros() as f64 / 1000.0
}
