//! Conversion of load reports from proxies (LRS) and from hosts (ORCA).

use super::common::{decode_address, decode_duration, decode_node, encode_duration};
use crate::proto::envoy::config::endpoint::v3 as endpoint;
use crate::proto::envoy::service::load_stats::v3 as load_stats;
use crate::proto::xds::data::orca::v3 as orca;
use rushcourse_xds::{
    ClusterStats, EndpointStats, LoadMetric, LoadStatsRequest, LoadStatsResponse, OrcaLoadReport,
};

/// ORCA named metric with the number of requests queued at a host.
const QUEUE_METRIC: &str = "queue";

pub(crate) fn decode_load_stats(request: load_stats::LoadStatsRequest) -> LoadStatsRequest {
    LoadStatsRequest {
        node: request.node.as_ref().map(decode_node),
        cluster_stats: request
            .cluster_stats
            .into_iter()
            .map(decode_cluster)
            .collect(),
    }
}

/// Encodes a response that requests reports on all clusters with endpoint granularity.
pub(crate) fn encode_load_stats_response(
    response: LoadStatsResponse,
) -> load_stats::LoadStatsResponse {
    load_stats::LoadStatsResponse {
        clusters: Vec::new(),
        load_reporting_interval: Some(encode_duration(response.load_reporting_interval)),
        report_endpoint_granularity: true,
        send_all_clusters: true,
    }
}

fn decode_cluster(cluster: endpoint::ClusterStats) -> ClusterStats {
    let localities = &cluster.upstream_locality_stats;
    let sum = |field: fn(&endpoint::UpstreamLocalityStats) -> u64| {
        localities.iter().map(field).fold(0, u64::saturating_add)
    };
    ClusterStats {
        load_report_interval: cluster
            .load_report_interval
            .as_ref()
            .and_then(decode_duration),
        successful_requests: sum(|locality| locality.total_successful_requests),
        error_requests: sum(|locality| locality.total_error_requests),
        endpoints: localities
            .iter()
            .flat_map(|locality| &locality.upstream_endpoint_stats)
            .map(decode_endpoint)
            .collect(),
        cluster_name: cluster.cluster_name,
    }
}

fn decode_endpoint(stats: &endpoint::UpstreamEndpointStats) -> EndpointStats {
    EndpointStats {
        address: decode_address(stats.address.as_ref()).unwrap_or_default(),
        issued_requests: stats.total_issued_requests,
        error_requests: stats.total_error_requests,
        requests_in_progress: stats.total_requests_in_progress,
        load_metrics: stats
            .load_metric_stats
            .iter()
            .map(|metric| (metric.metric_name.clone(), decode_metric(metric)))
            .collect(),
    }
}

fn decode_metric(metric: &endpoint::EndpointLoadMetricStats) -> LoadMetric {
    LoadMetric {
        finished_requests: metric.num_requests_finished_with_metric,
        total_value: metric.total_metric_value,
    }
}

pub(crate) fn decode_orca_report(report: &orca::OrcaLoadReport) -> OrcaLoadReport {
    let utilization = if report.application_utilization != 0.0 {
        report.application_utilization
    } else {
        report.cpu_utilization
    };
    OrcaLoadReport {
        utilization,
        queue: report.named_metrics.get(QUEUE_METRIC).copied(),
    }
}
