//! How long things took.

use prometheus::core::Metric;
use prometheus::{Histogram, HistogramOpts};
use rushcourse_policy::interface::Ms;

/// Upper bounds of the buckets, in ms.
const UPPER_BOUNDS: [Ms; 14] = [
    1.0, 2.0, 4.0, 5.0, 6.0, 8.0, 10.0, 15.0, 25.0, 50.0, 100.0, 250.0, 1000.0, 5000.0,
];

/// A bucket of a histogram.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    /// Delays up to this are counted.
    pub upper_bound: Ms,
    /// How many there were, those of the buckets below included.
    pub count: u64,
}

/// How often a delay was within each of some bounds. It counts in ms, as the session's clock does: a sum of seconds would
/// differ from the sum of ms in its last digits.
pub struct DelayHistogram(Histogram);

impl Default for DelayHistogram {
    fn default() -> DelayHistogram {
        let options = HistogramOpts::new("delay_ms", "Delays").buckets(UPPER_BOUNDS.to_vec());
        DelayHistogram(Histogram::with_opts(options).expect("the bounds rise"))
    }
}

impl DelayHistogram {
    /// Counts a delay; one below 0 counts as 0.
    pub(crate) fn observe(&self, delay: Ms) {
        self.0.observe(delay.max(0.0));
    }

    /// Delays so far.
    pub fn count(&self) -> u64 {
        self.0.get_sample_count()
    }

    /// The sum of all delays so far.
    pub fn sum(&self) -> Ms {
        self.0.get_sample_sum()
    }

    /// The buckets, from the smallest bound on.
    pub fn buckets(&self) -> Vec<Bucket> {
        let metric = self.0.metric();
        let buckets = metric.get_histogram().get_bucket().iter();
        buckets
            .map(|bucket| Bucket {
                upper_bound: bucket.upper_bound(),
                count: bucket.cumulative_count(),
            })
            .collect()
    }

    /// The bound under which this part of the delays lies; infinite beyond the last.
    pub fn quantile(&self, part: f64) -> Ms {
        let rank = (part * self.count() as f64).ceil() as u64;
        self.buckets()
            .iter()
            .find(|bucket| bucket.count >= rank)
            .map_or(f64::INFINITY, |bucket| bucket.upper_bound)
    }
}
