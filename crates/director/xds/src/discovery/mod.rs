//! One stream of aggregated discovery: its subscription, what it was sent, and what its ACKs and NACKs prove.
//!
//! * `stream.rs`: the state of a stream. `requests.rs`, `responses.rs`: what comes on it and what is sent.
//! * `subscription.rs`: the names that it asks for, and what it claims to hold from before.
//! * `pending.rs`: responses that no ACK or NACK has answered.
//! * `rejections.rs`: versions that were rejected, and when they are sent again.
//! * `ack_numbers.rs`: the numbers that the policy asks its replies to be acknowledged by.

mod ack_numbers;
mod pending;
mod rejections;
mod requests;
mod responses;
mod stream;
mod subscription;

pub(crate) use stream::{DiscoveryStream, Outcome};
