//! The lifecycle of a request, from its arrival through attempts, holds and retries to its final answer.
//!
//! A request that no endpoint can take yet is held and reconsidered later, for example during a failover.

use super::Selection;
use super::health;
use super::primary::SEARCH_INTERVAL;
use crate::Router;
use crate::model::{
    Action, ExecutedStatement, GiveUpReason, GroupId, Idempotency, Micros, Needs, PerNeed, Request,
    RequestId, Requirement, Role, process_pause_margin,
};
use crate::state::{Arrival, EndpointIndex, OutstandingAttempt, PendingRequest};
use std::sync::Arc;

/// The probability that a request which is a retry by the client still meets the latency objective, which
/// counts from the client's first attempt.
const RETRY_ON_TIME_CHANCE: f64 = 0.3;
/// The share of the deduplication window in which a request with an idempotency key may be sent again. The
/// window starts with the first attempt that may have run.
const RETRY_WINDOW_SHARE: f64 = 0.95;
/// The share of the deduplication window that one attempt of a request with an idempotency key may take, so
/// that time for another attempt remains.
const ATTEMPT_WINDOW_SHARE: f64 = 0.5;
/// The timeout of an attempt of a request with an idempotency key, as a multiple of its unloaded latency, if
/// that is longer than [`ATTEMPT_WINDOW_SHARE`] allows.
const KEYED_TIMEOUT_MULTIPLE: f64 = 4.0;
/// The timeout of an exploratory attempt (a trial, or part of a search for the primary), as a multiple of its
/// unloaded latency.
const EXPLORATORY_TIMEOUT_MULTIPLE: f64 = 3.0;
/// How long an answer counts as evidence that its endpoint is still the primary. An attempt at the primary
/// may wait for its connection for half of this time.
const ANSWER_VALIDITY: Micros = 100_000;

impl Router {
    /// Handles the arrival of a request: counts it, sets its priority and takes its first step.
    pub(crate) fn on_request(&mut self, request: Request) {
        let shed_draw = self.random.fraction();
        self.traffic.arrivals.record(self.now);
        self.add_request_to_retry_budget();
        self.trial_budget = (self.trial_budget + health::TRIAL_SHARE).min(1.0);
        if self.settings.idempotency_of(&request).is_none() {
            let reason = GiveUpReason::UnknownClass;
            let ruled_out = PerNeed::default();
            return self.actions.push(Action::Fail { request: request.id, reason, ruled_out });
        }
        let class = &self.settings.classes[request.class];
        self.traffic.offered[request.class].record(self.now);
        let retry_value = class.late_value + (1.0 - class.late_value) * RETRY_ON_TIME_CHANCE;
        let mut priority = class.priority_weight * if request.is_retry { retry_value } else { 1.0 };
        if let Some(rate) = self.traffic.tenants.get_mut(request.tenant) {
            rate.record(self.now);
            let rate_at_all_routers = rate.per_second_at(self.now) * f64::from(self.settings.instances);
            if rate_at_all_routers > self.settings.quotas[request.tenant] {
                priority *= self.settings.over_quota_weight;
            }
        }
        let id = request.id;
        let needs = self.needs_of(&request);
        self.routing.requests.count(PerNeed::of(&needs));
        let written_sessions = self.written_sessions(&request);
        let pending = PendingRequest::new(request, &self.settings.classes, self.now);
        let pending = PendingRequest { priority, needs, written_sessions, shed_draw, ..pending };
        self.requests.insert(id, pending);
        self.advance(id);
    }

    /// Returns what all statements of an arriving request need together.
    fn needs_of(&self, request: &Request) -> Needs {
        let group_time = self.topology.group_time(request.group, self.now);
        let arrival = Arrival { now: self.now, group_time, started_at: self.created_at };
        let needs = request.statements.iter().map(|statement| {
            let position = self.commits.required_position(statement, request.group, &self.settings, arrival);
            Needs::new(statement, &self.settings.classes[statement.class], position)
        });
        needs.fold(Needs::default(), Needs::and)
    }

    /// Returns the sessions whose commits are remembered once a request is served.
    fn written_sessions(&self, request: &Request) -> Arc<[u64]> {
        if !self.settings.remember_commits {
            return Arc::default();
        }
        let is_write = |statement: &&ExecutedStatement| {
            let requirement = self.settings.classes[statement.class].requirement;
            requirement == Requirement::Write && statement.session != 0
        };
        request.statements.iter().filter(is_write).map(|statement| statement.session).collect()
    }

