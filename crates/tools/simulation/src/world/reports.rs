//! Load reports of the proxies.

use super::play::COLLECTOR;
use super::setup;
use super::state::{Pending, World};
use crate::proxy::Way;
use crate::script::{At, CLASSES, Met, Reported};
use bytes::Bytes;
use rushcourse_director_state::Input;
use rushcourse_xds as xds;
use serde_json::json;
use std::collections::BTreeMap;
use std::rc::Rc;

/// ms after which a stream is taken to have been silent, and for which its first report is held back then.
const SILENCE: At = 2500.0;
const BURST_DELAY: At = 200.0;
/// ms that a report speaks of.
const WINDOW: At = 1000.0;

impl World<'_> {
    /// Each second's reports: proxies on streams by themselves, the others through the collector. After a silence a
    /// stream's report is believed a little later, as it may be one of a burst of old ones; the collector speaks as
    /// much later then, so that the same is known at the same time.
    pub(super) fn reports(&mut self, all: Vec<Reported>) {
        let late = if self.now - self.last_report > SILENCE {
            BURST_DELAY
        } else {
            0.0
        };
        self.last_report = self.now;
        let all = Rc::new(all);
        self.after(late, Pending::Reports(all.clone()));
        for (k, met, usage) in all.iter() {
            if self.proxies[*k].joined && self.mode.way(*k) != Way::Platform {
                self.stream_report(*k, met, usage);
            }
        }
    }

    pub(super) fn collector_reports(&mut self, all: &[Reported]) {
        let mut heard: BTreeMap<(usize, usize), (u64, u64, f64)> = BTreeMap::new();
        for (k, met, usage) in all {
            if !self.proxies[*k].joined || self.mode.way(*k) != Way::Platform {
                continue;
            }
            let p = self.script.proxies[*k];
            for m in met {
                let sum = heard.entry((p.zone, m.host)).or_default();
                sum.0 += m.tries;
                sum.1 += m.failed;
                sum.2 += m.mean * (m.tries - m.failed) as f64;
            }
            for (class, (n, bad)) in CLASSES.iter().zip(usage) {
                let text = json!({"@type": "usage", "sidecar": p.number, "kind": class, "n": n, "bad": bad,
                    "window": WINDOW});
                self.give(Input::Frame {
                    conn: COLLECTOR,
                    bytes: Bytes::from(text.to_string()),
                });
            }
        }
        for ((zone, host), (n, bad, time)) in heard {
            let mut text = json!({"@type": "heard", "az": self.script.zones[zone],
                "host": self.script.hosts[host].id, "n": n, "bad": bad, "window": WINDOW});
            if n > bad {
                text["avg"] = json!(time / (n - bad) as f64);
            }
            self.give(Input::Frame {
                conn: COLLECTOR,
                bytes: Bytes::from(text.to_string()),
            });
        }
    }

    fn stream_report(&mut self, k: usize, met: &[Met], usage: &[(u64, u64); 2]) {
        let host = |m: &Met| xds::EndpointStats {
            address: setup::address(m.host),
            issued_requests: m.tries,
            error_requests: m.failed,
            requests_in_progress: 0,
            load_metrics: [(
                "latency_ms".to_string(),
                xds::LoadMetric {
                    finished_requests: m.tries - m.failed,
                    total_value: m.mean * (m.tries - m.failed) as f64,
                },
            )]
            .into(),
        };
        let cluster = |(c, (n, bad)): (usize, &(u64, u64))| xds::ClusterStats {
            cluster_name: CLASSES[c].into(),
            load_report_interval: Some(WINDOW),
            successful_requests: n - bad,
            error_requests: *bad,
            endpoints: if c == 0 {
                met.iter().map(host).collect()
            } else {
                Vec::new()
            },
        };
        let cluster_stats = usage.iter().enumerate().map(cluster).collect();
        let request = xds::Request::LoadStats(xds::LoadStatsRequest {
            node: None,
            cluster_stats,
        });
        let stream = self.proxies[k].lrs;
        self.give(Input::Stream(xds::Input::RequestReceived {
            stream,
            request,
        }));
    }
}
