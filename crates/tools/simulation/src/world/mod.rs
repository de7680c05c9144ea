//! A director's session on a fake clock, with simulated discovery, relay, collector and proxies.
//!
//! * `outcome.rs`: modes, injected faults and the outcome of a run.
//! * `times.rs`: shared time constants.
//! * `setup.rs`: settings, limits, host list and session of the director.
//! * `list.rs`: discovery's list of hosts.
//! * `queue.rs`: pending deliveries, ordered by time.
//! * `state.rs`: state of the simulation.
//! * `play.rs`: event loop over the fake clock.
//! * `director.rs`: inputs to the director.
//! * `effects.rs`: effects of the director.
//! * `deliveries.rs`: handling of due deliveries.
//! * `events.rs`: handling of script events.
//! * `streams.rs`: discovery streams of the proxies.
//! * `reports.rs`: load reports of the proxies.

mod deliveries;
mod director;
mod effects;
mod events;
mod list;
mod outcome;
mod play;
mod queue;
mod reports;
mod setup;
mod state;
mod streams;
mod times;

pub use outcome::{InjectedFault, Mode, Outcome, ProxyClass, Tables};
pub use state::World;
