//! Load reporting streams of proxies.

use super::open_streams::StreamRole;
use super::state::{Streams, report_interval};
use crate::interface::{Effect, StatusCode, StreamId};
use crate::load_reports::{BurstFilter, FilterDecision, ReportContext, convert};
use crate::messages::{LoadStatsRequest, LoadStatsResponse, Response};
use crate::outbox::Severity;
use crate::registry::ProxyIdentity;
use rushcourse_policy::interface::{HostId, Ms, ProxyId};

impl Streams {
    /// Turns a stream into the proxy's load reporting stream, ending an earlier one, and requests reports on it.
    pub(super) fn start_reporting(&mut self, now: Ms, stream: StreamId, reporter: ProxyIdentity) {
        let report_interval = report_interval(&self.settings);
        if let Some(earlier) = self.reporting_stream(reporter.proxy) {
            self.end(
                now,
                earlier,
                StatusCode::Aborted,
                "its relay reports on a newer stream",
            );
        }
        if let Some(open) = self.open_streams.get_mut(stream) {
            open.role = StreamRole::LoadReporting(reporter, BurstFilter::new(now, report_interval));
            self.outbox.effect(Effect::SendResponse {
                stream,
                response: Response::LoadStats(LoadStatsResponse {
                    load_reporting_interval: report_interval,
                }),
            });
        }
    }

    fn reporting_stream(&self, proxy: ProxyId) -> Option<StreamId> {
        let is_reporting = |role: &StreamRole| matches!(role, StreamRole::LoadReporting(reporter, _) if reporter.proxy == proxy);
        self.open_streams
            .iter()
            .find(|(_, open)| is_reporting(&open.role))
            .map(|(stream, _)| stream)
    }

    /// Handles a load report. A request without statistics only identifies the stream.
    pub(super) fn on_load_report(
        &mut self,
        now: Ms,
        stream: StreamId,
        reporter: ProxyIdentity,
        request: &LoadStatsRequest,
    ) {
        self.registry.record_activity(now, reporter.proxy);
        if request.cluster_stats.is_empty() {
            return;
        }
        let context = ReportContext {
            reporter,
            settings: &self.settings,
            cache: &self.cache,
            load_of: |host: &HostId| self.report_streams.load(now, host),
        };
        match convert(request, &context) {
            Ok(report) => {
                if report.unlisted_hosts > 0 {
                    self.outbox.count("loads_unlisted", report.unlisted_hosts);
                }
                let Some(filter) = self.open_streams.burst_filter_mut(stream) else {
                    return;
                };
                match filter.admit(now, report.events) {
                    FilterDecision::Accepted(events) => {
                        self.outbox.count("loads_taken", 1);
                        self.outbox.events.extend(events);
                    }
                    FilterDecision::ReplacedDeferred => self.outbox.count("loads_old", 1),
                    FilterDecision::Deferred => {}
                }
            }
            Err(invalid) => {
                self.outbox.count(invalid.counter(), 1);
                self.outbox.log(
                    Severity::Info,
                    "load report skipped",
                    format!("relay {}: {invalid}", reporter.proxy),
                );
            }
        }
    }
}
