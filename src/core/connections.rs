//! The reducer's part in managing connections to members: endpoint list updates, checkout and check-in for
//! jobs, eviction of idle connections, and the decision whether to verify one before reuse.

use super::pool::{CheckIn, Checkout, EvictedConnection};
use super::timers::TimerEvent;
use super::{CloseReason, ConnectionId, Core, Effect, JobResult, ListedMember, Record};
use crate::{EndpointId, EndpointState, Event, Idempotency, Micros, Outcome};
use std::collections::BTreeSet;

/// How often the pool is searched for connections that have been idle for too long.
pub(super) const EVICTION_INTERVAL: Micros = 1_000_000;
/// Idle connections are closed at this percentage of the idle timeout after which a member closes them.
///
/// With a low percentage, a proxy that sends a member one request about every ten seconds would open a new
/// connection for each request, which costs the member work and delays the request. The remaining time must
/// cover an eviction interval and the delays of a slow proxy, so that the proxy closes the connection
/// before the member does.
const IDLE_EVICTION_PERCENT: Micros = 80;
/// For this long after a stale connection was found, every idle connection is verified before an attempt
/// reuses it.
const REVALIDATION_PERIOD: Micros = 10_000_000;
/// A connection that was idle for at least this long is verified before a request that must not be executed
/// twice.
const VERIFY_WRITES_AFTER_IDLE: Micros = 1_000_000;

/// The connection that a job runs on.
pub(super) struct JobConnection {
    pub id: ConnectionId,
    /// When the connection became idle; `None` for a new connection.
    pub idle_since: Option<Micros>,
}

impl<W, A> Core<W, A> {
    /// Applies an endpoint list update to the pool and the router. Closes the idle connections that it
    /// makes unusable, and cancels the unsent attempts to members that it takes out of service.
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

    /// Checks out an idle connection to a member, or opens a new one. Returns `None` if the member's
    /// address is unknown or the pool has no capacity left.
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

    /// Returns a connection to the pool after its job, or closes it if it can't be reused.
    pub(super) fn check_in(&mut self, now: Micros, connection: ConnectionId) {
        if self.pool.check_in(connection, now) == CheckIn::Close {
            self.close_connections([connection], CloseReason::Unusable);
        }
    }

    /// Handles the end of a connection. A job whose result has not been reported counts as reset, because its
    /// progress is unknown; without this, its request would stay in flight until a timeout.
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

    /// Closes the connections whose idle time has reached [`IDLE_EVICTION_PERCENT`] of the idle timeout.
    pub(super) fn evict_idle(&mut self, now: Micros) {
        self.timers.set(now + EVICTION_INTERVAL, TimerEvent::EvictIdle);
        let max_idle_time = self.settings.idle_timeout * IDLE_EVICTION_PERCENT / 100;
        let to_close = self.pool.evict_idle_since(now.saturating_sub(max_idle_time));
        self.close_connections(to_close, CloseReason::Idle);
    }

    /// Has idle connections verified before reuse for [`REVALIDATION_PERIOD`]. Called when a stale
    /// connection is found: whatever dropped it while it was idle may have dropped other idle connections
    /// as well.
    pub(super) fn require_revalidation(&mut self, now: Micros) {
        self.revalidate_until = now + REVALIDATION_PERIOD;
    }

    /// Whether the connection must be verified before an attempt is written to it. The first bytes written
    /// to a connection that the network dropped while it was idle are lost, and a write among them would
    /// count as one that may have been executed.
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

    /// Closes connections for this reason. [`Input::ConnectionClosed`](super::Input::ConnectionClosed)
    /// follows for each of them.
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
