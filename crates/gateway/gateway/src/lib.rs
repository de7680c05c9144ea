//! The gateway program (data plane): accepts client requests and forwards each to a host of the service that its route
//! names, using the endpoint tables and the configuration received from controllers.
//!
//! * `server.rs`: process startup, event loop and shutdown; `drain.rs`: schedule of the shutdown; `readiness.rs`: the
//!   readiness endpoint.
//! * `downstream.rs`, `downstream_connection.rs`: client connections.
//! * `request.rs`: the request pipeline; `deadline.rs`: the deadline of a request; its phases are in `request_head.rs`,
//!   `authentication.rs`, `tenant.rs`, `request_body.rs`, `idempotency.rs`, `forward.rs`, `upstream.rs`,
//!   `upstream_connection.rs` and `response_check.rs`.
//! * `operation_lookup.rs`, `response_capture.rs`, `response_memory.rs`: responses for repeats of operations with a key.
//! * `headers.rs`, `response_body.rs`, `local_response.rs`: headers and responses sent to clients.
//! * `state.rs`: the shared state, composed of `control_plane.rs` (configuration, primary controller),
//!   `peer_sessions.rs`, `keyed_operations.rs`, `connection_pool.rs`, `usage.rs`, and the endpoint tables and retry budget of
//!   `rushcourse-routing`.

mod authentication;
mod connection_pool;
mod control_plane;
mod deadline;
mod downstream;
mod downstream_connection;
mod drain;
mod forward;
mod headers;
mod idempotency;
mod keyed_operations;
mod local_response;
mod operation_lookup;
mod peer_sessions;
mod random_source;
mod readiness;
mod request;
mod request_body;
mod request_head;
mod response_body;
mod response_capture;
mod response_check;
mod response_memory;
mod server;
mod state;
mod tenant;
mod upstream;
mod upstream_connection;
mod usage;

pub use server::serve;
