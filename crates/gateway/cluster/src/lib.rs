//! What controllers share without a majority's agreement (soft state): hosts, gateways, and the tables that gateways
//! are bound to. One [`Cluster`] for each controller; [`Cluster::step`] is the only place where it changes. Nothing here
//! reads a clock or does I/O.
//!
//! * [`cluster`]: the step; [`events`]: what goes in and what comes out.
//! * [`host_registry`]: the hosts, by their instances; what came late is recognized by its sequence.
//! * [`gateway_membership`]: which gateways are in session with which controller.
//! * [`distribution`]: the policy of each service; [`service_tables`]: the tables as the policy orders them.
//! * [`quorum_contact`]: whether a majority was in contact lately; [`contact_probes`]: the questions that prove it.

pub mod cluster;
pub mod contact_probes;
pub mod distribution;
pub mod events;
mod failure_detection;
pub mod gateway_membership;
mod heartbeat_batch;
pub mod host_registry;
mod initial_sync;
pub mod quorum_contact;
pub mod service_tables;

pub use cluster::Cluster;
pub use contact_probes::{ContactProbes, ProbeResult};
pub use distribution::Distribution;
pub use events::{Effect, Input, Topology};
pub use gateway_membership::GatewayMembership;
pub use host_registry::{HostEntry, HostRegistry};
pub use quorum_contact::{QuorumContact, STALL_THRESHOLD};
pub use service_tables::{TableEndpoint, TableView};
