//! All reading and writing on sockets but for gRPC. Nothing here decides; what is read becomes an input of the session.
//!
//! * `listener.rs`: the director's own address. `pages.rs`: the pages that are served there by HTTP.
//! * `relay.rs`: connections to the platform's relay.
//! * `discovery.rs`: the membership list. `health_check.rs`: health checks of hosts. `http.rs`: the client of both.

pub(crate) mod discovery;
pub(crate) mod health_check;
mod http;
pub(crate) mod listener;
pub(crate) mod pages;
pub(crate) mod relay;
