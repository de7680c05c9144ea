//! The HTTP interface for hosts and operators (PROTOCOL.md): endpoints in one table, bodies read and checked, answers.
//!
//! * `server.rs`: connections.
//! * `endpoints.rs`: what may be called.
//! * `handler.rs`: a request from its body to its answer.
//! * `host_body.rs`: what a host says of itself.
//! * `responses.rs`: status and body of each outcome.

mod endpoints;
mod handler;
mod host_body;
mod responses;
mod server;

pub(crate) use server::serve_connections;
