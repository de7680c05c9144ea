//! Converts load reports to events for the policy. An invalid report is rejected as a whole.

use super::burst_filter::MAX_INTERVALS_COVERED;
use crate::messages::{ClusterStats, EndpointStats, LoadStatsRequest};
use crate::registry::ProxyIdentity;
use crate::resources::ResourceCache;
use rushcourse_director_settings::report_limits;
use rushcourse_policy::interface::{ClassId, Event, HostId, HostLoad, Ms, Settings};
use std::fmt;

/// Name of the metric with the latency of successful requests, in ms.
const LATENCY_METRIC: &str = "latency_ms";
/// Longest cluster name quoted in a log line, in characters.
const MAX_QUOTED_NAME: usize = 40;
/// Lower bound on the configured report interval, in ms, when checking the period that a report covers.
const MIN_REPORT_INTERVAL: Ms = 1.0;

/// The first error found in a load report.
#[derive(Debug)]
pub(crate) struct InvalidReport {
    cluster_name: String,
    problem: ReportProblem,
}

#[derive(Debug)]
enum ReportProblem {
    UnknownCluster,
    InvalidInterval,
    TooOld,
    InvalidClusterValue(&'static str),
    InvalidEndpointValue {
        address: String,
        reason: &'static str,
    },
    MissingLatency {
        address: String,
    },
    LatencyOutOfRange {
        address: String,
    },
}

impl InvalidReport {
    /// Name of the counter for this kind of error.
    pub(crate) fn counter(&self) -> &'static str {
        match self.problem {
            ReportProblem::UnknownCluster => "loads_unknown",
            ReportProblem::InvalidInterval => "loads_interval",
            ReportProblem::TooOld => "loads_old",
            ReportProblem::InvalidClusterValue(_) | ReportProblem::InvalidEndpointValue { .. } => {
                "loads_figures"
            }
            ReportProblem::MissingLatency { .. } | ReportProblem::LatencyOutOfRange { .. } => {
                "loads_latency"
            }
        }
    }
}

impl fmt::Display for InvalidReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cluster {:.MAX_QUOTED_NAME$}: ", self.cluster_name)?;
        match &self.problem {
            ReportProblem::UnknownCluster => write!(f, "no class has this name"),
            ReportProblem::InvalidInterval => {
                write!(f, "load_report_interval is missing or out of range")
            }
            ReportProblem::TooOld => write!(f, "load_report_interval is too long"),
            ReportProblem::InvalidClusterValue(reason) => write!(f, "{reason}"),
            ReportProblem::InvalidEndpointValue { address, reason } => {
                write!(f, "{address}: {reason}")
            }
            ReportProblem::MissingLatency { address } => {
                write!(f, "{address}: no metric {LATENCY_METRIC}")
            }
            ReportProblem::LatencyOutOfRange { address } => {
                write!(f, "{address}: {LATENCY_METRIC} is out of range")
            }
        }
    }
}

impl std::error::Error for InvalidReport {}

/// Everything besides the report that the conversion needs.
pub(crate) struct ReportContext<'a, L: Fn(&HostId) -> HostLoad> {
    /// The proxy that sent the report.
    pub(crate) reporter: ProxyIdentity,
    pub(crate) settings: &'a Settings,
    /// Resolves cluster names and host addresses.
    pub(crate) cache: &'a ResourceCache,
    /// Returns the load that a host reports itself.
    pub(crate) load_of: L,
}

/// A successfully converted report.
#[derive(Debug, Default)]
pub(crate) struct ConvertedReport {
    /// For each cluster, the proxy's traffic followed by its observation of each host.
    pub(crate) events: Vec<Event>,
    /// Number of endpoints left out because no listed host has their address.
    pub(crate) unlisted_hosts: u64,
}

