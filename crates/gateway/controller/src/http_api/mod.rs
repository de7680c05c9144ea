//! The HTTP API for hosts and operators.
//!
//! * `server.rs`: accepts connections and routes requests.
//! * `endpoints.rs`: the table of endpoints.
//! * `handler.rs`: reads and validates a request, forwards it to the event loop and awaits the response.
//! * `host_body.rs`: parses the body of registrations and heartbeats.
//! * `responses.rs`: status codes and bodies.

mod endpoints;
mod handler;
mod host_body;
mod responses;
mod server;

pub(crate) use server::serve_connections;
