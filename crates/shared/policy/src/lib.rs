//! The decision logic of a rushcourse director, without I/O, clocks, threads or wire formats.
//!
//! The decisions: `decide` holds the main step and the fallback, `tables` the target weights, `scheduler` the
//! safety check and the sending of updates, `health` outlier detection, `admission` admission levels, `fleet`
//! pools and unlisted hosts, and `constants` the thresholds. `interface` holds the public types. The other
//! modules maintain and query the state.

mod admission;
mod channel_cost;
mod constants;
mod decide;
mod demand;
mod director;
mod dispatch;
mod fleet;
mod health;
pub mod interface;
mod membership;
mod model;
mod observations;
mod retention;
mod scheduler;
mod state;
mod tables;

pub use director::Director;
