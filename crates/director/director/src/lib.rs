//! The director's process: command line, configuration, sockets, and the loop that hands what was read to the session
//! and carries out what the session asks for. Nothing here decides; see `rushcourse-director-state`.
//!
//! * `cli.rs`: the command line.
//! * `config.rs`, `fronts.rs`: the configuration and the operators' file of fronts.
//! * `event_loop.rs`: the loop. `effects.rs`: what the session asks for. `events.rs`: what tasks report to the loop.
//! * `net`: everything that reads or writes a socket, but for gRPC (`rushcourse-grpc`).
//! * `clock.rs`, `logging.rs`, `signals.rs`, `error.rs`: what their names say.

mod cli;
mod clock;
mod config;
mod effects;
mod error;
mod event_loop;
mod events;
mod fronts;
mod logging;
mod net;
mod signals;

pub use cli::run;
pub use net::health_check::{HealthCheck, HealthCheckClient};
