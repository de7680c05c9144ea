//! Comparison of tables up to differences for which the policy sends no update.

use crate::proxy::ProxyTable;
use crate::script::Script;
use rushcourse_xds::WEIGHT_SCALE;

/// Change of a weight below which the policy sends no update, as a fraction of the full weight.
const ABSOLUTE_TOLERANCE: f64 = 0.05;
/// Change of a weight below which the policy sends no update, as a fraction of the weight itself.
const RELATIVE_TOLERANCE: f64 = 0.1;
/// Factor on the tolerances: each of the two compared tables may deviate from its target by the tolerance.
const COMPARED_TABLES: f64 = 2.0;
/// Minimum relative difference of a zone's largest weights for the zone to count as rescaled.
const RESCALE_THRESHOLD: f64 = 0.3;

/// Tolerated differences between two tables.
#[derive(Clone, Copy, Debug, Default)]
pub struct Difference {
    /// Number of hosts whose weights differ.
    pub weights: u64,
    /// Whether all weights of another zone differ by one common factor.
    pub is_rescaled: bool,
}

#[derive(Clone, Copy, Debug)]
struct WeightPair {
    actual: f64,
    baseline: f64,
}

/// Compares two tables of a proxy in `zone`. Returns `None` unless they contain the same hosts with the same admission
/// level and retry policy, and all weights agree within the tolerance. The weights of another zone may also differ by
/// one common factor, as the policy does not adjust cross-zone weights while all hosts are healthy.
pub fn compare(
    script: &Script,
    zone: usize,
    actual: Option<&ProxyTable>,
    baseline: Option<&ProxyTable>,
) -> Option<Difference> {
    let (Some(actual), Some(baseline)) = (actual, baseline) else {
        return (actual == baseline).then(Difference::default);
    };
    let is_equal_otherwise = actual.admitted_per_million == baseline.admitted_per_million
        && actual.retry_policy == baseline.retry_policy
        && actual.weights.keys().eq(baseline.weights.keys());
    if !is_equal_otherwise {
        return None;
    }
    let mut difference = Difference::default();
    for host_zone in 0..script.zones.len() {
        let pairs = pairs_of_zone(script, host_zone, actual, baseline);
        let is_rescaled = compare_zone(&pairs, host_zone == zone)?;
        difference.is_rescaled |= is_rescaled;
        let differing = pairs.iter().filter(|pair| pair.actual != pair.baseline);
        difference.weights += differing.count() as u64;
    }
    Some(difference)
}

/// Pairs the weights of a zone's hosts. Both tables must contain the same hosts.
fn pairs_of_zone(
    script: &Script,
    zone: usize,
    actual: &ProxyTable,
    baseline: &ProxyTable,
) -> Vec<WeightPair> {
    let is_in_zone = |id: &String| {
        let mut hosts = script.hosts.iter();
        hosts.any(|host| host.id == *id && host.zone == zone)
    };
    let weights = actual.weights.iter().zip(baseline.weights.values());
    let in_zone = weights.filter(|((host, _), _)| is_in_zone(host));
    in_zone
        .map(|((_, actual), baseline)| WeightPair {
            actual: f64::from(*actual),
            baseline: f64::from(*baseline),
        })
        .collect()
}

/// Returns whether a zone's weights differ by a common factor, or `None` if a weight differs beyond the tolerance even
/// with that factor. The proxy's own zone is never rescaled.
fn compare_zone(pairs: &[WeightPair], is_own_zone: bool) -> Option<bool> {
    let max_weight = |weight: fn(&WeightPair) -> f64| pairs.iter().map(weight).fold(1.0, f64::max);
    let (actual_max, baseline_max) = (
        max_weight(|pair| pair.actual),
        max_weight(|pair| pair.baseline),
    );
    let exceeds_threshold =
        (actual_max - baseline_max).abs() > RESCALE_THRESHOLD * actual_max.max(baseline_max);
    let is_rescaled = !is_own_zone && exceeds_threshold;
    let factor = if is_rescaled {
        actual_max / baseline_max
    } else {
        1.0
    };
    let scale = if is_rescaled {
        actual_max / WEIGHT_SCALE
    } else {
        1.0
    };
    let absolute_tolerance = ABSOLUTE_TOLERANCE * WEIGHT_SCALE * scale;
    let is_within_tolerance = |pair: &WeightPair| {
        let baseline = pair.baseline * factor;
        let tolerance = absolute_tolerance.max(RELATIVE_TOLERANCE * pair.actual.max(baseline));
        (pair.actual - baseline).abs() <= COMPARED_TABLES * tolerance + 1.0
    };
    pairs.iter().all(is_within_tolerance).then_some(is_rescaled)
}
