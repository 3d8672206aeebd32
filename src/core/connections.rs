//! The connections to members: endpoint updates, checkout and check-in, and verification of idle ones.

use super::pool::{CheckIn, Checkout, EvictedConnection};
use super::timers::TimerEvent;
use super::{CloseReason, ConnectionId, Core, Effect, JobResult, ListedMember, Record};
use crate::{EndpointId, EndpointState, Event, Idempotency, Micros, Outcome};
use std::collections::BTreeSet;

/// The interval between two searches for connections that have been idle for too long.
pub(super) const EVICTION_INTERVAL: Micros = 1_000_000;
/// Idle connections are closed at this percentage of the time after which a member closes them. Guards
/// against a new connection for each request where a proxy needs a member every ten seconds or so: opening
/// one costs the member's work and the request's time. The rest must cover an eviction interval and a slow
/// proxy.
const KEPT_PERCENT_OF_IDLE_TIMEOUT: Micros = 80;
/// For this long after a stale connection was found, all idle connections are verified before reuse.
const REVALIDATION_PERIOD: Micros = 10_000_000;
/// A connection that was idle for this long is verified before a write that must not be executed twice.
const VERIFY_WRITES_AFTER_IDLE: Micros = 1_000_000;

/// The connection that a job is given.
pub(super) struct JobConnection {
    pub id: ConnectionId,
    /// Since when it was idle; `None` if it is new.
    pub idle_since: Option<Micros>,
}

impl<W, A> Core<W, A> {
    /// Applies an update of the endpoint list, and cancels unsent attempts to members out of service.
    pub(super) fn apply_endpoint_update(&mut self, now: Micros, complete: bool, members: Vec<ListedMember>) {
        let to_close = self.pool.apply_endpoint_update(now, complete, &members);
        self.close_connections(to_close, CloseReason::EndpointListChange);
        let mut in_service = BTreeSet::new();
        let mut out_of_service = BTreeSet::new();
        for ListedMember { entry, .. } in &members {
            match entry.state {
                EndpointState::Ready => in_service.insert(entry.endpoint),
                EndpointState::Draining | EndpointState::Removed => out_of_service.insert(entry.endpoint),
            };
        }
        let endpoints = members.into_iter().map(|member| member.entry).collect();
        self.notify_router(now, Event::EndpointUpdate { complete, endpoints });
        self.cancel_unsent(|_, job| {
            let removed = complete && !in_service.contains(&job.endpoint);
            removed || out_of_service.contains(&job.endpoint)
        });
    }

    /// Checks out a connection to a member; opens one if none is idle.
    pub(super) fn check_out(&mut self, endpoint: EndpointId) -> Option<JobConnection> {
        match self.pool.check_out(endpoint) {
            Checkout::Unavailable => None,
            Checkout::Reused { connection, idle_since } => {
                Some(JobConnection { id: connection, idle_since: Some(idle_since) })
            }
            Checkout::New { connection, address, evicted } => {
                if let Some(EvictedConnection { connection, endpoint }) = evicted {
                    let reason = CloseReason::Capacity;
                    self.record(Record::ConnectionClosed { connection, endpoint, reason });
                    self.effects.push(Effect::CloseConnection(connection));
                }
                self.effects.push(Effect::OpenConnection { connection, address });
                Some(JobConnection { id: connection, idle_since: None })
            }
        }
    }

    /// Checks in a connection.
    pub(super) fn check_in(&mut self, now: Micros, connection: ConnectionId) {
        if self.pool.check_in(connection, now) == CheckIn::Close {
            self.close_connections([connection], CloseReason::Unusable);
        }
    }

    /// A connection has been closed. Guards against one that ends without reporting its job: the progress of
    /// that job is unknown.
    pub(super) fn connection_closed(&mut self, now: Micros, connection: ConnectionId) {
        if let Some((endpoint, reason)) = self.pool.remove(connection) {
            self.record(Record::ConnectionClosed { connection, endpoint, reason });
        }
        let orphaned = self.jobs.iter().filter(|(_, job)| job.connection == connection);
        let orphaned: Vec<_> = orphaned.map(|(id, _)| *id).collect();
        for job in orphaned {
            self.finish_job(now, job, JobResult::from_outcome(Outcome::Reset));
        }
    }

    /// Closes the connections that have been idle for too long.
    pub(super) fn evict_idle(&mut self, now: Micros) {
        self.timers.set(now + EVICTION_INTERVAL, TimerEvent::EvictIdle);
        let keep_for = self.settings.idle_timeout * KEPT_PERCENT_OF_IDLE_TIMEOUT / 100;
        let to_close = self.pool.evict_idle_since(now.saturating_sub(keep_for));
        self.close_connections(to_close, CloseReason::Idle);
    }

    /// A connection was dropped by the network while it was idle: the others may have been as well.
    pub(super) fn require_revalidation(&mut self, now: Micros) {
        self.revalidate_until = now + REVALIDATION_PERIOD;
    }

    /// Whether a connection must be verified before an attempt. Guards against one that was dropped by the
    /// network while it was idle: the first bytes written to it are lost, and a write would count as one that
    /// may have been executed.
    pub(super) fn must_verify(
        &self,
        now: Micros,
        connection: &JobConnection,
        idempotency: Idempotency,
    ) -> bool {
        let Some(idle_since) = connection.idle_since else { return false };
        let long_idle = now.saturating_sub(idle_since) >= VERIFY_WRITES_AFTER_IDLE;
        now < self.revalidate_until || (idempotency == Idempotency::AtMostOnce && long_idle)
    }

    /// Closes connections; each is reported once it is closed.
    fn close_connections(
        &mut self,
        connections: impl IntoIterator<Item = ConnectionId>,
        reason: CloseReason,
    ) {
        for connection in connections {
            self.pool.mark_closing(connection, reason);
            self.effects.push(Effect::CloseConnection(connection));
        }
    }
}
