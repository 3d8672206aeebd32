//! The retry budget, which bounds the retries of all requests together.
//!
//! Each request adds a share of a retry to the budget. Without a budget, retries would multiply the load on
//! endpoints that fail. Every router earns its budget by its own requests, so the retries of all routers
//! together are bounded by a share of all requests, however many routers there are.

use crate::Router;
use crate::model::{GiveUpReason, Micros, Outcome, RequestId};
use crate::state::{DeferredRetry, EndpointIndex};

/// The number of retries that each request adds to the retry budget, which accumulates at most the retries of
/// one second of requests, and at least one.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// The number of retries per second that all routers together add to their budgets whether or not requests
/// arrive. Without it, a request could not be retried after the last one of a busy time.
const RETRIES_PER_SECOND: f64 = 1.0;
/// What a retry costs after a rejection by an endpoint that has room for it and has answered the attempt
/// before. The cost doubles with each rejection in a row, up to that of any other retry.
const CHANCE_REJECTION_COST: f64 = 0.1;

impl Router {
    /// Adds the share of an arriving request to the retry budget.
    pub(super) fn add_request_to_retry_budget(&mut self) {
        self.add_to_retry_budget(RETRIES_PER_REQUEST);
    }

    /// Adds the part of this router in the retries per second since the last call.
    fn add_time_to_retry_budget(&mut self) {
        let elapsed = self.now.saturating_sub(self.retry_budget_at) as f64 / 1e6;
        self.retry_budget_at = self.now;
        self.add_to_retry_budget(elapsed * RETRIES_PER_SECOND / f64::from(self.settings.instances.max(1)));
    }

    fn add_to_retry_budget(&mut self, retries: f64) {
        let retries_per_second = self.traffic.arrivals.per_second_at(self.now) * RETRIES_PER_REQUEST;
        self.retry_budget = (self.retry_budget + retries).min(retries_per_second.max(1.0));
    }

    /// Returns what a retry costs of the retry budget after an attempt that ended like this.
    ///
    /// An attempt that the endpoint may have worked on costs the share of its unloaded latency for which it
    /// lasted, at most one retry.
    pub(super) fn retry_cost(outcome: Outcome, elapsed: Micros, unloaded: f64) -> f64 {
        match outcome {
            Outcome::NotServable | Outcome::NeverSent => 0.0,
            Outcome::RejectedByMember => 1.0,
            _ => (elapsed as f64 / unloaded).min(1.0),
        }
    }

    /// Retries a request whose attempt failed, if the retry budget covers the cost of the retry; otherwise
    /// gives the request up.
    pub(super) fn retry(&mut self, id: RequestId, cost: f64) {
        if self.retry_budget < cost {
            return self.give_up(id, GiveUpReason::RetryBudget);
        }
        self.retry_budget -= cost;
        self.advance(id);
    }

    /// Retries a request that an endpoint has rejected although it has room for it. If the retry budget does
    /// not cover the cost of the retry, the request waits for the budget.
    pub(super) fn retry_rejected_by_chance(&mut self, id: RequestId, rejected_by: EndpointIndex) {
        let before = self.topology.rejections_in_a_row(rejected_by).saturating_sub(1);
        let cost = (CHANCE_REJECTION_COST * f64::from(before).exp2()).min(1.0);
        let deferred = DeferredRetry { cost, rejected_by };
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.deferred_retry = Some(deferred);
            pending.is_rejected_by_chance = true;
        }
        self.advance(id);
    }

    /// Pays for the deferred retry of a request, if it has one. Returns whether the next attempt may be sent:
    /// the budget covers it.
    ///
    /// # Errors
    ///
    /// [`GiveUpReason::RetryBudget`] if the budget does not cover it and the endpoint that has rejected the
    /// request turns out to be overloaded.
    pub(super) fn pay_for_deferred_retry(&mut self, id: RequestId) -> Result<bool, GiveUpReason> {
        self.add_time_to_retry_budget();
        let Some(pending) = self.requests.get_mut(&id) else { return Ok(true) };
        let Some(DeferredRetry { cost, rejected_by }) = pending.deferred_retry else { return Ok(true) };
        if self.retry_budget >= cost {
            pending.deferred_retry = None;
            self.retry_budget -= cost;
            return Ok(true);
        }
        if self.rejects_by_chance(rejected_by) { Ok(false) } else { Err(GiveUpReason::RetryBudget) }
    }
}
