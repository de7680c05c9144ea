//! The published messages and the plain types of `rushcourse_xds`, each way. What a message may say and is not
//! used is not looked at; figures are checked by whoever uses them.

use crate::proto::envoy::config::core::v3 as core;
use crate::proto::envoy::config::endpoint::v3 as endpoint;
use crate::proto::envoy::service::discovery::v3 as discovery;
use crate::proto::envoy::service::load_stats::v3 as load_stats;
use crate::proto::envoy::r#type::v3 as kind;
use crate::proto::xds::data::orca::v3 as orca;
use prost::Message;
use prost_types::value::Kind;
use prost_types::{Any, Duration, Struct, Value};
use rushcourse_policy::interface::RetryPolicy;
use rushcourse_xds::{
    CLUSTER_LOAD_ASSIGNMENT_TYPE_URL, ClusterLoadAssignment, ClusterStats, DeltaDiscoveryRequest,
    DeltaDiscoveryResponse, DiscoveryRequest, DiscoveryResponse, Endpoint, EndpointStats,
    LoadMetric, LoadStatsRequest, LoadStatsResponse, Locality, Node, OrcaLoadReport, Resource,
};
use std::collections::BTreeMap;

/// Where the way of trying again stands: `LocalityLbEndpoints.metadata.filter_metadata` of this name, its field
/// `again`, with one of the words below.
const PLACE: &str = "rushcourse";
const WAYS: [(RetryPolicy, &str); 4] = [
    (RetryPolicy::Never, "never"),
    (RetryPolicy::OnceIfNotRun, "after_proof"),
    (RetryPolicy::OnceAfterFailure, "once_after_any"),
    (RetryPolicy::TwiceAfterFailure, "twice_after_any"),
];
/// The category of drops that admission levels make.
const ADMISSION: &str = "admission";
/// A host's own word for itself, beside its address: `LbEndpoint.metadata`, under `PLACE`.
const HOST: &str = "host";

fn word(text: &str) -> Value {
    Value {
        kind: Some(Kind::StringValue(text.into())),
    }
}

fn metadata(field: &str, text: &str) -> core::Metadata {
    let fields = BTreeMap::from([(field.to_string(), word(text))]);
    core::Metadata {
        filter_metadata: [(PLACE.to_string(), Struct { fields })].into(),
    }
}

fn said<'a>(metadata: &'a Option<core::Metadata>, field: &str) -> Option<&'a str> {
    match &metadata
        .as_ref()?
        .filter_metadata
        .get(PLACE)?
        .fields
        .get(field)?
        .kind
    {
        Some(Kind::StringValue(text)) => Some(text),
        _ => None,
    }
}

/// An address as host:port. A name of a host is taken as it is.
fn address(text: &str) -> core::Address {
    let (host, port) = text.rsplit_once(':').unwrap_or((text, ""));
    let host = host
        .trim_start_matches('[')
        .trim_end_matches(']')
        .to_string();
    let port = core::socket_address::PortSpecifier::PortValue(port.parse().unwrap_or(0));
    let socket = core::SocketAddress {
        protocol: 0,
        address: host,
        port_specifier: Some(port),
    };
    core::Address {
        address: Some(core::address::Address::SocketAddress(socket)),
    }
}

fn of_address(address: Option<&core::Address>) -> Option<String> {
    let core::address::Address::SocketAddress(socket) = address?.address.as_ref()?;
    let Some(core::socket_address::PortSpecifier::PortValue(port)) = &socket.port_specifier else {
        return None;
    };
    let host = &socket.address;
    Some(if host.contains(':') {
        format!("[{host}]:{port}")
    } else {
        format!("{host}:{port}")
    })
}

/// A table as the published message has it.
pub fn assignment(a: &ClusterLoadAssignment) -> endpoint::ClusterLoadAssignment {
    let way = WAYS
        .iter()
        .find(|w| w.0 == a.retry_policy)
        .map_or("never", |w| w.1);
    let localities = a.localities.iter().map(|l| endpoint::LocalityLbEndpoints {
        locality: Some(core::Locality {
            zone: l.zone.clone(),
            ..core::Locality::default()
        }),
        // Who picks a locality first picks as who picks among all endpoints.
        load_balancing_weight: Some(
            l.endpoints
                .iter()
                .map(|e| e.weight)
                .fold(0u32, u32::saturating_add),
        ),
        lb_endpoints: l.endpoints.iter().map(lb_endpoint).collect(),
        metadata: Some(metadata("again", way)),
        priority: 0,
    });
    let share = kind::FractionalPercent {
        numerator: a.drop_per_million,
        denominator: kind::fractional_percent::DenominatorType::Million as i32,
    };
    let drop = endpoint::cluster_load_assignment::policy::DropOverload {
        category: ADMISSION.into(),
        drop_percentage: Some(share),
    };
    let drop_overloads = if a.drop_per_million > 0 {
        vec![drop]
    } else {
        Vec::new()
    };
    endpoint::ClusterLoadAssignment {
        cluster_name: a.cluster_name.clone(),
        endpoints: localities.collect(),
        policy: Some(endpoint::cluster_load_assignment::Policy { drop_overloads }),
    }
}