    /// Takes the next step for a request that has no attempt in flight: sends an attempt, holds the
    /// request, or gives its final answer.
    pub(super) fn advance(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get(&id) else { return };
        let (role, useful_until) = (pending.needs.role(), pending.useful_until);
        if self.now >= useful_until {
            return self.give_up(id, GiveUpReason::NoTimeLeft);
        }
        if let Err(reason) = self.check_may_send(pending) {
            return self.give_up(id, reason);
        }
        match self.pay_for_deferred_retry(id) {
            Ok(true) => {}
            Ok(false) => return self.hold(id),
            Err(reason) => return self.give_up(id, reason),
        }
        self.count_ruled_out(id);
        let selection = match role {
            Role::Primary => self.select_primary(id),
            Role::Replica => self.select_replica(id),
        };
        match selection {
            Selection::Send { endpoint, exploratory } => self.send(id, endpoint, exploratory),
            Selection::Hold => self.hold(id),
            Selection::Shed => self.give_up(id, GiveUpReason::Shed),
        }
    }

    /// Holds a request for at most half of [`SEARCH_INTERVAL`].
    ///
    /// The hold ends early enough for an answer that still has a value: half the unloaded latency of the
    /// class, or two ticks if that is longer, before [`PendingRequest::useful_until`]. A request that has
    /// reached that time is given up.
    fn hold(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get(&id) else { return };
        let (class, useful_until) = (pending.request.class, pending.useful_until);
        let backoff_until = pending.backoff_until;
        let reserve = (self.unloaded_latency(class) as Micros / 2).max(2 * self.tick_interval());
        let last_hold = useful_until.saturating_sub(reserve);
        if self.now >= last_hold {
            return self.give_up(id, GiveUpReason::HoldEnded);
        }
        let mut until = (self.now + SEARCH_INTERVAL / 2).min(last_hold);
        if backoff_until > self.now {
            until = until.min(backoff_until);
        }
        self.requests.get_mut(&id).expect("found above").held_until = Some(until);
    }

    /// Takes the next step for a request whose attempt failed on this machine, for example because no port
    /// was free. The attempt does not count against the request.
    ///
    /// A read is sent to a member that it was not sent to yet, as this machine may have failed to reach only
    /// the selected one. A read that was sent to all members is held, as is a request for the primary.
    /// Without this rule, a fault of this machine would look like a group that is down.
    pub(super) fn retry_after_local_error(&mut self, id: RequestId, index: EndpointIndex) {
        let Some(pending) = self.requests.get_mut(&id) else { return };
        pending.uncount_attempt();
        match pending.needs.role() {
            Role::Replica => {
                pending.tried.push(index);
                self.advance(id);
            }
            Role::Primary => self.hold(id),
        }
    }

