//! Admits client connections, closes idle ones, and carries out the effects of the fronts.

use super::Server;
use crate::Micros;
use crate::client::{ClientCloseReason, ClientId};
use crate::core::Input;
use crate::front::FrontEffect;
use crate::net::client::ClientHandle;
use crate::pg::{put_error_response, sqlstate};
use crate::stable_hash::stable_hash;

/// Idle connections are closed once retained connections use one in this many of the process's descriptors.
/// This is less than a third of the descriptors, the share of clients if two processes of this proxy run at
/// the same time.
const RETAINED_CONNECTIONS_DIVISOR: usize = 4;

impl Server {
    /// Admits a new connection. At the limit on clients, an idle connection is closed first; if none may be,
    /// the new connection is rejected.
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

    /// The secret of a connection's cancel key, with which its client can cancel a request.
    fn cancel_secret(&self, id: ClientId) -> u32 {
        let input = [self.seed.to_be_bytes(), id.to_be_bytes()].concat();
        stable_hash(&input) as u32
    }

    /// Closes one idle connection to free capacity for a new client; `false` if none may be closed. Without
    /// this, connections that are open but unused would exclude clients that send requests.
    fn evict_idle_client(&mut self, now: Micros) -> bool {
        while let Some(id) = self.fronts.eviction_candidate(now) {
            if self.close_if_idle(now, id, ClientCloseReason::Evicted) {
                return true;
            }
            // The candidate's next command is arriving, so it is not idle; another connection may be.
            self.fronts.mark_active(now, id);
        }
        false
    }

    /// The idle connection to close next and the time to close it, if there are many retained connections.
    /// Clients may send one request and keep their connection open forever. Once such connections use up the
    /// limit on clients, new clients can't connect although the proxy has capacity for their requests.
    pub(super) fn next_idle_close(&self) -> Option<(Micros, ClientId)> {
        let retained = self.fronts.retained_connections();
        let are_many = retained.count * RETAINED_CONNECTIONS_DIVISOR >= self.max_descriptors;
        if are_many { retained.longest_idle } else { None }
    }

    /// Closes the retained connections that are due according to [`Server::next_idle_close`].
    pub(super) fn close_retained_connections(&mut self, now: Micros) {
        while let Some((close_at, id)) = self.next_idle_close()
            && close_at <= now
        {
            if !self.close_if_idle(now, id, ClientCloseReason::KeptIdle) {
                self.fronts.mark_active(now, id);
            }
        }
    }

    /// Closes idle connections, and from now on each connection when it becomes idle.
    pub(super) fn close_idle_connections(&mut self, now: Micros) {
        let effects = self.fronts.close_idle_connections();
        self.apply_front_effects(now, effects);
    }

    /// Closes a connection if it is idle; `false` if a command is arriving.
    fn close_if_idle(&mut self, now: Micros, id: ClientId, reason: ClientCloseReason) -> bool {
        let closed = self.clients.get(&id).is_some_and(ClientHandle::close_if_idle);
        if closed {
            self.clients.remove(&id);
            self.fronts.remove(id);
            self.fronts.end_client(now, id, false);
            self.count_client_close(now, id, reason);
        }
        closed
    }

    /// Counts a client connection that was closed, and logs the close unless the client itself closed it.
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
                if let Some(client) = self.clients.remove(&id) {
                    self.fronts.end_client(now, id, client.has_unread_answers());
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
                let may_have_run = self.reducer.may_have_executed(request);
                self.fronts.confirm_abandoned(request, may_have_run);
                self.step_reducer(now, Input::ClientDisconnected(request));
            }
        }
    }
}

/// Rejects a connection: writes an error without waiting for a request. No request of the connection is
/// executed.
fn reject_client(handle: &ClientHandle) {
    let mut bytes = Vec::new();
    put_error_response(&mut bytes, "FATAL", sqlstate::TOO_MANY_CONNECTIONS, "too many clients", None);
    handle.write(bytes);
}
