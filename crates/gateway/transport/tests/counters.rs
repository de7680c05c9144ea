//! Counters by reason are summarized in one log line per interval.

use rushcourse_transport::ReasonCounters;
use rushcourse_types::Timestamp;

const fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

#[test]
fn log_line_is_emitted_once_per_interval_and_only_with_counts() {
    let mut counters = ReasonCounters::new("own_answers");
    assert!(counters.count("no host"));
    assert!(!counters.count("no host"), "second occurrence");
    counters.count("time is over");

    assert_eq!(counters.take_log_line(at(9_999)), None);
    assert_eq!(
        counters.take_log_line(at(10_000)).as_deref(),
        Some("event=own_answers span_s=10 no_host=2 time_is_over=1")
    );
    assert_eq!(counters.take_log_line(at(20_000)), None, "no new counts");

    counters.count("no route");
    assert_eq!(
        counters.take_log_line(at(31_500)).as_deref(),
        Some("event=own_answers span_s=11 no_route=1")
    );
    assert_eq!(counters.totals().values().sum::<u64>(), 4);
}
