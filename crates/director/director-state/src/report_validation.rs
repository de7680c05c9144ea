//! The one place that checks reports: a report reaches the policy whole or not at all, as it came.

use crate::endpoint_table::EndpointTable;
use rushcourse_director_protocol::frames::{HostReport, TrafficReport};
use rushcourse_director_settings::Names;
use rushcourse_director_settings::report_limits::{self, OutOfRange};
use rushcourse_policy::interface::{Event, HostId, Ms, Settings, ZoneId};
use std::fmt;

/// Why a report does not reach the policy. Shown by the names of the platform's protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReportError {
    UnknownZone,
    UnknownClass,
    UnknownProxy,
    OutOfRange(OutOfRange),
    MoreFailedThanAttempts,
    ImplausibleMean,
}

impl fmt::Display for ReportError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ReportError::UnknownZone => "az is no known zone",
            ReportError::UnknownClass => "kind is no known class",
            ReportError::UnknownProxy => "sidecar is no proxy",
            ReportError::OutOfRange(number) => number.reason(),
            ReportError::MoreFailedThanAttempts => "bad is more than n",
            ReportError::ImplausibleMean => "avg is out of range",
        })
    }
}

impl From<OutOfRange> for ReportError {
    fn from(number: OutOfRange) -> ReportError {
        ReportError::OutOfRange(number)
    }
}

/// Checks reports against what they may speak of.
pub(crate) struct ReportValidator<'a> {
    pub(crate) names: &'a Names,
    pub(crate) settings: &'a Settings,
    pub(crate) hosts: &'a EndpointTable,
}

impl ReportValidator<'_> {
    /// A zone by its name.
    pub(crate) fn zone(&self, name: &str) -> Option<ZoneId> {
        self.names.zones.iter().position(|zone| zone == name)
    }

    /// A host by its name, if a list names it.
    pub(crate) fn host(&self, name: &str) -> Option<HostId> {
        self.hosts.find(name)
    }

    /// What proxies met at a host that a list names.
    pub(crate) fn host_report(
        &self,
        report: HostReport,
        host: HostId,
    ) -> Result<Event, ReportError> {
        let zone = self.zone(&report.zone).ok_or(ReportError::UnknownZone)?;
        report_limits::check_counts(report.attempts, report.failed, report.span)?;
        // Failed attempts are a part of the attempts; of a traffic report they are not: what fails there was admitted
        // earlier, or not at all.
        if report.failed > report.attempts {
            return Err(ReportError::MoreFailedThanAttempts);
        }
        Ok(Event::HostReported {
            zone,
            host,
            attempts: report.attempts,
            failed: report.failed,
            mean_latency: self.mean_latency(&report)?,
            span: report.span,
            load: report.load,
        })
    }

    /// The mean time of successful attempts; 0 where there are none.
    fn mean_latency(&self, report: &HostReport) -> Result<Ms, ReportError> {
        match report.mean_latency {
            Some(mean) if report_limits::is_plausible_mean(mean, self.settings) => Ok(mean),
            None if report.failed >= report.attempts => Ok(0.0),
            _ => Err(ReportError::ImplausibleMean),
        }
    }

    /// What clients sent to a proxy.
    pub(crate) fn traffic_report(&self, report: &TrafficReport) -> Result<Event, ReportError> {
        let mut classes = self.names.classes.iter();
        let class = classes
            .position(|class| *class == report.class)
            .ok_or(ReportError::UnknownClass)?;
        let proxies = self.settings.fleet.proxies;
        if proxies > 0 && report.proxy as usize >= proxies {
            return Err(ReportError::UnknownProxy);
        }
        report_limits::check_counts(report.attempts, report.failed, report.span)?;
        Ok(Event::TrafficReported {
            proxy: report.proxy,
            class,
            attempts: report.attempts,
            failed: report.failed,
            span: report.span,
        })
    }
}
