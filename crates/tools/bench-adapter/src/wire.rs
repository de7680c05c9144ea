//! JSON messages of the bench and their translation to the policy's types. Only names and units differ.

mod hex;
mod incoming;
mod outgoing;

pub use incoming::{Batch, EventHeader, Provision, parse_event};
pub use outgoing::{Order, Reply, encode_action};
