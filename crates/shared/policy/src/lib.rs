//! The decisions of a rushcourse director, free of I/O, clocks, threads and wire names.
//!
//! Decisions: `decide` is the step and the fallback, `tables` the targets, `scheduler` the check and what is
//! sent, `health` and `admission` what follows from reports, `fleet` the list and the pools, `constants` every
//! value. `interface` holds the types a front speaks. The rest is upkeep: `director` and `state` hold the
//! records, `membership` and `model` keep them, `lookups` and `channel_cost` answer questions about them.

mod admission;
mod channel_cost;
mod constants;
mod decide;
mod demand;
mod director;
mod fleet;
mod health;
pub mod interface;
mod membership;
mod model;
mod observations;
mod orders;
mod retention;
mod scheduler;
mod state;
mod tables;

pub use director::Director;