fn lb_endpoint(e: &Endpoint) -> endpoint::LbEndpoint {
    let health = if e.draining {
        core::HealthStatus::Draining
    } else {
        core::HealthStatus::Healthy
    };
    let inner = endpoint::Endpoint {
        address: Some(address(&e.address)),
        hostname: String::new(),
    };
    endpoint::LbEndpoint {
        host_identifier: Some(endpoint::lb_endpoint::HostIdentifier::Endpoint(inner)),
        health_status: health as i32,
        metadata: Some(metadata(HOST, &e.host)),
        load_balancing_weight: Some(e.weight),
    }
}

/// A table as a relay reads it; nothing where a part that is needed is missing.
pub fn of_assignment(a: &endpoint::ClusterLoadAssignment) -> Option<ClusterLoadAssignment> {
    let mut again = RetryPolicy::Never;
    let mut localities = Vec::new();
    for l in &a.endpoints {
        let way = said(&l.metadata, "again")?;
        again = WAYS.iter().find(|w| w.1 == way)?.0;
        let mut endpoints = Vec::new();
        for e in &l.lb_endpoints {
            let Some(endpoint::lb_endpoint::HostIdentifier::Endpoint(inner)) = &e.host_identifier
            else {
                return None;
            };
            endpoints.push(Endpoint {
                host: said(&e.metadata, HOST)?.into(),
                address: of_address(inner.address.as_ref())?,
                weight: e.load_balancing_weight?,
                draining: e.health_status == core::HealthStatus::Draining as i32,
            });
        }
        localities.push(Locality {
            zone: l.locality.as_ref()?.zone.clone(),
            endpoints,
        });
    }
    let drops = a
        .policy
        .iter()
        .flat_map(|p| &p.drop_overloads)
        .filter(|d| d.category == ADMISSION);
    let share = |p: &kind::FractionalPercent| match p.denominator {
        2 => p.numerator,
        1 => p.numerator.saturating_mul(100),
        _ => p.numerator.saturating_mul(10_000),
    };
    let drop_ppm = drops
        .filter_map(|d| d.drop_percentage.as_ref())
        .map(share)
        .sum();
    Some(ClusterLoadAssignment {
        cluster_name: a.cluster_name.clone(),
        localities,
        drop_per_million: drop_ppm,
        retry_policy: again,
    })
}

fn any(resource: &Resource) -> Any {
    Any {
        type_url: CLUSTER_LOAD_ASSIGNMENT_TYPE_URL.into(),
        value: assignment(&resource.assignment).encode_to_vec(),
    }
}

fn control_plane(name: &str) -> Option<core::ControlPlane> {
    Some(core::ControlPlane {
        identifier: name.into(),
    })
}

pub fn whole(name: &str, response: DiscoveryResponse) -> discovery::DiscoveryResponse {
    discovery::DiscoveryResponse {
        version_info: response.version_info,
        resources: response.resources.iter().map(any).collect(),
        type_url: CLUSTER_LOAD_ASSIGNMENT_TYPE_URL.into(),
        nonce: response.nonce,
        control_plane: control_plane(name),
    }
}

pub fn delta(name: &str, response: DeltaDiscoveryResponse) -> discovery::DeltaDiscoveryResponse {
    let resource = |r: &Resource| discovery::Resource {
        version: r.version.clone(),
        resource: Some(any(r)),
        name: r.assignment.cluster_name.clone(),
        aliases: Vec::new(),
    };
    discovery::DeltaDiscoveryResponse {
        system_version_info: response.system_version_info,
        resources: response.resources.iter().map(resource).collect(),
        type_url: CLUSTER_LOAD_ASSIGNMENT_TYPE_URL.into(),
        nonce: response.nonce,
        removed_resources: response.removed_resources,
        control_plane: control_plane(name),
    }
}

pub fn duration(ms: f64) -> Duration {
    Duration {
        seconds: (ms / 1000.0).floor() as i64,
        nanos: (ms % 1000.0 * 1e6) as i32,
    }
}

fn of_duration(d: &Duration) -> Option<f64> {
    let sane = d.seconds >= 0 && (0..1_000_000_000).contains(&d.nanos);
    sane.then(|| d.seconds as f64 * 1000.0 + f64::from(d.nanos) / 1e6)
}

