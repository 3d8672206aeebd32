//! Pending requests: admission, deadlines, and the one final answer that each of them gets.

use super::timers::TimerEvent;
use super::{Core, Effect, FinalAnswer, NewRequest, Record};
use crate::{Event, GiveUpReason, Idempotency, Micros, RequestId, process_pause_margin};
use std::sync::Arc;

/// Answers are given this long before the client's deadline, so that they arrive in time.
const ANSWER_MARGIN: Micros = 5_000;
/// A request that has any time left is admitted with at least this much.
const MIN_REMAINING: Micros = 1_000;
/// The router answers requests at their deadline. The reducer does so itself this much later if the router
/// has not.
const DEADLINE_GRACE: Micros = 3_000;

/// A request without a final answer yet.
pub(super) struct PendingRequest<W> {
    pub class: usize,
    pub work: Arc<W>,
    pub deadline: Micros,
    /// The attempts that the router has requested, including those that were not sent.
    pub attempts: u32,
    /// Those of them that this machine could not make: they do not count towards the limit.
    pub local_errors: u32,
    pub idempotency: Idempotency,
    /// When the first attempt that the member may have executed was sent.
    pub first_maybe_executed_at: Option<Micros>,
}

impl<W> PendingRequest<W> {
    /// An attempt that was sent at this time may have been executed.
    pub fn mark_maybe_executed(&mut self, sent_at: Micros) {
        let earliest = self.first_maybe_executed_at.map_or(sent_at, |first| first.min(sent_at));
        self.first_maybe_executed_at = Some(earliest);
    }

    /// Whether another attempt could take effect a second time, which the request's class rules out.
    pub fn must_not_be_repeated(&self) -> bool {
        self.idempotency == Idempotency::AtMostOnce && self.first_maybe_executed_at.is_some()
    }

    /// How long a repeat may still be begun so that members recognize it by its idempotency key, though this
    /// proxy is paused before it writes; [`Micros::MAX`] where no key is needed.
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
        let Some(class) = self.settings.classes.get(request.class) else {
            let answer = FinalAnswer::Failed { maybe_executed: false };
            return self.answer_unserved(id, request.class, 0, answer, GiveUpReason::UnknownClass);
        };
        let idempotency = class.idempotency;
        self.counters.received += 1;
        if self.requests.len() >= self.settings.max_pending {
            let answer = FinalAnswer::Rejected { retry_after: 0 };
            return self.answer_unserved(id, request.class, 0, answer, GiveUpReason::TooManyPending);
        }
        let client_limit = request.remaining.saturating_sub(ANSWER_MARGIN);
        request.remaining = client_limit.min(self.time_until_shutdown(now));
        // A pipelined request may have waited for earlier commands until its deadline had passed.
        if request.remaining == 0 {
            let answer = FinalAnswer::Rejected { retry_after: 0 };
            return self.answer_unserved(id, request.class, 0, answer, GiveUpReason::NoTimeLeft);
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

    /// The client has disconnected: no answer is required any more.
    pub(super) fn abandon_request(&mut self, now: Micros, id: RequestId) {
        if self.requests.remove(&id).is_none() {
            return;
        }
        self.counters.abandoned += 1;
        self.release_request(now, id);
    }

    /// Answers a request at its deadline. Guards against a request that the router still holds then: the
    /// client must get its answer.
    pub(super) fn expire_request(&mut self, now: Micros, id: RequestId) {
        let Some(pending) = self.requests.remove(&id) else { return };
        let in_flight = self.jobs.values().any(|job| job.serves(id));
        let maybe_executed = in_flight || pending.first_maybe_executed_at.is_some();
        let retry_is_harmless = pending.idempotency == Idempotency::Idempotent || !maybe_executed;
        let answer = if retry_is_harmless {
            FinalAnswer::Rejected { retry_after: 0 }
        } else {
            FinalAnswer::Failed { maybe_executed }
        };
        self.answer_unserved(id, pending.class, pending.attempts, answer, GiveUpReason::Deadline);
        self.release_request(now, id);
    }

    /// Cancels the attempts of a request that is no longer pending.
    fn release_request(&mut self, now: Micros, id: RequestId) {
        self.notify_router(now, Event::ClientDisconnected(id));
        self.cancel_unsent(|_, job| job.serves(id));
    }

    /// Answers a request with a member's response.
    pub(super) fn serve_request(&mut self, id: RequestId, answer: A) {
        if let Some(pending) = self.requests.remove(&id) {
            self.answer(id, pending.class, FinalAnswer::Served(answer));
        }
    }

    /// Rejects a request on behalf of the router.
    pub(super) fn reject_request(&mut self, id: RequestId, retry_after: Micros, reason: GiveUpReason) {
        if let Some(pending) = self.requests.remove(&id) {
            let answer = FinalAnswer::Rejected { retry_after };
            self.answer_unserved(id, pending.class, pending.attempts, answer, reason);
        }
    }

    /// Fails a request on behalf of the router.
    pub(super) fn fail_request(&mut self, id: RequestId, reason: GiveUpReason) {
        if let Some(pending) = self.requests.remove(&id) {
            let maybe_executed = pending.first_maybe_executed_at.is_some();
            let answer = FinalAnswer::Failed { maybe_executed };
            self.answer_unserved(id, pending.class, pending.attempts, answer, reason);
        }
    }

    /// Gives a final answer to a request that is not served, and reports why.
    fn answer_unserved(
        &mut self,
        request: RequestId,
        class: usize,
        attempts: u32,
        answer: FinalAnswer<A>,
        reason: GiveUpReason,
    ) {
        let rejected = matches!(answer, FinalAnswer::Rejected { .. });
        let list_revision = self.list_revision;
        self.record(Record::NotServed { request, class, attempts, reason, rejected, list_revision });
        self.answer(request, class, answer);
    }

    /// The one place where a final answer is given and counted. An unknown class has no counters.
    fn answer(&mut self, request: RequestId, class: usize, answer: FinalAnswer<A>) {
        if let Some(counts) = self.counters.answers.get_mut(class) {
            counts.count(&answer);
        }
        self.effects.push(Effect::Answer { request, answer });
    }
}