    /// Checks that the request may have another attempt and that its group has a usable endpoint.
    ///
    /// # Errors
    ///
    /// The reason why the request must be given up.
    fn check_may_send(&self, pending: &PendingRequest) -> Result<(), GiveUpReason> {
        let members = self.topology.members(pending.request.group);
        let may_run_again = |first_run_at| match pending.needs.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed { window, .. } => {
                let usable_window = (window as f64 * RETRY_WINDOW_SHARE) as Micros;
                self.now - first_run_at < usable_window.min(window - process_pause_margin(window))
            }
            Idempotency::AtMostOnce => false,
        };
        if pending.attempts >= self.settings.max_attempts {
            return Err(GiveUpReason::AttemptsUsed);
        }
        if !pending.first_run_at.is_none_or(may_run_again) {
            return Err(GiveUpReason::MayHaveRun);
        }
        if !members.iter().any(|member| self.is_usable(*member)) {
            return Err(GiveUpReason::NoUsableEndpoint);
        }
        Ok(())
    }

    /// Sends an attempt of a request to an endpoint.
    fn send(&mut self, id: RequestId, index: EndpointIndex, exploratory: bool) {
        let Some(pending) = self.requests.get(&id) else { return };
        let (class, needs) = (pending.request.class, pending.needs);
        let written_sessions = pending.written_sessions.clone();
        let timeout = self.attempt_timeout(pending, exploratory);
        let start_within = self.start_within(&needs, index);
        self.count_read(&needs, index);
        self.charge_slow_start(index, class);
        let attempt = self.requests.get_mut(&id).expect("found above").start_attempt();
        self.sends += 1;
        let endpoint = &mut self.topology[index];
        endpoint.last_send_number = self.sends;
        endpoint.last_sent_at = self.now;
        endpoint.next_trial_at = endpoint.next_trial_at.max(self.now + health::TRIAL_INTERVAL);
        let sent_at = self.now;
        endpoint.add_outstanding(OutstandingAttempt {
            request: id,
            attempt,
            class,
            needs,
            written_sessions,
            sent_at,
        });
        self.actions.push(Action::Send { request: id, endpoint: endpoint.id, timeout, start_within });
    }

    /// Returns the timeout of an attempt: the time for which the client still waits, or less for an
    /// exploratory attempt and for a request with an idempotency key. The timeout of a request that must run
    /// at most once is never shortened.
    ///
    /// The router waits for the client's deadline even if a late answer has no value. With an earlier
    /// timeout, an endpoint that still works on an abandoned attempt would count as idle, and clients
    /// would retry a request that is about to be answered.
    fn attempt_timeout(&self, pending: &PendingRequest, exploratory: bool) -> Micros {
        let unloaded = self.unloaded_latency(pending.request.class);
        let limit = match pending.needs.idempotency {
            Idempotency::AtMostOnce => f64::INFINITY,
            _ if exploratory => unloaded * EXPLORATORY_TIMEOUT_MULTIPLE,
            Idempotency::Keyed { window, .. } => {
                (window as f64 * ATTEMPT_WINDOW_SHARE).max(KEYED_TIMEOUT_MULTIPLE * unloaded)
            }
            Idempotency::Idempotent => f64::INFINITY,
        };
        pending.deadline.saturating_sub(self.now).min(limit as Micros).max(1)
    }

    /// Returns how long an attempt may wait for its connection.
    ///
    /// The wait is limited only where endpoints serve stale data. While a read waits, the data of its
    /// replica can become older than the read allows, and the primary can step down and serve stale data.
    fn start_within(&self, needs: &Needs, index: EndpointIndex) -> Micros {
        if !self.settings.endpoints_serve_stale() || !needs.has_freshness() {
            return Micros::MAX;
        }
        match (self.topology.role(index), needs.staleness_bound) {
            (Role::Primary, _) => ANSWER_VALIDITY / 2,
            // A search for the primary: a replica rejects the write, and with it all that it came with.
            (Role::Replica, _) if needs.writes => Micros::MAX,
            (Role::Replica, None) => Micros::MAX,
            (Role::Replica, Some(bound)) => {
                let clock = self.topology.clock_of(index);
                let position = self.topology[index].replication.known_position(clock, self.now);
                let group_time = clock.group_time(self.now).unwrap_or(Micros::MAX);
                (position + bound).saturating_sub(group_time.saturating_add(process_pause_margin(bound)))
            }
        }
    }

    /// Gives the final answer to a request that is not served: a rejection, with a randomly spread retry
    /// delay, if the client may safely retry, and a failure otherwise.
    pub(super) fn give_up(&mut self, id: RequestId, reason: GiveUpReason) {
        let Some(pending) = self.requests.get(&id) else { return };
        let class = &self.settings.classes[pending.request.class];
        let has_not_run = pending.first_run_at.is_none() && pending.in_flight.is_none();
        let ruled_out = pending.ruled_out;
        if has_not_run || pending.needs.idempotency.is_repeatable_anywhere() {
            let spread = class.latency_objective / 2;
            let wait = (spread + self.random.below(spread)).min(self.settings.max_retry_after);
            let retry_after = if self.settings.retry_after { wait } else { 0 };
            self.actions.push(Action::Reject { request: id, retry_after, reason, ruled_out });
        } else {
            self.actions.push(Action::Fail { request: id, reason, ruled_out });
        }
        self.finish(id);
    }

    /// Drops a request that has its final answer or whose client has disconnected, and cancels its attempt in
    /// flight.
    pub(crate) fn finish(&mut self, id: RequestId) {
        let in_flight = self.requests.remove(&id).and_then(|pending| pending.in_flight);
        let cancel = |attempt| Action::Cancel { request: id, attempt };
        self.actions.extend(in_flight.filter(|_| self.settings.cancel).map(cancel));
    }

    /// Reconsiders the held requests of a group: those that are due, or all of them if the group now has a
    /// primary other than `primary_before`.
    pub(super) fn resume_held_in_group(&mut self, group: GroupId, primary_before: Option<EndpointIndex>) {
        let primary = self.topology.primary(group);
        self.resume_held(Some(group), primary.is_some() && primary != primary_before);
    }

    /// Reconsiders the held requests of one group, or of all groups without `group`: those that are due,
    /// or all of them if the primary was just found.
    pub(super) fn resume_held(&mut self, group: Option<GroupId>, found_primary: bool) {
        let resumes = |pending: &PendingRequest| {
            let is_due = |until| found_primary || until <= self.now;
            pending.held_until.is_some_and(is_due) && group.is_none_or(|group| pending.request.group == group)
        };
        let held = self.requests.iter().filter(|(_, pending)| resumes(pending));
        for id in held.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.requests.get_mut(&id).expect("just listed").reset_round(found_primary);
            self.advance(id);
        }
    }
}
