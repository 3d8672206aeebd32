//! How much of the endpoints' capacity is there to serve requests.

use crate::Micros;
use crate::estimators::DecayingRate;

/// The capacity of the usable endpoints, counted in endpoints that are warm, and what it was seen to serve.
#[derive(Clone, Copy, Default)]
pub(crate) struct ServingCapacity {
    average: f64,
    peak_work_per_endpoint: f64,
    /// When work was first seen to be served.
    served_since: Option<Micros>,
    recorded_at: Micros,
}

impl ServingCapacity {
    /// Records the capacity at this time; what counts is the mean over the span of the rates that it is
    /// compared with.
    pub(crate) fn record(&mut self, capacity: f64, now: Micros) {
        let age = now.saturating_sub(self.recorded_at) as f64;
        let fade = (-age / DecayingRate::TIME_CONSTANT_US).exp();
        self.average = capacity + (self.average - capacity) * fade;
        self.recorded_at = now;
    }

    /// Records the work that the endpoints serve in a second, as a moving rate. Guards against a rate that
    /// has only begun to rise.
    pub(crate) fn record_served(&mut self, work: f64, now: Micros) {
        let since = *self.served_since.get_or_insert(now);
        if work <= 0.0 {
            self.served_since = None;
        } else if now >= since + DecayingRate::TIME_CONSTANT_US as Micros {
            self.peak_work_per_endpoint = self.peak_work_per_endpoint.max(work / self.average.max(1.0));
        }
    }

    /// When it was recorded last.
    pub(crate) fn recorded_at(&self) -> Micros {
        self.recorded_at
    }

    /// The most work in a second that the endpoints were seen to serve, for the capacity of a warm one; 0 if
    /// nothing was.
    pub(crate) fn peak_work_per_endpoint(&self) -> f64 {
        self.peak_work_per_endpoint
    }
}
