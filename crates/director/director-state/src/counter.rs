//! What a session counts, and how much of it there was.

use crate::histogram::DelayHistogram;
use std::collections::BTreeMap;

/// Defines [`Counter`]: for each variant the name under which monitors read it, and its help text.
macro_rules! counters {
    ($($variant:ident, $name:literal, $help:literal;)*) => {
        /// Something that is counted.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Counter {
            $(#[doc = $help] $variant,)*
        }

        impl Counter {
            /// All counters, in the order in which they are shown.
            const ALL: &[Counter] = &[$(Counter::$variant,)*];

            /// The name under which monitors read it.
            const fn name(self) -> &'static str {
                match self {
                    $(Counter::$variant => $name,)*
                }
            }

            /// What is counted, for monitors and people.
            const fn help(self) -> &'static str {
                match self {
                    $(Counter::$variant => $help,)*
                }
            }
        }
    };
}

counters! {
    PolicyBatches, "ticks", "Times the policy was asked, each with all that came within a batch interval.";
    PolicyEvents, "events", "Events handed to the policy.";
    CallsSent, "calls_sent", "Calls written to the relay, repeats included.";
    CallsReplied, "calls_answered", "Calls that the relay answered with a number of accepted orders.";
    CallsUnknown, "calls_unknown", "Calls whose outcome is unknown: broken, unanswered, or answered unreadably.";
    CallsAcknowledged, "calls_proved", "Calls of unknown outcome that the acknowledgement of a proxy showed to be carried out.";
    RepeatsHeldBack, "repeats_held", "Half seconds in which a repeat waited for room under the cap of messages.";
    CallsRepeated, "calls_repeated", "Calls written again, after an unknown outcome, a refusal or a bad order.";
    CallConnectionsFailed, "calls_unconnected", "Failed attempts to reach the relay for calls.";
    CallsBusy, "calls_busy", "Calls rejected with BUSY.";
    CallsRejected, "calls_refused", "Calls answered with SYNTAX, or with BUSY while the relay accepts calls.";
    CallsSplit, "calls_split", "Calls beyond the first that batches of over 60,000 bytes took.";
    OrdersAccepted, "orders_taken", "Orders that the relay accepted.";
    OrdersDropped, "orders_dropped", "Orders that the relay did not accept, dropped.";
    WatchesLost, "news_breaks", "Watches of the relay that broke, fell silent or did not come up.";
    NotificationsSkipped, "news_odd", "Notifications that were skipped: of an unknown kind or zone.";
    ProxiesRebound, "proxies_bound_anew", "Proxies bound anew as they may have left and come back unseen.";
    FetchesFailed, "lists_failed", "Requests to discovery that failed.";
    ListsOutdated, "lists_old", "Lists that were older than the one held.";
    EntriesSkipped, "list_entries_odd", "Entries of lists that could not be used.";
    HostReports, "reports_heard", "Reports on hosts that came from collectors.";
    TrafficReports, "reports_usage", "Reports on usage that came from collectors.";
    ReportsDropped, "reports_dropped", "Reports dropped as too many events waited.";
    HostReportsUnlisted, "heard_unlisted", "Reports on hosts that no list names: of one just gone, or of none.";
    HostReportsInvalid, "heard_spoilt", "Reports on hosts that were skipped: a number out of range, or an unknown name.";
    TrafficReportsInvalid, "usage_spoilt", "Reports on usage that were skipped: a number out of range, or an unknown name.";
    MessagesInvalid, "fields_spoilt", "Messages that were skipped: a field was missing or of another type.";
    MessagesUnexpected, "messages_odd", "Messages of collectors that were skipped: of a kind that is no report.";
    InboundRejected, "peers_refused", "Connections that were rejected and closed for what they sent.";
    MessagesUnreadable, "frames_malformed", "Messages that could not be read; each ended its connection.";
    InboundClosed, "peers_closed", "Connections that the director closed.";
    InboundBroken, "peers_broken", "Connections that ended with an error.";
    Reloads, "reloads", "Configurations read again that could be used.";
    ReloadsFailed, "reloads_failed", "Configurations that could not be used when they were to be read again.";
    HealthChecksSent, "probes_sent", "Health checks of hosts.";
    HealthChecksNotSent, "probes_not_sent", "Health checks that were wanted and not sent: no address, too many, or not allowed.";
    PeerMessagesNotSent, "tells_not_sent", "Messages to other directors, which are not sent on sockets.";
    LogLinesLimited, "log_lines_limited", "Log lines left out as too many of their kind came within a second.";
    InvariantFailures, "invariant_failures", "Invariants that did not hold.";
}

/// A counter as it stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CounterSample {
    /// Its name.
    pub name: &'static str,
    /// What it counts.
    pub help: &'static str,
    /// How much there was since the start.
    pub value: u64,
}

/// All counters of a session, and its delays.
#[derive(Default)]
pub struct Counters {
    values: BTreeMap<&'static str, u64>,
    /// From the first input of a batch to the call that came of it.
    pub input_to_call: DelayHistogram,
    /// From a call to its reply.
    pub call_to_reply: DelayHistogram,
}

impl Counters {
    pub(crate) fn add(&mut self, counter: Counter, count: u64) {
        *self.values.entry(counter.name()).or_default() += count;
    }

    /// Raises one of the counters of streams, by its name.
    pub(crate) fn add_of_streams(&mut self, name: &'static str, count: u64) {
        debug_assert!(
            rushcourse_xds::COUNTERS
                .iter()
                .any(|counter| counter.0 == name),
            "{name} is no counter"
        );
        *self.values.entry(name).or_default() += count;
    }

    /// How much there was of a counter, by its name.
    pub fn get(&self, name: &str) -> u64 {
        self.values.get(name).copied().unwrap_or(0)
    }

    /// All counters; those of streams once there was something to count.
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
