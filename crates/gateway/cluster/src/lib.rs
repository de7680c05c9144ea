//! The soft state of a controller, which controllers replicate to each other without consensus: hosts, gateways, and
//! the endpoint tables of gateways. It is a state machine without clock access or I/O; only [`Cluster::step`] changes
//! it.
//!
//! * [`cluster`]: the state machine; [`events`]: its inputs and effects.
//! * [`host_registry`]: the known hosts. Outdated records are detected by their sequence numbers.
//! * [`gateway_membership`]: which gateways have sessions with which controllers.
//! * [`distribution`]: the services and their load balancing policies; [`service_tables`]: the endpoint tables of one
//!   service; `policy_adapter`: conversion of events and settings to the types of the policy.
//! * `initial_sync`, `failure_detection`: when this controller knows all hosts, and when hosts may time out.
//! * `heartbeat_batch`: batches of heartbeats for the other controllers.
//! * [`quorum_contact`]: whether this controller has contact with a majority; [`contact_probes`]: probes that confirm
//!   it.
//! * [`configuration_confirmation`]: proof that no newer configuration had been acknowledged at a recent time, on which
//!   gateways hold leases.

pub mod cluster;
pub mod configuration_confirmation;
pub mod contact_probes;
pub mod distribution;
pub mod events;
mod failure_detection;
pub mod gateway_membership;
mod heartbeat_batch;
pub mod host_registry;
mod initial_sync;
mod policy_adapter;
pub mod quorum_contact;
pub mod service_tables;

pub use cluster::Cluster;
pub use configuration_confirmation::{ConfigurationConfirmations, Confirmation};
pub use contact_probes::{ContactProbes, ProbeResult};
pub use distribution::Distribution;
pub use events::{Effect, Input, Topology};
pub use gateway_membership::GatewayMembership;
pub use host_registry::{HostEntry, HostRegistry};
pub use quorum_contact::{QuorumContact, STALL_THRESHOLD};
pub use service_tables::{TableEndpoint, TableView};
