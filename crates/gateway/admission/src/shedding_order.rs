//! The order in which the requests of one service are shed.
//!
//! Each request has a position from 0 on: the index of its rank, and within the rank a fraction by a hash that all
//! gateways share. An admission level is a point on the same scale; what lies below it passes. So one number says what is
//! shed, a higher level admits all that a lower one does, and a client that is rejected at one gateway is rejected at the
//! next at the same level, whichever attempt it is.

use rushcourse_config::{Configuration, Route, RouteKind};
use rushcourse_types::hash::hash64;
use std::collections::BTreeMap;
use std::time::Duration;

/// Seed of the hash of a request, apart from those of other uses. Gateways must agree, so it never changes.
const POSITION_SEED: u64 = 11;

/// Bits of a hash that a float of 64 bits holds exactly.
const FLOAT_BITS: u32 = f64::MANTISSA_DIGITS;

/// Routes that are shed together. What binds (mutating and idempotent requests) comes before what is only read, then the
/// highest priority, then the shortest target latency: who is content to wait longer is shed sooner. The order of the
/// fields is the order of ranks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether its requests may run more than once, and so be repeated at no harm.
    pub is_read_only: bool,
    /// As in the configuration: 0 is the highest.
    pub priority: u32,
    /// In whole milliseconds; [`Rank::NO_TARGET_LATENCY`] where the route names none.
    pub target_latency: Duration,
}

impl Rank {
    /// Stands for no target latency: it is shed as one that waits the longest.
    pub const NO_TARGET_LATENCY: Duration = Duration::from_millis(u64::MAX);

    /// The rank of a route.
    pub fn of(route: &Route) -> Rank {
        let whole_millis = |target: Duration| Duration::from_millis(target.as_millis() as u64);
        Rank {
            is_read_only: route.kind == RouteKind::ReadOnly,
            priority: route.priority,
            target_latency: route
                .target_latency
                .map_or(Rank::NO_TARGET_LATENCY, whole_millis),
        }
    }
}

/// A rank at a service.
#[derive(Clone, Debug, PartialEq)]
pub struct RankedRoutes {
    /// What the routes have in common.
    pub rank: Rank,
    /// Their names, in the order of the configuration.
    pub routes: Vec<String>,
}

/// The ranks at one service, what is shed last first.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SheddingOrder {
    ranks: Vec<RankedRoutes>,
}

impl SheddingOrder {
    /// The order at a service: of all routes that may send to it.
    pub fn for_service(configuration: &Configuration, service: &str) -> SheddingOrder {
        let mut ranks: BTreeMap<Rank, Vec<String>> = BTreeMap::new();
        let senders = configuration.routes.iter();
        for route in senders.filter(|route| route.sends_to(service)) {
            let routes = ranks.entry(Rank::of(route)).or_default();
            routes.push(route.name.clone());
        }
        let ranked = |(rank, routes)| RankedRoutes { rank, routes };
        SheddingOrder {
            ranks: ranks.into_iter().map(ranked).collect(),
        }
    }

    /// All ranks, what is shed last first.
    pub fn ranks(&self) -> &[RankedRoutes] {
        &self.ranks
    }

    /// The lowest level that admits all requests.
    pub fn level_for_all(&self) -> f64 {
        self.ranks.len() as f64
    }

    /// The lowest level that admits all requests that bind.
    pub fn level_for_writes(&self) -> f64 {
        let binding = self.ranks.iter().filter(|ranked| !ranked.rank.is_read_only);
        binding.count() as f64
    }

    /// The position of a request, from 0 up to [`SheddingOrder::level_for_all`]. `request` is what all attempts of it
    /// have in common: `Operation-Key`, or host and path. `None`: no route of its rank sends anything to this service.
    pub fn position(&self, route: &Route, request: &[u8]) -> Option<f64> {
        let rank = Rank::of(route);
        let index = self
            .ranks
            .binary_search_by(|ranked| ranked.rank.cmp(&rank))
            .ok()?;
        let high_bits = hash64(request, POSITION_SEED) >> (u64::BITS - FLOAT_BITS);
        let fraction = high_bits as f64 / (1u64 << FLOAT_BITS) as f64;
        Some(index as f64 + fraction)
    }

    /// Whether a request passes at a level. One of a route that is not of this order passes: its gateways hold another
    /// version, and the newer one decides soon.
    pub fn admits(&self, level: f64, route: &Route, request: &[u8]) -> bool {
        self.position(route, request)
            .is_none_or(|position| position < level)
    }
}
