//! gRPC on sockets: a server for relays (aggregated discovery and load reports, with health and reflection), and a
//! client that asks hosts for their load. What was read becomes an input of `rushcourse_xds`, whose effects are
//! carried out here; nothing is decided.

mod convert;
mod front;
mod gate;
mod host;
pub mod proto;
mod services;
mod tls;
mod told;

pub use convert::{assignment, of_assignment};
pub use front::{Front, Serving};
pub use tls::Tls;
