//! Tests of the exponential backoff.

use rushcourse_xds::backoff::Backoff;

#[test]
fn delays_double_up_to_the_maximum_and_jitter_depends_on_the_key() {
    let delays = |key: &str| {
        let mut backoff = Backoff::new(100.0, 5000.0, 7, key);
        (0..12).map(|_| backoff.next_delay()).collect::<Vec<_>>()
    };
    let delays_of_a = delays("a");
    for (attempt, delay) in delays_of_a.iter().enumerate() {
        let full = (100.0 * 2f64.powi(attempt as i32)).min(5000.0);
        assert!(*delay >= full / 2.0 && *delay <= full, "{attempt}: {delay}");
    }
    assert_eq!(
        delays_of_a,
        delays("a"),
        "the same seed gives the same delays"
    );
    assert_ne!(delays_of_a, delays("b"));
    let mut backoff = Backoff::new(100.0, 5000.0, 7, "a");
    _ = (backoff.next_delay(), backoff.next_delay());
    backoff.reset();
    assert_eq!(backoff.next_delay(), delays_of_a[0]);
}
