//! What core directors share by word of mouth, and what they make of it. One `Cluster` a core director;
//! `Cluster::step(now, input)` is the only place where it changes. It reads no clock and does no I/O.
//!
//! * [`host_registry`]: the hosts, by their instances; what came late is recognized by its sequence.
//! * `members.rs`: which frontend directors have a session with which core director.
//! * `distribution.rs`: the present module, one for each service, and the tables as it orders them.
//! * [`quorum_contact`]: whether a majority was in contact lately; [`contact_probes`] are the questions that prove it.
//! * `cluster.rs`: the step.

mod cluster;
pub mod contact_probes;
mod distribution;
pub mod host_registry;
mod members;
pub mod quorum_contact;

pub use cluster::{Cluster, Effect, Input, Place};
pub use contact_probes::{ContactProbes, ProbeResult};
pub use distribution::{Distribution, Order, TableView};
pub use host_registry::{HostEntry, HostRegistry};
pub use members::Members;
pub use quorum_contact::{QuorumContact, STALL_THRESHOLD};
