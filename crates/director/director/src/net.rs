//! Socket I/O except for gRPC. Everything that is received becomes an input of the session, which makes the decisions.
//!
//! * `listener.rs`: the director's own address. `pages.rs`: the HTTP pages served there.
//! * `relay.rs`: connections to the platform's relay.
//! * `discovery.rs`: the membership list. `health_check.rs`: health checks of hosts. `http.rs`: their HTTP client.

pub(crate) mod discovery;
pub(crate) mod health_check;
mod http;
pub(crate) mod listener;
pub(crate) mod pages;
pub(crate) mod relay;
