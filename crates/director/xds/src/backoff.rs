//! Exponential backoff with jitter. The jitter keeps peers that lost the same connection from reconnecting at the same
//! time.

use rushcourse_policy::interface::Ms;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Caps the exponent, so that the delay stays finite however many attempts fail.
const MAX_DOUBLINGS: u32 = 30;

/// Exponential backoff whose jitter is derived from a seed, which makes simulation runs reproducible.
#[derive(Clone, Debug)]
pub struct Backoff {
    first_delay: Ms,
    max_delay: Ms,
    failures: u32,
    seed: u64,
}

impl Backoff {
    /// Delays grow from `first_delay` to `max_delay` ms. `key` gives instances that share a seed different jitter.
    pub fn new(first_delay: Ms, max_delay: Ms, seed: u64, key: &str) -> Backoff {
        Backoff {
            first_delay,
            max_delay,
            failures: 0,
            seed: xxh3_64_with_seed(key.as_bytes(), seed),
        }
    }

    /// The delay after one more failed attempt, in ms: between half of the full delay and all of it.
    pub fn next_delay(&mut self) -> Ms {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let full_delay = (self.first_delay * 2f64.powi(doublings as i32)).min(self.max_delay);
        let jitter =
            xxh3_64_with_seed(&self.failures.to_le_bytes(), self.seed) as f64 / u64::MAX as f64;
        self.failures += 1;
        full_delay * (0.5 + 0.5 * jitter)
    }

    /// Restarts at the first delay; called after a successful attempt.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
