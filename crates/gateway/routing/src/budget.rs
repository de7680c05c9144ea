//! Requests that go to a second host draw on a budget that all directors share (rule BUDGET). The ratio splits by
//! itself: each director spends by its own requests. The slack is dealt out evenly to the members.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Part of what the rule allows that directors spend: a director that just left may still have spent its part (ours).
const SPENT_PART: f64 = 0.6;
/// Buckets that the window is counted in.
const BUCKETS: u64 = 10;

#[derive(Default)]
struct Counts {
    /// Bucket number, requests, further arrivals.
    buckets: VecDeque<(u64, f64, f64)>,
}

pub struct Budget {
    ratio: f64,
    slack: f64,
    window_ms: u64,
    members: f64,
    services: BTreeMap<Arc<str>, Counts>,
}

impl Budget {
    /// `ratio` and `slack` as in RULES.md, `window_ms` the span that they are counted over.
    pub fn new(ratio: f64, slack: f64, window_ms: u64) -> Budget {
        Budget {
            ratio,
            slack,
            window_ms: window_ms.max(BUCKETS),
            members: 16.0,
            services: BTreeMap::new(),
        }
    }

    /// Frontend directors that share it.
    pub fn members(&mut self, members: u32) {
        self.members = f64::from(members.max(1));
    }

    fn counts(&mut self, now: u64, service: &Arc<str>) -> &mut Counts {
        let bucket = now / (self.window_ms / BUCKETS);
        let counts = self.services.entry(service.clone()).or_default();
        while counts
            .buckets
            .front()
            .is_some_and(|b| b.0 + BUCKETS < bucket)
        {
            counts.buckets.pop_front();
        }
        if counts.buckets.back().is_none_or(|b| b.0 != bucket) {
            counts.buckets.push_back((bucket, 0.0, 0.0));
        }
        counts
    }

    /// A request for a service came.
    pub fn request(&mut self, now: u64, service: &Arc<str>) {
        if let Some(b) = self.counts(now, service).buckets.back_mut() {
            b.1 += 1.0;
        }
    }

    /// Takes one further arrival, if there is room.
    pub fn take(&mut self, now: u64, service: &Arc<str>) -> bool {
        let (ratio, slack) = (
            self.ratio * SPENT_PART,
            self.slack * SPENT_PART / self.members,
        );
        let counts = self.counts(now, service);
        let (came, spent) = counts
            .buckets
            .iter()
            .fold((0.0, 0.0), |a, b| (a.0 + b.1, a.1 + b.2));
        if spent + 1.0 > came * ratio + slack {
            return false;
        }
        if let Some(b) = counts.buckets.back_mut() {
            b.2 += 1.0;
        }
        true
    }

    /// Services that no configuration names any more.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.services.retain(|s, _| known(s));
    }
}
