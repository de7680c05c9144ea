//! Random numbers for choices that are spread by chance: the load balancing and `Retry-After`. Not for secrets.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rushcourse_types::Incarnation;
use std::cell::RefCell;

/// The one source of random numbers of this process.
pub struct RandomSource(RefCell<SmallRng>);

impl RandomSource {
    /// Seeds the generator, once for a process, by the number that was drawn for its incarnation.
    pub fn new(incarnation: Incarnation) -> RandomSource {
        RandomSource(RefCell::new(SmallRng::seed_from_u64(incarnation.0)))
    }

    /// A random number from 0 up to, but not including, 1; all are equally likely.
    pub fn fraction(&self) -> f64 {
        self.0.borrow_mut().random()
    }
}
