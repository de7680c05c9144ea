//! Load shedding: the order in which requests are rejected when a service is overloaded.
//!
//! * [`shedding_order`]: computes the order from the configuration alone, so gateways with the same configuration
//!   version agree on it.
//!
//! The request path does not use it yet; `docs/giving-way.md` describes the planned integration.

pub mod shedding_order;

pub use shedding_order::{Rank, RankedRoutes, SheddingOrder};
