//! Slow start: limits the work that is sent to an endpoint while it warms up.
//!
//! Each router keeps a budget of work for each such endpoint. The budget grows at this router's share of the
//! load that the endpoint can bear, and each request that is sent deducts its work. The work of a request is
//! the unloaded latency of its class, in microseconds.

use crate::Router;
use crate::model::{Micros, Role};
use crate::state::{EndpointIndex, PerRole, SlowStartBudget};

/// The share of an endpoint's overload threshold that all routers together send if they use up their budgets.
/// The share is larger for work that only a primary can serve: the replicas serve the reads, so that the
/// primary's capacity is free for that work.
const LOAD_SHARE: PerRole<f64> = PerRole { replica: 0.4, primary: 0.8 };
/// The longest time for which unused budget accumulates, as a part of the overload window. Without this
/// limit, routers that all spend what they have saved in the same window would overload the endpoint.
const MAX_SAVED_WINDOWS: f64 = 0.5;
/// The divisor of [`MAX_SAVED_WINDOWS`] for each role: budget for primary-only work accumulates for half as
/// long, as its [`LOAD_SHARE`] is twice as large.
const SAVED_WINDOWS_DIVISOR: PerRole<f64> = PerRole { replica: 1.0, primary: 2.0 };
/// The share of the overload threshold that an endpoint of either role gets while most endpoints are warming
/// up, relative to the most work that a warm endpoint was observed to serve.
const MEASURED_LOAD_SHARE: f64 = 0.8;
/// The smallest share of first requests in the offered work: clients retry a request that was not served up
/// to three times.
const FIRST_REQUEST_SHARE: f64 = 0.25;
/// The interval at which all routers together try a down endpoint of a group without any member that is up.
const DOWN_GROUP_TRIAL_INTERVAL: Micros = 100_000;
/// The longest time that the endpoint list takes to report a restart. Until then, an endpoint that answers
/// again after it was down is treated as just started.
const RESTART_REPORT_DELAY: Micros = 4_000_000;

impl Router {
    /// Returns whether an endpoint is warming up according to its listed start, is down, or has recovered so
    /// recently that the list may not have reported its restart yet.
    pub(crate) fn is_warming_up(&self, index: EndpointIndex) -> bool {
        self.now < self.warm_at(index)
    }

    /// Returns the time at which an endpoint is warm; [`Micros::MAX`] for one that is down.
    pub(super) fn warm_at(&self, index: EndpointIndex) -> Micros {
        let endpoint = &self.topology[index];
        if endpoint.down {
            return Micros::MAX;
        }
        let started_at = self.topology.started_at(index);
        let has_recovered = endpoint.recovered_at > started_at;
        let reported_at = if has_recovered { endpoint.recovered_at + RESTART_REPORT_DELAY } else { 0 };
        let is_start_known = started_at > 0;
        let warm_at = if is_start_known { started_at + self.settings.slow_start_duration } else { 0 };
        warm_at.max(reported_at)
    }

    /// Decides whether the endpoint selected for a request admits the request; a warm endpoint always does.
    ///
    /// Plain least-pending selection sends an endpoint that is warming up as much as a warm one and overloads
    /// it. Instead, each router limits what it sends by a budget, so that all routers together stay below the
    /// endpoint's overload threshold.
    ///
    /// If the saved budget covers only a part of the request's cost, the request is admitted with the covered
    /// share of the cost as the probability, and the covered part is spent whether or not the request is
    /// admitted. Only the endpoint that was selected for the request spends budget on it.
    ///
    /// With `on_credit`, which is set for a new request to the primary, the covered part is at least
    /// [`Router::slow_start_credit`] less the debt of earlier requests.
    ///
    /// Without the draw and the credit, a class that each of many routers seldom gets would starve, as no
    /// router saves enough budget for one request.
    pub(super) fn admit_slow_start(&mut self, index: EndpointIndex, class: usize, on_credit: bool) -> bool {
        if !self.is_warming_up(index) {
            return true;
        }
        let role = self.settings.classes[class].role();
        let cost = self.unloaded_latency(class);
        let saved = self.saved_budget(index, class);
        let credit = if on_credit { self.slow_start_credit(index, role, cost) + saved.min(0.0) } else { 0.0 };
        let covered = saved.max(credit).clamp(0.0, cost);
        let is_admitted = covered >= cost * self.random.fraction() || self.is_down_group_trial_due(index);
        // `charge_slow_start` deducts the cost of an admitted request when it is sent.
        let saved = (saved - covered).max(-cost) + if is_admitted { cost } else { 0.0 };
        self.topology[index].slow_start[role] = SlowStartBudget { saved, updated_at: self.now };
        is_admitted
    }

