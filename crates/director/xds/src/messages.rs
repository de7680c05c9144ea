//! Decoded protocol messages: aggregated discovery (ADS, state of the world and delta), load reporting (LRS) and
//! out-of-band load reports of hosts (ORCA). Types and fields keep the names of the protobuf messages; fields that
//! `rushcourse-grpc` doesn't read are left out.

use rushcourse_policy::interface::{HostId, Ms, RetryPolicy};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The only resource type that is served. Each request class has one resource: its endpoint table.
pub const CLUSTER_LOAD_ASSIGNMENT_TYPE_URL: &str =
    "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";

/// The proxy at the other end of a stream, from the stream's first request (`envoy.config.core.v3.Node`).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Node {
    /// `id`: resolved to a proxy by [`NodeIdentities`](crate::NodeIdentities).
    pub id: String,
    /// `locality.zone`: has to be a zone of the settings.
    pub zone: String,
    /// `metadata.rate`: approximate requests per second that the proxy serves; `None` if the node doesn't state it.
    pub rate: Option<f64>,
}

/// A request on a state-of-the-world stream: the first one, an ACK, a NACK, or a changed subscription.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DiscoveryRequest {
    /// Identifies the proxy; required on the first request of a stream.
    pub node: Option<Node>,
    /// The requested resource type.
    pub type_url: String,
    /// The complete subscription; `*` stands for all resources.
    pub resource_names: Vec<String>,
    /// The version that the proxy holds; empty if it holds none.
    pub version_info: String,
    /// Nonce of the response that this request answers; empty on the first request.
    pub response_nonce: String,
    /// `error_detail.message`: why the proxy rejected the response (NACK); `None` for an ACK.
    pub error_detail: Option<String>,
}

/// A request on a delta stream: the first one, an ACK, a NACK, or a change of the subscription.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DeltaDiscoveryRequest {
    /// Identifies the proxy; required on the first request of a stream.
    pub node: Option<Node>,
    /// The requested resource type.
    pub type_url: String,
    /// Names to add to the subscription; `*` stands for all resources.
    pub resource_names_subscribe: Vec<String>,
    /// Names to remove from the subscription.
    pub resource_names_unsubscribe: Vec<String>,
    /// Versions that the proxy still holds from an earlier stream, by resource name. Used only before the first
    /// response of a stream.
    pub initial_resource_versions: BTreeMap<String, String>,
    /// Nonce of the response that this request answers; empty if it answers none.
    pub response_nonce: String,
    /// `error_detail.message`: why the proxy rejected the response (NACK); `None` for an ACK.
    pub error_detail: Option<String>,
}

/// A proxy's load report: the outcome of its requests since the previous report, by cluster.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadStatsRequest {
    /// Identifies the proxy; required on the first request of a stream, which carries no statistics.
    pub node: Option<Node>,
    /// One entry per cluster; empty on the first request of a stream.
    pub cluster_stats: Vec<ClusterStats>,
}

/// Statistics of one request class since the proxy's previous report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClusterStats {
    /// Name of the request class.
    pub cluster_name: String,
    /// The period that the report covers, in ms; `None` if the field is missing or negative.
    pub load_report_interval: Option<Ms>,
    /// Sum of `total_successful_requests` over all localities.
    pub successful_requests: u64,
    /// Sum of `total_error_requests` over all localities.
    pub error_requests: u64,
    /// One entry per host that the proxy sent requests to.
    pub endpoints: Vec<EndpointStats>,
}

/// A proxy's statistics of one host since its previous report (`UpstreamEndpointStats`).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointStats {
    /// `address.socket_address`, as host:port.
    pub address: String,
    /// `total_issued_requests`: requests sent to the host in the period.
    pub issued_requests: u64,
    /// `total_error_requests`: requests to the host that failed in the period.
    pub error_requests: u64,
    /// `total_requests_in_progress`: requests in flight when the report was made.
    pub requests_in_progress: u64,
    /// `load_metric_stats`, by metric name.
    pub load_metrics: BTreeMap<String, LoadMetric>,
}

/// A metric summed over requests (`EndpointLoadMetricStats`).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadMetric {
    /// Number of finished requests that contributed to `total_value`.
    pub finished_requests: u64,
    /// Sum over those requests, in the metric's unit.
    pub total_value: f64,
}

/// A host's out-of-band report of its own load (`xds.data.orca.v3.OrcaLoadReport`).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OrcaLoadReport {
    /// `application_utilization`, or `cpu_utilization` if that is 0: the used share of the host's processors.
    pub utilization: f64,
    /// `named_metrics["queue"]`: number of queued requests; `None` if the host doesn't report it.
    pub queue: Option<f64>,
}

