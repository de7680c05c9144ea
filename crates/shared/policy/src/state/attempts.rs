//! Totals of attempts that decay with time.

use crate::interface::Ms;

/// Decayed totals of attempts: what was counted longer ago weighs less.
#[derive(Clone, Debug, Default)]
pub(crate) struct AttemptTotals {
    /// Attempts.
    pub attempts: f64,
    /// Attempts that failed.
    pub failed: f64,
    /// Time of the successful ones together, in ms.
    pub latency: f64,
    /// When they were last added to.
    pub updated_at: Ms,
}

impl AttemptTotals {
    /// The sum of several totals.
    pub fn sum<'a>(all: impl Iterator<Item = &'a AttemptTotals>) -> AttemptTotals {
        all.fold(AttemptTotals::default(), |sum, totals| sum.plus(totals))
    }

    /// Both together.
    pub fn plus(&self, other: &AttemptTotals) -> AttemptTotals {
        AttemptTotals {
            attempts: self.attempts + other.attempts,
            failed: self.failed + other.failed,
            latency: self.latency + other.latency,
            updated_at: self.updated_at,
        }
    }

    /// These without others that are part of them.
    pub fn minus(&self, other: &AttemptTotals) -> AttemptTotals {
        AttemptTotals {
            attempts: self.attempts - other.attempts,
            failed: self.failed - other.failed,
            latency: self.latency - other.latency,
            updated_at: self.updated_at,
        }
    }

    /// Whether there are attempts, and a part of them failed.
    pub fn has_failed(&self, part: f64) -> bool {
        self.attempts > 0.0 && self.failed >= part * self.attempts
    }

    /// Number of successful attempts.
    pub fn successes(&self) -> f64 {
        self.attempts - self.failed
    }

    /// The successful attempts alone.
    pub fn successful(&self) -> AttemptTotals {
        AttemptTotals { attempts: self.successes(), failed: 0.0, ..self.clone() }
    }

    /// Adds what was counted by `now`. What was there has decayed to a third after `decay` ms.
    pub fn record(&mut self, now: Ms, decay: Ms, counted: &AttemptTotals) {
        let kept = (-(now - self.updated_at).max(0.0) / decay.max(1.0)).exp();
        self.attempts = self.attempts * kept + counted.attempts;
        self.failed = self.failed * kept + counted.failed.min(counted.attempts);
        self.latency = self.latency * kept + counted.latency;
        self.updated_at = now;
    }
}
