//! What the session counts: plain numbers that a page can show.

use std::collections::BTreeMap;

/// Upper bounds of the delays told apart, in ms.
const BOUNDS: [f64; 14] =
    [1.0, 2.0, 4.0, 5.0, 6.0, 8.0, 10.0, 15.0, 25.0, 50.0, 100.0, 250.0, 1000.0, 5000.0];

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
        self.buckets().find(|(_, n)| *n >= want).map_or(f64::INFINITY, |(b, _)| b)
    }
}

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
        *self.counts.entry(name).or_default() += n;
    }

    pub fn get(&self, name: &str) -> u64 {
        self.counts.get(name).copied().unwrap_or(0)
    }

    pub fn all(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        self.counts.iter().map(|(k, v)| (*k, *v))
    }
}
