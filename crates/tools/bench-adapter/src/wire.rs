//! The wire's messages and their translation to the policy's types. Names and units only; the names are the wire's.

mod hex;
mod incoming;
mod outgoing;

pub use incoming::{Batch, Head, Provision, event};
pub use outgoing::{Order, Reply, order};
