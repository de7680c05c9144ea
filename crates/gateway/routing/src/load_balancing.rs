//! Weighted least-request load balancing. The cost of a host is the number of this gateway's active requests on it plus
//! one, divided by its weight and multiplied by its mean latency. The host with the lowest cost is selected.

use crate::upstream_host::UpstreamHost;
use rushcourse_types::Timestamp;
use std::sync::Arc;

/// Maximum random increase of a cost, as a fraction of it. Prevents gateways with the same view from all selecting the
/// same host.
const COST_JITTER: f64 = 0.5;
/// Cost multiplier for hosts in other zones. Such a host is selected only if it would cost less than two fifths of a local
/// one.
const CROSS_ZONE_COST_FACTOR: f64 = 2.5;
/// Latency assumed for all hosts while none has a measured one. The value is arbitrary because only cost ratios matter.
const FALLBACK_LATENCY_MS: f64 = 1.0;

/// An available host that this request has not been sent to yet.
pub(crate) struct Candidate<'a> {
    pub(crate) id: &'a Arc<str>,
    pub(crate) host: &'a mut UpstreamHost,
}

/// Selects the candidate with the lowest cost. `random` returns values in `0.0..1.0`; it is called once per remaining
/// candidate, in their order.
pub(crate) fn choose<'a>(
    mut candidates: Vec<Candidate<'a>>,
    now: Timestamp,
    mut random: impl FnMut() -> f64,
) -> Option<Candidate<'a>> {
    exclude_ejected(&mut candidates, now);
    let default_latency_ms = default_latency_ms(&candidates);
    let mut best: Option<(f64, usize)> = None;
    for (position, candidate) in candidates.iter().enumerate() {
        let cost = cost(candidate.host, default_latency_ms) * (1.0 + COST_JITTER * random());
        if best.is_none_or(|(lowest, _)| cost < lowest) {
            best = Some((cost, position));
        }
    }
    best.map(|(_, position)| candidates.swap_remove(position))
}

/// Removes ejected hosts. If all hosts are ejected, keeps them all, since one of them may have recovered.
fn exclude_ejected(candidates: &mut Vec<Candidate<'_>>, now: Timestamp) {
    let is_ejected = |candidate: &Candidate<'_>| candidate.host.is_ejected(now);
    if !candidates.iter().all(is_ejected) {
        candidates.retain(|candidate| !is_ejected(candidate));
    }
}

/// The latency assumed for hosts without a measured one: the mean of the measured latencies of the other candidates.
fn default_latency_ms(candidates: &[Candidate<'_>]) -> f64 {
    let known = || {
        let hosts = candidates.iter().map(|candidate| &*candidate.host);
        hosts.filter_map(UpstreamHost::mean_latency_ms)
    };
    match known().count() {
        0 => FALLBACK_LATENCY_MS,
        count => known().sum::<f64>() / count as f64,
    }
}

fn cost(host: &UpstreamHost, default_latency_ms: f64) -> f64 {
    let latency_ms = host.mean_latency_ms().unwrap_or(default_latency_ms);
    let zone_factor = if host.is_in_own_zone() {
        1.0
    } else {
        CROSS_ZONE_COST_FACTOR
    };
    (f64::from(host.active_requests()) + 1.0) / host.weight() * latency_ms * zone_factor
}
