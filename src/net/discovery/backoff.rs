//! The delay before a call that follows a failed one: it doubles while discovery sends nothing.

use super::call_policy::{CallPolicy, JITTER_DIVISOR};
use crate::random::RandomSource;
use std::time::Duration;

/// Steps of jitter.
const JITTER_STEPS: u32 = 1000;

/// Exponential backoff with jitter.
///
/// Guards against hundreds of proxies that call in step, again and again, while discovery is overloaded.
pub(super) struct Backoff {
    initial: Duration,
    max: Duration,
    delay: Duration,
    random: RandomSource,
}

impl Backoff {
    /// A backoff between the delays of this policy, whose jitter follows from the seed.
    pub(super) fn new(policy: &CallPolicy, seed: u64) -> Self {
        let (initial, max) = (policy.retry_delay, policy.max_retry_delay);
        Backoff { initial, max, delay: initial, random: RandomSource::new(seed) }
    }

    /// The delay after a failed call; `received` tells whether it had received something.
    pub(super) fn next_delay(&mut self, received: bool) -> Duration {
        self.delay = if received { self.initial } else { (self.delay * 2).min(self.max) };
        let delay = self.delay;
        delay - delay / JITTER_DIVISOR + self.jitter(2 * delay)
    }

    /// This duration, stretched by jitter.
    pub(super) fn stretched(&mut self, duration: Duration) -> Duration {
        duration + self.jitter(duration)
    }

    fn jitter(&mut self, duration: Duration) -> Duration {
        let step = self.random.below(u64::from(JITTER_STEPS)) as u32;
        duration / JITTER_DIVISOR * step / JITTER_STEPS
    }
}
