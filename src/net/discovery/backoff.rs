//! The delay before the call that follows a failed one.

use super::call_policy::{CallPolicy, JITTER_DIVISOR};
use crate::random::RandomSource;
use std::time::Duration;

/// The number of different values that jitter takes.
const JITTER_STEPS: u32 = 1000;

/// Exponential backoff with jitter: the delay doubles while calls receive nothing.
///
/// Without it, hundreds of proxies would repeat their calls at the same time, again and again, while
/// discovery is overloaded.
pub(super) struct Backoff {
    initial: Duration,
    max: Duration,
    delay: Duration,
    random: RandomSource,
}

impl Backoff {
    /// Creates a backoff between the shortest and the longest delay of this policy. The seed determines the
    /// jitter.
    pub(super) fn new(policy: &CallPolicy, seed: u64) -> Self {
        let (initial, max) = (policy.retry_delay, policy.max_retry_delay);
        Backoff { initial, max, delay: initial, random: RandomSource::new(seed) }
    }

    /// Returns the delay after a failed call, up to a quarter shorter or longer by jitter. A call that
    /// had `received` something resets the delay to the shortest one.
    pub(super) fn next_delay(&mut self, received: bool) -> Duration {
        self.delay = if received { self.initial } else { (self.delay * 2).min(self.max) };
        let delay = self.delay;
        delay - delay / JITTER_DIVISOR + self.jitter(2 * delay)
    }

    /// Lengthens a duration by up to a quarter.
    pub(super) fn with_jitter(&mut self, duration: Duration) -> Duration {
        duration + self.jitter(duration)
    }

    fn jitter(&mut self, duration: Duration) -> Duration {
        let step = self.random.below(u64::from(JITTER_STEPS)) as u32;
        duration / JITTER_DIVISOR * step / JITTER_STEPS
    }
}
