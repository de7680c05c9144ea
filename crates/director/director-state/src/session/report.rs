//! How a session stands, for monitors and for the log.

use super::Session;
use crate::effect::Severity;
use crate::gauge::GaugeSample;
use crate::histogram::DelayHistogram;
use rushcourse_policy::interface::Ms;
use rushcourse_xds::Streams;

impl Session {
    /// Current sizes and ages. An age is in seconds, and -1 where there was nothing yet.
    pub fn gauges(&self) -> Vec<GaugeSample> {
        let mut gauges = self.queue_gauges();
        gauges.extend(self.relay_and_list_gauges());
        gauges.extend(self.holdings_gauges());
        let streams = self.streams.iter().flat_map(Streams::gauges);
        gauges.extend(streams.map(|(name, help, value)| gauge(name, help, value)));
        gauges
    }

    fn queue_gauges(&self) -> Vec<GaugeSample> {
        vec![
            gauge(
                "calls_waiting",
                "Calls that wait for the relay.",
                self.relay.calls.queued() as f64,
            ),
            gauge(
                "events_waiting",
                "Events that wait until the policy is next asked.",
                self.context.events.len() as f64,
            ),
        ]
    }

    fn relay_and_list_gauges(&self) -> Vec<GaugeSample> {
        let now = self.context.now;
        vec![
            gauge(
                "proxies_joined",
                "Proxies that are joined, as the relay tells.",
                self.relay.watch.joined_count() as f64,
            ),
            gauge(
                "hosts_known",
                "Hosts that the list names.",
                self.discovery.table().len() as f64,
            ),
            gauge(
                "list_revision",
                "Revision of the list.",
                self.discovery.revision() as f64,
            ),
            gauge(
                "list_age_seconds",
                "Time since discovery last answered.",
                age_seconds(self.discovery.age(now)),
            ),
            gauge(
                "news_age_seconds",
                "Time since the relay's last notification.",
                age_seconds(self.relay.watch.age(now)),
            ),
        ]
    }

    fn holdings_gauges(&self) -> Vec<GaugeSample> {
        vec![
            gauge(
                "peers_open",
                "Connections at the director's address.",
                self.inbound.count() as f64,
            ),
            gauge(
                "collectors_joined",
                "Connections that have registered as collectors.",
                self.inbound.collector_count() as f64,
            ),
            gauge(
                "timers_pending",
                "Timers of the policy.",
                self.timers.len() as f64,
            ),
            gauge(
                "module_entries",
                "What the policy remembers of hosts, tables, messages.",
                self.policy.record_count() as f64,
            ),
        ]
    }

    /// Tells the log how the session stands.
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
