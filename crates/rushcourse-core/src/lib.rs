//! The decisions of a rushcourse director, free of I/O, clocks, threads and wire names.
//!
//! `decide` holds every decision, `interface` the types a front speaks, `state` plain records,
//! `books` the look-ups and sums on them.

mod books;
mod decide;
pub mod interface;
mod state;

pub use state::Director;
