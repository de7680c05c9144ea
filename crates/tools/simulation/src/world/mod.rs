//! A director's session on a fake clock, with discovery, relay, collector, proxies and their streams around it.
//!
//! * `outcome.rs`: the ways to run a script, the faults put in on purpose, and what came of a run.
//! * `times.rs`: times that all parts share.
//! * `setup.rs`: settings, limits, list and session of the director.
//! * `state.rs`: the world's state, and the queue of what is on its way.
//! * `play.rs`: the loop over the fake clock.
//! * `effects.rs`: what the director asks for is carried out.
//! * `deliveries.rs`: what was on its way arrives.
//! * `events.rs`: what the script lets happen.
//! * `streams.rs`: discovery streams of the proxies.
//! * `reports.rs`: load reports of the proxies.

mod deliveries;
mod effects;
mod events;
mod outcome;
mod play;
mod reports;
mod setup;
mod state;
mod streams;
mod times;

pub use outcome::{Flaw, Mode, Outcome, Tables};
pub use state::World;
