//! Pending requests: their admission, their deadlines, and the final answer that each of them gets exactly
//! once.

use super::timers::TimerEvent;
use super::{Core, Effect, FinalAnswer, NewRequest, Record};
use crate::{Event, GiveUpReason, Idempotency, Micros, PerNeed, RequestId, process_pause_margin};
use std::sync::Arc;

/// The proxy answers a request this long before the client's deadline, so that the answer arrives in time.
const ANSWER_MARGIN: Micros = 5_000;
/// The least remaining time with which a request is admitted; a request with less time left gets this much.
const MIN_REMAINING: Micros = 1_000;
/// How long after a request's deadline the reducer answers it, if the router has not done so at the deadline.
const DEADLINE_GRACE: Micros = 3_000;

/// Why a request is not served.
pub(super) struct Unserved {
    pub reason: GiveUpReason,
    /// How many members each need ruled out when the router last considered the request.
    pub ruled_out: PerNeed<u64>,
}

impl From<GiveUpReason> for Unserved {
    /// The reason of a request that the router was not asked for.
    fn from(reason: GiveUpReason) -> Self {
        Unserved { reason, ruled_out: PerNeed::default() }
    }
}

/// A request without a final answer yet.
pub(super) struct PendingRequest<W> {
    pub class: usize,
    pub work: Arc<W>,
    pub deadline: Micros,
    /// The number of attempts that the router has requested, including those that were not sent.
    pub attempts: u32,
    /// The number of those attempts that failed because this machine lacked a resource. They do not count
    /// towards the limit of attempts.
    pub local_errors: u32,
    pub idempotency: Idempotency,
    /// When the first attempt that a member may have executed was started; `None` if there was none.
    pub first_maybe_executed_at: Option<Micros>,
}

impl<W> PendingRequest<W> {
    /// Records that an attempt started at this time may have been executed.
    pub fn mark_maybe_executed(&mut self, started_at: Micros) {
        let earliest = self.first_maybe_executed_at.map_or(started_at, |first| first.min(started_at));
        self.first_maybe_executed_at = Some(earliest);
    }

    /// Whether a further attempt could execute the request a second time although its class forbids that.
    pub fn must_not_be_repeated(&self) -> bool {
        self.idempotency == Idempotency::AtMostOnce && self.first_maybe_executed_at.is_some()
    }

    /// The time within which a retry must start so that members still recognize its idempotency key. Leaves a
    /// margin for a pause of this process between the decision and the write. [`Micros::MAX`] if no attempt
    /// may have been executed yet, or if the class uses no key.
    pub fn deduplication_time_left(&self, now: Micros) -> Micros {
        match (self.idempotency, self.first_maybe_executed_at) {
            (Idempotency::Keyed { window, .. }, Some(first)) => {
                (first + window).saturating_sub(now + process_pause_margin(window))
            }
            _ => Micros::MAX,
        }
    }
}

impl<W, A> Core<W, A> {
    /// Admits a request and passes it to the router, or rejects it.
    pub(super) fn admit_request(&mut self, now: Micros, new_request: NewRequest<W>) {
        let NewRequest { mut request, work } = new_request;
        let id = request.id;
        let Some(idempotency) = self.settings.idempotency_of(&request) else {
            let answer = FinalAnswer::Failed { maybe_executed: false };
            return self.answer_unserved(id, request.class, 0, answer, GiveUpReason::UnknownClass.into());
        };
        self.counters.received += 1;
        if self.requests.len() >= self.settings.max_pending {
            let answer = FinalAnswer::Rejected { retry_after: 0 };
            return self.answer_unserved(id, request.class, 0, answer, GiveUpReason::TooManyPending.into());
        }
        let client_limit = request.remaining.saturating_sub(ANSWER_MARGIN);
        request.remaining = client_limit.min(self.time_until_shutdown(now));
        // A pipelined request waits for the commands before it, possibly until its deadline has passed.
        if request.remaining == 0 {
            let answer = FinalAnswer::Rejected { retry_after: 0 };
            return self.answer_unserved(id, request.class, 0, answer, GiveUpReason::NoTimeLeft.into());
        }
        request.remaining = request.remaining.max(MIN_REMAINING);
        let deadline = now + request.remaining;
        let pending = PendingRequest {
            class: request.class,
            work,
            deadline,
            attempts: 0,
            local_errors: 0,
            idempotency,
            first_maybe_executed_at: None,
        };
        self.requests.insert(id, pending);
        self.timers.set(deadline + DEADLINE_GRACE, TimerEvent::RequestDeadline(id));
        self.notify_router(now, Event::Request(request));
    }

