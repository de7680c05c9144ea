//! The decisions of a rushcourse director, free of I/O, clocks, threads and wire names.
//!
//! Decisions: `decide` is the step and the model, `tables` the targets, `scheduler` the check and what is sent, `health` and
//! `admission` what follows from sums, `fleet` the list and the pools, `tuned` every value. `interface` holds the types a
//! front speaks, `state` plain records, `books` the look-ups and sums on them.

mod admission;
mod books;
mod decide;
mod fleet;
mod health;
pub mod interface;
mod scheduler;
mod state;
mod tables;
mod tuned;

pub use state::Director;
