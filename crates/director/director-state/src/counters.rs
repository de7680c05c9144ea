//! What the session counts: plain numbers that a page can show.

use std::collections::BTreeMap;

/// Upper bounds of the delays told apart, in ms.
const BOUNDS: [f64; 14] = [
    1.0, 2.0, 4.0, 5.0, 6.0, 8.0, 10.0, 15.0, 25.0, 50.0, 100.0, 250.0, 1000.0, 5000.0,
];

/// How often a delay was at most each bound.
#[derive(Clone, Debug, Default)]
pub struct Histogram {
    counts: [u64; BOUNDS.len() + 1],
    pub sum: f64,
}

impl Histogram {
    pub fn add(&mut self, ms: f64) {
        let at = BOUNDS.iter().position(|b| ms <= *b).unwrap_or(BOUNDS.len());
        self.counts[at] += 1;
        self.sum += ms.max(0.0);
    }

    pub fn count(&self) -> u64 {
        self.counts.iter().sum()
    }

    /// Bound and how many delays were within it, from the smallest on.
    pub fn buckets(&self) -> impl Iterator<Item = (f64, u64)> + '_ {
        let mut sum = 0;
        BOUNDS.iter().zip(&self.counts).map(move |(b, n)| {
            sum += n;
            (*b, sum)
        })
    }

    /// The bound under which this part of the delays lies; infinite beyond the last.
    pub fn quantile(&self, part: f64) -> f64 {
        let want = (part * self.count() as f64).ceil() as u64;
        self.buckets()
            .find(|(_, n)| *n >= want)
            .map_or(f64::INFINITY, |(b, _)| b)
    }
}

/// Every count there is, and what it counts.
const COUNTS: [(&str, &str); 39] = [
    (
        "ticks",
        "Times the module was asked, with all that came within a quantum.",
    ),
    ("events", "Events handed to the module."),
    (
        "calls_sent",
        "Calls written to the relay, repeats included.",
    ),
    (
        "calls_answered",
        "Calls that the relay answered with a number of orders taken.",
    ),
    (
        "calls_unknown",
        "Calls whose outcome is unknown: broken, unanswered, or answered unreadably.",
    ),
    (
        "calls_proved",
        "Calls of unknown outcome that a proxy's answer showed to be carried out.",
    ),
    (
        "repeats_held",
        "Half seconds in which a repeat waited for room under the cap of messages.",
    ),
    (
        "calls_repeated",
        "Calls written again, after an unknown outcome, a refusal or a bad order.",
    ),
    (
        "calls_unconnected",
        "Tries to reach the relay for calls that came to nothing.",
    ),
    ("calls_busy", "Calls turned away with BUSY."),
    (
        "calls_refused",
        "Calls answered with SYNTAX, or with BUSY while the relay takes calls.",
    ),
    (
        "calls_split",
        "Calls beyond the first that replies of over 60,000 bytes took.",
    ),
    ("orders_taken", "Orders that the relay took."),
    (
        "orders_dropped",
        "Orders that the relay did not take, dropped.",
    ),
    (
        "news_breaks",
        "Watches of the news that broke, fell silent or did not come up.",
    ),
    (
        "news_odd",
        "Lines of news that were skipped: of an unknown kind or zone.",
    ),
    (
        "proxies_bound_anew",
        "Proxies bound anew as they may have left and come back unseen.",
    ),
    ("lists_failed", "Calls to discovery that failed."),
    ("lists_old", "Lists that were older than the one held."),
    (
        "list_entries_odd",
        "Entries of lists that could not be used.",
    ),
    (
        "reports_heard",
        "Reports on hosts that came from collectors.",
    ),
    (
        "reports_usage",
        "Reports on usage that came from collectors.",
    ),
    (
        "reports_dropped",
        "Reports dropped as too many events waited.",
    ),
    (
        "heard_unlisted",
        "Reports on hosts that no list names: of one just gone, or of none.",
    ),
    (
        "heard_spoilt",
        "Reports on hosts that were skipped: a figure out of range, or an unknown name.",
    ),
    (
        "usage_spoilt",
        "Reports on usage that were skipped: a figure out of range, or an unknown name.",
    ),
    (
        "fields_spoilt",
        "Messages that were skipped: a field was missing or of another type.",
    ),
    (
        "messages_odd",
        "Messages of collectors that were skipped: of a kind that is no report.",
    ),
    (
        "peers_refused",
        "Connections that were refused and closed for what they said.",
    ),
    (
        "frames_malformed",
        "Messages that could not be read; each ended its connection.",
    ),
    ("peers_closed", "Connections that the director closed."),
    ("peers_broken", "Connections that ended with an error."),
    ("reloads", "Configurations read again that could be used."),
    (
        "reloads_failed",
        "Configurations that could not be used when they were to be read again.",
    ),
    ("probes_sent", "Probes of hosts."),
    (
        "probes_not_sent",
        "Probes that were wanted and not sent: no address, too many, or not allowed.",
    ),
    (
        "tells_not_sent",
        "Messages to other directors, which are not sent on sockets.",
    ),
    (
        "log_lines_limited",
        "Log lines left out as too many of their kind came within a second.",
    ),
    ("invariant_failures", "Things that must hold and did not."),
];

/// Everything that is counted, by its name; and the delays.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    counts: BTreeMap<&'static str, u64>,
    /// From the first input of a tick to its call; from a call to its answer.
    pub tick_to_call: Histogram,
    pub call_answer: Histogram,
}

impl Counters {
    pub fn add(&mut self, name: &'static str, n: u64) {
        let known = || {
            COUNTS
                .iter()
                .chain(&rushcourse_xds::COUNTERS)
                .any(|c| c.0 == name)
        };
        debug_assert!(known(), "{name} is no count");
        *self.counts.entry(name).or_default() += n;
    }

    pub fn get(&self, name: &str) -> u64 {
        self.counts.get(name).copied().unwrap_or(0)
    }

    /// Name, help and value of each count; those of streams once there are any.
    pub fn all(&self) -> impl Iterator<Item = (&'static str, &'static str, u64)> + '_ {
        let streams = rushcourse_xds::COUNTERS
            .iter()
            .filter(|(name, _)| self.get(name) > 0);
        COUNTS
            .iter()
            .chain(streams)
            .map(|(name, help)| (*name, *help, self.get(name)))
    }
}
