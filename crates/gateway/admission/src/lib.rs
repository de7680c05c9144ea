//! Load shedding: which requests are rejected first when a service can't carry all of them.
//!
//! * [`shedding_order`]: the order, from the configuration alone, so that all gateways that hold one version agree on it.
//!
//! Nothing on the path of requests uses it yet: `docs/giving-way.md` tells what is to come.

pub mod shedding_order;

pub use shedding_order::{Rank, RankedRoutes, SheddingOrder};
