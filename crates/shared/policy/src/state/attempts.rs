//! Exponentially decaying totals of request attempts.

use crate::interface::Ms;

/// Totals of request attempts. `record` lets older attempts decay exponentially.
#[derive(Clone, Debug, Default)]
pub(crate) struct AttemptTotals {
    pub attempts: f64,
    /// Failed attempts; included in `attempts`.
    pub failed: f64,
    /// Sum of the latencies of the successful attempts, in ms.
    pub latency: f64,
    /// Time of the last call of `record`.
    pub updated_at: Ms,
}

impl AttemptTotals {
    /// Adds up totals without decaying any of them. `updated_at` of the result is 0.
    pub fn sum<'a>(all: impl Iterator<Item = &'a AttemptTotals>) -> AttemptTotals {
        all.fold(AttemptTotals::default(), |sum, totals| sum.plus(totals))
    }

    /// Adds two totals; the result keeps the update time of `self`.
    pub fn plus(&self, other: &AttemptTotals) -> AttemptTotals {
        AttemptTotals {
            attempts: self.attempts + other.attempts,
            failed: self.failed + other.failed,
            latency: self.latency + other.latency,
            updated_at: self.updated_at,
        }
    }

    /// Subtracts `other`, which must be included in `self`.
    pub fn minus(&self, other: &AttemptTotals) -> AttemptTotals {
        AttemptTotals {
            attempts: self.attempts - other.attempts,
            failed: self.failed - other.failed,
            latency: self.latency - other.latency,
            updated_at: self.updated_at,
        }
    }

    /// Whether there are attempts and at least the given ratio of them failed.
    pub fn reaches_failure_ratio(&self, ratio: f64) -> bool {
        self.attempts > 0.0 && self.failed >= ratio * self.attempts
    }

    /// Number of successful attempts; a fraction once totals have decayed.
    pub fn successes(&self) -> f64 {
        self.attempts - self.failed
    }

    /// The totals without the failed attempts.
    pub fn successful(&self) -> AttemptTotals {
        AttemptTotals { attempts: self.successes(), failed: 0.0, ..self.clone() }
    }

    /// Decays the totals to the time `now`, with time constant `decay`, and adds a sample.
    pub fn record(&mut self, now: Ms, decay: Ms, sample: &AttemptTotals) {
        let remaining = (-(now - self.updated_at).max(0.0) / decay.max(1.0)).exp();
        self.attempts = self.attempts * remaining + sample.attempts;
        self.failed = self.failed * remaining + sample.failed.min(sample.attempts);
        self.latency = self.latency * remaining + sample.latency;
        self.updated_at = now;
    }
}
