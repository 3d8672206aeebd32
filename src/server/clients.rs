//! Client connections: admits new ones, closes idle ones, and carries out the effects of the fronts.

use super::Server;
use crate::Micros;
use crate::client::{ClientCloseReason, ClientId};
use crate::core::Input;
use crate::front::FrontEffect;
use crate::net::client::ClientHandle;
use crate::pg::{put_error_response, sqlstate};
use crate::stable_hash::stable_hash;

/// Clients hold a third of the descriptors at most. Once retained connections use one in this many
/// descriptors, idle connections are closed as soon as they may be.
const RETAINED_CONNECTIONS_DIVISOR: usize = 4;

impl Server {
    /// Admits a new connection, or rejects it where there is no capacity.
    pub(super) fn accept_client(&mut self, now: Micros, id: ClientId, handle: ClientHandle) {
        if self.clients.len() >= self.max_clients && !self.evict_idle_client(now) {
            reject_client(&handle);
            self.count_client_close(now, id, ClientCloseReason::TooManyConnections);
            return;
        }
        let extended = handle.extended;
        self.clients.insert(id, handle);
        let secret = self.cancel_secret(id);
        let effects = self.fronts.connect(now, id, extended, secret);
        self.apply_front_effects(now, effects);
    }

    /// The key with which a client can cancel a request of its connection.
    fn cancel_secret(&self, id: ClientId) -> u32 {
        let input = [self.seed.to_be_bytes(), id.to_be_bytes()].concat();
        stable_hash(&input) as u32
    }

    /// Frees capacity for a client. Guards against connections, silent or kept open forever, that exclude
    /// clients that send requests.
    fn evict_idle_client(&mut self, now: Micros) -> bool {
        while let Some(id) = self.fronts.eviction_candidate(now) {
            if self.close_if_idle(now, id, ClientCloseReason::Evicted) {
                return true;
            }
            // Its next command is arriving: it is not idle, but another connection may be.
            self.fronts.mark_active(now, id);
        }
        false
    }

    /// Which connection to close next, and when, if clients keep many. Guards against clients that send one
    /// request and keep their connection forever: with all client capacity used by these, new clients cannot
    /// connect, however much capacity for requests is left.
    pub(super) fn next_idle_close(&self) -> Option<(Micros, ClientId)> {
        let retained = self.fronts.retained_connections();
        let are_many = retained.count * RETAINED_CONNECTIONS_DIVISOR >= self.max_descriptors;
        if are_many { retained.longest_idle } else { None }
    }

    /// Closes the retained connections that are due.
    pub(super) fn close_retained_connections(&mut self, now: Micros) {
        while let Some((close_at, id)) = self.next_idle_close()
            && close_at <= now
        {
            if !self.close_if_idle(now, id, ClientCloseReason::KeptIdle) {
                self.fronts.mark_active(now, id);
            }
        }
    }

    /// Starts to close connections between requests.
    pub(super) fn close_idle_connections(&mut self, now: Micros) {
        let effects = self.fronts.close_idle_connections();
        self.apply_front_effects(now, effects);
    }

    /// Closes a connection between requests; `false` if another request is arriving.
    fn close_if_idle(&mut self, now: Micros, id: ClientId, reason: ClientCloseReason) -> bool {
        let closed = self.clients.get(&id).is_some_and(ClientHandle::close_if_idle);
        if closed {
            self.clients.remove(&id);
            self.fronts.remove(id);
            self.count_client_close(now, id, reason);
        }
        closed
    }

    /// Counts a client's connection that was closed, and logs it unless the client itself closed it.
    fn count_client_close(&mut self, now: Micros, id: ClientId, reason: ClientCloseReason) {
        *self.client_closes.entry(reason).or_default() += 1;
        if reason != ClientCloseReason::ClosedByClient {
            self.event_log.client_closed(now, id, reason);
        }
    }

    /// Carries out the effects of a front, in order.
    pub(super) fn apply_front_effects(&mut self, now: Micros, effects: Vec<FrontEffect>) {
        for effect in effects {
            self.apply_front_effect(now, effect);
        }
    }

    fn apply_front_effect(&mut self, now: Micros, effect: FrontEffect) {
        match effect {
            FrontEffect::Write(id, bytes) => {
                if let Some(client) = self.clients.get(&id)
                    && !client.write(bytes)
                {
                    client.abort();
                    self.count_client_close(now, id, ClientCloseReason::SlowReader);
                }
            }
            FrontEffect::Close(id, reason) => {
                if self.clients.remove(&id).is_some() {
                    self.count_client_close(now, id, reason);
                }
            }
            FrontEffect::CloseIfIdle(id) => {
                self.close_if_idle(now, id, ClientCloseReason::Draining);
            }
            FrontEffect::CommandAnswered(id) => {
                if let Some(client) = self.clients.get(&id) {
                    client.command_answered();
                }
            }
            FrontEffect::StartRequest(request) => self.step_reducer(now, Input::RequestReceived(request)),
            FrontEffect::RecordChange(change) => self.store.propose(change),
            FrontEffect::AbandonRequest(request) => {
                self.step_reducer(now, Input::ClientDisconnected(request));
            }
        }
    }
}

/// Rejects a connection. No request has been executed; the client gets an error, without waiting for it.
fn reject_client(handle: &ClientHandle) {
    let mut bytes = Vec::new();
    put_error_response(&mut bytes, "FATAL", sqlstate::TOO_MANY_CONNECTIONS, "too many clients", None);
    handle.write(bytes);
}
