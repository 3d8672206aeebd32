//! Manages the client connections of a front: commands, replies, cancel requests, eviction and closing.

mod closing;
mod idle_index;

use super::connection::{Connection, ConnectionEnd};
use super::{FrontEffect, Protocol, RequestRegistry, ServiceState};
use crate::client::{ClientCloseReason, ClientEvent, ClientId};
use crate::core::FinalAnswer;
use crate::exchange::MemberResponse;
use crate::pg::{self, ProtocolError, StartupPacket};
use crate::{Micros, RequestId};
use idle_index::{IdleIndex, IdleState};
use std::collections::BTreeMap;

/// The reply to an SSLRequest or GSSENCRequest: encryption is not supported.
const ENCRYPTION_NOT_SUPPORTED: &[u8] = b"N";

/// A connection that may be closed to free capacity. The greatest candidate is closed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EvictionCandidate {
    /// Whether the connection has made no request.
    pub never_requested: bool,
    /// How long the connection has been idle.
    pub idle_for: Micros,
    /// The connection.
    pub client: ClientId,
}

/// An idle connection that has made requests. The least one is closed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EvictableConnection {
    /// The time from which the connection may be closed.
    pub evictable_at: Micros,
    /// The connection.
    pub client: ClientId,
}

/// A summary of the connections that have made a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetainedConnections {
    /// The number of these connections, idle or not.
    pub count: usize,
    /// The one of them that has been idle longest; `None` if none is idle.
    pub next_evictable: Option<EvictableConnection>,
}

/// The client connections of a front.
pub struct ConnectionManager<P: Protocol> {
    protocol: P,
    connections: BTreeMap<ClientId, Connection<P>>,
    idle: IdleIndex,
    service: ServiceState,
    /// Whether connections are closed as soon as they are idle.
    closing: bool,
    /// The bytes of replies that wait for earlier replies, over all connections.
    reordered_bytes: usize,
    max_reordered_bytes: usize,
}

impl<P: Protocol> ConnectionManager<P> {
    /// Creates a manager without connections. At most `max_reordered_bytes` of replies may wait for earlier
    /// replies.
    pub fn new(protocol: P, max_reordered_bytes: usize) -> Self {
        ConnectionManager {
            protocol,
            connections: BTreeMap::new(),
            idle: IdleIndex::default(),
            service: ServiceState::Starting,
            closing: false,
            reordered_bytes: 0,
            max_reordered_bytes,
        }
    }

    /// Sets the service state, and resumes commands that waited for the state to change. Connections are no
    /// longer closed between requests unless the state is [`ServiceState::OutOfService`].
    pub fn set_service_state(
        &mut self,
        service: ServiceState,
        registry: &mut RequestRegistry,
        now: Micros,
    ) -> Vec<FrontEffect> {
        self.service = service;
        self.closing &= service == ServiceState::OutOfService;
        let mut effects = Vec::new();
        for id in self.connection_ids() {
            self.advance(registry, now, id, &mut effects);
            self.close_if_ended(registry, now, id, &mut effects);
            self.update_idle(id);
        }
        effects
    }

    /// Closes idle connections, and from now on each connection when it becomes idle.
    pub fn close_between_requests(&mut self) -> Vec<FrontEffect> {
        self.closing = true;
        let mut effects = Vec::new();
        for id in self.connection_ids() {
            self.close_if_idle(id, &mut effects);
        }
        effects
    }

    fn connection_ids(&self) -> Vec<ClientId> {
        self.connections.keys().copied().collect()
    }

    /// The number of open connections.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// The connection to close first to free capacity, among those that have been idle long enough: those
    /// that have made no request come first, then those that have been idle longest.
    pub fn best_eviction_candidate(&self, now: Micros) -> Option<EvictionCandidate> {
        self.idle.eviction_candidate(now)
    }

    /// The connections that have made a request; their clients may keep them open indefinitely.
    pub fn retained_connections(&self) -> RetainedConnections {
        self.idle.retained()
    }

    /// Records in the index of idle connections what has become of a connection.
    fn update_idle(&mut self, id: ClientId) {
        let state = self.connections.get(&id).map(|connection| IdleState {
            has_requested: connection.has_requested,
            idle_since: connection.is_idle().then_some(connection.idle_since),
        });
        self.idle.update(id, state);
    }

