//! Both fronts and the requests that they share.

use crate::client::{ClientBatch, ClientEvent, ClientId, SimpleQuery};
use crate::core::FinalAnswer;
use crate::exchange::MemberResponse;
use crate::front::platform::Platform;
use crate::front::postgres::Postgres;
use crate::front::{ConnectionManager, FrontEffect, RequestRegistry, ServiceState};
use crate::{Micros, RequestId};

/// Connections that have sent a request and are kept open.
pub(super) struct RetainedConnections {
    /// How many there are.
    pub(super) count: usize,
    /// The one that has been idle longest, with the time from which it may be closed.
    pub(super) longest_idle: Option<(Micros, ClientId)>,
}

/// The platform's front and, where configured, the extended front.
pub(super) struct Fronts {
    platform: ConnectionManager<Platform>,
    postgres: Option<ConnectionManager<Postgres>>,
    requests: RequestRegistry,
}

impl Fronts {
    /// Fronts without connections. In each, this many bytes of replies may wait for earlier replies.
    pub(super) fn new(postgres: Option<Postgres>, max_reordered_bytes: usize) -> Self {
        Fronts {
            platform: ConnectionManager::new(Platform, max_reordered_bytes),
            postgres: postgres.map(|postgres| ConnectionManager::new(postgres, max_reordered_bytes)),
            requests: RequestRegistry::default(),
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

    /// Registers a new client.
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

    /// The client that sent a request which has not ended.
    pub(super) fn client_of(&self, request: RequestId) -> Option<ClientId> {
        self.requests.client_of(request)
    }

    /// The id that its client gave an open request; empty if it gave none.
    pub(super) fn external_id(&self, request: RequestId) -> Option<&[u8]> {
        self.requests.external_id(request)
    }

    /// Ends a request; returns the client that sent it, unless it had already ended.
    pub(super) fn close_request(&mut self, request: RequestId) -> Option<ClientId> {
        self.requests.close(request)
    }

    /// Gives a client the final answer to its request.
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

    /// Sets whether the proxy is in service, and resumes commands that waited for that.
    pub(super) fn set_service_state(&mut self, now: Micros, state: ServiceState) -> Vec<FrontEffect> {
        let mut effects = self.platform.set_service_state(state, &mut self.requests, now);
        if let Some(postgres) = &mut self.postgres {
            effects.extend(postgres.set_service_state(state, &mut self.requests, now));
        }
        effects
    }

    /// Starts to close connections between requests.
    pub(super) fn close_idle_connections(&mut self) -> Vec<FrontEffect> {
        let mut effects = self.platform.close_between_requests();
        if let Some(postgres) = &mut self.postgres {
            effects.extend(postgres.close_between_requests());
        }
        effects
    }

    /// How many connections are open.
    pub(super) fn open_connections(&self) -> usize {
        self.platform.connection_count()
            + self.postgres.as_ref().map_or(0, ConnectionManager::connection_count)
    }

    /// The connection to close first to free capacity for another.
    pub(super) fn eviction_candidate(&self, now: Micros) -> Option<ClientId> {
        let of_platform = self.platform.best_eviction_candidate(now);
        let of_postgres = self.postgres.as_ref().and_then(|postgres| postgres.best_eviction_candidate(now));
        of_platform.max(of_postgres).map(|candidate| candidate.client)
    }

    /// The connections that clients keep open between requests.
    pub(super) fn retained_connections(&self) -> RetainedConnections {
        let of_platform = self.platform.retained_connections();
        let of_postgres = self.postgres.as_ref().map(ConnectionManager::retained_connections);
        let of_postgres = of_postgres.unwrap_or_default();
        let evictable = of_platform.next_evictable.into_iter().chain(of_postgres.next_evictable);
        RetainedConnections {
            count: of_platform.count + of_postgres.count,
            longest_idle: evictable.min().map(|next| (next.evictable_at, next.client)),
        }
    }

    /// A command of this client is arriving: its connection is not idle.
    pub(super) fn mark_active(&mut self, now: Micros, client: ClientId) {
        self.platform.mark_active(now, client);
        if let Some(postgres) = &mut self.postgres {
            postgres.mark_active(now, client);
        }
    }

    /// Removes a client whose connection has been closed between requests.
    pub(super) fn remove(&mut self, client: ClientId) {
        self.platform.remove_connection(client);
        if let Some(postgres) = &mut self.postgres {
            postgres.remove_connection(client);
        }
    }
}
