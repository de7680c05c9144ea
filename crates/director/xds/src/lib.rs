//! Proxies and hosts that are reached over gRPC, as pure state: which stream is which proxy's, what it asked for,
//! what it was sent, what it has answered, and what its load reports are worth. Nothing here does I/O, reads a
//! clock or knows a wire format; `rushcourse-grpc` turns the published messages into these types and back.
//!
//! `Streams::step` takes what was read; events for the module, effects, notes and counts wait in its outbox.

mod ads;
mod config;
mod counters;
mod grants;
mod interface;
mod loads;
mod members;
mod messages;
mod nodes;
mod outbox;
mod resources;
mod retry;
mod streams;
mod weights;

pub use config::{NodeIdentities, StreamConfig, StreamLimits};
pub use counters::COUNTERS;
pub use interface::{ConnectionId, DialId, Effect, Input, StatusCode, StreamId, StreamKind};
pub use messages::{
    CLUSTER_LOAD_ASSIGNMENT_TYPE_URL, ClusterLoadAssignment, ClusterStats, DeltaDiscoveryRequest,
    DeltaDiscoveryResponse, DiscoveryRequest, DiscoveryResponse, Endpoint, EndpointStats,
    LoadMetric, LoadStatsRequest, LoadStatsResponse, Locality, Node, OrcaLoadReport, Request,
    Resource, Response,
};
pub use outbox::{LogEntry, Outbox, Severity};
pub use streams::Streams;
pub use weights::{WEIGHT_SCALE, drop_per_million, scale_weights};
