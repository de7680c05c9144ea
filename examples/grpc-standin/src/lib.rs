//! gRPC stand-ins for testing a director: a proxy, a host that reports its load, and peers that violate the protocol.
//! Messages come from the `envoy-types` crate instead of the director's own definitions, so that an encoding error on
//! either side makes a test fail.

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
