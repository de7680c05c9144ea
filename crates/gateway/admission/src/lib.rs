//! Load shedding order: who gives way
//! first when a service can't carry all requests.
//!
//! * `order.rs`: the order, from the configuration alone, so that all directors that hold one version agree on it.
//!
//! Nothing on the path of requests uses it yet: docs/giving-way.md tells what is to come.

mod order;

pub use order::{Order, Rank};
