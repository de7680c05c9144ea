//! Delays between attempts: each about twice the one before, up to a longest, with jitter, so that many who lost the
//! same peer don't come back at one moment.

use rushcourse_policy::interface::Ms;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Doublings after which a delay grows no more, whatever the longest is.
const MAX_DOUBLINGS: u32 = 30;

/// Exponential backoff whose jitter follows from a seed, so that a run can be repeated exactly.
#[derive(Clone, Debug)]
pub struct Backoff {
    first_delay: Ms,
    max_delay: Ms,
    failures: u32,
    seed: u64,
}

impl Backoff {
    /// Delays from `first_delay` to `max_delay` ms. `key` tells those apart that share a seed.
    pub fn new(first_delay: Ms, max_delay: Ms, seed: u64, key: &str) -> Backoff {
        Backoff {
            first_delay,
            max_delay,
            failures: 0,
            seed: xxh3_64_with_seed(key.as_bytes(), seed),
        }
    }

    /// The delay after one more failed attempt: between half of the full delay and all of it.
    pub fn next_delay(&mut self) -> Ms {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let full = (self.first_delay * 2f64.powi(doublings as i32)).min(self.max_delay);
        let jitter =
            xxh3_64_with_seed(&self.failures.to_le_bytes(), self.seed) as f64 / u64::MAX as f64;
        self.failures += 1;
        full * (0.5 + 0.5 * jitter)
    }

    /// An attempt has succeeded: the next delay is the first one again.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
