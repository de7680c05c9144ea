//! gRPC on sockets: a server for relays (aggregated discovery and load reports, with health and reflection), and a
//! client that asks hosts for their load. What was read becomes an input of `rushcourse_xds`, whose effects are
//! carried out here; nothing is decided.

mod convert;
mod front;
mod gate;
mod host;
mod services;
mod told;

/// The published messages, as far as they are used.
pub mod proto {
    #![allow(clippy::all, missing_docs)]
    include!(concat!(env!("OUT_DIR"), "/messages.rs"));
}

pub use convert::{assignment, of_assignment};
pub use front::{Front, Serving};
pub use told::Told;

/// Descriptors of the published messages, as far as they are used.
pub const DESCRIPTORS: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/messages.bin"));
