//! The director's xDS server as a state machine: the aggregated discovery (ADS) and load reporting (LRS) streams of
//! proxies, and the ORCA load report streams to hosts. It does no I/O, reads no clock and knows no encoding;
//! `rushcourse-grpc` converts between these types and the protobuf messages.
//!
//! [`Streams::step`] handles an input, [`Streams::advance`] runs the timers that have expired, and both append their
//! results to the [`Outbox`]. Times are milliseconds on the monotonic clock that the policy uses.

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
