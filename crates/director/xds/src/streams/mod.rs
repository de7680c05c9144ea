//! All streams of proxies, and the report streams to hosts. Proxies that use these streams bypass the platform's relay.
//!
//! * `state.rs`: the state as a whole, and how a stream is ended.
//! * `open_streams.rs`: open streams and their timers.
//! * `inputs.rs`: opening, identification, requests and end of streams.
//! * `policy.rs`: actions of the policy, and the membership list.
//! * `reports.rs`: load reports of proxies.
//! * `deadlines.rs`: expired timers.
//! * `gauges.rs`: gauges for `/metrics`.

mod deadlines;
mod gauges;
mod inputs;
mod open_streams;
mod policy;
mod reports;
mod state;

pub use state::Streams;
