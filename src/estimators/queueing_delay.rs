//! Averages of the queueing delay of attempts, as a share of their latency objective.

use crate::Micros;

/// The weight of one attempt in an average.
const GAIN: f64 = 0.15;
/// The time constant with which the average of a group decays to the average of all groups.
const GROUP_TIME_CONSTANT_US: f64 = 5_000_000.0;

/// An exponentially weighted moving average over attempts.
#[derive(Clone, Copy, Default)]
pub(crate) struct QueueingDelay(f64);

impl QueueingDelay {
    /// Records the delay of one attempt, a share of its latency objective between 0 and 1.
    pub(crate) fn record(&mut self, delay: f64) {
        self.0 += (delay - self.0) * GAIN;
    }

    /// The average delay, a share of the latency objective between 0 and 1.
    pub(crate) fn share(&self) -> f64 {
        self.0
    }
}

/// The average of one group, which decays to the average of all groups while the group has no attempts.
#[derive(Clone, Copy, Default)]
pub(crate) struct GroupQueueingDelay {
    share: f64,
    updated_at: Micros,
}

impl GroupQueueingDelay {
    /// The delay to expect in this group now: its own average, decayed towards that of all groups.
    pub(crate) fn estimate(&self, all_groups: QueueingDelay, now: Micros) -> f64 {
        let decay = (-((now - self.updated_at) as f64) / GROUP_TIME_CONSTANT_US).exp();
        all_groups.0 + (self.share - all_groups.0) * decay
    }

    /// Records the delay of one attempt; its weight grows with the time since the previous one.
    pub(crate) fn record(&mut self, delay: f64, all_groups: QueueingDelay, now: Micros) {
        let estimate = self.estimate(all_groups, now);
        let staleness = 1.0 - (-((now - self.updated_at) as f64) / GROUP_TIME_CONSTANT_US).exp();
        self.share = estimate + (delay - estimate) * staleness.max(GAIN);
        self.updated_at = now;
    }
}
