//! The soft state of a controller, which it shares with the others without a majority's agreement: hosts, gateways, and
//! the tables that gateways are bound to. It changes in [`Cluster::step`] and nowhere else. Nothing here reads a clock or
//! does I/O.
//!
//! * [`cluster`]: the step; [`events`]: its inputs and effects.
//! * [`host_registry`]: the hosts. Late records are recognized by their sequence.
//! * [`gateway_membership`]: which gateways are in session with which controller.
//! * [`distribution`]: the services, each with its policy; [`service_tables`]: the tables of one service.
//! * `initial_sync`, `failure_detection`: when this controller knows all hosts, and when a host may be taken for dead.
//! * `heartbeat_batch`: heartbeats for the other controllers.
//! * [`quorum_contact`]: whether a majority was in contact lately; [`contact_probes`]: the probes that prove it.

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
