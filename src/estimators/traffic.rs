//! The rates of offered and served requests at this router, and the work that they amount to. The work of a
//! request is the unloaded latency of its class.

use super::{DecayingRate, LatencyBaselines};
use crate::{Class, Micros, Role, Settings};

/// Decaying rates of requests, in total and by class and tenant, and the unloaded latencies of the classes.
#[derive(Default)]
pub(crate) struct Traffic {
    /// All requests that arrived.
    pub(crate) arrivals: DecayingRate,
    /// The requests of each class that arrived.
    pub(crate) offered: Vec<DecayingRate>,
    /// The requests of each class that endpoints served for this router.
    pub(crate) served: Vec<DecayingRate>,
    /// The requests of each tenant that arrived.
    pub(crate) tenants: Vec<DecayingRate>,
    /// The unloaded latency of each class.
    pub(crate) baselines: LatencyBaselines,
}

impl Traffic {
    /// Starts with rates of zero and the initial latency estimates.
    pub(crate) fn new(settings: &Settings, now: Micros) -> Self {
        let rate = DecayingRate::new(now);
        Traffic {
            arrivals: rate,
            offered: vec![rate; settings.classes.len()],
            served: vec![rate; settings.classes.len()],
            tenants: vec![rate; settings.quotas.len()],
            baselines: LatencyBaselines::new(&settings.classes),
        }
    }

    /// The offered work per second, in microseconds of unloaded latency.
    pub(crate) fn offered_work(&self, now: Micros) -> f64 {
        self.work(&self.offered, now, |_| 1.0)
    }

    /// The served work per second, in microseconds of unloaded latency.
    pub(crate) fn served_work(&self, now: Micros) -> f64 {
        self.work(&self.served, now, |_| 1.0)
    }

    /// The offered work per second that only primaries can serve, in microseconds of unloaded latency.
    pub(crate) fn offered_primary_work(&self, classes: &[Class], now: Micros) -> f64 {
        let needs_primary = |class: usize| if classes[class].role() == Role::Primary { 1.0 } else { 0.0 };
        self.work(&self.offered, now, needs_primary)
    }

    /// How unevenly primary-only work arrives: its variance relative to that of the same work in requests of
    /// equal size, namely the mean work of all requests; at least 1.
    pub(crate) fn primary_work_dispersion(&self, classes: &[Class], now: Micros) -> f64 {
        let needs_primary = |class: &usize| classes[*class].role() == Role::Primary;
        let primary_work = self.offered_primary_work(classes, now);
        let squared_work = (0..classes.len()).filter(needs_primary).map(|class| {
            let unloaded = self.baselines.unloaded_latency(class);
            self.offered[class].per_second_at(now) * unloaded * unloaded
        });
        let requests: f64 = self.offered.iter().map(|rate| rate.per_second_at(now)).sum();
        let mean_work = self.offered_work(now) / requests.max(1e-12);
        (squared_work.sum::<f64>() / (primary_work * mean_work).max(1e-12)).max(1.0)
    }

    /// Sums the work per second over all classes, each multiplied by its weight.
    fn work(&self, rates: &[DecayingRate], now: Micros, weight: impl Fn(usize) -> f64) -> f64 {
        let class_work = |class: usize| {
            weight(class) * rates[class].per_second_at(now) * self.baselines.unloaded_latency(class)
        };
        (0..rates.len()).map(class_work).sum()
    }
}
