//! Both fronts, and the registry of requests that they share.

use crate::client::{ClientBatch, ClientEvent, ClientId, SimpleQuery};
use crate::core::FinalAnswer;
use crate::exchange::MemberResponse;
use crate::front::platform::Platform;
use crate::front::postgres::Postgres;
use crate::front::{ConnectionManager, FrontEffect, RequestRegistry, ServiceState};
use crate::{Micros, RequestId};

/// A summary of the connections of both fronts that have made a request.
pub(super) struct AllRetainedConnections {
    /// The number of these connections, idle or not.
    pub(super) count: usize,
    /// The time from which the connection that has been idle longest may be closed, and that connection.
    pub(super) longest_idle: Option<(Micros, ClientId)>,
}

/// The platform's front and, if it is configured, the extended front.
pub(super) struct Fronts {
    platform: ConnectionManager<Platform>,
    postgres: Option<ConnectionManager<Postgres>>,
    requests: RequestRegistry,
}

impl Fronts {
    /// Creates fronts without connections. At most `max_reordered_bytes` of replies may wait for earlier
    /// replies, half of them in each front.
    /// `id_memory_bytes` limits the memory of ids that must not run again.
    pub(super) fn new(
        postgres: Option<Postgres>,
        max_reordered_bytes: usize,
        id_memory_bytes: usize,
    ) -> Self {
        let max_reordered_bytes = max_reordered_bytes / 2;
        Fronts {
            platform: ConnectionManager::new(Platform, max_reordered_bytes),
            postgres: postgres.map(|postgres| ConnectionManager::new(postgres, max_reordered_bytes)),
            requests: RequestRegistry::within(id_memory_bytes),
        }
    }

    /// Handles an event of a client of the platform's front.
    pub(super) fn handle_platform_event(
        &mut self,
        now: Micros,
        client: ClientId,
        event: ClientEvent<SimpleQuery>,
    ) -> Vec<FrontEffect> {
        self.platform.handle_event(&mut self.requests, now, client, event)
    }

    /// Handles an event of a client of the extended front.
    pub(super) fn handle_extended_event(
        &mut self,
        now: Micros,
        client: ClientId,
        event: ClientEvent<ClientBatch>,
    ) -> Vec<FrontEffect> {
        match &mut self.postgres {
            Some(postgres) => postgres.handle_event(&mut self.requests, now, client, event),
            None => Vec::new(),
        }
    }

    /// Registers a new connection with its front. `secret` is the secret of its cancel key.
    pub(super) fn connect(
        &mut self,
        now: Micros,
        client: ClientId,
        extended: bool,
        secret: u32,
    ) -> Vec<FrontEffect> {
        match &mut self.postgres {
            Some(postgres) if extended => {
                postgres.handle_event(&mut self.requests, now, client, ClientEvent::Connected { secret })
            }
            _ => {
                self.platform.handle_event(&mut self.requests, now, client, ClientEvent::Connected { secret })
            }
        }
    }

    /// The client that sent this request; `None` if the request has ended.
    pub(super) fn client_of(&self, request: RequestId) -> Option<ClientId> {
        self.requests.client_of(request)
    }

    /// The id that the client gave this request, which is empty if it gave none; `None` if the request has
    /// ended.
    pub(super) fn external_id(&self, request: RequestId) -> Option<&[u8]> {
        self.requests.external_id(request)
    }

    /// Ends a request with this answer, and returns the client that sent it; `None` if the request had
    /// already ended.
    pub(super) fn close_request(
        &mut self,
        now: Micros,
        request: RequestId,
        answer: &FinalAnswer<MemberResponse>,
    ) -> Option<ClientId> {
        match answer {
            FinalAnswer::Served(_) => self.requests.close_served(request),
            FinalAnswer::Failed { maybe_executed: true } => self.requests.close_maybe_executed(request, now),
            FinalAnswer::Failed { maybe_executed: false } | FinalAnswer::Rejected { .. } => {
                self.requests.close(request)
            }
        }
    }

    /// Records whether an abandoned request may have run.
    pub(super) fn confirm_abandoned(&mut self, request: RequestId, may_have_run: bool) {
        self.requests.confirm_abandoned(request, may_have_run);
    }

    /// Records that a client's connection has ended, and whether the client may have left answers unread.
    pub(super) fn end_client(&mut self, now: Micros, client: ClientId, has_unread_answers: bool) {
        self.requests.end_client(client, has_unread_answers, now);
    }

    /// Passes the final answer to a request to the front of its client.
    pub(super) fn answer(
        &mut self,
        now: Micros,
        client: ClientId,
        extended: bool,
        request: RequestId,
        answer: FinalAnswer<MemberResponse>,
    ) -> Vec<FrontEffect> {
        match &mut self.postgres {
            Some(postgres) if extended => postgres.answer(&mut self.requests, now, client, request, answer),
            _ => self.platform.answer(&mut self.requests, now, client, request, answer),
        }
    }

    /// Sets the service state, and resumes commands that waited for the state to change.
    pub(super) fn set_service_state(&mut self, now: Micros, state: ServiceState) -> Vec<FrontEffect> {
        let mut effects = self.platform.set_service_state(state, &mut self.requests, now);
        if let Some(postgres) = &mut self.postgres {
            effects.extend(postgres.set_service_state(state, &mut self.requests, now));
        }
        effects
    }

    /// Closes idle connections, and from now on each connection when it becomes idle.
    pub(super) fn close_idle_connections(&mut self) -> Vec<FrontEffect> {
        let mut effects = self.platform.close_between_requests();
        if let Some(postgres) = &mut self.postgres {
            effects.extend(postgres.close_between_requests());
        }
        effects
    }

    /// The number of open connections.
    pub(super) fn open_connections(&self) -> usize {
        self.platform.connection_count()
            + self.postgres.as_ref().map_or(0, ConnectionManager::connection_count)
    }

    /// The connection to close first to free capacity for a new one; `None` if none may be closed.
    pub(super) fn eviction_candidate(&self, now: Micros) -> Option<ClientId> {
        let of_platform = self.platform.best_eviction_candidate(now);
        let of_postgres = self.postgres.as_ref().and_then(|postgres| postgres.best_eviction_candidate(now));
        of_platform.max(of_postgres).map(|candidate| candidate.client)
    }

    /// The connections that have made a request; their clients may keep them open indefinitely.
    pub(super) fn retained_connections(&self) -> AllRetainedConnections {
        let of_platform = self.platform.retained_connections();
        let of_postgres = self.postgres.as_ref().map(ConnectionManager::retained_connections);
        let of_postgres = of_postgres.unwrap_or_default();
        let evictable = of_platform.next_evictable.into_iter().chain(of_postgres.next_evictable);
        AllRetainedConnections {
            count: of_platform.count + of_postgres.count,
            longest_idle: evictable.min().map(|next| (next.evictable_at, next.client)),
        }
    }

    /// Restarts the idle time of a connection on which part of a command has arrived.
    pub(super) fn mark_active(&mut self, now: Micros, client: ClientId) {
        self.platform.mark_active(now, client);
        if let Some(postgres) = &mut self.postgres {
            postgres.mark_active(now, client);
        }
    }

    /// Removes a connection that has been closed while it was idle.
    pub(super) fn remove(&mut self, client: ClientId) {
        self.platform.remove_connection(client);
        if let Some(postgres) = &mut self.postgres {
            postgres.remove_connection(client);
        }
    }
}
