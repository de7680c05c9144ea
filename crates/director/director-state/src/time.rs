//! Spans in the unit of the session's clock.
//!
//! Moments are [`Ms`]: milliseconds with fractions by the one clock of the director, which starts at the Unix time and
//! never goes back. The policy and discovery's list count in the same unit, so that no moment has to be converted.

use rushcourse_policy::interface::Ms;
use std::time::Duration;

/// A span in milliseconds. Whole milliseconds are exact.
pub(crate) fn millis(span: Duration) -> Ms {
    span.as_micros() as f64 / 1000.0
}
