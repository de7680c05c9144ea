//! The director's process: command line, configuration, sockets, and the event loop, which passes inputs from the
//! sockets to the session and executes the effects that the session returns. Decisions are made by the session, in
//! `rushcourse-director-state`.
//!
//! * `cli.rs`: the command line.
//! * `config.rs`, `fronts.rs`: the configuration file and the operators' fronts file.
//! * `event_loop.rs`: the event loop. `effects.rs`: execution of effects. `events.rs`: messages from tasks to the loop.
//! * `net`: all socket I/O except for gRPC, which is in `rushcourse-grpc`.
//! * `clock.rs`, `logging.rs`, `signals.rs`, `error.rs`: support for the above.

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
pub use net::health_check::{HealthCheckClient, HealthCheckResult};
