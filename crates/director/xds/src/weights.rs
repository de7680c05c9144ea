//! Weights and admission levels as the published messages carry them: as whole numbers.

/// A weight of 1 in a table is this much in `load_balancing_weight`: four decimal places are kept.
pub const WEIGHT_SCALE: f64 = 10_000.0;
/// The sum of a table's weights must stay within 32 bits (`LbEndpoint.load_balancing_weight`); half of that is used,
/// so that what rounding adds has room.
const MAX_WEIGHT_SUM: f64 = 2_147_483_648.0;
/// All requests, in millionths (`FractionalPercent`, `MILLION`).
const MILLION: f64 = 1_000_000.0;

/// Weights as whole numbers in the same proportions and the same order. A weight above 0 stays above 0, so that no host
/// leaves a table by rounding; what is negative or not finite is 0. The scale is `WEIGHT_SCALE` unless the sum would
/// not fit; then all are scaled down alike.
pub fn scale_weights(weights: &[f64]) -> Vec<u32> {
    let usable = |weight: &f64| {
        if weight.is_finite() && *weight > 0.0 {
            *weight
        } else {
            0.0
        }
    };
    let sum: f64 = weights.iter().map(usable).sum();
    let scale = WEIGHT_SCALE.min(MAX_WEIGHT_SUM / sum.max(f64::MIN_POSITIVE));
    let scaled = |weight: f64| {
        if weight > 0.0 {
            (weight * scale).round().clamp(1.0, MAX_WEIGHT_SUM) as u32
        } else {
            0
        }
    };
    weights.iter().map(usable).map(scaled).collect()
}

/// The requests that an admission level (0 to 1) drops, in millionths. A level of 1 drops none, and one above 0 never
/// drops all. What is not finite counts as 1.
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
