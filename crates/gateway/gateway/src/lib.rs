//! The gateway program (data plane): takes requests of clients and forwards each to a host of its route's service, by the
//! tables and the configuration that controllers send.
//!
//! * `server.rs`: the process and its event loop; `readiness.rs`: what the platform is told.
//! * `downstream.rs`, `downstream_connection.rs`: connections of clients.
//! * `request.rs`: the phases of a request in their order; `request_head.rs`, `request_body.rs`, `idempotency.rs`,
//!   `forward.rs`, `upstream.rs`, `upstream_connection.rs` and `response_check.rs` are phases of it.
//! * `headers.rs`, `response_body.rs`, `local_response.rs`: what goes to a client.
//! * `state.rs`: what the gateway knows, with its owners: `control_plane.rs` (configuration, primary controller),
//!   `peer_sessions.rs`, `keyed_operations.rs`, `connection_pool.rs`, and the endpoint tables and retry budget of
//!   `rushcourse-routing`.

mod connection_pool;
mod control_plane;
mod downstream;
mod downstream_connection;
mod forward;
mod headers;
mod idempotency;
mod keyed_operations;
mod local_response;
mod peer_sessions;
mod random_source;
mod readiness;
mod request;
mod request_body;
mod request_head;
mod response_body;
mod response_check;
mod server;
mod state;
mod upstream;
mod upstream_connection;

pub use server::serve;
