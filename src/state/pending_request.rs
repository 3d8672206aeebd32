//! The router's state of a request without a final answer.

use super::EndpointIndex;
use crate::{Class, Idempotency, Micros, Request, Requirement};

/// A request without a final answer.
#[derive(Default)]
pub(crate) struct PendingRequest {
    pub(crate) request: Request,
    /// The client waits until then.
    pub(crate) deadline: Micros,
    /// An answer after this has no value: the deadline, or the objective where late answers do not count. No
    /// attempt starts then; one that has started is awaited until the deadline.
    pub(crate) useful_until: Micros,
    /// The position that its arrival requires of an endpoint, 0 for none.
    pub(crate) required_position: Micros,
    /// Its priority weight, less for retries and for tenants beyond their quota.
    pub(crate) priority: f64,
    /// Drawn once, between 0 and 1: of equal priority, the lowest draws are shed first.
    pub(crate) shed_draw: f64,

    /// The attempts sent so far, without those that this machine could not make.
    pub(crate) attempts: u32,
    /// The number of the next attempt.
    pub(crate) next_attempt: u32,
    /// The attempt whose outcome is awaited.
    pub(crate) in_flight: Option<u32>,
    /// When the first attempt that may have run was sent.
    pub(crate) first_run_at: Option<Micros>,
    /// The endpoints that it is not sent to again in this round.
    pub(crate) tried: Vec<EndpointIndex>,
    /// The endpoints that it was sent to in this round in search of the primary.
    pub(crate) search_attempts: u32,

    /// While it is held: it is reconsidered then.
    pub(crate) held_until: Option<Micros>,
    /// It is not sent to a primary before this time.
    pub(crate) backoff_until: Micros,
    /// The replica that was probed for it.
    pub(crate) probed: Option<EndpointIndex>,
}

impl PendingRequest {
    /// A request that has just arrived.
    pub(crate) fn new(request: Request, class: &Class, now: Micros) -> Self {
        let deadline = now + request.remaining;
        let objective_at = now + class.latency_objective.min(request.remaining);
        let useful_until = if class.late_value > 0.0 { deadline } else { objective_at };
        PendingRequest { request, deadline, useful_until, ..PendingRequest::default() }
    }

    /// The position that an endpoint must have to serve it when its group's clock reads `present`; 0 for
    /// none.
    pub(crate) fn required_position_at(&self, present: Micros, class: &Class) -> Micros {
        match class.requirement {
            Requirement::BoundedStaleness(bound) => present.saturating_sub(bound),
            _ => self.required_position,
        }
    }

    /// Records that an attempt sent at this time may have run.
    pub(crate) fn record_possible_run(&mut self, sent_at: Micros) {
        self.first_run_at = Some(self.first_run_at.unwrap_or(sent_at).min(sent_at));
    }

    /// Whether it may have run, and must not run again.
    pub(crate) fn must_not_run_again(&self, class: &Class) -> bool {
        self.first_run_at.is_some() && class.idempotency == Idempotency::AtMostOnce
    }

    /// Counts an attempt that is sent, and returns its number.
    pub(crate) fn start_attempt(&mut self) -> u32 {
        let attempt = self.next_attempt;
        self.next_attempt += 1;
        self.attempts += 1;
        self.held_until = None;
        self.in_flight = Some(attempt);
        attempt
    }

    /// The last attempt could not be made: it does not count.
    pub(crate) fn uncount_attempt(&mut self) {
        self.attempts = self.attempts.saturating_sub(1);
    }

    /// Starts a new round over all endpoints, where the primary was found with no backoff.
    pub(crate) fn reset_round(&mut self, found_primary: bool) {
        self.tried.clear();
        self.search_attempts = 0;
        if found_primary {
            self.backoff_until = 0;
        }
    }
}
