//! What a majority of disks holds: the voting set, the configuration, claims of operation keys. A pure state machine,
//! one [`ConsensusNode`] a controller: [`ConsensusNode::step`] is the only place where it changes, and gives back what
//! is to be written, sent and answered. It reads no clock and does no I/O.
//!
//! * `node/`: the step, and where each input goes.
//! * `membership/`: the voting set that a majority is counted of, who of it has complete state, how it changes.
//! * `paxos/`: ballots: what this replica promised, voted for and proposes, and what others reported of their votes.
//! * `configuration/`: the configuration; the highest committed version holds.
//! * `claims/`: claims of operation keys; the first claim holds for the whole window.
//! * `snapshot.rs`: how a replica gets complete state from others.
//! * `recovery_points.rs`: what is known of the others' disks, for one that starts with an older copy of its own.
//! * `input.rs`, `effect.rs`, `log_event.rs`: what goes in and what comes out; `durable_state.rs`: what the disk holds.

mod claims;
mod configuration;
mod context;
mod durable_state;
mod effect;
mod input;
mod log_event;
mod membership;
mod node;
mod paxos;
mod recovery_points;
mod setup;
mod snapshot;

pub use claims::HeldClaim;
pub use durable_state::{
    BatchId, DurableState, PruneBounds, StoredClaim, WriteBatch, WriteOperation,
};
pub use effect::{ClaimAnswer, CommittedConfiguration, Effect, CallOutcome};
pub use input::{ClaimRequest, Input};
pub use log_event::LogEvent;
pub use node::{ConsensusNode, ReplicaSummary};
pub use setup::ReplicaSetup;