/// Converts a load report.
///
/// # Errors
/// The first error found in the report; no event of it is used then.
pub(crate) fn convert<L: Fn(&HostId) -> HostLoad>(
    request: &LoadStatsRequest,
    context: &ReportContext<'_, L>,
) -> Result<ConvertedReport, InvalidReport> {
    let mut report = ConvertedReport::default();
    for cluster in &request.cluster_stats {
        context
            .convert_cluster(cluster, &mut report)
            .map_err(|problem| InvalidReport {
                cluster_name: cluster.cluster_name.clone(),
                problem,
            })?;
    }
    Ok(report)
}

impl<L: Fn(&HostId) -> HostLoad> ReportContext<'_, L> {
    fn convert_cluster(
        &self,
        cluster: &ClusterStats,
        report: &mut ConvertedReport,
    ) -> Result<(), ReportProblem> {
        let class = self
            .cache
            .class(&cluster.cluster_name)
            .ok_or(ReportProblem::UnknownCluster)?;
        let span = self.span(cluster)?;
        report.events.push(self.usage(class, cluster, span)?);
        for endpoint in &cluster.endpoints {
            match self.cache.host_at(&endpoint.address) {
                Some(host) => report.events.push(self.observation(host, endpoint, span)?),
                None => report.unlisted_hosts += 1,
            }
        }
        Ok(())
    }

    /// Validates the period that a cluster's statistics cover and returns it in ms.
    fn span(&self, cluster: &ClusterStats) -> Result<Ms, ReportProblem> {
        let span = cluster
            .load_report_interval
            .filter(|span| *span > 0.0 && *span <= report_limits::MAX_SPAN)
            .ok_or(ReportProblem::InvalidInterval)?;
        let report_interval = self.settings.report_interval.max(MIN_REPORT_INTERVAL);
        if span > MAX_INTERVALS_COVERED * report_interval {
            return Err(ReportProblem::TooOld);
        }
        Ok(span)
    }

    /// Event for the requests that the proxy received for a class.
    fn usage(
        &self,
        class: ClassId,
        cluster: &ClusterStats,
        span: Ms,
    ) -> Result<Event, ReportProblem> {
        let failed = cluster.error_requests as f64;
        let attempts = cluster.successful_requests as f64 + failed;
        report_limits::check_counts(attempts, failed, span)
            .map_err(|number| ReportProblem::InvalidClusterValue(number.reason()))?;
        Ok(Event::TrafficReported {
            proxy: self.reporter.proxy,
            class,
            attempts,
            failed,
            span,
        })
    }

    /// Event for the proxy's observation of one host.
    fn observation(
        &self,
        host: &HostId,
        endpoint: &EndpointStats,
        span: Ms,
    ) -> Result<Event, ReportProblem> {
        let invalid_value = |reason| ReportProblem::InvalidEndpointValue {
            address: endpoint.address.clone(),
            reason,
        };
        let attempts = endpoint.issued_requests as f64;
        let failed = endpoint.error_requests as f64;
        report_limits::check_counts(attempts, failed, span)
            .map_err(|number| invalid_value(number.reason()))?;
        if failed > attempts {
            return Err(invalid_value("more errors than requests"));
        }
        let mean = self.mean_latency(endpoint)?;
        let load = HostLoad {
            in_flight: Some(endpoint.requests_in_progress as f64),
            ..(self.load_of)(host)
        };
        Ok(Event::HostReported {
            zone: self.reporter.zone,
            host: host.clone(),
            attempts,
            failed,
            mean_latency: mean,
            span,
            load,
        })
    }

    /// Mean latency of successful requests, in ms; 0 if there were none.
    fn mean_latency(&self, endpoint: &EndpointStats) -> Result<Ms, ReportProblem> {
        let address = || endpoint.address.clone();
        let has_successes = endpoint.issued_requests as f64 > endpoint.error_requests as f64;
        let mean = match endpoint.load_metrics.get(LATENCY_METRIC) {
            Some(metric) if metric.finished_requests > 0 => {
                metric.total_value / metric.finished_requests as f64
            }
            _ if has_successes => return Err(ReportProblem::MissingLatency { address: address() }),
            _ => 0.0,
        };
        if !report_limits::is_plausible_mean(mean, self.settings) {
            return Err(ReportProblem::LatencyOutOfRange { address: address() });
        }
        Ok(mean)
    }
}
