//! Spans that people write as seconds with fractions.

use std::time::Duration;

/// The span of so many seconds: 0 for what is below 0, the most that there is for what is beyond it.
///
/// It is cut off, not rounded, and the product with 1,000 comes first: its whole milliseconds are `(seconds * 1000.0) as
/// u64`, by which all time-outs have been counted since the first version.
pub(crate) fn duration_of(seconds: f64) -> Duration {
    let millis = seconds * 1000.0;
    let below_a_milli = (millis.fract() * 1e6) as u64;
    Duration::from_millis(millis as u64).saturating_add(Duration::from_nanos(below_a_milli))
}
