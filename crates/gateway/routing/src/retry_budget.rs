//! The retry budget limits how many requests may be retried at a second host (rule BUDGET in RULES.md). All gateways
//! share the budget without coordination: each applies the ratio to its own requests and uses an equal part of the
//! slack.

use rushcourse_types::Timestamp;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Fraction of the allowed retries that gateways use. The rest covers retries made earlier in the window by gateways
/// that have left since and whose part the remaining gateways already use.
const USABLE_FRACTION: f64 = 0.6;
/// Number of buckets that make up the sliding window.
const BUCKET_COUNT: u64 = 10;
/// Assumed number of gateways until a controller reports the actual one.
const INITIAL_GATEWAY_COUNT: f64 = 16.0;

/// Counters for one tenth of the sliding window.
struct Bucket {
    /// Timestamp at the start of the bucket, divided by the bucket length.
    index: u64,
    requests: f64,
    retries: f64,
}

/// The sliding window of one service, oldest bucket first.
#[derive(Default)]
struct ServiceCounts {
    buckets: VecDeque<Bucket>,
}

impl ServiceCounts {
    /// Returns the bucket at `index`, adding it if necessary, and removes buckets that have left the window.
    fn current_bucket(&mut self, index: u64) -> &mut Bucket {
        let is_outside = |bucket: &Bucket| bucket.index + BUCKET_COUNT < index;
        while self.buckets.front().is_some_and(is_outside) {
            self.buckets.pop_front();
        }
        let is_current = |bucket: &Bucket| bucket.index == index;
        if !self.buckets.back().is_some_and(is_current) {
            self.buckets.push_back(Bucket {
                index,
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

/// This gateway's part of the retry budget. Requests and retries are counted separately for each service.
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    bucket_ms: u64,
    gateway_count: f64,
    services: BTreeMap<Arc<str>, ServiceCounts>,
}

impl RetryBudget {
    /// Creates a budget that allows, over a sliding `window` and summed over all gateways, `ratio` retries per request
    /// plus `slack` additional retries for each service.
    pub fn new(ratio: f64, slack: f64, window: Duration) -> RetryBudget {
        let window_ms = window.as_millis() as u64;
        RetryBudget {
            ratio,
            slack,
            bucket_ms: window_ms.max(BUCKET_COUNT) / BUCKET_COUNT,
            gateway_count: INITIAL_GATEWAY_COUNT,
            services: BTreeMap::new(),
        }
    }

    /// Sets the number of gateways that share the slack, as reported by a controller. 0 is treated as 1.
    pub fn set_gateway_count(&mut self, gateway_count: u32) {
        self.gateway_count = f64::from(gateway_count.max(1));
    }

    /// Counts a request from a client, which increases the number of retries allowed for its service.
    pub fn record_request(&mut self, now: Timestamp, service: &Arc<str>) {
        let index = self.bucket_index(now);
        self.counts(service).current_bucket(index).requests += 1.0;
    }

    /// Counts one retry and returns `true` if the budget allows it. Otherwise returns `false` and counts nothing.
    pub fn try_spend(&mut self, now: Timestamp, service: &Arc<str>) -> bool {
        let index = self.bucket_index(now);
        let ratio = self.ratio * USABLE_FRACTION;
        let slack = self.slack * USABLE_FRACTION / self.gateway_count;
        let counts = self.counts(service);
        counts.current_bucket(index);
        if counts.retries() + 1.0 > counts.requests() * ratio + slack {
            return false;
        }
        counts.current_bucket(index).retries += 1.0;
        true
    }

    /// Drops the counters of services for which `is_configured` returns `false`.
    pub fn retain_services(&mut self, is_configured: impl Fn(&str) -> bool) {
        self.services.retain(|service, _| is_configured(service));
    }

    fn bucket_index(&self, now: Timestamp) -> u64 {
        now.as_millis() / self.bucket_ms
    }

    fn counts(&mut self, service: &Arc<str>) -> &mut ServiceCounts {
        self.services.entry(service.clone()).or_default()
    }
}
