//! All streams of proxies, and the report streams to hosts: the way to proxies beside the platform's relay. It owns
//! the state of every stream and removes it when the stream ends.
//!
//! * `state.rs`: the state as a whole, and how a stream is ended.
//! * `open_streams.rs`: the streams that are open, and when each is due.
//! * `inputs.rs`: streams are opened, identify themselves, send requests, and close.
//! * `policy.rs`: the policy's actions and the membership list.
//! * `reports.rs`: load reports of proxies.
//! * `deadlines.rs`: what is due by time.
//! * `gauges.rs`: figures for `/metrics`.

mod deadlines;
mod gauges;
mod inputs;
mod open_streams;
mod policy;
mod reports;
mod state;

pub use state::Streams;
