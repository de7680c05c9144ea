//! The rate limiter's sliding window.

use rushcourse_xds::rate_limiter::RateLimiter;

#[test]
fn a_window_holds_no_more_messages_than_allowed() {
    let mut limiter = RateLimiter::new(2, 1000.0);
    assert_eq!(limiter.next_allowed_at(5.0), 5.0);
    limiter.record(5.0);
    limiter.record(100.0);
    assert_eq!(limiter.next_allowed_at(200.0), 1005.0);
    assert!(limiter.next_allowed_at(1006.0) == 1006.0);
    let mut unlimited = RateLimiter::new(0, 1000.0);
    (0..100).for_each(|_| unlimited.record(1.0));
    assert_eq!(unlimited.next_allowed_at(1.0), 1.0);
}
