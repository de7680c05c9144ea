//! Things that are counted by reason, and told as one line of the log while there are any.

use std::collections::BTreeMap;
use std::fmt::Write;

/// ms between two lines (ours): a press that lasts is seen within a look at the log, and costs one line.
const TOLD_EVERY: u64 = 10_000;

/// Counts of one event's reasons. Reasons are words of the code, so there are few.
pub struct Tally {
    event: &'static str,
    counts: BTreeMap<&'static str, u64>,
    totals: BTreeMap<&'static str, u64>,
    told_at: u64,
}

impl Tally {
    pub fn new(event: &'static str) -> Tally {
        Tally {
            event,
            counts: BTreeMap::new(),
            totals: BTreeMap::new(),
            told_at: 0,
        }
    }

    /// True for the first of its reason since the last line.
    pub fn count(&mut self, why: &'static str) -> bool {
        *self.totals.entry(why).or_default() += 1;
        let count = self.counts.entry(why).or_default();
        *count += 1;
        *count == 1
    }

    /// What came since the last line, once it is due. Nothing while nothing came.
    pub fn due(&mut self, now: u64) -> Option<String> {
        let span = now.saturating_sub(self.told_at);
        if span < TOLD_EVERY {
            return None;
        }
        self.told_at = now;
        let counts = std::mem::take(&mut self.counts);
        let mut line = format!("event={} span_s={}", self.event, span / 1_000);
        for (why, count) in &counts {
            let _ = write!(line, " {}={count}", why.replace(' ', "_"));
        }
        (!counts.is_empty()).then_some(line)
    }

    /// All since the start, by reason.
    pub fn totals(&self) -> &BTreeMap<&'static str, u64> {
        &self.totals
    }
}

#[cfg(test)]
mod tests {
    use super::Tally;

    #[test]
    fn reasons_are_told_once_each_span_and_only_where_there_are_any() {
        let mut tally = Tally::new("own_answers");
        assert!(tally.count("no host"));
        assert!(!tally.count("no host"), "not the first");
        tally.count("time is over");
        assert_eq!(tally.due(9_999), None);
        assert_eq!(
            tally.due(10_000).as_deref(),
            Some("event=own_answers span_s=10 no_host=2 time_is_over=1")
        );
        assert_eq!(tally.due(20_000), None, "nothing since");
        tally.count("no route");
        assert_eq!(
            tally.due(31_500).as_deref(),
            Some("event=own_answers span_s=11 no_route=1")
        );
        assert_eq!(tally.totals().values().sum::<u64>(), 4);
    }
}