    /// Returns whether a down endpoint is tried regardless of its budget: no member of its group is up, and
    /// probes, which would find one, are off.
    ///
    /// Without these trials, no router would notice that the group has recovered. Each router's interval
    /// grows with the number of routers, which prevents many of them from trying the endpoint simultaneously.
    fn is_down_group_trial_due(&self, index: EndpointIndex) -> bool {
        let endpoint = &self.topology[index];
        let is_up = |member: &EndpointIndex| self.is_usable(*member) && !self.topology[*member].down;
        endpoint.down
            && !self.settings.probes
            && self.now >= endpoint.next_trial_at
            && self.now
                >= endpoint.last_sent_at + DOWN_GROUP_TRIAL_INTERVAL * Micros::from(self.settings.instances)
            && !self.topology.members(endpoint.group).iter().any(is_up)
    }

    /// Returns how much of a request's cost may be spent on credit: the cost multiplied by the ratio of the
    /// endpoint's slow start rate to the primary-only work that is offered to one group on average.
    fn slow_start_credit(&self, index: EndpointIndex, role: Role, cost: f64) -> f64 {
        let offered = self.traffic.offered_primary_work(&self.settings.classes, self.now);
        // While little work has been offered, the work that an endpoint serves takes its place: dividing by a
        // rate near 0 would admit every request of a surge.
        let offered =
            (offered / self.topology.group_count() as f64).max(self.work_per_endpoint(index)).max(1e-12);
        self.slow_start_rate(index, role) / offered * cost
    }

    /// Deducts the cost of a request that is sent from the endpoint's budget.
    pub(super) fn charge_slow_start(&mut self, index: EndpointIndex, class: usize) {
        let role = self.settings.classes[class].role();
        let cost = self.unloaded_latency(class);
        let saved = (self.saved_budget(index, class) - cost).max(-cost);
        let budgets = &mut self.topology[index].slow_start;
        budgets[role] = SlowStartBudget { saved, updated_at: self.now };
        if role == Role::Replica {
            // Reads load the same endpoint: what they use is not available for writes either.
            budgets.primary.saved -= cost;
        }
    }

    /// Returns the budget that an endpoint has saved for requests of this class, in microseconds of unloaded
    /// latency; negative after requests that were sent on credit.
    fn saved_budget(&self, index: EndpointIndex, class: usize) -> f64 {
        let role = self.settings.classes[class].role();
        let rate = self.slow_start_rate(index, role);
        let window = self.settings.overload_window as f64;
        let max_saved = rate * window * MAX_SAVED_WINDOWS / SAVED_WINDOWS_DIVISOR[role] / 1e6;
        // Primary-only requests are rare at one router, so the budget for one of them may always be saved.
        let max_saved = max_saved.max(if role == Role::Primary { self.unloaded_latency(class) } else { 0.0 });
        let endpoint = &self.topology[index];
        let budget = endpoint.slow_start[role];
        let elapsed = self.now.saturating_sub(budget.updated_at.max(self.topology.started_at(index)));
        (budget.saved + rate * elapsed as f64 / 1e6).min(max_saved)
    }

    /// Returns the work, in microseconds of unloaded latency per second, that this router may send to an
    /// endpoint that is warming up.
    ///
    /// While most endpoints are warming up, the offered work overstates what one endpoint can serve, because
    /// clients retry what is not served. The rate is then also limited by the most work that endpoints were
    /// observed to serve for their capacity.
    fn slow_start_rate(&self, index: EndpointIndex, role: Role) -> f64 {
        let mut work = self.work_per_endpoint(index) * self.load_share(role);
        let most_served = self.serving_capacity.peak_work_per_endpoint();
        if most_served > 0.0 && !self.are_most_warm() {
            work = work.min((most_served * MEASURED_LOAD_SHARE).max(work * FIRST_REQUEST_SHARE));
        }
        work * self.capacity_share(index) * self.settings.overload_multiple
    }

    /// Returns the share of the overload threshold that an endpoint of this role gets.
    ///
    /// The share of a primary falls with the dispersion of the work that only a primary can serve: the more
    /// unevenly that work arrives, the likelier a few heavy writes in one window overload the primary.
    fn load_share(&self, role: Role) -> f64 {
        let dispersion = match role {
            Role::Replica => 1.0,
            Role::Primary => self.traffic.primary_work_dispersion(&self.settings.classes, self.now),
        };
        LOAD_SHARE[role] / dispersion.sqrt()
    }
}
