//! What a majority of disks holds. One `Register` a controller; `Register::step(now, wall, input)` is the only place where
//! it changes, and gives back what is to be written, sent and answered. It reads no clock and does no I/O.
//!
//! * `membership.rs`: the voting set that a majority is counted of, who of it remembers, how it changes.
//! * `acceptor.rs`, `proposer.rs`, `replicas.rs`: ballots: what this replica promised and voted for, what it has chosen,
//!   and what others told of their votes.
//! * `versions.rs`: the configuration; the highest chosen version holds.
//! * `keys.rs`: claims of operation keys; the first claim holds for the whole window.
//! * `lessons.rs`: how a replica that does not remember is taught.

mod acceptor;
mod agreement;
mod context;
mod effects;
mod keys;
mod lessons;
mod membership;
mod proposer;
mod register;
mod replicas;
mod versions;

pub use effects::{Claim, Effect, Op, Outcome, Stored, is_pruned};
pub use keys::Keys;
pub use membership::Setup;
pub use register::{Input, Ready, Register};
