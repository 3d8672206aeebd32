//! Estimates of what an endpoint serves, which the budgets of slow start are reckoned from.

use crate::Router;
use crate::estimators::DecayingRate;
use crate::model::Micros;
use crate::state::EndpointIndex;

/// The work per second, in microseconds of unloaded time, of an endpoint that serves one request at a
/// time. Any endpoint that is warm serves at least that much.
const SERIAL_WORK: f64 = 1e6;
/// The interval between two counts of the serving capacity, which changes slowly while endpoints warm up.
pub(super) const CAPACITY_COUNT_INTERVAL: Micros = 1_000_000;

impl Router {
    /// The share of its full capacity that an endpoint has at least while it warms up.
    pub(super) fn capacity_share(&self, index: EndpointIndex) -> f64 {
        let endpoint = &self.topology[index];
        let started_at = self.topology.started_at(index);
        let since = if endpoint.down { self.now } else { started_at.max(endpoint.recovered_at) };
        let age = self.now.saturating_sub(since) as f64 / self.settings.slow_start_duration.max(1) as f64;
        let least = self.settings.slow_start_capacity;
        least + (1.0 - least) * age
    }

    /// Counts the capacity of the usable endpoints.
    pub(super) fn count_serving_capacity(&mut self) {
        let warm = self.usable_counts.warm(self.now) as f64;
        let share = |index| self.capacity_share(index).min(1.0);
        let warming: f64 = self.usable_counts.warming().map(share).sum();
        self.serving_capacity.record(warm + warming, self.now);
        self.serving_capacity.record_served(self.traffic.served_work(self.now), self.now);
    }

    /// The work per second that a warm endpoint serves for this router. Departure: for a group without a warm
    /// member, as it was when a warm endpoint last answered, or this router's part of one request at a time,
    /// if that is more. Guards against a budget that fades while a whole group is down and serves nothing.
    pub(super) fn work_per_endpoint(&self, index: EndpointIndex) -> f64 {
        let is_warm = |member: &EndpointIndex| self.is_healthy(*member) && !self.is_warming_up(*member);
        let has_warm_member = self.topology.members(self.topology[index].group).iter().any(is_warm);
        let current = self.current_work_per_endpoint();
        let least = SERIAL_WORK / f64::from(self.settings.instances.max(1));
        if has_warm_member { current } else { current.max(self.last_warm_work).max(least) }
    }

    /// Remembers the work of a warm endpoint when it has answered.
    pub(super) fn remember_warm_work(&mut self, index: EndpointIndex) {
        if !self.is_warming_up(index) {
            self.last_warm_work = self.current_work_per_endpoint();
        }
    }

    /// The work per second that an endpoint serves for this router now, at most its share of offered work.
    /// Guards against giving nothing to endpoints that warm up just after this router's start, when it has
    /// seen nothing served.
    fn current_work_per_endpoint(&self) -> f64 {
        let served = self.traffic.served_work(self.now) / self.warm_endpoints.max(1.0);
        let asked = self.traffic.offered_work(self.now) / self.usable_endpoints.max(1.0);
        if self.has_history() && self.are_most_warm() { asked.min(served) } else { asked }
    }

    /// Whether this router has run long enough for its rates to tell something.
    fn has_history(&self) -> bool {
        self.now > self.created_at + DecayingRate::TIME_CONSTANT_US as Micros
    }

    /// Whether at least half of the usable endpoints are warm.
    pub(super) fn are_most_warm(&self) -> bool {
        self.warm_endpoints * 2.0 >= self.usable_endpoints
    }
}
