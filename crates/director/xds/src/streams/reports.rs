//! Load reports of proxies.

use super::open_streams::StreamUse;
use super::state::{Streams, report_interval};
use crate::interface::{Effect, StatusCode, StreamId};
use crate::load_reports::{Admission, BurstFilter, ReportContext, convert};
use crate::messages::{LoadStatsRequest, LoadStatsResponse, Response};
use crate::outbox::Severity;
use crate::registry::ProxyIdentity;
use rushcourse_policy::interface::{HostId, Ms, ProxyId};

impl Streams {
    /// A stream is a proxy's load reporting stream from now on. It reports on one stream: an earlier one ends.
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
        if let Some(open) = self.open.get_mut(stream) {
            open.used_for =
                StreamUse::LoadReporting(reporter, BurstFilter::new(now, report_interval));
            self.outbox.effect(Effect::SendResponse {
                stream,
                response: Response::LoadStats(LoadStatsResponse {
                    load_reporting_interval: report_interval,
                }),
            });
        }
    }

    fn reporting_stream(&self, proxy: ProxyId) -> Option<StreamId> {
        let is_reporting = |used_for: &StreamUse| matches!(used_for, StreamUse::LoadReporting(reporter, _) if reporter.proxy == proxy);
        self.open
            .iter()
            .find(|(_, open)| is_reporting(&open.used_for))
            .map(|(stream, _)| stream)
    }

    /// A request with load reports. The first one only identifies the stream.
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
                let Some(filter) = self.open.burst_filter_mut(stream) else {
                    return;
                };
                match filter.admit(now, report.events) {
                    Admission::Believed(events) => {
                        self.outbox.count("loads_taken", 1);
                        self.outbox.events.extend(events);
                    }
                    Admission::ReplacesOlder => self.outbox.count("loads_old", 1),
                    Admission::HeldBack => {}
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