    /// Drops a request whose client has disconnected or has cancelled it: no answer is required any more.
    pub(super) fn abandon_request(&mut self, now: Micros, id: RequestId) {
        if self.requests.remove(&id).is_none() {
            return;
        }
        self.counters.abandoned += 1;
        self.release_request(now, id);
    }

    /// Answers a request that is still pending at its deadline, so that the client gets an answer even if the
    /// router has not given one.
    pub(super) fn expire_request(&mut self, now: Micros, id: RequestId) {
        let Some(pending) = self.requests.remove(&id) else { return };
        let answer = self.rejection(id, &pending, 0);
        self.answer_unserved(id, pending.class, pending.attempts, answer, GiveUpReason::Deadline.into());
        self.release_request(now, id);
    }

    /// Notifies the router that a request is no longer pending, and cancels its unsent attempts.
    fn release_request(&mut self, now: Micros, id: RequestId) {
        self.notify_router(now, Event::ClientDisconnected(id));
        self.cancel_unsent(|_, job| job.is_attempt_of(id));
    }

    /// Answers a request with a member's response.
    pub(super) fn serve_request(&mut self, id: RequestId, answer: A) {
        if let Some(pending) = self.requests.remove(&id) {
            self.answer(id, pending.class, FinalAnswer::Served(answer));
        }
    }

    /// Rejects a pending request, as the router has decided.
    pub(super) fn reject_request(&mut self, id: RequestId, retry_after: Micros, why: Unserved) {
        if let Some(pending) = self.requests.remove(&id) {
            let answer = self.rejection(id, &pending, retry_after);
            self.answer_unserved(id, pending.class, pending.attempts, answer, why);
        }
    }

    /// The answer to a request that is not served: a rejection, which says that nothing was executed, or a
    /// failure if a member may have executed it. The router also rejects a request of a class that allows
    /// repeats after it may have been executed.
    fn rejection(&self, id: RequestId, pending: &PendingRequest<W>, retry_after: Micros) -> FinalAnswer<A> {
        if self.may_have_run(id, pending) {
            FinalAnswer::Failed { maybe_executed: true }
        } else {
            FinalAnswer::Rejected { retry_after }
        }
    }

    fn may_have_run(&self, id: RequestId, pending: &PendingRequest<W>) -> bool {
        let in_flight = self.jobs.values().any(|job| job.is_attempt_of(id));
        in_flight || pending.first_maybe_executed_at.is_some()
    }

    /// Whether a member may have executed a pending request.
    pub fn may_have_executed(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|pending| self.may_have_run(id, pending))
    }

    /// Fails a pending request, as the router has decided.
    pub(super) fn fail_request(&mut self, id: RequestId, why: Unserved) {
        if let Some(pending) = self.requests.remove(&id) {
            let maybe_executed = pending.first_maybe_executed_at.is_some();
            let answer = FinalAnswer::Failed { maybe_executed };
            self.answer_unserved(id, pending.class, pending.attempts, answer, why);
        }
    }

    /// Answers a request that is not served, and records the reason.
    fn answer_unserved(
        &mut self,
        request: RequestId,
        class: usize,
        attempts: u32,
        answer: FinalAnswer<A>,
        why: Unserved,
    ) {
        let Unserved { reason, ruled_out } = why;
        let rejected = matches!(answer, FinalAnswer::Rejected { .. });
        let list_revision = self.list_revision;
        self.record(Record::NotServed {
            request,
            class,
            attempts,
            reason,
            ruled_out,
            rejected,
            list_revision,
        });
        self.answer(request, class, answer);
    }

    /// Gives and counts a final answer. All final answers pass through this method. Answers to requests of an
    /// unknown class are not counted.
    fn answer(&mut self, request: RequestId, class: usize, answer: FinalAnswer<A>) {
        if let Some(counts) = self.counters.answers.get_mut(class) {
            counts.count(&answer);
        }
        self.effects.push(Effect::Answer { request, answer });
    }
}
