//! Truncation to whole milliseconds and saturation at both ends of the range.

use rushcourse_types::{Millis, Timestamp, WallTime};
use std::time::Duration;

const LATEST: Timestamp = Timestamp::from_millis(u64::MAX);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

#[test]
fn duration_since_a_later_timestamp_is_zero() {
    assert_eq!(at(1_500).since(at(1_000)), Duration::from_millis(500));
    assert_eq!(at(1_500) - at(1_000), Duration::from_millis(500));
    assert_eq!(at(1_000).since(at(1_500)), Duration::ZERO);
}

#[test]
fn adding_a_duration_truncates_to_milliseconds() {
    assert_eq!(at(1_000) + Duration::from_micros(2_999), at(1_002));
    let mut timestamp = at(1_000);
    timestamp += Duration::from_secs(1);
    assert_eq!(timestamp, at(2_000));
}

#[test]
fn timestamp_arithmetic_saturates() {
    assert_eq!(LATEST + Duration::from_millis(1), LATEST);
    assert_eq!(at(1) + Duration::MAX, LATEST);
    let second = Duration::from_secs(1);
    assert_eq!(at(999).saturating_sub(second), Timestamp::ZERO);
    assert_eq!(WallTime(999).saturating_sub(second), WallTime(0));
    assert_eq!(WallTime(1_001).saturating_sub(second), WallTime(1));
}

#[test]
fn millis_conversion_truncates_and_saturates() {
    assert_eq!(Millis::from(Duration::from_micros(1_999)), Millis(1));
    assert_eq!(Millis::from(Duration::MAX), Millis(u64::MAX));
    assert_eq!(Duration::from(Millis(17)), Duration::from_millis(17));
    assert_eq!(Millis(17).to_string(), "17 ms");
}
