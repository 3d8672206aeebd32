//! A seeded random number generator. The same seed always yields the same numbers, so that the decisions of a
//! router can be reproduced.

use rand_core::{Rng, SeedableRng};
use rand_xoshiro::SplitMix64;

/// The random numbers of one router.
pub struct RandomSource(SplitMix64);

impl RandomSource {
    /// Creates a generator whose numbers depend only on this seed.
    pub fn new(seed: u64) -> Self {
        RandomSource(SplitMix64::seed_from_u64(seed))
    }

    /// Returns an integer in `0..bound`, or 0 if the bound is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0.next_u64() % bound.max(1)
    }

    /// Returns a number in `0.0..1.0`.
    pub fn fraction(&mut self) -> f64 {
        self.below(u64::from(u32::MAX)) as f64 / f64::from(u32::MAX)
    }
}

impl Default for RandomSource {
    fn default() -> Self {
        RandomSource::new(0)
    }
}
