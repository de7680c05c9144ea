//! Random numbers for load balancing and the jitter of `Retry-After`. Not suitable for secrets.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rushcourse_types::Incarnation;
use std::cell::RefCell;

/// The random number generator of this process. Not cryptographically secure.
pub struct RandomSource(RefCell<SmallRng>);

impl RandomSource {
    /// Seeds the generator with the random incarnation number of this process.
    pub fn new(incarnation: Incarnation) -> RandomSource {
        RandomSource(RefCell::new(SmallRng::seed_from_u64(incarnation.0)))
    }

    /// Returns a uniformly distributed number in `0.0..1.0`.
    pub fn fraction(&self) -> f64 {
        self.0.borrow_mut().random()
    }
}
