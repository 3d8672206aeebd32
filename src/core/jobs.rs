//! The jobs in flight, which are the attempts and health checks that connections run: their start, their
//! cancellation and their results.

use super::connections::JobConnection;
use super::timers::TimerEvent;
use super::{ConnectionId, Core, Effect, JobId, JobResult, JobSpec, Record};
use crate::{AttemptResult, EndpointId, Event, LoadReport, Micros, Outcome, RequestId, ResponseMetadata};

/// The time after which a health check without an answer has failed.
const PROBE_TIMEOUT: Micros = 250_000;
/// The shortest timeout of an attempt, however close the deadline of its request is.
const MIN_ATTEMPT_TIMEOUT: Micros = 1_000;
/// A reused connection that is reset within this time of the job's start counts as stale: the network
/// dropped it while it was idle.
const STALE_RESET_LIMIT: Micros = 10_000;

/// What a job is for.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum JobPurpose {
    /// An attempt of a request; `attempt` counts the request's attempts from 0.
    Attempt { request: RequestId, attempt: u32 },
    /// A health check of the job's endpoint.
    Probe,
}

/// Why a job is cancelled.
#[derive(Clone, Copy)]
pub(super) enum CancelReason {
    /// The job has reached its timeout.
    TimedOut,
    /// The result is not needed any more, or the job must not be started any more.
    NotNeeded,
}

/// A job that was given to a connection and has no result yet.
pub(super) struct InFlightJob {
    pub connection: ConnectionId,
    pub endpoint: EndpointId,
    pub purpose: JobPurpose,
    /// Whether the job runs on a connection that was idle in the pool, not on a new one.
    reused: bool,
    started_at: Micros,
    /// The reason given to [`Core::cancel_job`]; `None` if that has not been called for the job.
    cancel_reason: Option<CancelReason>,
}

impl InFlightJob {
    /// Whether the job is an attempt of this request.
    pub fn is_attempt_of(&self, id: RequestId) -> bool {
        matches!(self.purpose, JobPurpose::Attempt { request, .. } if request == id)
    }

    /// Whether the job is an attempt for which [`Core::cancel_job`] has not been called.
    fn is_live_attempt(&self) -> bool {
        matches!(self.purpose, JobPurpose::Attempt { .. }) && self.cancel_reason.is_none()
    }
}

/// An attempt that the router requests with [`Action::Send`](crate::Action::Send).
pub(super) struct AttemptOrder {
    pub request: RequestId,
    pub endpoint: EndpointId,
    pub timeout: Micros,
    /// The attempt must start within this time, or not at all; [`Micros::MAX`] for no limit.
    pub start_within: Micros,
}

impl<W, A> Core<W, A> {
    /// Starts an attempt. If that is not allowed or no connection is available, returns the event that
    /// notifies the router.
    pub(super) fn start_attempt(&mut self, now: Micros, order: AttemptOrder) -> Option<Event> {
        let AttemptOrder { request, endpoint, .. } = order;
        let pending = self.requests.get_mut(&request)?;
        let attempt = pending.attempts;
        pending.attempts += 1;
        // The router observes both conditions, too. The reducer checks them again, so that a fault of the
        // router can't cause a second execution.
        let counted_attempts = attempt - pending.local_errors;
        let allowed = counted_attempts < self.settings.max_attempts && !pending.must_not_be_repeated();
        let timeout = order.timeout.min(pending.deadline.saturating_sub(now)).max(MIN_ATTEMPT_TIMEOUT);
        // A retry that waits for its connection must not start once members may have forgotten its
        // idempotency key: they would execute it again.
        let start_within = order.start_within.min(pending.deduplication_time_left(now));
        let idempotency = pending.idempotency;
        let work = pending.work.clone();
        if !allowed {
            return Some(never_sent(request, attempt, endpoint));
        }
        let Some(connection) = self.check_out(endpoint) else {
            return Some(never_sent(request, attempt, endpoint));
        };
        let verify_connection = self.must_verify(now, &connection, idempotency);
        let spec = JobSpec::Attempt { request, work, timeout, start_within, verify_connection };
        let purpose = JobPurpose::Attempt { request, attempt };
        let job = self.start_job(now, connection, endpoint, purpose, timeout, spec);
        if start_within < timeout {
            self.timers.set(now.saturating_add(start_within), TimerEvent::StartLimit(job));
        }
        None
    }

    /// Starts a health check. If no connection is available, returns the event that notifies the router.
    pub(super) fn start_probe(&mut self, now: Micros, endpoint: EndpointId) -> Option<Event> {
        let Some(connection) = self.check_out(endpoint) else {
            return Some(Event::ProbeNotSent(endpoint));
        };
        self.start_job(now, connection, endpoint, JobPurpose::Probe, PROBE_TIMEOUT, JobSpec::Probe);
        None
    }

    fn start_job(
        &mut self,
        now: Micros,
        connection: JobConnection,
        endpoint: EndpointId,
        purpose: JobPurpose,
        timeout: Micros,
        spec: JobSpec<W>,
    ) -> JobId {
        self.last_job += 1;
        let job = self.last_job;
        let in_flight = InFlightJob {
            connection: connection.id,
            endpoint,
            purpose,
            reused: connection.idle_since.is_some(),
            started_at: now,
            cancel_reason: None,
        };
        self.jobs.insert(job, in_flight);
        self.timers.set(now + timeout, TimerEvent::JobTimeout(job));
        self.effects.push(Effect::StartJob { connection: connection.id, job, spec });
        job
    }