/// A request on a stream of any kind.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// Received on a state-of-the-world stream.
    Discovery(DiscoveryRequest),
    /// Received on a delta stream.
    Delta(DeltaDiscoveryRequest),
    /// Received on a load reporting stream.
    LoadStats(LoadStatsRequest),
}

impl Request {
    /// The sending proxy; required on a stream's first request and usually absent later.
    pub fn node(&self) -> Option<&Node> {
        match self {
            Request::Discovery(request) => request.node.as_ref(),
            Request::Delta(request) => request.node.as_ref(),
            Request::LoadStats(request) => request.node.as_ref(),
        }
    }
}

/// A host in a class's endpoint table (`LbEndpoint`).
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The host's name in the membership list.
    pub host: HostId,
    /// The host's address in the membership list, as host:port.
    pub address: String,
    /// `load_balancing_weight`: at least 1, in units of 1 / `WEIGHT_SCALE`.
    pub weight: u32,
    /// Sets `health_status` to `DRAINING`, so that the proxy sends the host no new requests.
    pub draining: bool,
}

/// The hosts of one zone (`LocalityLbEndpoints`).
#[derive(Clone, Debug, PartialEq)]
pub struct Locality {
    /// `locality.zone`: the zone's name in the settings.
    pub zone: String,
    /// The zone's hosts, sorted by name.
    pub endpoints: Vec<Endpoint>,
}

/// The endpoint table of one request class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterLoadAssignment {
    /// Name of the request class.
    pub cluster_name: String,
    /// The hosts, grouped by zone.
    pub localities: Vec<Locality>,
    /// Requests that the proxy rejects, per million (`policy.drop_overloads`, category `admission`).
    pub drop_per_million: u32,
    /// Which failed requests the proxy may retry on another host.
    pub retry_policy: RetryPolicy,
}

/// An endpoint table with its version.
#[derive(Clone, Debug, PartialEq)]
pub struct Resource {
    /// Hash of the content, prefixed with the incarnation: equal assignments have equal versions within one run of the
    /// director.
    pub version: String,
    /// The endpoint table; shared between the streams that are sent it.
    pub assignment: Arc<ClusterLoadAssignment>,
}

/// A response on a state-of-the-world stream: all resources of the subscription.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveryResponse {
    /// Combined version of all resources in the response.
    pub version_info: String,
    /// Identifies the response; the proxy returns it in its ACK or NACK.
    pub nonce: String,
    /// All existing resources that the proxy subscribes to.
    pub resources: Vec<Resource>,
}

/// A response on a delta stream: the resources that have changed.
#[derive(Clone, Debug, PartialEq)]
pub struct DeltaDiscoveryResponse {
    /// Combined version of the resources in the response. For debugging only: neither side compares it.
    pub system_version_info: String,
    /// Identifies the response; the proxy returns it in its ACK or NACK.
    pub nonce: String,
    /// Resources that the proxy doesn't hold in their current version.
    pub resources: Vec<Resource>,
    /// Subscribed names that don't exist.
    pub removed_resources: Vec<String>,
}

/// The response on a load reporting stream. It asks for reports on all clusters, broken down by endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadStatsResponse {
    /// Interval between two load reports, in ms.
    pub load_reporting_interval: Ms,
}

/// A response on a stream of any kind.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// Sent on a state-of-the-world stream.
    Discovery(DiscoveryResponse),
    /// Sent on a delta stream.
    Delta(DeltaDiscoveryResponse),
    /// Sent on a load reporting stream.
    LoadStats(LoadStatsResponse),
}

impl Response {
    /// The nonce of a discovery response; `None` for a load reporting response.
    pub fn nonce(&self) -> Option<&str> {
        match self {
            Response::Discovery(response) => Some(&response.nonce),
            Response::Delta(response) => Some(&response.nonce),
            Response::LoadStats(_) => None,
        }
    }

    /// The combined version of a discovery response; `None` for a load reporting response.
    pub fn version(&self) -> Option<&str> {
        match self {
            Response::Discovery(response) => Some(&response.version_info),
            Response::Delta(response) => Some(&response.system_version_info),
            Response::LoadStats(_) => None,
        }
    }

    /// The resources of a discovery response; empty for a load reporting response.
    pub fn resources(&self) -> &[Resource] {
        match self {
            Response::Discovery(response) => &response.resources,
            Response::Delta(response) => &response.resources,
            Response::LoadStats(_) => &[],
        }
    }
}
