//! The decisions of a rushcourse director, free of I/O, clocks, threads and wire names.
//!
//! `decide` holds every decision, `interface` the types a front speaks, `state` plain records.

mod decide;
pub mod interface;
#[allow(dead_code)]
mod state;

pub use decide::Director;
