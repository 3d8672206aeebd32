//! Handles the end of an attempt: records what it shows about the endpoint, and takes the next step of its
//! request.

use crate::Router;
use crate::model::{AttemptResult, EndpointState, Outcome, Role, SessionInGroup};
use crate::state::{EndpointIndex, Failure, OutstandingAttempt};

impl Router {
    /// Handles the end of an attempt. Results of unknown endpoints or attempts are ignored.
    pub(crate) fn on_attempt_ended(&mut self, result: AttemptResult) {
        let Some(index) = self.topology.find(result.endpoint) else { return };
        let endpoint = &mut self.topology[index];
        let taken = endpoint.take_outstanding(result.request, result.attempt, self.now);
        let Some(attempt) = taken else { return };
        let group = endpoint.group;
        let primary_before = self.topology.primary(group);
        // Read before this attempt's latency is recorded, which may change the unloaded latency.
        let unloaded = self.unloaded_latency(attempt.class);
        self.topology[index].record_outcome(result.outcome, self.now);
        let is_usable = self.is_usable(index);
        // The answer to a repeated write with an idempotency key holds the commit time of its first run,
        // which may be earlier than the send of this attempt.
        let position_after = (!attempt.needs.is_keyed).then_some(attempt.sent_at);
        self.topology.record_response(index, &result, position_after, is_usable, self.now);
        self.apply_clock_changes();
        self.record_outcome(index, &attempt, &result);
        self.record_commit(index, &attempt, &result);
        self.update_indexes(index);
        self.continue_request(index, &attempt, &result, unloaded);
        self.resume_held_in_group(group, primary_before);
    }

    /// Records what an outcome shows about the health and the load of the endpoint.
    fn record_outcome(&mut self, index: EndpointIndex, attempt: &OutstandingAttempt, result: &AttemptResult) {
        match result.outcome {
            Outcome::Ok | Outcome::NotServable | Outcome::Error => {
                self.topology.record_rejection(index, false, self.now);
            }
            Outcome::RejectedByMember => self.topology.record_rejection(index, true, self.now),
            _ => {}
        }
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
            // A lost attempt counts as a failure, not as a queueing delay: the endpoint has answered a later
            // attempt without queueing, so its load did not cause the loss.
            Outcome::TimedOut if self.is_lost(index, attempt) => self.record_failure(index, Failure::Lost),
            Outcome::TimedOut => self.record_timeout(index, attempt),
            Outcome::RejectedByMember => self.record_rejection(index, attempt),
            Outcome::NotServable => self.record_not_servable(index, attempt),
            // A local error shows nothing about the endpoint, so its trial is due again immediately.
            Outcome::LocalError => self.topology[index].next_trial_at = self.now,
            Outcome::Cancelled | Outcome::NeverSent => {}
        }
    }

    /// Records an attempt that timed out: a queueing delay, and a failure if the endpoint has answered
    /// nothing since the attempt was sent.
    fn record_timeout(&mut self, index: EndpointIndex, attempt: &OutstandingAttempt) {
        self.record_latency(index, attempt, None);
        if self.topology[index].last_answer_at < attempt.sent_at {
            self.record_unavailable(index, attempt, Failure::NoAnswer);
        }
    }

    /// Records an attempt that the endpoint has rejected: a queueing delay if the rejection shows load, and a
    /// failure if the endpoint does nothing but reject. If rejections by an idle endpoint counted as queueing
    /// delays, routers would shed requests that the endpoint could serve.
    ///
    /// An endpoint that hangs with a full queue rejects each attempt immediately, so that it looks idle. A
    /// few rejections, on the other hand, must not eject an endpoint that answers the other attempts.
    fn record_rejection(&mut self, index: EndpointIndex, attempt: &OutstandingAttempt) {
        if self.rejects_for_load(index) {
            self.record_latency(index, attempt, None);
        }
        if self.rejects_all(index) {
            self.record_unavailable(index, attempt, Failure::Rejections);
        }
    }

    /// Records that an endpoint does not serve requests at present. An endpoint that is listed as removed
    /// counts as down.
    fn record_unavailable(&mut self, index: EndpointIndex, attempt: &OutstandingAttempt, failure: Failure) {
        // An attempt that was sent before this process was suspended shows nothing about the endpoint.
        if attempt.sent_at < self.resumed_at {
            return;
        }
        let endpoint = &mut self.topology[index];
        endpoint.down |= endpoint.state == EndpointState::Removed;
        self.record_failure(index, failure);
    }

    /// Records the commit of a served write, which later reads of its session must see. This does not depend
    /// on the request: it may have had its final answer, or its client may have disconnected.
    fn record_commit(&mut self, index: EndpointIndex, attempt: &OutstandingAttempt, result: &AttemptResult) {
        let is_commit = attempt.needs.writes && result.outcome == Outcome::Ok;
        if !is_commit {
            return;
        }
        let group = self.topology[index].group;
        let position = result.metadata.position.unwrap_or(self.topology.group_time(group, self.now));
        for &session in attempt.written_sessions.iter() {
            self.commits.record(SessionInGroup { session, group }, position);
        }
    }

    /// Returns whether an attempt that timed out was lost: the endpoint has answered another attempt without
    /// queueing that was sent more than half the latency objective later.
    fn is_lost(&self, index: EndpointIndex, attempt: &OutstandingAttempt) -> bool {
        let margin = self.settings.classes[attempt.class].latency_objective / 2;
        attempt.sent_at + margin < self.topology[index].last_undelayed_send
    }

    /// Records why an endpoint could not serve an attempt: it is not the primary, or it has not reached the
    /// position that a read required.
    fn record_not_servable(&mut self, index: EndpointIndex, attempt: &OutstandingAttempt) {
        if attempt.needs.writes {
            return self.topology.record_write_rejected(index, self.now);
        }
        let group_time = self.topology.group_time(self.topology[index].group, attempt.sent_at);
        let pending = self.requests.get(&attempt.request);
        let position = pending.map_or(0, |pending| pending.needs.position);
        let required = position.max(attempt.needs.position_of_bound(group_time));
        // 0 also stands for a request that has had its final answer: its requirement is no longer known.
        if required > 0 {
            self.topology.record_position_not_reached(index, required, self.now);
        }
    }

    /// Takes the next step for the request of an attempt that has ended, if it has no final answer yet.
    fn continue_request(
        &mut self,
        index: EndpointIndex,
        attempt: &OutstandingAttempt,
        result: &AttemptResult,
        unloaded: f64,
    ) {
        let Some(pending) = self.requests.get_mut(&result.request) else { return };
        let outcome = result.outcome;
        pending.in_flight = None;
        pending.is_rejected_by_chance = false;
        if outcome == Outcome::LocalError && !result.finished {
            return self.retry_after_local_error(result.request, index);
        }
        if outcome.may_have_run() {
            pending.record_possible_run(attempt.sent_at);
        }
        // The primary may get another attempt after an error, as no other endpoint can serve the request.
        if outcome != Outcome::Error || pending.needs.role() == Role::Replica {
            pending.tried.push(index);
        }
        // Lost writes that must not run again are given up, not retried. If they were charged, they would use
        // up the retries of reads.
        let is_free = pending.must_not_run_again();
        if result.finished {
            self.finish(result.request);
        } else if outcome == Outcome::RejectedByMember && self.rejects_by_chance(index) {
            self.retry_rejected_by_chance(result.request, index);
        } else {
            let cost = Router::retry_cost(outcome, result.elapsed, unloaded);
            self.retry(result.request, if is_free { 0.0 } else { cost });
        }
    }
}
