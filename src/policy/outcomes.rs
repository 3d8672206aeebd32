//! What the end of an attempt shows about its endpoint, and the next step of its request.

use crate::Router;
use crate::model::{AttemptResult, EndpointState, Idempotency, Outcome, Requirement, Role};
use crate::state::{EndpointIndex, Failure, OutstandingAttempt};

impl Router {
    /// Takes in what the end of an attempt shows, and takes the next step for its request.
    pub(crate) fn on_attempt_ended(&mut self, result: AttemptResult) {
        let Some(index) = self.topology.find(result.endpoint) else { return };
        let endpoint = &mut self.topology[index];
        let Some(attempt) = endpoint.take_outstanding(result.request, result.attempt) else { return };
        let group = endpoint.group;
        let primary_before = self.topology.primary(group);
        // The unloaded time is taken before this attempt's own time is recorded, which may change it.
        let unloaded = self.unloaded_latency(attempt.class);
        self.topology[index].record_outcome(result.outcome, self.now);
        let is_usable = self.is_usable(index);
        // A keyed write that had run before is answered with the time of its first run.
        let is_keyed = matches!(self.settings.classes[attempt.class].idempotency, Idempotency::Keyed { .. });
        let position_after = (!is_keyed).then_some(attempt.sent_at);
        self.topology.record_response(index, &result, position_after, is_usable, self.now);
        self.apply_clock_changes();
        self.record_outcome(index, attempt, &result);
        self.update_indexes(index);
        self.continue_request(index, attempt, &result, unloaded);
        self.resume_held_in_group(group, primary_before);
    }

    /// Records what an outcome shows about the health and the load of its endpoint.
    fn record_outcome(&mut self, index: EndpointIndex, attempt: OutstandingAttempt, result: &AttemptResult) {
        match result.outcome {
            Outcome::Ok => {
                self.traffic.served[attempt.class].record(self.now);
                self.remember_warm_work(index);
                self.record_latency(index, attempt, Some(result.elapsed));
                self.record_success(index);
            }
            Outcome::Error => self.record_failure(index, Failure::Error),
            Outcome::ConnectFailed => self.record_disconnect(index, true),
            Outcome::Reset => self.record_disconnect(index, false),
            // Departure: a lost attempt is no evidence of queueing. Guards against counting losses as load.
            Outcome::TimedOut if self.is_lost(index, attempt) => self.record_failure(index, Failure::Lost),
            Outcome::TimedOut | Outcome::RejectedByMember => {
                self.record_latency(index, attempt, None);
                let endpoint = &mut self.topology[index];
                let has_answered = endpoint.last_answer_at >= attempt.sent_at;
                if !has_answered && attempt.sent_at >= self.resumed_at {
                    endpoint.down |= endpoint.state == EndpointState::Removed;
                    self.record_failure(index, Failure::NoAnswer);
                }
            }
            Outcome::NotServable => self.record_not_servable(index, attempt),
            // A local error shows nothing about the endpoint: a trial is still due.
            Outcome::LocalError => self.topology[index].next_trial_at = self.now,
            Outcome::Cancelled | Outcome::NeverSent => {}
        }
    }

    /// Whether an attempt was lost: one that was sent well after it has been answered without queueing.
    fn is_lost(&self, index: EndpointIndex, attempt: OutstandingAttempt) -> bool {
        let patience = self.settings.classes[attempt.class].latency_objective / 2;
        attempt.sent_at + patience < self.topology[index].last_undelayed_send
    }

    /// Records that an endpoint is not the primary, or that it lacks a position that a read required.
    fn record_not_servable(&mut self, index: EndpointIndex, attempt: OutstandingAttempt) {
        let required = match self.settings.classes[attempt.class].requirement {
            Requirement::Write => return self.topology.record_write_rejected(index, self.now),
            Requirement::BoundedStaleness(bound) => {
                self.topology.group_time(self.topology[index].group, attempt.sent_at).saturating_sub(bound)
            }
            _ => self.requests.get(&attempt.request).map_or(0, |pending| pending.required_position),
        };
        // The requirements of a completed request are no longer known.
        if required > 0 {
            self.topology.record_position_not_reached(index, required, self.now);
        }
    }

    /// Takes the next step for the request, if it still has no final answer.
    fn continue_request(
        &mut self,
        index: EndpointIndex,
        attempt: OutstandingAttempt,
        result: &AttemptResult,
        unloaded: f64,
    ) {
        let Some(pending) = self.requests.get_mut(&result.request) else { return };
        let class = &self.settings.classes[attempt.class];
        let (outcome, session) = (result.outcome, pending.request.session);
        pending.in_flight = None;
        if outcome == Outcome::LocalError && !result.finished {
            return self.retry_after_local_error(result.request, index);
        }
        let is_commit = outcome == Outcome::Ok && class.requirement == Requirement::Write;
        if is_commit && self.settings.remember_commits && session != 0 {
            let group = self.topology[index].group;
            let position = result.metadata.position.unwrap_or(self.topology.group_time(group, self.now));
            self.commits.record(session, group, position);
        }
        if outcome.may_have_run() {
            pending.record_possible_run(attempt.sent_at);
        }
        // A request that failed with an error at the primary may be retried there.
        if outcome != Outcome::Error || class.role() == Role::Replica {
            pending.tried.push(index);
        }
        let cost = match outcome {
            Outcome::NotServable | Outcome::NeverSent => 0.0,
            // Guards against lost writes, which are not retried, using up the retries of reads.
            _ if pending.must_not_run_again(class) => 0.0,
            Outcome::RejectedByMember => 1.0,
            _ => (result.elapsed as f64 / unloaded).min(1.0),
        };
        if result.finished {
            self.finish(result.request);
        } else {
            self.retry(result.request, cost);
        }
    }
}
