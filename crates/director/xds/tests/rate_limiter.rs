//! Tests of the sliding-window rate limiter.

use rushcourse_xds::rate_limiter::RateLimiter;

#[test]
fn window_never_exceeds_the_message_limit() {
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