pub fn load_response(response: LoadStatsResponse) -> load_stats::LoadStatsResponse {
    load_stats::LoadStatsResponse {
        clusters: Vec::new(),
        load_reporting_interval: Some(duration(response.load_reporting_interval)),
        report_endpoint_granularity: true,
        send_all_clusters: true,
    }
}

fn node(node: &core::Node) -> Node {
    let rate = node.metadata.as_ref().and_then(|m| m.fields.get("rate"));
    let rate = rate.and_then(|v| match v.kind {
        Some(Kind::NumberValue(rate)) => Some(rate),
        _ => None,
    });
    let zone = node
        .locality
        .as_ref()
        .map(|l| l.zone.clone())
        .unwrap_or_default();
    Node {
        id: node.id.clone(),
        zone,
        rate,
    }
}

pub fn of_whole(r: discovery::DiscoveryRequest) -> DiscoveryRequest {
    DiscoveryRequest {
        node: r.node.as_ref().map(node),
        type_url: r.type_url,
        resource_names: r.resource_names,
        version_info: r.version_info,
        response_nonce: r.response_nonce,
        error_detail: r.error_detail.map(|e| e.message),
    }
}

pub fn of_delta(r: discovery::DeltaDiscoveryRequest) -> DeltaDiscoveryRequest {
    DeltaDiscoveryRequest {
        node: r.node.as_ref().map(node),
        type_url: r.type_url,
        resource_names_subscribe: r.resource_names_subscribe,
        resource_names_unsubscribe: r.resource_names_unsubscribe,
        initial_resource_versions: r.initial_resource_versions,
        response_nonce: r.response_nonce,
        error_detail: r.error_detail.map(|e| e.message),
    }
}

pub fn of_load(r: load_stats::LoadStatsRequest) -> LoadStatsRequest {
    let clusters = r.cluster_stats.into_iter().map(|c| {
        let localities = &c.upstream_locality_stats;
        let hosts = localities.iter().flat_map(|l| &l.upstream_endpoint_stats);
        ClusterStats {
            load_report_interval: c.load_report_interval.as_ref().and_then(of_duration),
            successful_requests: localities
                .iter()
                .map(|l| l.total_successful_requests)
                .fold(0, u64::saturating_add),
            error_requests: localities
                .iter()
                .map(|l| l.total_error_requests)
                .fold(0, u64::saturating_add),
            endpoints: hosts.map(host_load).collect(),
            cluster_name: c.cluster_name,
        }
    });
    LoadStatsRequest {
        node: r.node.as_ref().map(node),
        cluster_stats: clusters.collect(),
    }
}

fn host_load(h: &endpoint::UpstreamEndpointStats) -> EndpointStats {
    let metric = |m: &endpoint::EndpointLoadMetricStats| {
        (
            m.metric_name.clone(),
            LoadMetric {
                finished_requests: m.num_requests_finished_with_metric,
                total_value: m.total_metric_value,
            },
        )
    };
    EndpointStats {
        address: of_address(h.address.as_ref()).unwrap_or_default(),
        issued_requests: h.total_issued_requests,
        error_requests: h.total_error_requests,
        requests_in_progress: h.total_requests_in_progress,
        load_metrics: h.load_metric_stats.iter().map(metric).collect(),
    }
}

pub fn of_report(r: &orca::OrcaLoadReport) -> OrcaLoadReport {
    let util = if r.application_utilization != 0.0 {
        r.application_utilization
    } else {
        r.cpu_utilization
    };
    OrcaLoadReport {
        utilization: util,
        queue: r.named_metrics.get("queue").copied(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_table_is_the_same_after_both_ways() {
        let endpoint = |host: &str, address: &str, weight, draining| Endpoint {
            host: host.into(),
            address: address.into(),
            weight,
            draining,
        };
        let table = ClusterLoadAssignment {
            cluster_name: "pay".into(),
            localities: vec![
                Locality {
                    zone: "east".into(),
                    endpoints: vec![endpoint("a", "127.0.0.1:80", 1, true)],
                },
                Locality {
                    zone: "west".into(),
                    endpoints: vec![endpoint("b", "[::1]:81", u32::MAX / 2, false)],
                },
            ],
            drop_per_million: 125_000,
            retry_policy: RetryPolicy::OnceAfterFailure,
        };
        let bytes = assignment(&table).encode_to_vec();
        let read = endpoint::ClusterLoadAssignment::decode(&bytes[..]).expect("a message");
        assert_eq!(of_assignment(&read), Some(table));
    }

    #[test]
    fn durations_that_make_no_sense_are_none() {
        assert_eq!(of_duration(&duration(1234.5)), Some(1234.5));
        assert_eq!(
            of_duration(&Duration {
                seconds: -1,
                nanos: 0
            }),
            None
        );
        assert_eq!(
            of_duration(&Duration {
                seconds: 1,
                nanos: -5
            }),
            None
        );
    }
}
