//! The order of giving way at one service.
//!
//! Each request has a place on a line from 0 on: the number of its rank, and within the rank a part by a hash that all
//! directors share. A level is a point on that line; what lies below it passes. So one number says who gives way, a
//! higher level lets in all that a lower one does, and a client that is turned away at one director is turned away at the
//! next at the same level, whichever try it is.

use rushcourse_config::{Configuration, Route, RouteKind};
use rushcourse_types::hash::hash64;
use std::collections::BTreeMap;

/// Seed of the hash of a request, apart from those of other uses.
const SEED: u64 = 11;
/// Bits of a hash that a float of 64 bits holds.
const BITS: u32 = 53;

/// Routes that give way together. What binds comes before what is only read, then the highest rank, then the shortest
/// aim: who is content to wait longer gives way sooner. The order of the fields is the order of ranks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether its requests may run more than once, and so be asked for again at no harm.
    pub read_only: bool,
    /// As in the configuration: 0 is the highest.
    pub priority: u32,
    /// ms within which an answer earns its full worth; the most there is where the route names none.
    pub aim_ms: u64,
}

impl Rank {
    /// The rank of a route.
    pub fn of(route: &Route) -> Rank {
        Rank {
            read_only: route.kind == RouteKind::ReadOnly,
            priority: route.priority,
            aim_ms: route.aim.map_or(u64::MAX, |s| (s * 1000.0) as u64),
        }
    }
}

/// The ranks at one service, who gives way last first, with the routes of each.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Order {
    ranks: Vec<(Rank, Vec<String>)>,
}

impl Order {
    /// The order at a service: of all routes that may send to it. A part of a split with no weight sends nothing.
    pub fn at(configuration: &Configuration, service: &str) -> Order {
        let mut ranks: BTreeMap<Rank, Vec<String>> = BTreeMap::new();
        for route in &configuration.routes {
            if route
                .split
                .iter()
                .any(|(s, weight)| s == service && *weight > 0.0)
            {
                ranks
                    .entry(Rank::of(route))
                    .or_default()
                    .push(route.name.clone());
            }
        }
        Order {
            ranks: ranks.into_iter().collect(),
        }
    }

    pub fn ranks(&self) -> &[(Rank, Vec<String>)] {
        &self.ranks
    }

    /// The level that lets all in.
    pub fn all(&self) -> f64 {
        self.ranks.len() as f64
    }

    /// The lowest level at which all that binds passes.
    pub fn binding(&self) -> f64 {
        self.ranks.iter().filter(|r| !r.0.read_only).count() as f64
    }

    /// Where a request stands, from 0 up to `all`. `shared`: what all tries of it have in common, `Operation-Key` or host and
    /// path. None: no route of its rank sends anything here.
    pub fn place(&self, route: &Route, shared: &[u8]) -> Option<f64> {
        let rank = self
            .ranks
            .binary_search_by(|r| r.0.cmp(&Rank::of(route)))
            .ok()?;
        let part = (hash64(shared, SEED) >> (64 - BITS)) as f64 / (1u64 << BITS) as f64;
        Some(rank as f64 + part)
    }

    /// Whether a request passes at a level. One of a route that is not of this order passes: its directors hold another
    /// version, and the newer one decides soon.
    pub fn passes(&self, level: f64, route: &Route, shared: &[u8]) -> bool {
        self.place(route, shared).is_none_or(|place| place < level)
    }
}
