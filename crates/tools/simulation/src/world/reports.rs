//! Load reports of the proxies.

use super::queue::Pending;
use super::setup;
use super::state::World;
use crate::script::{CLASSES, ClassRequests, HostAttempts, ProxyReport};
use rushcourse_policy::interface::Ms;
use rushcourse_xds as xds;
use serde_json::json;
use std::collections::BTreeMap;
use std::rc::Rc;

/// ms after which a stream is taken to have been silent.
const SILENCE_TIMEOUT: Ms = 2500.0;
/// ms for which its first report is held back then.
const BURST_DELAY: Ms = 200.0;
/// ms that a report covers.
const REPORT_SPAN: Ms = 1000.0;

/// A zone and a host, by their index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ZoneHost {
    zone: usize,
    host: usize,
}

/// What proxies of a zone observed at a host.
#[derive(Clone, Copy, Debug, Default)]
struct AttemptTotals {
    attempts: u64,
    failed: u64,
    /// Of the successful ones together, in ms.
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
    /// Each second's reports: proxies on streams by themselves, the others through the collector. After a silence a
    /// stream's report is believed a little later, as it may be one of a burst of old ones; the collector speaks as
    /// much later then, so that the same is known at the same time.
    pub(super) fn report(&mut self, reports: Vec<ProxyReport>) {
        let was_silent = self.now - self.last_report > SILENCE_TIMEOUT;
        let delay = if was_silent { BURST_DELAY } else { 0.0 };
        self.last_report = self.now;
        let reports = Rc::new(reports);
        self.after(delay, Pending::Reports(reports.clone()));
        for report in reports.iter() {
            if self.proxies[report.proxy].is_joined && !self.is_on_relay(report.proxy) {
                self.stream_report(report);
            }
        }
    }

    /// The collector passes on what proxies on the relay report: traffic by proxy, attempts summed by zone and host.
    pub(super) fn collector_reports(&mut self, reports: &[ProxyReport]) {
        let mut observed: BTreeMap<ZoneHost, AttemptTotals> = BTreeMap::new();
        for report in reports {
            if !self.proxies[report.proxy].is_joined || !self.is_on_relay(report.proxy) {
                continue;
            }
            let zone = self.script.proxies[report.proxy].zone;
            for attempts in &report.hosts {
                let host = attempts.host;
                let totals = observed.entry(ZoneHost { zone, host }).or_default();
                totals.add(attempts);
            }
            self.collector_traffic(report);
        }
        for (key, totals) in observed {
            self.collector_attempts(key, totals);
        }
    }

    fn collector_traffic(&mut self, report: &ProxyReport) {
        let number = self.number(report.proxy);
        for (class, ClassRequests { admitted, failed }) in CLASSES.iter().zip(report.classes) {
            self.collector_message(&json!({"@type": "usage", "sidecar": number, "kind": class,
                "n": admitted, "bad": failed, "window": REPORT_SPAN}));
        }
    }

    fn collector_attempts(&mut self, key: ZoneHost, totals: AttemptTotals) {
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

    /// A proxy reports on its own stream. What it observed at hosts stands in the statistics of the first class.
    fn stream_report(&mut self, report: &ProxyReport) {
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
        self.give_stream(xds::Input::RequestReceived { stream, request });
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
