//! A director's session on a fake clock, with discovery, relay, collector, proxies and their streams around it.
//!
//! * `outcome.rs`: the ways to run a script, the faults put in on purpose, and what came of a run.
//! * `times.rs`: times that all parts share.
//! * `setup.rs`: settings, limits, list and session of the director.
//! * `list.rs`: discovery's list of hosts.
//! * `queue.rs`: what is on its way.
//! * `state.rs`: the world's state.
//! * `play.rs`: the loop over the fake clock.
//! * `director.rs`: what the world hands to the director.
//! * `effects.rs`: what the director asks for is carried out.
//! * `deliveries.rs`: what was on its way arrives.
//! * `events.rs`: what the script lets happen.
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

pub use outcome::{Flaw, Mode, Outcome, ProxyClass, Tables};
pub use state::World;
