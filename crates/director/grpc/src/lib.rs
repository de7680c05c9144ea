//! gRPC transport of the director: a server for proxies (aggregated discovery, load reporting, health, reflection) and
//! clients that receive out-of-band load reports from hosts.
//!
//! Received messages become inputs of the state machine in `rushcourse_xds`, and its effects are applied here. This
//! crate makes no routing decisions. [`GrpcTransport`] owns the server, the clients and their tasks.

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
