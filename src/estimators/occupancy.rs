//! The average number of attempts that are outstanding at an endpoint.

use crate::Micros;

/// The time constant with which the past loses its weight in the average.
const TIME_CONSTANT_US: f64 = 6_000_000.0;
/// The time without attempts that is assumed to precede the first one. Without it, the first attempt alone
/// would be the average of an endpoint that a router has just begun to use.
const ASSUMED_IDLE_US: f64 = 2_000_000.0;

/// The average over time, with exponential decay, of the number of a router's outstanding attempts.
#[derive(Clone, Copy)]
pub(crate) struct Occupancy {
    /// The decayed sum of outstanding attempts, each multiplied by the time for which it was outstanding.
    attempt_time: f64,
    /// The decayed time over which that sum was taken.
    time: f64,
    /// When the last attempt was sent or ended; `None` before the first one.
    updated_at: Option<Micros>,
}

impl Default for Occupancy {
    fn default() -> Self {
        Occupancy { attempt_time: 0.0, time: ASSUMED_IDLE_US, updated_at: None }
    }
}

impl Occupancy {
    /// Records that this many attempts have been outstanding since the last call.
    pub(crate) fn record(&mut self, outstanding: usize, now: Micros) {
        let elapsed = now.saturating_sub(self.updated_at.unwrap_or(now)) as f64;
        let decay = (-elapsed / TIME_CONSTANT_US).exp();
        let added_time = TIME_CONSTANT_US * (1.0 - decay);
        self.attempt_time = self.attempt_time * decay + outstanding as f64 * added_time;
        self.time = self.time * decay + added_time;
        self.updated_at = Some(now);
    }

    /// The average number of outstanding attempts up to the last call of [`Occupancy::record`].
    pub(crate) fn average(self) -> f64 {
        self.attempt_time / self.time
    }
}
