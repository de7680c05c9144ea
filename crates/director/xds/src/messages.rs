//! The protocol's messages, as far as they are used, without their encoding: aggregated discovery (ADS, state of the
//! world and delta), load reporting (LRS) and out-of-band load reports of hosts (ORCA). Types and fields carry the
//! names of the published messages; what `rushcourse-grpc` doesn't read of a message is not here.

use rushcourse_policy::interface::{HostId, Ms, RetryPolicy};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The one type of resource that is served: a class's endpoint table.
pub const CLUSTER_LOAD_ASSIGNMENT_TYPE_URL: &str =
    "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";

/// The sender of a stream, as its first request names it (`envoy.config.core.v3.Node`).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Node {
    /// `id`: names the proxy.
    pub id: String,
    /// `locality.zone`.
    pub zone: String,
    /// `metadata.rate`: a rough number of requests a second that it serves, if it gives one.
    pub rate: Option<f64>,
}

/// A request on a state-of-the-world stream: the first one, an ACK, a NACK, or a changed subscription.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DiscoveryRequest {
    /// Present on the first request of a stream.
    pub node: Option<Node>,
    /// The type of resource that is asked for.
    pub type_url: String,
    /// The subscription as a whole; `*` stands for all resources.
    pub resource_names: Vec<String>,
    /// The version that the proxy holds; empty if it holds none.
    pub version_info: String,
    /// The response that this request answers; empty on the first request.
    pub response_nonce: String,
    /// `error_detail.message`: why the response of this nonce is rejected (NACK).
    pub error_detail: Option<String>,
}

/// A request on a delta stream: the first one, an ACK, a NACK, or a change of the subscription.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DeltaDiscoveryRequest {
    /// Present on the first request of a stream.
    pub node: Option<Node>,
    /// The type of resource that is asked for.
    pub type_url: String,
    /// Names that are added to the subscription; `*` stands for all resources.
    pub resource_names_subscribe: Vec<String>,
    /// Names that are removed from the subscription.
    pub resource_names_unsubscribe: Vec<String>,
    /// Versions that the proxy holds from an earlier stream, by resource name. Read on the first request only.
    pub initial_resource_versions: BTreeMap<String, String>,
    /// The response that this request answers; empty where it answers none.
    pub response_nonce: String,
    /// `error_detail.message`: why the response of this nonce is rejected (NACK).
    pub error_detail: Option<String>,
}

/// What a proxy's requests came to, by cluster, since its last report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadStatsRequest {
    /// Present on the first request of a stream, which reports nothing.
    pub node: Option<Node>,
    /// One entry for each cluster.
    pub cluster_stats: Vec<ClusterStats>,
}

/// Requests of one class that came to a proxy since its last report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClusterStats {
    /// The class.
    pub cluster_name: String,
    /// The span that the report covers, in ms; nothing where the field is missing or negative.
    pub load_report_interval: Option<Ms>,
    /// Sum of `total_successful_requests` over all localities.
    pub successful_requests: u64,
    /// Sum of `total_error_requests` over all localities.
    pub error_requests: u64,
    /// One entry for each host that was sent requests.
    pub endpoints: Vec<EndpointStats>,
}

/// What a proxy saw of one host since its last report (`UpstreamEndpointStats`).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointStats {
    /// `address.socket_address`, as host:port.
    pub address: String,
    /// `total_issued_requests`.
    pub issued_requests: u64,
    /// `total_error_requests`.
    pub error_requests: u64,
    /// `total_requests_in_progress`.
    pub requests_in_progress: u64,
    /// `load_metric_stats`, by the metric's name.
    pub load_metrics: BTreeMap<String, LoadMetric>,
}

/// A metric summed over requests (`EndpointLoadMetricStats`).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadMetric {
    /// Requests that finished with this metric.
    pub finished_requests: u64,
    /// The sum of their values, in the metric's unit.
    pub total_value: f64,
}

/// A host's report of its own load, out of band (`xds.data.orca.v3.OrcaLoadReport`).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OrcaLoadReport {
    /// `application_utilization`, or `cpu_utilization` where that is 0: share of its processors in use.
    pub utilization: f64,
    /// `named_metrics["queue"]`: requests that wait.
    pub queue: Option<f64>,
}

