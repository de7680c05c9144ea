//! Tables that are the same but for what the policy does not send an update for.

use crate::proxy::ProxyTable;
use crate::script::Script;
use rushcourse_xds::WEIGHT_SCALE;

/// A weight is worth an update from this part of a listed weight on,
const LISTED_TOLERANCE: f64 = 0.05;
/// and from this part of its own.
const WEIGHT_TOLERANCE: f64 = 0.1;
/// Two tables may each be off by so much.
const SIDES: f64 = 2.0;
/// Part by which another zone's factor must be off to be taken for another one.
const FACTOR_TOLERANCE: f64 = 0.3;

/// How two tables differ that are taken for the same.
#[derive(Clone, Copy, Debug, Default)]
pub struct Difference {
    /// Hosts whose weights are not the same.
    pub weights: u64,
    /// The hosts of another zone have another factor.
    pub has_other_factor: bool,
}

/// A host's weight in both tables.
#[derive(Clone, Copy, Debug)]
struct WeightPair {
    ours: f64,
    theirs: f64,
}

/// Compares two tables of a proxy of a zone; none if they differ. They are taken for the same if they name the same
/// hosts with the same level and retry policy, and weights that differ by less than an update is worth. How much hosts
/// of another zone weigh rests while all are healthy, so all weights of such a zone may differ by one factor.
pub fn compare(
    script: &Script,
    zone: usize,
    ours: Option<&ProxyTable>,
    theirs: Option<&ProxyTable>,
) -> Option<Difference> {
    let (Some(ours), Some(theirs)) = (ours, theirs) else {
        return (ours == theirs).then(Difference::default);
    };
    let is_same = ours.admitted_per_million == theirs.admitted_per_million
        && ours.retry_policy == theirs.retry_policy
        && ours.weights.keys().eq(theirs.weights.keys());
    if !is_same {
        return None;
    }
    let mut difference = Difference::default();
    for other_zone in 0..script.zones.len() {
        let pairs = pairs_of_zone(script, other_zone, ours, theirs);
        let has_other_factor = compare_zone(&pairs, other_zone == zone)?;
        difference.has_other_factor |= has_other_factor;
        let changed = pairs.iter().filter(|pair| pair.ours != pair.theirs);
        difference.weights += changed.count() as u64;
    }
    Some(difference)
}

/// Weights of a zone's hosts in two tables that name the same hosts.
fn pairs_of_zone(
    script: &Script,
    zone: usize,
    ours: &ProxyTable,
    theirs: &ProxyTable,
) -> Vec<WeightPair> {
    let is_in_zone = |id: &String| {
        let mut hosts = script.hosts.iter();
        hosts.any(|host| host.id == *id && host.zone == zone)
    };
    let weights = ours.weights.iter().zip(theirs.weights.values());
    let in_zone = weights.filter(|((host, _), _)| is_in_zone(host));
    in_zone
        .map(|((_, ours), theirs)| WeightPair {
            ours: f64::from(*ours),
            theirs: f64::from(*theirs),
        })
        .collect()
}

/// Whether the hosts of a zone have another factor; none if a weight is off beyond that.
fn compare_zone(pairs: &[WeightPair], is_own: bool) -> Option<bool> {
    let top = |weight: fn(&WeightPair) -> f64| pairs.iter().map(weight).fold(1.0, f64::max);
    let (our_top, their_top) = (top(|pair| pair.ours), top(|pair| pair.theirs));
    let is_apart = (our_top - their_top).abs() > FACTOR_TOLERANCE * our_top.max(their_top);
    let has_other_factor = !is_own && is_apart;
    let factor = if has_other_factor {
        our_top / their_top
    } else {
        1.0
    };
    let listed = if has_other_factor {
        our_top / WEIGHT_SCALE
    } else {
        1.0
    };
    let least = LISTED_TOLERANCE * WEIGHT_SCALE * listed;
    let is_near = |pair: &WeightPair| {
        let theirs = pair.theirs * factor;
        let tolerance = least.max(WEIGHT_TOLERANCE * pair.ours.max(theirs));
        (pair.ours - theirs).abs() <= SIDES * tolerance + 1.0
    };
    pairs.iter().all(is_near).then_some(has_other_factor)
}
