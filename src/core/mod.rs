//! The reducer: `(state, now, input) -> effects`.
//!
//! [`Core`] owns the [`Router`], the pending requests, the jobs in flight, the timers and the accounting of
//! the connection pool. Its state changes only in [`Core::step`]. It deals with requests, attempts and their
//! outcomes and is independent of the wire format: it passes on a request's work (`W`) and its response (`A`)
//! without inspecting them.

mod connections;
mod counters;
mod jobs;
mod messages;
mod pool;
mod records;
mod requests;
mod routing;
mod shutdown;
#[cfg(test)]
mod tests;
mod timers;

pub use counters::Counters;
pub use messages::{Effect, FinalAnswer, Input, JobId, JobResult, JobSpec, ListedMember, NewRequest};
pub use pool::ConnectionId;
pub use records::{CloseReason, Record, RecordKind};

use crate::{EndpointCounts, Event, Micros, RequestId, Router, Settings};
use connections::EVICTION_INTERVAL;
use counters::MemberCounts;
use jobs::{CancelReason, InFlightJob};
use pool::Pool;
use requests::PendingRequest;
use std::collections::BTreeMap;
use timers::{TimerEvent, Timers};

/// The limits of a reducer, which follow from those of the process.
#[derive(Clone, Copy, Debug)]
pub struct CoreLimits {
    /// The most connections to members.
    pub member_connections: usize,
    /// The most bytes of the last commits of sessions.
    pub session_commit_bytes: usize,
}

/// The reducer: holds all state that the proxy's decisions depend on, and changes it in [`Core::step`].
pub struct Core<W, A> {
    settings: Settings,
    router: Router,
    requests: BTreeMap<RequestId, PendingRequest<W>>,
    jobs: BTreeMap<JobId, InFlightJob>,
    last_job: JobId,
    pool: Pool,
    timers: Timers,
    /// When the proxy stops running; `None` until a shutdown is requested.
    shutdown_deadline: Option<Micros>,
    /// Until this time, every idle connection is verified before an attempt reuses it.
    revalidate_until: Micros,
    counters: Counters,
    /// The revision of the endpoint list in use.
    list_revision: u64,
    /// The effects that the current step has requested; empty between steps.
    effects: Vec<Effect<W, A>>,
}

impl<W, A> Core<W, A> {
    /// Creates a reducer with an empty endpoint list. `seed` seeds the router's random decisions.
    pub fn new(settings: Settings, seed: u64, now: Micros, limits: CoreLimits) -> Self {
        let mut timers = Timers::default();
        timers.set(now + EVICTION_INTERVAL, TimerEvent::EvictIdle);
        Core {
            counters: Counters::new(settings.classes.len()),
            router: Router::with_unknown_clock(settings.clone(), seed, now)
                .with_commit_memory(limits.session_commit_bytes),
            settings,
            requests: BTreeMap::new(),
            jobs: BTreeMap::new(),
            last_job: 0,
            pool: Pool::new(limits.member_connections),
            timers,
            shutdown_deadline: None,
            revalidate_until: 0,
            list_revision: 0,
            effects: Vec::new(),
        }
    }

    /// The time at which the next [`Input::TimerDue`] is due; `None` if no timer is set.
    pub fn next_timer_at(&self) -> Option<Micros> {
        self.timers.next_due_at()
    }

    /// The number of requests without a final answer.
    pub fn pending_requests(&self) -> usize {
        self.requests.len()
    }

    /// The current counters. Every request counted as received is also counted as pending, answered or
    /// abandoned.
    pub fn counters(&self) -> Counters {
        let EndpointCounts { listed, avoided } = self.router.endpoint_counts();
        Counters {
            pending: self.requests.len(),
            routing: self.router.routing_counts(),
            members: MemberCounts { listed, unavailable: avoided },
            list_revision: self.list_revision,
            ..self.counters.clone()
        }
    }

    /// Handles one input and returns the effects to carry out, in order.
    pub fn step(&mut self, now: Micros, input: Input<W, A>) -> Vec<Effect<W, A>> {
        match input {
            Input::RequestReceived(request) => self.admit_request(now, request),
            Input::ClientDisconnected(request) => self.abandon_request(now, request),
            Input::EndpointUpdate { revision, complete, members } => {
                self.list_revision = revision;
                self.apply_endpoint_update(now, complete, members);
            }
            Input::JobFinished { connection, job, result, reusable } => {
                if reusable {
                    self.check_in(now, connection);
                }
                self.finish_job(now, job, result);
            }
            Input::AttemptWritten => self.counters.attempts_written += 1,
            Input::ConnectionIdle(connection) => self.check_in(now, connection),
            Input::StaleConnectionFound => self.require_revalidation(now),
            Input::ConnectionClosed(connection) => self.connection_closed(now, connection),
            Input::JobCancelled { job, maybe_sent, reusable } => {
                self.job_cancelled(now, job, maybe_sent, reusable);
            }
            Input::ShutdownRequested { deadline } => self.begin_shutdown(deadline),
            Input::TimerDue => self.fire_due_timers(now),
        }
        std::mem::take(&mut self.effects)
    }

    /// Counts a record and requests that it is written to the log.
    fn record(&mut self, record: Record) {
        self.counters.count(record.key());
        self.effects.push(Effect::Record(record));
    }

    /// Fires the timers that are due, up to and including the first one that requests an effect, so that the
    /// reply to the effect arrives before the next timer fires. After a process pause, the timeout of an
    /// attempt and the deadline of its request may be due together: at the deadline, an attempt whose
    /// cancellation has not been carried out would count as one that may have been executed.
    fn fire_due_timers(&mut self, now: Micros) {
        while self.effects.is_empty()
            && let Some(event) = self.timers.pop_due(now)
        {
            match event {
                TimerEvent::Router(token) => self.notify_router(now, Event::TimerFired(token)),
                TimerEvent::JobTimeout(job) => self.cancel_job(job, CancelReason::TimedOut),
                // The conditions under which the router chose the member may have changed, or the idempotency
                // key of a retry is about to expire.
                TimerEvent::StartLimit(job) => self.cancel_unsent(|id, _| id == job),
                TimerEvent::RequestDeadline(request) => self.expire_request(now, request),
                TimerEvent::EvictIdle => self.evict_idle(now),
            }
        }
    }
}
