//! Conversion of seconds with fractions, as written in settings and configurations, to durations.

use std::time::Duration;

/// Converts seconds to a duration. Negative values become zero and values out of range saturate.
///
/// The fraction is truncated, not rounded: the whole milliseconds of the result are `(seconds * 1000.0) as u64`, which
/// existing configurations depend on.
pub(crate) fn duration_from_seconds(seconds: f64) -> Duration {
    let millis = seconds * 1000.0;
    let nanos_below_milli = (millis.fract() * 1e6) as u64;
    Duration::from_millis(millis as u64).saturating_add(Duration::from_nanos(nanos_below_milli))
}
