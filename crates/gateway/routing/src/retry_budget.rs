//! The retry budget: how many requests may go to a second host (rule BUDGET). All gateways share it. The ratio splits by
//! itself, since each gateway spends by its own requests; the slack is dealt out evenly.

use rushcourse_types::Timestamp;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Part of what the rule allows that gateways spend: a gateway that just left may still have spent its part (ours).
const SPENT_PART: f64 = 0.6;
/// Buckets that the window is counted in.
const BUCKETS: u64 = 10;
/// Gateways that the slack is shared with until a controller has told their number.
const ASSUMED_GATEWAYS: f64 = 16.0;

/// What was counted in one part of the window.
struct Bucket {
    /// Counts buckets from the start of the clock.
    number: u64,
    requests: f64,
    retries: f64,
}

/// One service's buckets, the oldest in front.
#[derive(Default)]
struct ServiceCounts {
    buckets: VecDeque<Bucket>,
}

impl ServiceCounts {
    /// The bucket of this number, which becomes the newest; buckets that left the window go.
    fn current(&mut self, number: u64) -> &mut Bucket {
        let is_outside = |bucket: &Bucket| bucket.number + BUCKETS < number;
        while self.buckets.front().is_some_and(is_outside) {
            self.buckets.pop_front();
        }
        let is_current = |bucket: &Bucket| bucket.number == number;
        if !self.buckets.back().is_some_and(is_current) {
            self.buckets.push_back(Bucket {
                number,
                requests: 0.0,
                retries: 0.0,
            });
        }
        let newest = self.buckets.len() - 1;
        &mut self.buckets[newest]
    }

    fn requests(&self) -> f64 {
        self.buckets.iter().map(|bucket| bucket.requests).sum()
    }

    fn retries(&self) -> f64 {
        self.buckets.iter().map(|bucket| bucket.retries).sum()
    }
}

/// One gateway's part of the retry budget, by service.
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    bucket_ms: u64,
    gateways: f64,
    services: BTreeMap<Arc<str>, ServiceCounts>,
}

impl RetryBudget {
    /// `ratio` of retries to requests and `slack` in retries, as in RULES.md; `window`: the span that they are counted
    /// over.
    pub fn new(ratio: f64, slack: f64, window: Duration) -> RetryBudget {
        let window_ms = window.as_millis() as u64;
        RetryBudget {
            ratio,
            slack,
            bucket_ms: window_ms.max(BUCKETS) / BUCKETS,
            gateways: ASSUMED_GATEWAYS,
            services: BTreeMap::new(),
        }
    }

    /// How many gateways share the slack.
    pub fn set_gateway_count(&mut self, gateways: u32) {
        self.gateways = f64::from(gateways.max(1));
    }

    /// A request for a service arrived.
    pub fn record_request(&mut self, now: Timestamp, service: &Arc<str>) {
        let number = self.bucket_number(now);
        self.counts(service).current(number).requests += 1.0;
    }

    /// Spends one retry if the budget has room for it. Returns whether it had.
    pub fn try_spend(&mut self, now: Timestamp, service: &Arc<str>) -> bool {
        let number = self.bucket_number(now);
        let ratio = self.ratio * SPENT_PART;
        let slack = self.slack * SPENT_PART / self.gateways;
        let counts = self.counts(service);
        counts.current(number);
        if counts.retries() + 1.0 > counts.requests() * ratio + slack {
            return false;
        }
        counts.current(number).retries += 1.0;
        true
    }

    /// Forgets services that no configuration names any more.
    pub fn retain_services(&mut self, is_configured: impl Fn(&str) -> bool) {
        self.services.retain(|service, _| is_configured(service));
    }

    fn bucket_number(&self, now: Timestamp) -> u64 {
        now.as_millis() / self.bucket_ms
    }

    fn counts(&mut self, service: &Arc<str>) -> &mut ServiceCounts {
        self.services.entry(service.clone()).or_default()
    }
}
