//! The router's state of a request without a final answer.

use super::EndpointIndex;
use crate::{Class, Idempotency, Micros, Needs, PerNeed, Request};
use std::sync::Arc;

/// A retry that waits until the retry budget covers it.
#[derive(Clone, Copy)]
pub(crate) struct DeferredRetry {
    /// What the retry costs of the retry budget.
    pub(crate) cost: f64,
    /// The endpoint that has rejected the last attempt.
    pub(crate) rejected_by: EndpointIndex,
}

/// A request without a final answer.
#[derive(Default)]
pub(crate) struct PendingRequest {
    pub(crate) request: Request,
    /// The time until which the client waits for an answer.
    pub(crate) deadline: Micros,
    /// The time after which an answer to one of the statements has no value: the deadline, or the end of
    /// the latency objective if the statement's class gives late answers no value. No attempt starts
    /// after that time, but one that has started is awaited until the deadline.
    pub(crate) useful_until: Micros,
    /// What the request needs of the endpoint that executes it.
    pub(crate) needs: Needs,
    /// The sessions whose commits are remembered once the request is served.
    pub(crate) written_sessions: Arc<[u64]>,
    /// How many endpoints each need ruled out when the request was last considered.
    pub(crate) ruled_out: PerNeed<u64>,
    /// The priority weight, reduced for retries by the client and for tenants beyond their quota.
    pub(crate) priority: f64,
    /// A random number between 0 and 1, drawn at the arrival. Among requests of equal priority, those with
    /// the lowest numbers are shed first.
    pub(crate) shed_draw: f64,

    /// The number of attempts sent, not counting those that failed for a local error of this machine.
    pub(crate) attempts: u32,
    /// The number of the next attempt.
    pub(crate) next_attempt: u32,
    /// The number of the attempt whose outcome is awaited.
    pub(crate) in_flight: Option<u32>,
    /// When the earliest attempt that may have run was sent.
    pub(crate) first_run_at: Option<Micros>,
    /// The endpoints that the request must not be sent to again in this round.
    pub(crate) tried: Vec<EndpointIndex>,
    /// The number of endpoints that the request was sent to in this round in search of the primary.
    pub(crate) search_attempts: u32,

    /// Whether the last attempt was rejected by an endpoint that has room for it.
    pub(crate) is_rejected_by_chance: bool,
    /// The next attempt, if the retry budget has yet to pay for it.
    pub(crate) deferred_retry: Option<DeferredRetry>,
    /// When the held request is reconsidered; `None` if the request is not held.
    pub(crate) held_until: Option<Micros>,
    /// The request is not sent to a primary before this time.
    pub(crate) backoff_until: Micros,
    /// The replica that was probed to find out whether it is fresh enough for this read.
    pub(crate) probed: Option<EndpointIndex>,
}

impl PendingRequest {
    /// Creates the state of a request that has just arrived.
    pub(crate) fn new(request: Request, classes: &[Class], now: Micros) -> Self {
        let deadline = now + request.remaining;
        let useful_until = |class: &Class| match class.late_value > 0.0 {
            true => deadline,
            false => now + class.latency_objective.min(request.remaining),
        };
        let executed = request.statements.iter().map(|statement| useful_until(&classes[statement.class]));
        let useful_until = executed.min().unwrap_or(deadline);
        PendingRequest { request, deadline, useful_until, ..PendingRequest::default() }
    }

    /// Records that an attempt that was sent at this time may have run.
    pub(crate) fn record_possible_run(&mut self, sent_at: Micros) {
        self.first_run_at = Some(self.first_run_at.unwrap_or(sent_at).min(sent_at));
    }

    /// Whether the request may have run, and must not run again.
    pub(crate) fn must_not_run_again(&self) -> bool {
        self.first_run_at.is_some() && self.needs.idempotency == Idempotency::AtMostOnce
    }

    /// Records that an attempt is sent, and returns its number.
    pub(crate) fn start_attempt(&mut self) -> u32 {
        let attempt = self.next_attempt;
        self.next_attempt += 1;
        self.attempts += 1;
        self.held_until = None;
        self.in_flight = Some(attempt);
        attempt
    }

    /// Uncounts the last attempt, which this machine could not make because of a local error.
    pub(crate) fn uncount_attempt(&mut self) {
        self.attempts = self.attempts.saturating_sub(1);
    }

    /// Starts a new round, in which all endpoints may be tried again. Ends the backoff if the primary has
    /// been found.
    pub(crate) fn reset_round(&mut self, found_primary: bool) {
        self.tried.clear();
        self.search_attempts = 0;
        if found_primary {
            self.backoff_until = 0;
        }
    }
}
