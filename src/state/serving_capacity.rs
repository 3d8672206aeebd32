//! The capacity of the usable endpoints, and the most work that they were observed to serve.

use crate::Micros;
use crate::estimators::DecayingRate;

/// The capacity of the usable endpoints, in units of one warm endpoint, and the peak of the work served per
/// unit.
#[derive(Clone, Copy, Default)]
pub(crate) struct ServingCapacity {
    /// The decaying average of the capacity.
    average: f64,
    /// The highest rate of served work per unit of capacity.
    peak_work_per_endpoint: f64,
    /// Since when work has been served without a pause; `None` while none is served.
    served_since: Option<Micros>,
    recorded_at: Micros,
}

impl ServingCapacity {
    /// Records the capacity at this time. It is averaged with the time constant of [`DecayingRate`], so that
    /// it can be compared with rates of served work.
    pub(crate) fn record(&mut self, capacity: f64, now: Micros) {
        let age = now.saturating_sub(self.recorded_at) as f64;
        let decay = (-age / DecayingRate::TIME_CONSTANT_US).exp();
        self.average = capacity + (self.average - capacity) * decay;
        self.recorded_at = now;
    }

    /// Records the rate of the work that the endpoints serve for this router, in microseconds of unloaded
    /// latency per second. Ignores the rate until work has been served for one time constant of
    /// [`DecayingRate`], because a rate that has just begun to rise is lower than the work that is served.
    pub(crate) fn record_served(&mut self, work: f64, now: Micros) {
        let start = *self.served_since.get_or_insert(now);
        if work <= 0.0 {
            self.served_since = None;
        } else if now >= start + DecayingRate::TIME_CONSTANT_US as Micros {
            self.peak_work_per_endpoint = self.peak_work_per_endpoint.max(work / self.average.max(1.0));
        }
    }

    /// When the capacity was last recorded.
    pub(crate) fn recorded_at(&self) -> Micros {
        self.recorded_at
    }

    /// The highest observed rate of served work, per second and per warm endpoint, in microseconds of
    /// unloaded latency; 0 before any was recorded.
    pub(crate) fn peak_work_per_endpoint(&self) -> f64 {
        self.peak_work_per_endpoint
    }
}
