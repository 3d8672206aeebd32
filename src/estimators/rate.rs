//! A rate of events that decays exponentially.

use crate::Micros;

/// Events per second, averaged with exponential decay.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingRate {
    per_second: f64,
    updated_at: Micros,
}

impl DecayingRate {
    /// The time constant of the decay.
    pub(crate) const TIME_CONSTANT_US: f64 = 3_000_000.0;

    /// A rate of zero.
    pub(crate) fn new(now: Micros) -> Self {
        DecayingRate { per_second: 0.0, updated_at: now }
    }

    /// Counts one event.
    pub(crate) fn record(&mut self, now: Micros) {
        self.per_second = self.per_second_at(now) + 1e6 / Self::TIME_CONSTANT_US;
        self.updated_at = now;
    }

    /// The rate per second at `now`, decayed since the last recorded event.
    pub(crate) fn per_second_at(&self, now: Micros) -> f64 {
        self.per_second * (-(now.saturating_sub(self.updated_at) as f64) / Self::TIME_CONSTANT_US).exp()
    }
}
