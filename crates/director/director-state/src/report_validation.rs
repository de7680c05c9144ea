//! Validation of collector reports. A report is passed to the policy unchanged, or rejected as a whole.

use crate::endpoint_table::EndpointTable;
use rushcourse_director_protocol::frames::{HostReport, TrafficReport};
use rushcourse_director_settings::Names;
use rushcourse_director_settings::report_limits::{self, OutOfRange};
use rushcourse_policy::interface::{Event, HostId, Ms, Settings, ZoneId};
use std::fmt;

/// Reason for rejecting a report. Messages use the field names of the platform's protocol.
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
            ReportError::UnknownZone => "unknown zone in az",
            ReportError::UnknownClass => "unknown class in kind",
            ReportError::UnknownProxy => "unknown proxy in sidecar",
            ReportError::OutOfRange(number) => number.reason(),
            ReportError::MoreFailedThanAttempts => "bad exceeds n",
            ReportError::ImplausibleMean => "avg is out of range",
        })
    }
}

impl From<OutOfRange> for ReportError {
    fn from(number: OutOfRange) -> ReportError {
        ReportError::OutOfRange(number)
    }
}

/// Validates reports against the configured names and settings and the listed hosts.
pub(crate) struct ReportValidator<'a> {
    pub(crate) names: &'a Names,
    pub(crate) settings: &'a Settings,
    pub(crate) hosts: &'a EndpointTable,
}

impl ReportValidator<'_> {
    pub(crate) fn zone(&self, name: &str) -> Option<ZoneId> {
        self.names.zones.iter().position(|zone| zone == name)
    }

    /// Looks up a host by name; `None` if it is not listed.
    pub(crate) fn host(&self, name: &str) -> Option<HostId> {
        self.hosts.find(name)
    }

    /// Converts a report on the attempts that proxies of a zone made at `host`.
    pub(crate) fn host_report(
        &self,
        report: HostReport,
        host: HostId,
    ) -> Result<Event, ReportError> {
        let zone = self.zone(&report.zone).ok_or(ReportError::UnknownZone)?;
        report_limits::check_counts(report.attempts, report.failed, report.span)?;
        // Does not apply to traffic reports, whose failed requests may have been admitted in an earlier period.
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

    /// Mean latency of successful attempts; 0 if no attempt succeeded.
    fn mean_latency(&self, report: &HostReport) -> Result<Ms, ReportError> {
        match report.mean_latency {
            Some(mean) if report_limits::is_plausible_mean(mean, self.settings) => Ok(mean),
            None if report.failed >= report.attempts => Ok(0.0),
            _ => Err(ReportError::ImplausibleMean),
        }
    }

    /// Converts a report on the requests that a proxy received from clients.
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
