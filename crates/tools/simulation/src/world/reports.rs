//! Load reports of the proxies, sent on their own streams or through the collector.

use super::queue::Pending;
use super::setup;
use super::state::World;
use crate::script::{CLASSES, ClassRequests, HostAttempts, ProxyReport};
use rushcourse_policy::interface::Ms;
use rushcourse_xds as xds;
use serde_json::json;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Time without reports above which the director treats a report stream as idle, in ms.
const INACTIVITY_TIMEOUT: Ms = 2500.0;
/// Time for which the director holds back the first report of a stream after an idle period, in ms.
const DELAY_AFTER_IDLE_PERIOD: Ms = 200.0;
/// Period that each report covers, in ms.
const REPORT_SPAN: Ms = 1000.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ZoneHost {
    zone: usize,
    host: usize,
}

/// Sum of the attempts that proxies of a zone made at a host.
#[derive(Clone, Copy, Debug, Default)]
struct AttemptTotals {
    attempts: u64,
    failed: u64,
    /// Total latency of the successful attempts, in ms.
    latency: Ms,
}

impl AttemptTotals {
    fn add(&mut self, observed: &HostAttempts) {
        self.attempts += observed.attempts;
        self.failed += observed.failed;
        self.latency += total_latency(observed);
    }
}

fn total_latency(observed: &HostAttempts) -> Ms {
    observed.mean_latency * (observed.attempts - observed.failed) as f64
}

impl World<'_> {
    /// Sends the reports of a second: directly on the streams of proxies, and through the collector for the others. The
    /// director holds back a stream's first report after an idle period, as it may belong to a burst of outdated ones.
    /// The collector's messages are delayed by the same time, so that all modes use the same reports at the same time.
    pub(super) fn send_reports(&mut self, reports: Vec<ProxyReport>) {
        let was_idle = self.now - self.last_report > INACTIVITY_TIMEOUT;
        let delay = if was_idle {
            DELAY_AFTER_IDLE_PERIOD
        } else {
            0.0
        };
        self.last_report = self.now;
        let reports = Rc::new(reports);
        self.schedule_after(delay, Pending::Reports(reports.clone()));
        for report in reports.iter() {
            if self.proxies[report.proxy].is_joined && !self.uses_relay(report.proxy) {
                self.send_stream_report(report);
            }
        }
    }

    /// Sends the reports of proxies on the relay as collector messages: traffic per proxy, and attempts summed by zone
    /// and host.
    pub(super) fn send_collector_reports(&mut self, reports: &[ProxyReport]) {
        let mut observed: BTreeMap<ZoneHost, AttemptTotals> = BTreeMap::new();
        for report in reports {
            if !self.proxies[report.proxy].is_joined || !self.uses_relay(report.proxy) {
                continue;
            }
            let zone = self.script.proxies[report.proxy].zone;
            for attempts in &report.hosts {
                let host = attempts.host;
                let totals = observed.entry(ZoneHost { zone, host }).or_default();
                totals.add(attempts);
            }
            self.send_collector_traffic(report);
        }
        for (key, totals) in observed {
            self.send_collector_attempts(key, totals);
        }
    }

    fn send_collector_traffic(&mut self, report: &ProxyReport) {
        let number = self.proxy_number(report.proxy);
        for (class, ClassRequests { admitted, failed }) in CLASSES.iter().zip(report.classes) {
            self.collector_message(&json!({"@type": "usage", "sidecar": number, "kind": class,
                "n": admitted, "bad": failed, "window": REPORT_SPAN}));
        }
    }

    fn send_collector_attempts(&mut self, key: ZoneHost, totals: AttemptTotals) {
        let (zone, host) = (
            &self.script.zones[key.zone],
            &self.script.hosts[key.host].id,
        );
        let mut message = json!({"@type": "heard", "az": zone, "host": host,
            "n": totals.attempts, "bad": totals.failed, "window": REPORT_SPAN});
        let successful = totals.attempts - totals.failed;
        if successful > 0 {
            message["avg"] = json!(totals.latency / successful as f64);
        }
        self.collector_message(&message);
    }

    /// Sends a proxy's report on its load report stream. The statistics of the first class contain the attempts at hosts
    /// for all classes.
    fn send_stream_report(&mut self, report: &ProxyReport) {
        let statistics = |(class, requests): (usize, &ClassRequests)| {
            let hosts: &[HostAttempts] = if class == 0 { &report.hosts } else { &[] };
            xds::ClusterStats {
                cluster_name: CLASSES[class].into(),
                load_report_interval: Some(REPORT_SPAN),
                successful_requests: requests.admitted - requests.failed,
                error_requests: requests.failed,
                endpoints: hosts.iter().map(endpoint_stats).collect(),
            }
        };
        let request = xds::Request::LoadStats(xds::LoadStatsRequest {
            node: None,
            cluster_stats: report.classes.iter().enumerate().map(statistics).collect(),
        });
        let stream = self.proxies[report.proxy].report_stream;
        self.handle_stream_input(xds::Input::RequestReceived { stream, request });
    }
}

fn endpoint_stats(observed: &HostAttempts) -> xds::EndpointStats {
    let latency = xds::LoadMetric {
        finished_requests: observed.attempts - observed.failed,
        total_value: total_latency(observed),
    };
    xds::EndpointStats {
        address: setup::address(observed.host),
        issued_requests: observed.attempts,
        error_requests: observed.failed,
        requests_in_progress: 0,
        load_metrics: [("latency_ms".to_string(), latency)].into(),
    }
}
