//! What crosses the boundary: what was read from streams comes in, what is to be sent, ended or dialled goes out.

use rushcourse_policy::interface::{HostId, Ms, RetryPolicy};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The type of resource that is served: a class's table (xDS, `envoy.config.endpoint.v3`).
pub const TABLE_TYPE: &str = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";

/// A stream that somebody opened. Numbers are never used twice.
pub type Stream = u64;

/// What a stream was opened for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    /// Aggregated discovery, state of the world (`StreamAggregatedResources`).
    Whole,
    /// Aggregated discovery, incremental (`DeltaAggregatedResources`).
    Delta,
    /// Load reports of relays (`StreamLoadStats`).
    Load,
}

/// What is read of `envoy.config.core.v3.Node`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Node {
    /// `id`: names the proxy.
    pub id: String,
    /// `locality.zone`.
    pub zone: String,
    /// `metadata.rate`: a rough figure of its requests a second, if it gives one.
    pub rate: Option<f64>,
}

/// `DiscoveryRequest`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ask {
    pub node: Option<Node>,
    pub type_url: String,
    pub names: Vec<String>,
    pub version: String,
    pub nonce: String,
    /// `error_detail.message`: the response of this nonce was refused.
    pub error: Option<String>,
}

/// `DeltaDiscoveryRequest`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DeltaAsk {
    pub node: Option<Node>,
    pub type_url: String,
    pub subscribe: Vec<String>,
    pub unsubscribe: Vec<String>,
    /// `initial_resource_versions`: what it holds from an earlier stream, by name.
    pub initial: BTreeMap<String, String>,
    pub nonce: String,
    pub error: Option<String>,
}

/// What a relay met at one host since its last report (`UpstreamEndpointStats`).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HostLoad {
    /// `address.socket_address`, as host:port.
    pub address: String,
    pub issued: u64,
    pub errors: u64,
    pub in_progress: u64,
    /// `load_metric_stats` by name: requests finished with it, and their sum.
    pub metrics: BTreeMap<String, (u64, f64)>,
}

/// What came to a relay for one class since its last report (`ClusterStats`).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClusterLoad {
    pub cluster: String,
    /// `load_report_interval`; nothing where the field is missing or senseless.
    pub interval: Option<Ms>,
    /// Sums over `upstream_locality_stats`.
    pub successes: u64,
    pub errors: u64,
    pub hosts: Vec<HostLoad>,
}

/// `LoadStatsRequest`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadStats {
    pub node: Option<Node>,
    pub clusters: Vec<ClusterLoad>,
}

/// A message on a stream.
#[derive(Clone, Debug, PartialEq)]
pub enum Said {
    Whole(Ask),
    Delta(DeltaAsk),
    Load(LoadStats),
}

/// A host's own report, out of band (ORCA, `xds.data.orca.v3.OrcaLoadReport`).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeReport {
    /// `application_utilization`, or `cpu_utilization` where that is 0.
    pub util: f64,
    /// `named_metrics["queue"]`.
    pub queue: Option<f64>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Somebody opened a stream on a connection; a connection may bear many.
    Opened {
        stream: Stream,
        connection: u64,
        service: Service,
        peer: String,
    },
    Said {
        stream: Stream,
        said: Said,
    },
    /// The transport has taken the last response: there is room for another one.
    Taken {
        stream: Stream,
    },
    /// The stream has ended, by its peer or by the transport.
    Closed {
        stream: Stream,
        why: String,
    },
    /// A report stream to a host stands, says something, or is gone. `turn` tells it from earlier ones.
    HostUp {
        host: HostId,
        turn: u64,
    },
    HostSaid {
        host: HostId,
        turn: u64,
        report: NodeReport,
    },
    HostDown {
        host: HostId,
        turn: u64,
        why: String,
    },
}

/// One host of a table, as `LbEndpoint`.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    pub host: HostId,
    /// As the list has it: host:port.
    pub address: String,
    /// `load_balancing_weight`: 1 or more.
    pub weight: u32,
    /// `health_status` is `DRAINING`: nothing new goes there.
    pub draining: bool,
}

/// The hosts of a zone, as `LocalityLbEndpoints`.
#[derive(Clone, Debug, PartialEq)]
pub struct Locality {
    pub zone: String,
    pub endpoints: Vec<Endpoint>,
}

/// A class's table for a proxy, as `ClusterLoadAssignment`.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// The class.
    pub cluster: String,
    pub localities: Vec<Locality>,
    /// Requests that are turned away, in millionths (`policy.drop_overloads`, category `admission`).
    pub drop_ppm: u32,
    pub again: RetryPolicy,
}

/// A table with its version.
#[derive(Clone, Debug, PartialEq)]
pub struct Resource {
    pub version: String,
    pub table: Arc<Assignment>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// `DiscoveryResponse`: all that was asked for.
    Whole {
        version: String,
        nonce: String,
        resources: Vec<Resource>,
    },
    /// `DeltaDiscoveryResponse`: what has changed.
    Delta {
        version: String,
        nonce: String,
        resources: Vec<Resource>,
        removed: Vec<String>,
    },
    /// `LoadStatsResponse`: report on all clusters, by host, at this interval.
    Load { interval: Ms },
}

/// Statuses that a stream ends with, by their names in gRPC.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    InvalidArgument,
    DeadlineExceeded,
    PermissionDenied,
    AlreadyExists,
    ResourceExhausted,
    Aborted,
    Unavailable,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// At most one waits for the transport: the next comes after `Input::Taken`.
    Respond {
        stream: Stream,
        response: Response,
    },
    End {
        stream: Stream,
        code: Code,
        why: String,
    },
    /// Open a report stream to a host: a report is wanted every so many ms.
    Dial {
        host: HostId,
        turn: u64,
        address: String,
        every: Ms,
    },
    Hang {
        host: HostId,
        turn: u64,
    },
}
