//! What core directors share by word of mouth, and what they make of it. One `Cluster` a core director;
//! `Cluster::step(now, input)` is the only place where it changes. It reads no clock and does no I/O.
//!
//! * `subscribers.rs`: the hosts, by their lives; what came late is known by its sequence.
//! * `members.rs`: which frontend directors have a session with which core director.
//! * `distribution.rs`: the present module, one for each service, and the tables as it orders them.
//! * [`quorum_contact`]: whether a majority was in contact lately; [`contact_probes`] are the questions that prove it.
//! * `cluster.rs`: the step.

mod cluster;
pub mod contact_probes;
mod distribution;
mod members;
pub mod quorum_contact;
mod subscribers;

pub use cluster::{Cluster, Effect, Input, Place};
pub use contact_probes::{ContactProbes, ProbeResult};
pub use distribution::{Distribution, Order, TableView};
pub use members::Members;
pub use quorum_contact::{QuorumContact, STALL_THRESHOLD};
pub use subscribers::{RANGES, Subscriber, Subscribers};
