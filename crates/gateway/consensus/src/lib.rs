//! Replicated control state as a deterministic state machine: the voting set, the configuration, the usage
//! duty, and claims of operation keys. A value is committed once a majority of the voting set has it on disk.
//!
//! Each controller runs one [`ConsensusNode`]. All changes go through [`ConsensusNode::step`], which returns the
//! writes, messages and answers that the caller has to carry out. The crate reads no clock and performs no I/O.
//!
//! * `node/`: dispatches each input to the modules below.
//! * `membership/`: the voting set, which members have complete state, and how the set changes.
//! * `paxos/`: proposer, acceptor, and the votes that other replicas have reported.
//! * `configuration/`: commits configurations; the highest committed version is in force.
//! * `duty.rs`: the usage duty; the newest chosen state says who holds it.
//! * `claims/`: claims of operation keys; the first claim holds the key for the whole key window.
//! * `snapshot.rs`: state transfer between replicas.
//! * `recovery_points.rs`: detects which claims a member may lack after it starts from an older copy of its disk.
//! * `input.rs`, `effect.rs`, `log_event.rs`: the interface of a step; `durable_state.rs`: contents of the state file.

mod claims;
mod configuration;
mod context;
mod durable_state;
mod duty;
mod effect;
mod input;
mod log_event;
mod membership;
mod node;
mod paxos;
mod recovery_points;
mod setup;
mod snapshot;

pub use claims::{HeldClaim, claim_retention};
pub use durable_state::{
    BatchId, DurableState, PruneBounds, StoredClaim, WriteBatch, WriteOperation,
};
pub use effect::{CallOutcome, ClaimAnswer, CommittedConfiguration, Effect};
pub use input::{ClaimRequest, Input};
pub use log_event::LogEvent;
pub use node::{ConsensusNode, ReplicaSummary};
pub use setup::ReplicaSetup;
