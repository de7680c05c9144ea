//! Pauses between tries: each about twice the one before, up to a longest, and spread by chance, so that many who
//! lost the same peer don't come back at one moment.

use rushcourse_policy::interface::Ms;
use xxhash_rust::xxh3::xxh3_64_with_seed;

#[derive(Clone, Debug)]
pub struct Retry {
    first: Ms,
    most: Ms,
    tries: u32,
    seed: u64,
}

impl Retry {
    /// `word` tells those apart that share a seed.
    pub fn new(first: Ms, most: Ms, seed: u64, word: &str) -> Retry {
        Retry {
            first,
            most,
            tries: 0,
            seed: xxh3_64_with_seed(word.as_bytes(), seed),
        }
    }

    /// The pause after one more try that came to nothing: between half of it and all.
    pub fn pause(&mut self) -> Ms {
        let full = (self.first * 2f64.powi(self.tries.min(30) as i32)).min(self.most);
        let chance =
            xxh3_64_with_seed(&self.tries.to_le_bytes(), self.seed) as f64 / u64::MAX as f64;
        self.tries += 1;
        full * (0.5 + 0.5 * chance)
    }

    pub fn reset(&mut self) {
        self.tries = 0;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn pauses_grow_to_a_longest_and_differ_between_those_who_wait() {
        let pauses = |word: &str| {
            let mut retry = Retry::new(100.0, 5000.0, 7, word);
            (0..12).map(|_| retry.pause()).collect::<Vec<_>>()
        };
        let a = pauses("a");
        for (k, pause) in a.iter().enumerate() {
            let full = (100.0 * 2f64.powi(k as i32)).min(5000.0);
            assert!(*pause >= full / 2.0 && *pause <= full, "{k}: {pause}");
        }
        assert_eq!(a, pauses("a"), "the same seed gives the same pauses");
        assert_ne!(a, pauses("b"));
        let mut retry = Retry::new(100.0, 5000.0, 7, "a");
        _ = (retry.pause(), retry.pause());
        retry.reset();
        assert_eq!(retry.pause(), a[0]);
    }
}
