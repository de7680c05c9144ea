//! Load balancing: among the hosts of a service the one with the lowest cost, which is the requests of this gateway on it
//! by its weight and mean latency (weighted least request).

use crate::upstream_host::UpstreamHost;
use rushcourse_types::Timestamp;
use std::sync::Arc;

/// Part by which a host's cost is raised at random, so that gateways that see the same do not all run to the same host
/// (ours).
const COST_NOISE: f64 = 0.5;
/// How many times its cost a host of another zone counts: it is chosen where it costs under half of one of the own zone
/// (ours).
const OTHER_ZONE_COST: f64 = 2.0;
/// The mean latency of all hosts while none is known: any number, since only ratios count.
const UNKNOWN_LATENCY_MS: f64 = 1.0;

/// A host that a request may go to.
pub(crate) struct Candidate<'a> {
    pub(crate) id: &'a Arc<str>,
    pub(crate) host: &'a mut UpstreamHost,
}

/// The candidate with the lowest cost. `random` gives numbers from 0 up to 1 and is drawn once for each candidate, in
/// their order.
pub(crate) fn choose<'a>(
    mut candidates: Vec<Candidate<'a>>,
    now: Timestamp,
    mut random: impl FnMut() -> f64,
) -> Option<Candidate<'a>> {
    prefer_not_ejected(&mut candidates, now);
    let typical_latency_ms = typical_latency_ms(&candidates);
    let mut best: Option<(f64, usize)> = None;
    for (position, candidate) in candidates.iter().enumerate() {
        let cost = cost(candidate.host, typical_latency_ms) * (1.0 + COST_NOISE * random());
        if best.is_none_or(|(lowest, _)| cost < lowest) {
            best = Some((cost, position));
        }
    }
    best.map(|(_, position)| candidates.swap_remove(position))
}

/// Where all hosts are ejected, those that are ejected are tried: one of them may be back.
fn prefer_not_ejected(candidates: &mut Vec<Candidate<'_>>, now: Timestamp) {
    let is_ejected = |candidate: &Candidate<'_>| candidate.host.is_ejected(now);
    if !candidates.iter().all(is_ejected) {
        candidates.retain(|candidate| !is_ejected(candidate));
    }
}

/// The latency that a host without one is assumed to have: the mean of those that are known.
fn typical_latency_ms(candidates: &[Candidate<'_>]) -> f64 {
    let known = || {
        let hosts = candidates.iter().map(|candidate| &*candidate.host);
        hosts.filter_map(UpstreamHost::mean_latency_ms)
    };
    match known().count() {
        0 => UNKNOWN_LATENCY_MS,
        count => known().sum::<f64>() / count as f64,
    }
}

fn cost(host: &UpstreamHost, typical_latency_ms: f64) -> f64 {
    let latency_ms = host.mean_latency_ms().unwrap_or(typical_latency_ms);
    let zone_cost = if host.is_in_own_zone() {
        1.0
    } else {
        OTHER_ZONE_COST
    };
    (f64::from(host.active_requests()) + 1.0) / host.weight() * latency_ms * zone_cost
}
