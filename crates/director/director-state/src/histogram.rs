//! How long things took.

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

/// How often a delay was within each of some bounds.
#[derive(Clone, Debug, Default)]
pub struct DelayHistogram {
    /// By bucket, and beyond the last bound. Not cumulative.
    counts: [u64; UPPER_BOUNDS.len() + 1],
    sum: Ms,
}

impl DelayHistogram {
    /// Counts a delay.
    pub(crate) fn observe(&mut self, delay: Ms) {
        let bucket = UPPER_BOUNDS
            .iter()
            .position(|bound| delay <= *bound)
            .unwrap_or(UPPER_BOUNDS.len());
        self.counts[bucket] += 1;
        self.sum += delay.max(0.0);
    }

    /// Delays so far.
    pub fn count(&self) -> u64 {
        self.counts.iter().sum()
    }

    /// The sum of all delays so far.
    pub fn sum(&self) -> Ms {
        self.sum
    }

    /// The buckets, from the smallest bound on.
    pub fn buckets(&self) -> impl Iterator<Item = Bucket> + '_ {
        let mut cumulative = 0;
        UPPER_BOUNDS
            .iter()
            .zip(&self.counts)
            .map(move |(upper_bound, count)| {
                cumulative += count;
                Bucket {
                    upper_bound: *upper_bound,
                    count: cumulative,
                }
            })
    }

    /// The bound under which this part of the delays lies; infinite beyond the last.
    pub fn quantile(&self, part: f64) -> Ms {
        let rank = (part * self.count() as f64).ceil() as u64;
        self.buckets()
            .find(|bucket| bucket.count >= rank)
            .map_or(f64::INFINITY, |bucket| bucket.upper_bound)
    }
}
