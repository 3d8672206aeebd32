//! Random draws that follow from a seed.

use rand_core::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

/// A source of draws.
pub struct Draws(Xoshiro256PlusPlus);

impl Draws {
    /// A source whose draws follow from a seed and the part of the run that makes them.
    pub fn new(seed: u64, part: u64) -> Draws {
        Draws(Xoshiro256PlusPlus::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ part))
    }

    /// A number below `bound`, which is at least 1.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0.next_u64() % bound
    }

    /// A number from `low` up to and including `high`.
    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.below(high - low + 1)
    }

    /// Whether something happens that does so once in `n` times.
    pub fn once_in(&mut self, n: u64) -> bool {
        self.below(n) == 0
    }

    /// One of these.
    pub fn pick<T: Copy>(&mut self, items: &[T]) -> T {
        items[self.below(items.len() as u64) as usize]
    }
}
