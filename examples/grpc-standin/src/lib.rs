//! Stand-ins over gRPC to try a director with: a proxy, a host that reports its load, peers that keep to no protocol.
//! They make no load and simulate nothing. The messages are those of a library that others wrote from the published
//! protocol, so that each side checks the other's reading.

mod channel;
mod environment;
mod error;
pub mod host;
pub mod link;
pub mod load_reporter;
pub mod measure;
pub mod proxy;
pub mod raw;
pub mod story;

pub use channel::{connect, connect_tls};
pub use environment::{Environment, ProcessUsage};
pub use error::StandinError;
