//! Slow start: the budget of an endpoint that warms up, and what is admitted against it.

use crate::Router;
use crate::model::{Micros, Role};
use crate::state::{EndpointIndex, PerRole, SlowStartBudget};

/// The share of the overload threshold that an endpoint gets if all routers use up their budgets. It is
/// larger for work that only a primary can serve, as replicas serve the reads there.
const LOAD_SHARE: PerRole<f64> = PerRole { replica: 0.4, primary: 0.8 };
/// The part of the overload window for which an unused budget is saved. Guards against an endpoint that is
/// pushed over its threshold within one window by what all routers have saved.
const SAVED_WINDOWS: f64 = 0.5;
/// What [`SAVED_WINDOWS`] is divided by: primary-only work is saved for half as long, as its
/// [`LOAD_SHARE`] is twice as large.
const SAVED_DIVISOR: PerRole<f64> = PerRole { replica: 1.0, primary: 2.0 };
/// The share of the overload threshold that an endpoint of either role gets where most endpoints are
/// warming up, reckoned from what endpoints were seen to serve.
const MEASURED_LOAD_SHARE: f64 = 0.8;
/// The least share of the demand that first requests make up: clients repeat a request that was not served
/// up to three times.
const FIRST_REQUEST_SHARE: f64 = 0.25;
/// The interval in which all routers together try an endpoint of a group that is down once.
const LAST_RESORT_INTERVAL: Micros = 100_000;
/// How long the list may take to report a restart. Until then, an endpoint that is back counts as just
/// started.
const RESTART_REPORT_DELAY: Micros = 4_000_000;

impl Router {
    /// Whether an endpoint is warming up by the list, is down, or is back so recently that the list may not
    /// report its restart yet.
    pub(crate) fn is_warming_up(&self, index: EndpointIndex) -> bool {
        self.now < self.warm_at(index)
    }

    /// The time until which an endpoint is warming up; [`Micros::MAX`] for one that is down.
    pub(super) fn warm_at(&self, index: EndpointIndex) -> Micros {
        let endpoint = &self.topology[index];
        if endpoint.down {
            return Micros::MAX;
        }
        let started_at = self.topology.started_at(index);
        let is_back = endpoint.recovered_at > started_at;
        let reported_at = if is_back { endpoint.recovered_at + RESTART_REPORT_DELAY } else { 0 };
        let is_start_known = started_at > 0;
        let warm_at = if is_start_known { started_at + self.settings.slow_start_duration } else { 0 };
        warm_at.max(reported_at)
    }

    /// Departure: an endpoint that warms up gets a share of what a warm one serves for this router. A budget
    /// too small for a request is staked on a draw, only for the endpoint selected: all routers together stay
    /// under its overload threshold. A new request to its primary stakes, on credit, the budget's share of
    /// its group's offered work. Guards against starving a class that each of many routers sees seldom.
    pub(super) fn admit_slow_start(&mut self, index: EndpointIndex, class: usize, on_credit: bool) -> bool {
        if !self.is_warming_up(index) {
            return true;
        }
        let role = self.settings.classes[class].role();
        let cost = self.unloaded_latency(class);
        let saved = self.saved_budget(index, class);
        let credit = if on_credit { self.slow_start_credit(index, role, cost) + saved.min(0.0) } else { 0.0 };
        let stake = saved.max(credit).clamp(0.0, cost);
        let is_admitted = stake >= cost * self.random.fraction() || self.is_last_resort_due(index);
        let saved = (saved - stake).max(-cost) + if is_admitted { cost } else { 0.0 };
        self.topology[index].slow_start[role] = SlowStartBudget { saved, updated_at: self.now };
        is_admitted
    }

    /// Departure: where no member of a group is up and probes may not find one, one that is down is tried
    /// once in a while, whatever its budget; the more routers there are, the more rarely. Guards against a
    /// group that nobody tries, and against many routers that try it at the same time.
    fn is_last_resort_due(&self, index: EndpointIndex) -> bool {
        let endpoint = &self.topology[index];
        let is_up = |member: &EndpointIndex| self.is_usable(*member) && !self.topology[*member].down;
        endpoint.down
            && !self.settings.probes
            && self.now >= endpoint.next_trial_at
            && self.now
                >= endpoint.last_sent_at + LAST_RESORT_INTERVAL * Micros::from(self.settings.instances)
            && !self.topology.members(endpoint.group).iter().any(is_up)
    }

    /// The part of a request's cost that may be staked on credit: the budget's share of the offered work of
    /// the endpoint's group.
    fn slow_start_credit(&self, index: EndpointIndex, role: Role, cost: f64) -> f64 {
        let asked = self.traffic.offered_primary_work(&self.settings.classes, self.now);
        // The work offered so far, while little, counts as what an endpoint serves. Guards against surges.
        let asked =
            (asked / self.topology.group_count() as f64).max(self.work_per_endpoint(index)).max(1e-12);
        self.slow_start_rate(index, role) / asked * cost
    }

    /// Deducts a request that is sent from the budget.
    pub(super) fn charge_slow_start(&mut self, index: EndpointIndex, class: usize) {
        let role = self.settings.classes[class].role();
        let cost = self.unloaded_latency(class);
        let saved = (self.saved_budget(index, class) - cost).max(-cost);
        let budgets = &mut self.topology[index].slow_start;
        budgets[role] = SlowStartBudget { saved, updated_at: self.now };
        if role == Role::Replica {
            // Budget that an endpoint has used for reads is not left for writes.
            budgets.primary.saved -= cost;
        }
    }

    /// The budget that an endpoint has saved by now for requests of this class, in microseconds of unloaded
    /// time.
    fn saved_budget(&self, index: EndpointIndex, class: usize) -> f64 {
        let role = self.settings.classes[class].role();
        let rate = self.slow_start_rate(index, role);
        let window = self.settings.overload_window as f64;
        let most = rate * window * SAVED_WINDOWS / SAVED_DIVISOR[role] / 1e6;
        // Enough for one complete primary-only request may be saved, as these are rare at one router.
        let most = most.max(if role == Role::Primary { self.unloaded_latency(class) } else { 0.0 });
        let endpoint = &self.topology[index];
        let budget = endpoint.slow_start[role];
        let elapsed = self.now.saturating_sub(budget.updated_at.max(self.topology.started_at(index)));
        (budget.saved + rate * elapsed as f64 / 1e6).min(most)
    }

    /// The work per second that an endpoint may be sent while it warms up.
    ///
    /// Departure: where most endpoints are warming up, it is bounded by what endpoints were seen to serve for
    /// their capacity. Guards against overload by demand that clients repeat because it is not served.
    fn slow_start_rate(&self, index: EndpointIndex, role: Role) -> f64 {
        let mut work = self.work_per_endpoint(index) * self.load_share(role);
        let most_served = self.serving_capacity.peak_work_per_endpoint();
        if most_served > 0.0 && !self.are_most_warm() {
            work = work.min((most_served * MEASURED_LOAD_SHARE).max(work * FIRST_REQUEST_SHARE));
        }
        work * self.capacity_share(index) * self.settings.overload_multiple
    }

    /// The share of the overload threshold that an endpoint gets, less at a primary where the work that only
    /// it can serve is uneven: the less even it is, the more is left to chance. Guards against a primary that
    /// falls under a few heavy writes more than usual.
    fn load_share(&self, role: Role) -> f64 {
        let dispersion = match role {
            Role::Replica => 1.0,
            Role::Primary => self.traffic.primary_work_dispersion(&self.settings.classes, self.now),
        };
        LOAD_SHARE[role] / dispersion.sqrt()
    }
}
