//! Counters of a session and their values.

use crate::histogram::DelayHistogram;
use std::collections::BTreeMap;

/// Defines [`Counter`]: each row holds a variant, its metric name and its help text.
macro_rules! counters {
    ($($variant:ident, $name:literal, $help:literal;)*) => {
        /// A monotonic event counter, exported to monitoring.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Counter {
            $(#[doc = $help] $variant,)*
        }

        impl Counter {
            /// All counters in export order.
            const ALL: &[Counter] = &[$(Counter::$variant,)*];

            /// Metric name.
            const fn name(self) -> &'static str {
                match self {
                    $(Counter::$variant => $name,)*
                }
            }

            /// Help text exported with the metric.
            const fn help(self) -> &'static str {
                match self {
                    $(Counter::$variant => $help,)*
                }
            }
        }
    };
}

counters! {
    PolicyBatches, "ticks", "Batches of events passed to the policy, at most one per batch interval.";
    PolicyEvents, "events", "Events passed to the policy.";
    CallsSent, "calls_sent", "Calls written to the relay, including resends.";
    CallsReplied, "calls_answered", "Calls that the relay answered with a number of accepted orders.";
    CallsUnknown, "calls_unknown", "Calls with an unknown outcome: connection lost, reply timeout or unreadable reply.";
    CallsAcknowledged, "calls_proved", "Calls with an unknown outcome that a proxy's acknowledgement proved to be executed.";
    ResendsDeferred, "repeats_held", "Resends deferred by half a second because proxies had reached their message cap.";
    CallsResent, "calls_repeated", "Calls resent after an unknown outcome, a rejection or an invalid order.";
    CallConnectionsFailed, "calls_unconnected", "Failed attempts to connect to the relay for calls.";
    CallsBusy, "calls_busy", "Calls rejected with BUSY before the relay accepted any call.";
    CallsRejected, "calls_refused", "Calls answered with SYNTAX, or with BUSY after the relay has accepted a call.";
    CallsSplit, "calls_split", "Additional calls needed for batches of more than 60,000 bytes.";
    OrdersAccepted, "orders_taken", "Orders that the relay accepted.";
    OrdersDropped, "orders_dropped", "Orders dropped because the relay did not accept them.";
    WatchesLost, "news_breaks", "Watches of the relay that failed: not established, disconnected, silent or unreadable.";
    NotificationsSkipped, "news_odd", "Notifications skipped because their kind or zone is unknown.";
    ProxiesRebound, "proxies_bound_anew", "Proxies rebound because they may have left and rejoined while no watch was established.";
    FetchesFailed, "lists_failed", "Requests to discovery that failed or returned an unusable list.";
    ListsOutdated, "lists_old", "Lists ignored because their revision is lower than the current one.";
    EntriesSkipped, "list_entries_odd", "List entries skipped because they are malformed or have an unknown phase or zone.";
    HostReports, "reports_heard", "Host reports accepted from collectors.";
    TrafficReports, "reports_usage", "Traffic reports accepted from collectors.";
    ReportsDropped, "reports_dropped", "Reports dropped because the event queue was full.";
    HostReportsUnlisted, "heard_unlisted", "Host reports skipped because the host is not listed, for example just after its removal.";
    HostReportsInvalid, "heard_spoilt", "Host reports skipped because a number is out of range or a name is unknown.";
    TrafficReportsInvalid, "usage_spoilt", "Traffic reports skipped because a number is out of range or a name is unknown.";
    MessagesInvalid, "fields_spoilt", "Messages skipped because a field is missing or has the wrong type.";
    MessagesUnexpected, "messages_odd", "Messages of collectors skipped because they are not reports.";
    InboundRejected, "peers_refused", "Inbound connections closed because of a message that they sent.";
    MessagesUnreadable, "frames_malformed", "Messages that are not JSON objects; each closes its connection.";
    InboundClosed, "peers_closed", "Inbound connections closed by the director.";
    InboundFailed, "peers_broken", "Inbound connections that ended with an I/O error.";
    Reloads, "reloads", "Successful configuration reloads.";
    ReloadsFailed, "reloads_failed", "Failed configuration reloads, not counting retries.";
    HealthChecksSent, "probes_sent", "Health checks sent to hosts.";
    HealthChecksNotSent, "probes_not_sent", "Health checks not sent: address unknown, queue full, already pending or disabled.";
    PeerMessagesNotSent, "tells_not_sent", "Messages to other directors, which are not delivered.";
    LogLinesLimited, "log_lines_limited", "Log lines dropped by the rate limit for lines of the same kind.";
    InvariantFailures, "invariant_failures", "Invariant violations.";
}

/// The current value of a counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CounterSample {
    /// Metric name, unique among the counters of a session.
    pub name: &'static str,
    /// Help text, exported with the metric.
    pub help: &'static str,
    /// Count since the session was created.
    pub value: u64,
}

/// Counter values and delay histograms of a session.
#[derive(Default)]
pub struct Counters {
    values: BTreeMap<&'static str, u64>,
    /// Delay from the first event of a batch to the first transmission of a call with its orders.
    pub input_to_call: DelayHistogram,
    /// Delay from the transmission of a call to a reply with the number of accepted orders.
    pub call_to_reply: DelayHistogram,
}

impl Counters {
    pub(crate) fn add(&mut self, counter: Counter, count: u64) {
        *self.values.entry(counter.name()).or_default() += count;
    }

    /// Adds to one of [`rushcourse_xds::COUNTERS`], identified by its name.
    pub(crate) fn add_stream_counter(&mut self, name: &'static str, count: u64) {
        debug_assert!(
            rushcourse_xds::COUNTERS
                .iter()
                .any(|counter| counter.0 == name),
            "{name} is not a stream counter"
        );
        *self.values.entry(name).or_default() += count;
    }

    /// Returns the value of a counter by metric name; 0 for an unknown name.
    pub fn get(&self, name: &str) -> u64 {
        self.values.get(name).copied().unwrap_or(0)
    }

    /// Returns all session counters, followed by the stream counters that are not zero.
    pub fn samples(&self) -> impl Iterator<Item = CounterSample> + '_ {
        let own = Counter::ALL
            .iter()
            .map(|counter| (counter.name(), counter.help()));
        let of_streams = rushcourse_xds::COUNTERS
            .iter()
            .copied()
            .filter(|(name, _)| self.get(name) > 0);
        own.chain(of_streams).map(|(name, help)| CounterSample {
            name,
            help,
            value: self.get(name),
        })
    }
}
