//! Conversion of weights and admission levels to the integers of the protobuf messages.

/// The `load_balancing_weight` of a host with weight 1; keeps four decimal places.
pub const WEIGHT_SCALE: f64 = 10_000.0;
/// Upper bound on the scaled weights of a table. The protocol requires the sum to fit in 32 bits
/// (`LbEndpoint.load_balancing_weight`); half of that leaves room for rounding up.
const MAX_WEIGHT_SUM: f64 = 2_147_483_648.0;
/// Denominator of drop rates (`FractionalPercent`, `MILLION`).
const MILLION: f64 = 1_000_000.0;

/// Scales weights to integers, keeping their proportions and order. A positive weight becomes at least 1, so that no
/// host drops out of a table by rounding; negative and non-finite weights become 0. The scale is `WEIGHT_SCALE`, or
/// less if the sum would exceed the 32 bits of the protocol.
pub fn scale_weights(weights: &[f64]) -> Vec<u32> {
    let valid_or_zero = |weight: &f64| {
        if weight.is_finite() && *weight > 0.0 {
            *weight
        } else {
            0.0
        }
    };
    let sum: f64 = weights.iter().map(valid_or_zero).sum();
    let scale = WEIGHT_SCALE.min(MAX_WEIGHT_SUM / sum.max(f64::MIN_POSITIVE));
    let scaled = |weight: f64| {
        if weight > 0.0 {
            (weight * scale).round().clamp(1.0, MAX_WEIGHT_SUM) as u32
        } else {
            0
        }
    };
    weights.iter().map(valid_or_zero).map(scaled).collect()
}

/// The share of requests that a proxy drops at an admission level (0 to 1), per million. Level 1 drops none, and a
/// level above 0 never drops all. A non-finite level counts as 1.
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
