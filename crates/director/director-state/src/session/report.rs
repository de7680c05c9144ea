//! Gauges for monitoring and the periodic status line of the log.

use super::Session;
use crate::effect::Severity;
use crate::gauge::GaugeSample;
use crate::histogram::DelayHistogram;
use rushcourse_policy::interface::Ms;
use rushcourse_xds::Streams;

impl Session {
    /// Returns all gauges. Ages are in seconds, or -1 if the event has not occurred yet.
    pub fn gauges(&self) -> Vec<GaugeSample> {
        let mut gauges = self.queue_gauges();
        gauges.extend(self.relay_and_list_gauges());
        gauges.extend(self.connection_and_policy_gauges());
        let streams = self.streams.iter().flat_map(Streams::gauges);
        gauges.extend(streams.map(|(name, help, value)| gauge(name, help, value)));
        gauges
    }

    fn queue_gauges(&self) -> Vec<GaugeSample> {
        vec![
            gauge(
                "calls_waiting",
                "Calls to the relay that are queued or in flight.",
                self.relay.calls.queued() as f64,
            ),
            gauge(
                "events_waiting",
                "Events queued for the next batch of the policy.",
                self.context.events.len() as f64,
            ),
        ]
    }

    fn relay_and_list_gauges(&self) -> Vec<GaugeSample> {
        let now = self.context.now;
        vec![
            gauge(
                "proxies_joined",
                "Proxies joined at the relay.",
                self.relay.watch.joined_count() as f64,
            ),
            gauge(
                "hosts_known",
                "Hosts in the list of the discovery service.",
                self.discovery.table().len() as f64,
            ),
            gauge(
                "list_revision",
                "Revision of the list of hosts.",
                self.discovery.revision() as f64,
            ),
            gauge(
                "list_age_seconds",
                "Time since the last usable response of the discovery service.",
                age_seconds(self.discovery.age(now)),
            ),
            gauge(
                "news_age_seconds",
                "Time since the last notification of the relay.",
                age_seconds(self.relay.watch.age(now)),
            ),
        ]
    }

    fn connection_and_policy_gauges(&self) -> Vec<GaugeSample> {
        vec![
            gauge(
                "peers_open",
                "Open connections at the director's listening address.",
                self.inbound.count() as f64,
            ),
            gauge(
                "collectors_joined",
                "Open connections that are registered as collectors.",
                self.inbound.collector_count() as f64,
            ),
            gauge(
                "timers_pending",
                "Pending timers of the policy.",
                self.timers.len() as f64,
            ),
            gauge(
                "module_entries",
                "Records of hosts, tables and messages held by the policy.",
                self.policy.record_count() as f64,
            ),
        ]
    }

    /// Logs the periodic status line.
    pub(super) fn log_status(&mut self) {
        let (joined, revision, queued) = (
            self.relay.watch.joined_count(),
            self.discovery.revision(),
            self.relay.calls.queued(),
        );
        let counters = &self.context.counters;
        let text = format!(
            "{joined} proxies joined, list {revision}; {} calls, {} of unknown outcome, {queued} waiting; ms up to, \
             median/p99: input to call {}, call to answer {}; {} invariants failed",
            counters.get("calls_sent"),
            counters.get("calls_unknown"),
            median_and_p99(&counters.input_to_call),
            median_and_p99(&counters.call_to_reply),
            counters.get("invariant_failures"),
        );
        self.context.log(Severity::Info, "status", || text);
    }
}

fn gauge(name: &'static str, help: &'static str, value: f64) -> GaugeSample {
    GaugeSample { name, help, value }
}

fn age_seconds(age: Option<Ms>) -> f64 {
    age.map_or(-1.0, |age| age / 1000.0)
}

fn median_and_p99(delays: &DelayHistogram) -> String {
    format!("{}/{}", delays.quantile(0.5), delays.quantile(0.99))
}
