//! gRPC on sockets: a server for proxies (aggregated discovery and load reports, with health and reflection), and
//! clients that receive the load reports of hosts. What was read becomes an input of `rushcourse_xds`, whose effects
//! are carried out here; nothing is decided.
//!
//! [`GrpcTransport`] owns all of it: effects in, inputs out.

mod connections;
pub mod convert;
mod events;
pub mod proto;
mod report_client;
mod response_stream;
mod server;
mod services;
mod tls;
mod transport;

pub use server::GrpcServerConfig;
pub use transport::{GrpcTransport, ListenError};
