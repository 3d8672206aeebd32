//! A seeded random source: the same seed always yields the same draws, so decisions can be replayed.

use rand_core::{Rng, SeedableRng};
use rand_xoshiro::SplitMix64;

/// Draws for one router.
pub struct RandomSource(SplitMix64);

impl RandomSource {
    /// A source whose draws follow from this seed alone.
    pub fn new(seed: u64) -> Self {
        RandomSource(SplitMix64::seed_from_u64(seed))
    }

    /// An integer in `0..bound`; 0 where the bound is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0.next_u64() % bound.max(1)
    }

    /// A fraction in `0.0..1.0`.
    pub fn fraction(&mut self) -> f64 {
        self.below(u64::from(u32::MAX)) as f64 / f64::from(u32::MAX)
    }
}

impl Default for RandomSource {
    fn default() -> Self {
        RandomSource::new(0)
    }
}
