//! Histograms of delays.

use prometheus::core::Metric;
use prometheus::{Histogram, HistogramOpts};
use rushcourse_policy::interface::Ms;

/// Upper bounds of the buckets in milliseconds.
const UPPER_BOUNDS: [Ms; 14] = [
    1.0, 2.0, 4.0, 5.0, 6.0, 8.0, 10.0, 15.0, 25.0, 50.0, 100.0, 250.0, 1000.0, 5000.0,
];

/// A cumulative bucket of a histogram.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    /// Inclusive upper bound of the counted delays, in milliseconds.
    pub upper_bound: Ms,
    /// Number of delays up to the bound, including those in lower buckets.
    pub count: u64,
}

/// A histogram of delays in milliseconds with fixed buckets from 1 ms to 5 s.
pub struct DelayHistogram(Histogram);

impl Default for DelayHistogram {
    fn default() -> DelayHistogram {
        let options = HistogramOpts::new("delay_ms", "Delays").buckets(UPPER_BOUNDS.to_vec());
        DelayHistogram(Histogram::with_opts(options).expect("bucket bounds are in ascending order"))
    }
}

impl DelayHistogram {
    /// Records a delay; a negative one is recorded as 0.
    pub(crate) fn observe(&self, delay: Ms) {
        self.0.observe(delay.max(0.0));
    }

    /// Number of recorded delays.
    pub fn count(&self) -> u64 {
        self.0.get_sample_count()
    }

    /// Sum of all recorded delays in milliseconds.
    pub fn sum(&self) -> Ms {
        self.0.get_sample_sum()
    }

    /// Returns the buckets in ascending order of their bounds; delays beyond the last bound are in none of them.
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

    /// Returns the smallest bucket bound that covers this fraction of the delays, or infinity if no bucket covers it.
    /// `fraction` is between 0 and 1.
    pub fn quantile(&self, fraction: f64) -> Ms {
        let rank = (fraction * self.count() as f64).ceil() as u64;
        self.buckets()
            .iter()
            .find(|bucket| bucket.count >= rank)
            .map_or(f64::INFINITY, |bucket| bucket.upper_bound)
    }
}
