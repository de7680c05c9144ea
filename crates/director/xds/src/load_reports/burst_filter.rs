//! Keeps late reports from passing for fresh ones: what a proxy could not send for a while comes all at once.

use rushcourse_policy::interface::{Event, Ms};

/// Report intervals that a report may cover: what it says of earlier times is too old to judge a host by.
pub(super) const MAX_INTERVALS_COVERED: f64 = 2.5;
/// ms without a further report after which the last one of a burst is believed.
const BURST_DELAY: Ms = 200.0;
/// Report intervals of silence after which a stream ends, so that its proxy dials anew.
const SILENT_INTERVALS: f64 = 6.0;

/// What is done with a report.
#[derive(Debug)]
pub(crate) enum Admission {
    /// It is of now.
    Believed(Vec<Event>),
    /// It follows a silence: it waits for a later one of the same burst.
    HeldBack,
    /// It waits in the place of the one before, which is dropped as too old.
    ReplacesOlder,
}

#[derive(Debug)]
struct HeldReport {
    since: Ms,
    events: Vec<Event>,
}

/// The reports on one stream.
#[derive(Debug)]
pub(crate) struct BurstFilter {
    report_interval: Ms,
    /// When a report last came, or the stream was opened.
    last_report_at: Ms,
    /// The newest report after a silence.
    held: Option<HeldReport>,
}

impl BurstFilter {
    /// A stream that was opened now, for reports at this interval in ms.
    pub(crate) fn new(now: Ms, report_interval: Ms) -> BurstFilter {
        BurstFilter {
            report_interval,
            last_report_at: now,
            held: None,
        }
    }

    /// A report came that says these events.
    pub(crate) fn admit(&mut self, now: Ms, events: Vec<Event>) -> Admission {
        let silence = now - self.last_report_at;
        let follows_silence = silence > MAX_INTERVALS_COVERED * self.report_interval;
        self.last_report_at = now;
        if self.held.is_none() && !follows_silence {
            return Admission::Believed(events);
        }
        let held = HeldReport { since: now, events };
        match self.held.replace(held) {
            // Only the last report of a burst is of now.
            Some(_) => Admission::ReplacesOlder,
            None => Admission::HeldBack,
        }
    }

    /// The events of the report that was held back, once no later one came.
    pub(crate) fn release(&mut self, now: Ms) -> Vec<Event> {
        self.held
            .take_if(|held| now - held.since >= BURST_DELAY)
            .map_or_else(Vec::new, |held| held.events)
    }

    /// When the stream counts as stalled, if no report comes before.
    pub(crate) fn stalled_at(&self) -> Ms {
        self.last_report_at + SILENT_INTERVALS * self.report_interval
    }

    /// When there is something to do next, if no report comes before.
    pub(crate) fn due_at(&self) -> Ms {
        let release_at = self
            .held
            .as_ref()
            .map_or(f64::INFINITY, |held| held.since + BURST_DELAY);
        release_at.min(self.stalled_at())
    }
}
