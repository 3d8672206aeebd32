//! The delay between two attempts to open a watch: it doubles while discovery is silent.

use crate::random::RandomSource;
use std::time::Duration;

/// The delay after a watch on which something was received.
pub const INITIAL_DELAY: Duration = Duration::from_millis(200);
/// The longest delay before jitter.
pub const MAX_DELAY: Duration = Duration::from_millis(800);
/// Steps of jitter: a delay is stretched to between 3/4 and 5/4 of itself in this many steps.
const JITTER_STEPS: u32 = 1000;

/// Exponential backoff with jitter.
///
/// Guards against hundreds of proxies that reconnect in step, again and again, while discovery is
/// overloaded.
pub struct Backoff {
    delay: Duration,
    random: RandomSource,
}

impl Backoff {
    /// A backoff whose jitter follows from the seed.
    pub fn new(seed: u64) -> Self {
        Backoff { delay: INITIAL_DELAY, random: RandomSource::new(seed) }
    }

    /// The next delay; `received` tells whether discovery has sent anything since the previous delay.
    pub fn next_delay(&mut self, received: bool) -> Duration {
        self.delay = if received { INITIAL_DELAY } else { (self.delay * 2).min(MAX_DELAY) };
        let step = self.random.below(u64::from(JITTER_STEPS)) as u32;
        self.delay * 3 / 4 + self.delay * step / (2 * JITTER_STEPS)
    }
}
