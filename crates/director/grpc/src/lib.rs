//! gRPC on sockets: a server for relays (aggregated discovery and load reports, with health and reflection), and a
//! client that asks hosts for their load. What was read becomes an input of `rushcourse_xds`, whose effects are
//! carried out here; nothing is decided.

mod connections;
mod convert;
mod events;
mod front;
mod host;
pub mod proto;
mod services;
mod tls;

pub use convert::{assignment, of_assignment};
pub use front::{Front, Serving};
pub use tls::Tls;