    /// Cancels a job, whether it has been sent or not. A second cancellation has no effect.
    pub(super) fn cancel_job(&mut self, id: JobId, reason: CancelReason) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.cancel_reason.is_some() {
            return;
        }
        job.cancel_reason = Some(reason);
        self.effects.push(Effect::CancelJob { connection: job.connection, job: id });
    }

    /// Cancels those of the selected attempts that have not been started. Without this, an attempt that
    /// waits for its connection to be opened or verified could start after its client has disconnected or
    /// its member has been listed as draining.
    pub(super) fn cancel_unsent(&mut self, selected: impl Fn(JobId, &InFlightJob) -> bool) {
        for (&id, job) in &self.jobs {
            if job.is_live_attempt() && selected(id, job) {
                self.effects.push(Effect::CancelUnsentJob { connection: job.connection, job: id });
            }
        }
    }

    /// Handles the reply to a cancellation. The job's outcome depends on whether it may have been sent.
    pub(super) fn job_cancelled(&mut self, now: Micros, id: JobId, maybe_sent: bool, reusable: bool) {
        let Some(job) = self.jobs.get(&id) else { return };
        let reason = job.cancel_reason.unwrap_or(CancelReason::NotNeeded);
        if !reusable {
            self.pool.mark_broken(job.connection);
        }
        let outcome = match reason {
            // The job waited for the reply to a liveness check or to the messages before an Execute, and the
            // member did not send it by the timeout: the member counts as unreachable.
            CancelReason::TimedOut if !maybe_sent && !reusable => Outcome::ConnectFailed,
            _ if !maybe_sent => Outcome::NeverSent,
            CancelReason::TimedOut => Outcome::TimedOut,
            CancelReason::NotNeeded => Outcome::Cancelled,
        };
        self.finish_job(now, id, JobResult::from_outcome(outcome));
    }

    /// Handles the result of a job. A result that was in transit when the job was cancelled is ignored,
    /// because the cancellation has ended the job.
    pub(super) fn finish_job(&mut self, now: Micros, id: JobId, result: JobResult<A>) {
        let Some(job) = self.jobs.remove(&id) else { return };
        match job.purpose {
            JobPurpose::Attempt { request, attempt } => {
                self.finish_attempt(now, &job, request, attempt, result);
            }
            JobPurpose::Probe if result.outcome == Outcome::LocalError => {
                self.notify_router(now, Event::ProbeNotSent(job.endpoint));
            }
            JobPurpose::Probe => {
                let answered = result.outcome == Outcome::Ok;
                let report = result.report;
                self.notify_router(now, Event::ProbeEnded { endpoint: job.endpoint, answered, report });
            }
        }
    }

    fn finish_attempt(
        &mut self,
        now: Micros,
        job: &InFlightJob,
        request: RequestId,
        attempt: u32,
        result: JobResult<A>,
    ) {
        let JobResult { outcome, metadata, report, answer } = result;
        if may_have_executed(outcome)
            && let Some(pending) = self.requests.get_mut(&request)
        {
            pending.mark_maybe_executed(job.started_at);
        }
        if outcome == Outcome::LocalError
            && let Some(pending) = self.requests.get_mut(&request)
        {
            pending.local_errors += 1;
        }
        // `NeverSent` with a response: the member rejected the statement itself with an error. That says
        // nothing about the member, and the error is the response for the client.
        if matches!(outcome, Outcome::Ok | Outcome::NeverSent)
            && let Some(answer) = answer
        {
            self.serve_request(request, answer);
        }
        let elapsed = now.saturating_sub(job.started_at);
        // An attempt that was cancelled because its request has ended is not a failure.
        let was_cancelled = matches!(outcome, Outcome::NeverSent | Outcome::Cancelled);
        let is_obsolete = was_cancelled && !self.requests.contains_key(&request);
        if outcome != Outcome::Ok && !is_obsolete {
            let (endpoint, list_revision) = (job.endpoint, self.list_revision);
            self.record(Record::AttemptFailed {
                request,
                attempt,
                endpoint,
                outcome,
                elapsed,
                list_revision,
            });
        }
        if outcome == Outcome::Reset && job.reused && elapsed < STALE_RESET_LIMIT {
            self.require_revalidation(now);
        }
        let finished = !self.requests.contains_key(&request);
        let ended = AttemptResult {
            request,
            attempt,
            endpoint: job.endpoint,
            outcome,
            elapsed,
            metadata,
            finished,
            report,
        };
        self.notify_router(now, Event::AttemptEnded(ended));
    }
}

/// Whether the member may have executed an attempt with this outcome.
fn may_have_executed(outcome: Outcome) -> bool {
    match outcome {
        Outcome::ConnectFailed
        | Outcome::RejectedByMember
        | Outcome::NotServable
        | Outcome::NeverSent
        | Outcome::LocalError => false,
        Outcome::Ok | Outcome::Error | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled => true,
    }
}

/// The event for an attempt that ended before anything was sent.
fn never_sent(request: RequestId, attempt: u32, endpoint: EndpointId) -> Event {
    Event::AttemptEnded(AttemptResult {
        request,
        attempt,
        endpoint,
        outcome: Outcome::NeverSent,
        elapsed: 0,
        metadata: ResponseMetadata::default(),
        finished: false,
        report: LoadReport::default(),
    })
}
