//! All streams of relays, and the report streams to hosts: the channel beside the platform's relay. It owns every
//! map here and removes what has ended.
//!
//! * `state.rs`: the streams that are open, their schedule, and how one ends.
//! * `arrivals.rs`: streams come, say who they are, and go.
//! * `tables.rs`: the module's orders and the proxies' answers.
//! * `reports.rs`: load reports.
//! * `deadlines.rs`: what is due by time.

mod arrivals;
mod deadlines;
mod reports;
mod state;
mod tables;

pub use state::Streams;
