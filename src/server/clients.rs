//! The connections of clients: new ones are admitted, idle ones closed, and what the fronts want is done.

use super::{LOG_TARGET, Server};
use crate::Micros;
use crate::client::ClientId;
use crate::core::Input;
use crate::front::FrontEffect;
use crate::net::client::ClientHandle;
use crate::pg::{put_error_response, sqlstate};
use crate::stable_hash::stable_hash;

/// Clients hold a third of the descriptors at most. Once they keep one of this many descriptors for good,
/// idle connections are closed as soon as they may be.
const KEPT_CONNECTIONS_DIVISOR: usize = 4;

impl Server {
    /// Admits a new connection, or rejects it where there is no room.
    pub(super) fn accept_client(&mut self, now: Micros, id: ClientId, handle: ClientHandle) {
        if self.clients.len() >= self.max_clients && !self.evict_idle_client(now) {
            tracing::debug!(target: LOG_TARGET, "client rejected: too many connections");
            reject_client(&handle);
            return;
        }
        let extended = handle.extended;
        self.clients.insert(id, handle);
        let secret = self.cancel_secret(id);
        let effects = self.fronts.connect(now, id, extended, secret);
        self.apply_front_effects(now, effects);
    }

    /// The key with which a client may cancel a request of its connection.
    fn cancel_secret(&self, id: ClientId) -> u32 {
        let input = [self.seed.to_be_bytes(), id.to_be_bytes()].concat();
        stable_hash(&input) as u32
    }

    /// Makes room for a client: guards against connections that send nothing, or are kept for good, crowding
    /// out those that send requests.
    fn evict_idle_client(&mut self, now: Micros) -> bool {
        while let Some(id) = self.fronts.eviction_candidate(now) {
            if self.close_if_idle(id) {
                return true;
            }
            // Its next command is on its way: it is not idle, but the next one may be.
            self.fronts.touch(now, id);
        }
        false
    }

    /// When to close which connection next where clients keep many. Guards against clients that send one
    /// request and keep their connection for good: with all that clients may hold in such hands, nobody else
    /// gets in, however much room this proxy has.
    pub(super) fn next_idle_close(&self) -> Option<(Micros, ClientId)> {
        let kept = self.fronts.kept_connections();
        let are_many = kept.count * KEPT_CONNECTIONS_DIVISOR >= self.max_descriptors;
        if are_many { kept.longest_idle } else { None }
    }

    /// Closes the kept connections whose time has come.
    pub(super) fn close_kept_connections(&mut self, now: Micros) {
        while let Some((close_at, id)) = self.next_idle_close()
            && close_at <= now
        {
            if !self.close_if_idle(id) {
                self.fronts.touch(now, id);
            }
        }
    }

    /// From now on, connections are closed between requests.
    pub(super) fn close_idle_connections(&mut self, now: Micros) {
        let effects = self.fronts.close_idle_connections();
        self.apply_front_effects(now, effects);
    }

    /// Closes a connection between requests; `false` if another request is on its way.
    fn close_if_idle(&mut self, id: ClientId) -> bool {
        let closed = self.clients.get(&id).is_some_and(ClientHandle::close_if_idle);
        if closed {
            self.clients.remove(&id);
            self.fronts.remove(id);
        }
        closed
    }

    /// Does what a front wants done, in its order.
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
                    client.cut();
                }
            }
            FrontEffect::Close(id) => drop(self.clients.remove(&id)),
            FrontEffect::CloseIfIdle(id) => {
                self.close_if_idle(id);
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

/// Nothing has been executed: the client is told so, and is not waited for.
fn reject_client(handle: &ClientHandle) {
    let mut bytes = Vec::new();
    put_error_response(&mut bytes, "FATAL", sqlstate::TOO_MANY_CONNECTIONS, "too many clients", None);
    handle.write(bytes);
}