/// A request on a stream of any kind.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// On a state-of-the-world stream.
    Discovery(DiscoveryRequest),
    /// On a delta stream.
    Delta(DeltaDiscoveryRequest),
    /// On a load reporting stream.
    LoadStats(LoadStatsRequest),
}

impl Request {
    /// Who sends it; present on a stream's first request.
    pub fn node(&self) -> Option<&Node> {
        match self {
            Request::Discovery(request) => request.node.as_ref(),
            Request::Delta(request) => request.node.as_ref(),
            Request::LoadStats(request) => request.node.as_ref(),
        }
    }
}

/// A host of a class's table (`LbEndpoint`).
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The host's name in the membership list.
    pub host: HostId,
    /// As the membership list gives it: host:port.
    pub address: String,
    /// `load_balancing_weight`: 1 or more, in units of 1 / `WEIGHT_SCALE`.
    pub weight: u32,
    /// `health_status` is `DRAINING`: no new requests.
    pub draining: bool,
}

/// The hosts of a zone (`LocalityLbEndpoints`).
#[derive(Clone, Debug, PartialEq)]
pub struct Locality {
    /// `locality.zone`.
    pub zone: String,
    /// Its hosts, in the order of their names.
    pub endpoints: Vec<Endpoint>,
}

/// A class's table as a proxy is to follow it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterLoadAssignment {
    /// The class.
    pub cluster_name: String,
    /// The hosts, by zone.
    pub localities: Vec<Locality>,
    /// Requests to reject, in millionths (`policy.drop_overloads`, category `admission`).
    pub drop_per_million: u32,
    /// Which failed requests a proxy may send to another host.
    pub retry_policy: RetryPolicy,
}

/// An assignment with its version.
#[derive(Clone, Debug, PartialEq)]
pub struct Resource {
    /// Follows from the content: equal assignments of one incarnation have equal versions.
    pub version: String,
    /// The content.
    pub assignment: Arc<ClusterLoadAssignment>,
}

/// A response on a state-of-the-world stream: all resources of the subscription.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveryResponse {
    /// The version of all resources together.
    pub version_info: String,
    /// What the proxy's ACK or NACK names.
    pub nonce: String,
    /// All resources that the proxy is subscribed to and that exist.
    pub resources: Vec<Resource>,
}

/// A response on a delta stream: the resources that have changed.
#[derive(Clone, Debug, PartialEq)]
pub struct DeltaDiscoveryResponse {
    /// The version of the resources in this response; for people who debug, nothing compares it.
    pub system_version_info: String,
    /// What the proxy's ACK or NACK names.
    pub nonce: String,
    /// Resources that are new to the proxy or have changed.
    pub resources: Vec<Resource>,
    /// Names of the subscription that don't exist.
    pub removed_resources: Vec<String>,
}

/// The response on a load reporting stream: report on all clusters, by endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadStatsResponse {
    /// ms between two reports.
    pub load_reporting_interval: Ms,
}

/// A response on a stream of any kind.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// On a state-of-the-world stream.
    Discovery(DiscoveryResponse),
    /// On a delta stream.
    Delta(DeltaDiscoveryResponse),
    /// On a load reporting stream.
    LoadStats(LoadStatsResponse),
}

impl Response {
    /// What the answer to a discovery response names; nothing on a load reporting stream.
    pub fn nonce(&self) -> Option<&str> {
        match self {
            Response::Discovery(response) => Some(&response.nonce),
            Response::Delta(response) => Some(&response.nonce),
            Response::LoadStats(_) => None,
        }
    }

    /// The version of all resources that it holds together; nothing on a load reporting stream.
    pub fn version(&self) -> Option<&str> {
        match self {
            Response::Discovery(response) => Some(&response.version_info),
            Response::Delta(response) => Some(&response.system_version_info),
            Response::LoadStats(_) => None,
        }
    }

    /// The resources that it holds; none on a load reporting stream.
    pub fn resources(&self) -> &[Resource] {
        match self {
            Response::Discovery(response) => &response.resources,
            Response::Delta(response) => &response.resources,
            Response::LoadStats(_) => &[],
        }
    }
}
