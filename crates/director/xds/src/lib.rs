//! The director's side of xDS as pure state: proxies that take their tables over gRPC (ADS), report their load over it
//! (LRS), and hosts that are asked for theirs (ORCA). Nothing here does I/O, reads a clock or knows an encoding;
//! `rushcourse-grpc` turns the published messages into these types and back.
//!
//! [`Streams::step`] takes what was read and [`Streams::advance`] does what is due; what comes of it waits in the
//! [`Outbox`]. Times are milliseconds of one steady clock, as the policy has them.

pub mod backoff;
mod config;
mod counters;
mod discovery;
mod interface;
mod load_reports;
mod messages;
mod outbox;
pub mod rate_limiter;
pub mod registry;
pub mod report_streams;
mod resources;
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