    /// Restarts the idle time of a connection on which part of a command has arrived.
    pub fn mark_active(&mut self, now: Micros, id: ClientId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.idle_since = now;
        }
        self.update_idle(id);
    }

    /// Removes a connection that the host has closed between requests.
    pub fn remove_connection(&mut self, id: ClientId) {
        self.connections.remove(&id);
        self.update_idle(id);
    }

    /// Handles an event on a client connection that the reactor thread has reported.
    pub fn handle_event(
        &mut self,
        registry: &mut RequestRegistry,
        now: Micros,
        id: ClientId,
        event: ClientEvent<P::Command>,
    ) -> Vec<FrontEffect> {
        let mut effects = Vec::new();
        match event {
            ClientEvent::Connected { secret } => {
                let session = self.protocol.new_session();
                self.connections.insert(id, Connection::new(secret, now, session));
            }
            // A cancel request is valid even if its connection was rejected for lack of capacity.
            ClientEvent::Startup(StartupPacket::CancelRequest { process, secret }) => {
                self.close_connection(registry, now, id, ClientCloseReason::CancelRequest, &mut effects);
                self.cancel(registry, now, process, secret, &mut effects);
            }
            event if self.connections.contains_key(&id) => {
                self.handle_connection_event(registry, now, id, event, &mut effects);
            }
            _ => {}
        }
        self.update_idle(id);
        effects
    }

    fn handle_connection_event(
        &mut self,
        registry: &mut RequestRegistry,
        now: Micros,
        id: ClientId,
        event: ClientEvent<P::Command>,
        effects: &mut Vec<FrontEffect>,
    ) {
        match event {
            ClientEvent::Connected { .. } | ClientEvent::Startup(StartupPacket::CancelRequest { .. }) => {}
            ClientEvent::Startup(StartupPacket::EncryptionRequest) => {
                effects.push(FrontEffect::Write(id, ENCRYPTION_NOT_SUPPORTED.to_vec()));
            }
            ClientEvent::Startup(StartupPacket::Startup) => self.write_startup_response(id, effects),
            ClientEvent::Command(command) => {
                if let Some(connection) = self.connections.get_mut(&id) {
                    connection.pipeline.push(command);
                }
                self.advance(registry, now, id, effects);
                self.close_if_idle(id, effects);
            }
            ClientEvent::Unsupported => {
                let sqlstate = pg::sqlstate::FEATURE_NOT_SUPPORTED;
                let text = "only simple queries are served here".to_string();
                self.end_connection(registry, now, id, ConnectionEnd::Error { sqlstate, text }, effects);
            }
            ClientEvent::Malformed(error) => {
                if error == ProtocolError::CommandTimeout {
                    self.end_commands(registry, now, id, effects);
                }
                let sqlstate = pg::sqlstate::PROTOCOL_VIOLATION;
                let text = error.to_string();
                self.end_connection(registry, now, id, ConnectionEnd::Error { sqlstate, text }, effects);
            }
            ClientEvent::Terminate => {
                self.end_connection(registry, now, id, ConnectionEnd::Terminate, effects);
            }
            ClientEvent::Disconnected => {
                self.close_connection(registry, now, id, ClientCloseReason::ClosedByClient, effects);
            }
        }
    }

    fn write_startup_response(&self, id: ClientId, effects: &mut Vec<FrontEffect>) {
        let Some(connection) = self.connections.get(&id) else { return };
        let mut bytes = Vec::new();
        pg::put_startup_response(&mut bytes, process_id(id), connection.secret);
        effects.push(FrontEffect::Write(id, bytes));
    }

    /// Records the final answer to a request of a connection, and writes the replies that are next in order.
    pub fn answer(
        &mut self,
        registry: &mut RequestRegistry,
        now: Micros,
        id: ClientId,
        request: RequestId,
        answer: FinalAnswer<MemberResponse>,
    ) -> Vec<FrontEffect> {
        let mut effects = Vec::new();
        let Some(connection) = self.connections.get_mut(&id) else { return effects };
        let Some(index) = connection.pipeline.index_of(request) else { return effects };
        let protocol = &mut self.protocol;
        if let FinalAnswer::Served(response) = &answer {
            connection.pipeline.record_commit(index, protocol, response);
        }
        // While an earlier reply is missing, later replies are buffered. A response that would exceed the
        // limit is replaced by an error, as replies would otherwise use memory without bound.
        let answer = match answer {
            FinalAnswer::Served(response)
                if index > 0 && self.reordered_bytes + response.bytes.len() > self.max_reordered_bytes =>
            {
                FinalAnswer::Failed { maybe_executed: true }
            }
            answer => answer,
        };
        let session = &mut connection.session;
        let buffered_before = connection.pipeline.buffered_bytes();
        connection.pipeline.finish(index, |context| protocol.finish(session, context, answer));
        self.reordered_bytes += connection.pipeline.buffered_bytes() - buffered_before;
        self.advance(registry, now, id, &mut effects);
        self.close_if_ended(registry, now, id, &mut effects);
        self.close_if_idle(id, &mut effects);
        self.update_idle(id);
        effects
    }

    /// Advances the commands of a connection: processes new commands, writes the replies that are next in
    /// order, and starts the requests that may start. Replies are sent in the order of the commands.
    fn advance(
        &mut self,
        registry: &mut RequestRegistry,
        now: Micros,
        id: ClientId,
        effects: &mut Vec<FrontEffect>,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let buffered_before = connection.pipeline.buffered_bytes();
        let only_first = self.reordered_bytes >= self.max_reordered_bytes / 2;
        let mut requests = Vec::new();
        loop {
            connection.start_queued_commands(&mut self.protocol, self.service, effects);
            // These replies precede the effects that start requests: the host may answer a request while it
            // carries out its start, and that answer must be written after these replies.
            connection.write_replies(id, now, effects);
            let started = connection.start_requests(id, now, only_first, registry);
            requests.extend(started.requests);
            if !started.answered_locally {
                break;
            }
        }
        self.reordered_bytes = self.reordered_bytes + connection.pipeline.buffered_bytes() - buffered_before;
        effects.extend(requests.into_iter().map(FrontEffect::StartRequest));
    }
}

/// The process id in a client's cancel key.
fn process_id(id: ClientId) -> u32 {
    id as u32
}

#[cfg(test)]
mod tests;
