//! Estimates of the work that an endpoint can serve, from which slow start computes its budgets.

use crate::Router;
use crate::estimators::DecayingRate;
use crate::model::Micros;
use crate::state::EndpointIndex;

/// The work per second, in microseconds of unloaded latency, of an endpoint that serves one request at a
/// time. Every warm endpoint can serve at least this much.
const SERIAL_WORK: f64 = 1e6;
/// The shortest time between two periodic counts of the serving capacity, which changes slowly while
/// endpoints warm up.
pub(super) const CAPACITY_COUNT_INTERVAL: Micros = 1_000_000;

impl Router {
    /// Returns the least share of its full capacity that an endpoint has. The share rises linearly during
    /// slow start, and above 1 after it.
    pub(super) fn capacity_share(&self, index: EndpointIndex) -> f64 {
        let endpoint = &self.topology[index];
        let started_at = self.topology.started_at(index);
        let since = if endpoint.down { self.now } else { started_at.max(endpoint.recovered_at) };
        let age = self.now.saturating_sub(since) as f64 / self.settings.slow_start_duration.max(1) as f64;
        let initial_share = self.settings.slow_start_capacity;
        initial_share + (1.0 - initial_share) * age
    }

    /// Records the capacity of the usable endpoints, in warm endpoints, and the work that they serve.
    pub(super) fn count_serving_capacity(&mut self) {
        let warm = self.usable_counts.warm(self.now) as f64;
        let share = |index| self.capacity_share(index).min(1.0);
        let warming: f64 = self.usable_counts.warming().map(share).sum();
        self.serving_capacity.record(warm + warming, self.now);
        self.serving_capacity.record_served(self.traffic.served_work(self.now), self.now);
    }

    /// Returns the work, in microseconds of unloaded latency per second, that a warm endpoint serves for this
    /// router.
    ///
    /// For a group without a warm member, the result is at least the work when a warm endpoint last
    /// answered, and at least this router's part of [`SERIAL_WORK`]. Without these minimums, the slow
    /// start budgets would decay while a whole group is down and serves nothing.
    pub(super) fn work_per_endpoint(&self, index: EndpointIndex) -> f64 {
        let is_warm = |member: &EndpointIndex| self.is_healthy(*member) && !self.is_warming_up(*member);
        let has_warm_member = self.topology.members(self.topology[index].group).iter().any(is_warm);
        let current = self.current_work_per_endpoint();
        let min_work = SERIAL_WORK / f64::from(self.settings.instances.max(1));
        if has_warm_member { current } else { current.max(self.last_warm_work).max(min_work) }
    }

    /// Records the current work of a warm endpoint, to be used while a group has no warm member. Called when
    /// an endpoint has answered; only the answer of a warm endpoint counts.
    pub(super) fn remember_warm_work(&mut self, index: EndpointIndex) {
        if !self.is_warming_up(index) {
            self.last_warm_work = self.current_work_per_endpoint();
        }
    }

    /// Returns the work per second that a warm endpoint currently serves for this router, but at most an
    /// endpoint's share of the offered work.
    ///
    /// Returns the share of the offered work if this router has just started or most endpoints are warming
    /// up. Just after the start, no work has been served yet, and endpoints that warm up would get
    /// nothing.
    fn current_work_per_endpoint(&self) -> f64 {
        let served = self.traffic.served_work(self.now) / self.warm_endpoints.max(1.0);
        let offered = self.traffic.offered_work(self.now) / self.usable_endpoints.max(1.0);
        if self.has_history() && self.are_most_warm() { offered.min(served) } else { offered }
    }

    /// Returns whether this router has run for longer than the time constant of its decaying rates, before
    /// which they are too low.
    fn has_history(&self) -> bool {
        self.now > self.created_at + DecayingRate::TIME_CONSTANT_US as Micros
    }

    /// Returns whether at least half of the usable endpoints are warm.
    pub(super) fn are_most_warm(&self) -> bool {
        self.warm_endpoints * 2.0 >= self.usable_endpoints
    }
}
