//! Detects load reports that were delayed in transit. After a stall they arrive in a burst, and only the last one
//! describes the present.

use rushcourse_policy::interface::{Event, Ms};

/// Longest period that a report may cover, in report intervals. Data from a longer period is too old to judge a host
/// by.
pub(super) const MAX_INTERVALS_COVERED: f64 = 2.5;
/// Time without a further report after which the last report of a burst is accepted, in ms.
const BURST_DELAY: Ms = 200.0;
/// Report intervals without a report after which the stream is ended, so that the proxy reconnects.
const STALL_INTERVALS: f64 = 6.0;

/// The filter's decision on a report.
#[derive(Debug)]
pub(crate) enum FilterDecision {
    /// The report is current; contains its events.
    Accepted(Vec<Event>),
    /// The report follows an idle period and is held until `BURST_DELAY` has passed without another one.
    Deferred,
    /// The report is held instead of an earlier one of the burst, which is discarded.
    ReplacedDeferred,
}

#[derive(Debug)]
struct DeferredReport {
    since: Ms,
    events: Vec<Event>,
}

/// Burst filter of one load reporting stream.
#[derive(Debug)]
pub(crate) struct BurstFilter {
    report_interval: Ms,
    /// When the last report arrived, or the stream was opened.
    last_report_at: Ms,
    /// The newest report of a burst, while it is held.
    deferred: Option<DeferredReport>,
}

impl BurstFilter {
    /// Creates the filter of a stream that is opened at `now`; `report_interval` is in ms.
    pub(crate) fn new(now: Ms, report_interval: Ms) -> BurstFilter {
        BurstFilter {
            report_interval,
            last_report_at: now,
            deferred: None,
        }
    }

    /// Decides on a report that has been converted to `events`.
    pub(crate) fn admit(&mut self, now: Ms, events: Vec<Event>) -> FilterDecision {
        let idle_period = now - self.last_report_at;
        let follows_idle_period = idle_period > MAX_INTERVALS_COVERED * self.report_interval;
        self.last_report_at = now;
        if self.deferred.is_none() && !follows_idle_period {
            return FilterDecision::Accepted(events);
        }
        let deferred = DeferredReport { since: now, events };
        match self.deferred.replace(deferred) {
            // Only the last report of a burst is current.
            Some(_) => FilterDecision::ReplacedDeferred,
            None => FilterDecision::Deferred,
        }
    }

    /// Returns the events of a held report whose `BURST_DELAY` has passed; empty if there is none.
    pub(crate) fn release(&mut self, now: Ms) -> Vec<Event> {
        self.deferred
            .take_if(|deferred| now - deferred.since >= BURST_DELAY)
            .map_or_else(Vec::new, |deferred| deferred.events)
    }

    /// When the stream counts as stalled, unless a report arrives first.
    pub(crate) fn stalled_at(&self) -> Ms {
        self.last_report_at + STALL_INTERVALS * self.report_interval
    }

    /// When the filter needs attention next, unless a report arrives first.
    pub(crate) fn due_at(&self) -> Ms {
        let release_at = self
            .deferred
            .as_ref()
            .map_or(f64::INFINITY, |deferred| deferred.since + BURST_DELAY);
        release_at.min(self.stalled_at())
    }
}
