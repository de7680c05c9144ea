//! State of one aggregated discovery stream.
//!
//! * `stream.rs`: the stream's state as a whole.
//! * `requests.rs`: subscriptions, ACKs and NACKs.
//! * `responses.rs`: what is sent, and when.
//! * `subscription.rs`: subscribed names, and versions that the proxy holds from an earlier stream.
//! * `pending.rs`: responses without an ACK or NACK.
//! * `rejections.rs`: rejected versions, and when they are sent again.
//! * `ack_numbers.rs`: ack numbers of the policy.

mod ack_numbers;
mod pending;
mod rejections;
mod requests;
mod responses;
mod stream;
mod subscription;

pub(crate) use stream::{DiscoveryOutcome, DiscoveryStream};
