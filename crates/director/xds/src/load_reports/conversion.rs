//! What a report says, in events for the policy. A report is believed as a whole or not at all.

use super::burst_filter::MAX_INTERVALS_COVERED;
use crate::messages::{ClusterStats, EndpointStats, LoadStatsRequest};
use crate::registry::ProxyIdentity;
use crate::resources::ResourceCache;
use rushcourse_director_settings::report_limits;
use rushcourse_policy::interface::{ClassId, Event, HostId, HostLoad, Ms, Settings};
use std::fmt;

/// The metric that carries the latency of successful requests, in ms.
const LATENCY_METRIC: &str = "latency_ms";
/// Characters of a cluster's name that are quoted in the log.
const MAX_QUOTED_NAME: usize = 40;
/// The shortest report interval, in ms, that a report's span is measured by.
const MIN_REPORT_INTERVAL: Ms = 1.0;

/// What is wrong with a report: the first thing found.
#[derive(Debug)]
pub(crate) struct InvalidReport {
    cluster_name: String,
    problem: Problem,
}

#[derive(Debug)]
enum Problem {
    UnknownCluster,
    Interval,
    TooOld,
    ClusterFigure(&'static str),
    EndpointFigure {
        address: String,
        reason: &'static str,
    },
    NoLatency {
        address: String,
    },
    LatencyOutOfRange {
        address: String,
    },
}

impl InvalidReport {
    /// The counter that it raises.
    pub(crate) fn counter(&self) -> &'static str {
        match self.problem {
            Problem::UnknownCluster => "loads_unknown",
            Problem::Interval => "loads_interval",
            Problem::TooOld => "loads_old",
            Problem::ClusterFigure(_) | Problem::EndpointFigure { .. } => "loads_figures",
            Problem::NoLatency { .. } | Problem::LatencyOutOfRange { .. } => "loads_latency",
        }
    }
}

impl fmt::Display for InvalidReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cluster {:.MAX_QUOTED_NAME$}: ", self.cluster_name)?;
        match &self.problem {
            Problem::UnknownCluster => write!(f, "no class of that name"),
            Problem::Interval => write!(f, "load_report_interval is missing or out of range"),
            Problem::TooOld => write!(f, "it covers more than what is judged by"),
            Problem::ClusterFigure(reason) => write!(f, "{reason}"),
            Problem::EndpointFigure { address, reason } => write!(f, "{address}: {reason}"),
            Problem::NoLatency { address } => write!(f, "{address}: no metric {LATENCY_METRIC}"),
            Problem::LatencyOutOfRange { address } => {
                write!(f, "{address}: {LATENCY_METRIC} is out of range")
            }
        }
    }
}

impl std::error::Error for InvalidReport {}

/// What a report is read with.
pub(crate) struct ReportContext<'a, L: Fn(&HostId) -> HostLoad> {
    /// Who reports.
    pub(crate) reporter: ProxyIdentity,
    /// The settings in force.
    pub(crate) settings: &'a Settings,
    /// Knows classes and hosts.
    pub(crate) cache: &'a ResourceCache,
    /// The load that a host reports itself.
    pub(crate) load_of: L,
}

/// What a report says.
#[derive(Debug, Default)]
pub(crate) struct ConvertedReport {
    /// For the policy: of each cluster the proxy's usage, then what it saw of each host.
    pub(crate) events: Vec<Event>,
    /// Hosts that are left out as the membership list names none at their address.
    pub(crate) unlisted_hosts: u64,
}

/// Converts a report as a whole.
///
/// # Errors
/// The first thing that is wrong with it.
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
    ) -> Result<(), Problem> {
        let class = self
            .cache
            .class(&cluster.cluster_name)
            .ok_or(Problem::UnknownCluster)?;
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

    /// The span that the report covers, in ms.
    fn span(&self, cluster: &ClusterStats) -> Result<Ms, Problem> {
        let span = cluster
            .load_report_interval
            .filter(|span| *span > 0.0 && *span <= report_limits::MAX_SPAN)
            .ok_or(Problem::Interval)?;
        let report_interval = self.settings.report_interval.max(MIN_REPORT_INTERVAL);
        if span > MAX_INTERVALS_COVERED * report_interval {
            return Err(Problem::TooOld);
        }
        Ok(span)
    }

    /// What came to the proxy for a class.
    fn usage(&self, class: ClassId, cluster: &ClusterStats, span: Ms) -> Result<Event, Problem> {
        let failed = cluster.error_requests as f64;
        let attempts = cluster.successful_requests as f64 + failed;
        report_limits::check_counts(attempts, failed, span)
            .map_err(|number| Problem::ClusterFigure(number.reason()))?;
        Ok(Event::TrafficReported {
            proxy: self.reporter.proxy,
            class,
            attempts,
            failed,
            span,
        })
    }

    /// What the proxy saw of a host.
    fn observation(
        &self,
        host: &HostId,
        endpoint: &EndpointStats,
        span: Ms,
    ) -> Result<Event, Problem> {
        let invalid_figure = |reason| Problem::EndpointFigure {
            address: endpoint.address.clone(),
            reason,
        };
        let attempts = endpoint.issued_requests as f64;
        let failed = endpoint.error_requests as f64;
        report_limits::check_counts(attempts, failed, span)
            .map_err(|number| invalid_figure(number.reason()))?;
        if failed > attempts {
            return Err(invalid_figure("more errors than requests"));
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

    /// The mean latency of successful requests, in ms; 0 where there were none.
    fn mean_latency(&self, endpoint: &EndpointStats) -> Result<Ms, Problem> {
        let address = || endpoint.address.clone();
        let has_successes = endpoint.issued_requests as f64 > endpoint.error_requests as f64;
        let mean = match endpoint.load_metrics.get(LATENCY_METRIC) {
            Some(metric) if metric.finished_requests > 0 => {
                metric.total_value / metric.finished_requests as f64
            }
            _ if has_successes => return Err(Problem::NoLatency { address: address() }),
            _ => 0.0,
        };
        if !report_limits::is_plausible_mean(mean, self.settings) {
            return Err(Problem::LatencyOutOfRange { address: address() });
        }
        Ok(mean)
    }
}
