//! Figures of tables as the published messages carry them.

/// A weight of 1 in a table is so many in `load_balancing_weight`: four decimal places are kept.
pub const WEIGHT_SCALE: f64 = 10_000.0;
/// The sum of a table's weights must stay within 32 bits (`LbEndpoint.load_balancing_weight`); half of that is used,
/// so that what rounding adds has room.
const SUM_MOST: f64 = 2_147_483_648.0;
/// All requests, in millionths (`FractionalPercent`, `MILLION`).
const MILLION: f64 = 1_000_000.0;

/// Weights as whole numbers in the same proportions, one after the other. One above 0 is 1 or more, so that no host
/// leaves a table by rounding. `WEIGHT_SCALE` holds unless the sum would not fit; then all are scale_weights down alike.
pub fn scale_weights(weights: &[f64]) -> Vec<u32> {
    let usable = |w: &f64| if w.is_finite() && *w > 0.0 { *w } else { 0.0 };
    let sum: f64 = weights.iter().map(usable).sum();
    let scale = WEIGHT_SCALE.min(SUM_MOST / sum.max(f64::MIN_POSITIVE));
    let whole = |w: f64| {
        if w > 0.0 {
            (w * scale).round().clamp(1.0, SUM_MOST) as u32
        } else {
            0
        }
    };
    weights.iter().map(|w| whole(usable(w))).collect()
}

/// What a level turns away, in millionths: a level of 1 lets all in, and one above 0 lets something in.
pub fn drop_per_million(level: f64) -> u32 {
    let level = if level.is_finite() {
        level.clamp(0.0, 1.0)
    } else {
        1.0
    };
    let dropped = ((1.0 - level) * MILLION).round() as u32;
    if level > 0.0 {
        dropped.min(MILLION as u32 - 1)
    } else {
        dropped
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn weights_keep_their_proportions_and_none_is_lost() {
        assert_eq!(
            scale_weights(&[1.0, 0.5, 0.01, 0.0]),
            [10_000, 5_000, 100, 0]
        );
        assert_eq!(
            scale_weights(&[1.0, 1e-9]),
            [10_000, 1],
            "a small one does not round away"
        );
        assert_eq!(scale_weights(&[f64::NAN, -1.0, f64::INFINITY]), [0, 0, 0]);
        assert_eq!(scale_weights(&[]), []);
    }

    #[test]
    fn levels_turn_away_what_they_say() {
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
            "a door that is not shut lets something in"
        );
        assert_eq!(
            (drop_per_million(0.0), drop_per_million(f64::NAN)),
            (1_000_000, 0)
        );
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

        #[test]
        fn any_weights_fit_and_keep_their_order(weights in proptest::collection::vec(1e-6f64..1e6, 1..30)) {
            let whole = scale_weights(&weights);
            prop_assert!(whole.iter().map(|w| u64::from(*w)).sum::<u64>() <= u64::from(u32::MAX));
            for (a, x) in weights.iter().zip(&whole) {
                prop_assert!(*x >= 1);
                for (b, y) in weights.iter().zip(&whole) {
                    prop_assert!(a > b || x <= y);
                }
            }
        }
    }
}
