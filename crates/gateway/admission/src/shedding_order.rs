//! The order in which the requests to one service are shed.
//!
//! Every request has a position: the index of its rank plus a fraction in `0.0..1.0`, computed by a hash that is the
//! same on all gateways. An admission level is a value on the same scale, and requests whose position is below it are
//! admitted. A higher level therefore admits everything that a lower level admits, and every attempt of a request gets
//! the same result from all gateways at the same level.

use rushcourse_config::{Configuration, Route, RouteKind, Tenant, Tenants};
use rushcourse_types::hash::hash64;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Seed of the request hash. Gateways must compute the same positions, so it must never change.
const POSITION_SEED: u64 = 11;

/// Number of hash bits that an `f64` represents exactly.
const FLOAT_BITS: u32 = f64::MANTISSA_DIGITS;

/// The key by which requests are ordered for shedding; requests with equal keys are shed together. The derived `Ord` puts
/// writes (mutating and idempotent routes) before reads, then the highest priority, then the shortest target latency.
/// Lower ranks are shed last, so the order of the fields matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether the route is of kind `read_only`, whose requests have no effect and may run any number of times.
    pub is_read_only: bool,
    /// Priority of the tenant, or of the route if the tenant has none; 0 is the highest.
    pub priority: u32,
    /// Target latency in whole milliseconds, or [`Rank::NO_TARGET_LATENCY`] for routes without one.
    pub target_latency: Duration,
}

impl Rank {
    /// Sorts routes without a target latency after all routes that have one.
    pub const NO_TARGET_LATENCY: Duration = Duration::from_millis(u64::MAX);

    /// Computes the rank of a tenant's requests on a route. `tenant` is `None` for requests without a tenant.
    pub fn of(route: &Route, tenant: Option<&Tenant>) -> Rank {
        let tenant_priority = tenant.and_then(|tenant| tenant.priority);
        Rank::with_priority(route, tenant_priority.unwrap_or(route.priority))
    }

    fn with_priority(route: &Route, priority: u32) -> Rank {
        let whole_millis = |target: Duration| Duration::from_millis(target.as_millis() as u64);
        Rank {
            is_read_only: route.kind == RouteKind::ReadOnly,
            priority,
            target_latency: route
                .target_latency
                .map_or(Rank::NO_TARGET_LATENCY, whole_millis),
        }
    }
}

/// The routes that send requests of one rank to one service.
#[derive(Clone, Debug, PartialEq)]
pub struct RankedRoutes {
    /// The rank that requests on all of `routes` can have.
    pub rank: Rank,
    /// Route names in configuration order.
    pub routes: Vec<String>,
}

/// The ranks of the requests that routes send to one service. A route has one rank for each priority of its requests. The first rank is shed last.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SheddingOrder {
    ranks: Vec<RankedRoutes>,
}

impl SheddingOrder {
    /// Computes the order of all routes in `configuration` that may send requests to `service`.
    pub fn for_service(configuration: &Configuration, service: &str) -> SheddingOrder {
        let mut ranks: BTreeMap<Rank, Vec<String>> = BTreeMap::new();
        let senders = configuration.routes.iter();
        for route in senders.filter(|route| route.sends_to(service)) {
            for priority in priorities(configuration, route) {
                let rank = Rank::with_priority(route, priority);
                ranks.entry(rank).or_default().push(route.name.clone());
            }
        }
        let ranked = |(rank, routes)| RankedRoutes { rank, routes };
        SheddingOrder {
            ranks: ranks.into_iter().map(ranked).collect(),
        }
    }

    /// All ranks of the service. Requests of the first rank are shed last.
    pub fn ranks(&self) -> &[RankedRoutes] {
        &self.ranks
    }

    /// The lowest admission level that admits all requests.
    pub fn level_for_all(&self) -> f64 {
        self.ranks.len() as f64
    }

    /// The lowest admission level that admits all requests of mutating and idempotent routes.
    pub fn level_for_writes(&self) -> f64 {
        let writes = self.ranks.iter().filter(|ranked| !ranked.rank.is_read_only);
        writes.count() as f64
    }

    /// The position of a tenant's request, from 0 (inclusive) to [`SheddingOrder::level_for_all`] (exclusive). `request`
    /// contains bytes that are equal in all attempts of the request: its `Operation-Key`, or its host and path. Returns
    /// `None` if no route of the same rank sends requests to this service.
    pub fn position(&self, route: &Route, tenant: Option<&Tenant>, request: &[u8]) -> Option<f64> {
        let rank = Rank::of(route, tenant);
        let index = self
            .ranks
            .binary_search_by(|ranked| ranked.rank.cmp(&rank))
            .ok()?;
        let high_bits = hash64(request, POSITION_SEED) >> (u64::BITS - FLOAT_BITS);
        let fraction = high_bits as f64 / (1u64 << FLOAT_BITS) as f64;
        Some(index as f64 + fraction)
    }

    /// Whether a tenant's request is admitted at an admission level. A request whose rank is not in this order is
    /// admitted, because its route or tenant comes from a different configuration version.
    pub fn admits(
        &self,
        level: f64,
        route: &Route,
        tenant: Option<&Tenant>,
        request: &[u8],
    ) -> bool {
        self.position(route, tenant, request)
            .is_none_or(|position| position < level)
    }
}

/// Returns the priorities that requests on a route can have: those of the tenants, and the route's own for tenants
/// without one, for requests without a tenant, and if there are no tenants at all.
fn priorities(configuration: &Configuration, route: &Route) -> BTreeSet<u32> {
    let tenants = configuration.tenants.iter().flat_map(Tenants::iter);
    let mut priorities: BTreeSet<u32> = tenants
        .map(|tenant| tenant.priority.unwrap_or(route.priority))
        .collect();
    if route.is_public || priorities.is_empty() {
        priorities.insert(route.priority);
    }
    priorities
}
