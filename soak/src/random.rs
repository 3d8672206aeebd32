//! Random numbers that are determined by a seed.

use rand_core::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

/// A deterministic random number generator.
pub struct Draws(Xoshiro256PlusPlus);

impl Draws {
    /// Creates a generator for a seed. `stream` gives the users of a seed different sequences, so that the
    /// numbers of one do not depend on how many numbers the others draw.
    pub fn new(seed: u64, stream: u64) -> Draws {
        Draws(Xoshiro256PlusPlus::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ stream))
    }

    /// Draws a number below `bound`. Panics if `bound` is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0.next_u64() % bound
    }

    /// Draws a number from `low` up to and including `high`.
    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.below(high - low + 1)
    }

    /// Draws `true` with probability 1/`n`.
    pub fn once_in(&mut self, n: u64) -> bool {
        self.below(n) == 0
    }

    /// Draws one of the items. Panics if there are none.
    pub fn pick<T: Copy>(&mut self, items: &[T]) -> T {
        items[self.below(items.len() as u64) as usize]
    }
}
