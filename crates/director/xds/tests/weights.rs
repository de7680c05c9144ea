//! Conversion of weights and admission levels to integers.

use proptest::prelude::*;
use rushcourse_xds::{drop_per_million, scale_weights};

#[test]
fn scaled_weights_keep_proportions_and_stay_positive() {
    assert_eq!(
        scale_weights(&[1.0, 0.5, 0.01, 0.0]),
        [10_000, 5_000, 100, 0]
    );
    assert_eq!(
        scale_weights(&[1.0, 1e-9]),
        [10_000, 1],
        "a small weight does not round to 0"
    );
    assert_eq!(scale_weights(&[f64::NAN, -1.0, f64::INFINITY]), [0, 0, 0]);
    assert_eq!(scale_weights(&[]), []);
}

#[test]
fn drop_rate_is_the_complement_of_the_admission_level() {
    assert_eq!(
        (
            drop_per_million(1.0),
            drop_per_million(0.9),
            drop_per_million(0.01)
        ),
        (0, 100_000, 990_000)
    );
    assert_eq!(
        drop_per_million(1e-12),
        999_999,
        "a level above 0 admits some requests"
    );
    assert_eq!(
        (drop_per_million(0.0), drop_per_million(f64::NAN)),
        (1_000_000, 0)
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn scaled_weights_fit_in_32_bits_and_keep_their_order(weights in proptest::collection::vec(1e-6f64..1e6, 1..30)) {
        let scaled = scale_weights(&weights);
        prop_assert!(scaled.iter().map(|w| u64::from(*w)).sum::<u64>() <= u64::from(u32::MAX));
        for (a, x) in weights.iter().zip(&scaled) {
            prop_assert!(*x >= 1);
            for (b, y) in weights.iter().zip(&scaled) {
                prop_assert!(a > b || x <= y);
            }
        }
    }
}
