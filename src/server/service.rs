//! The proxy's readiness, and the service state, which operators can set.

use super::inbox::Source;
use super::{LOG_TARGET, Server};
use crate::core::{Counters, RecordKind};
use crate::front::ServiceState;
use crate::net::admin::{AdminCall, AdminRequest, AdminResponse, ServerCounter};
use crate::net::client::HoldReason;
use crate::{Micros, Settings};

/// The proxy becomes ready this long after its start even if no endpoint update has arrived.
const MAX_STARTUP_WAIT: Micros = 400_000;
/// The same for a proxy that gets the list from a local agent, which answers immediately unless discovery is
/// down. The list that the agent holds counts as known to the proxy from the start of the process, so the
/// proxy waits longer for a slow answer instead of serving without the list.
const MAX_STARTUP_WAIT_FOR_AGENT: Micros = 1_500_000;
/// Idle connections are closed this long after an operator has taken the proxy out of service. The layer in
/// front of the proxies checks their health ten times per second, and still sends clients to a proxy for
/// 0.2 s after a negative answer.
const OUT_OF_SERVICE_CLOSE_DELAY: Micros = 1_000_000;

/// How long to wait for the first endpoint update before the proxy becomes ready without one.
pub(super) fn max_startup_wait(settings: &Settings) -> Micros {
    if settings.list_on_request { MAX_STARTUP_WAIT } else { MAX_STARTUP_WAIT_FOR_AGENT }
}

impl Server {
    /// Handles a call from the admin listener.
    pub(super) fn handle_admin_call(&mut self, now: Micros, call: AdminCall) {
        let response = match call.request {
            AdminRequest::Ready => AdminResponse::Answer(self.ready_at.is_none()),
            AdminRequest::Counters => AdminResponse::Counters(self.counters(), self.server_counters()),
            AdminRequest::SetInService(in_service) => {
                self.set_in_service(now, in_service);
                AdminResponse::Answer(true)
            }
        };
        // The caller may have disconnected.
        let _ = call.respond_to.try_send(response);
    }

    /// The counters of the reducer, with the server's own counts of closed client connections and of ended
    /// discovery calls.
    fn counters(&self) -> Counters {
        let mut counters = self.reducer.counters();
        for (reason, count) in &self.client_closes {
            counters.records.insert((RecordKind::ClientConnectionClosed, reason.name()), *count);
        }
        for (reason, count) in &self.discovery_calls {
            counters.records.insert((RecordKind::DiscoveryCallEnded, reason), *count);
        }
        counters
    }

    /// The counters of the clients that were held back, and of the queue of messages to the event loop.
    fn server_counters(&self) -> Vec<ServerCounter> {
        let mut counters = Vec::new();
        for (reason, counts) in HoldReason::ALL.iter().zip(self.client_reactor.hold_counts()) {
            let held_us = counts.held.as_micros() as u64;
            for (name, value) in [("times", counts.times), ("held_us", held_us)] {
                counters.push(ServerCounter { name: format!("held_back.{}.{name}", reason.name()), value });
            }
        }
        for (source, counts) in Source::ALL.iter().zip(self.inbox.counts()) {
            for (name, value) in [
                ("queued", counts.queued as u64),
                ("most_queued", counts.most_queued as u64),
                ("taken", counts.taken),
                ("waited_us", counts.waited.as_micros() as u64),
                ("longest_wait_us", counts.longest_wait.as_micros() as u64),
            ] {
                counters.push(ServerCounter { name: format!("event_queue.{}.{name}", source.name()), value });
            }
        }
        counters
    }

    fn set_in_service(&mut self, now: Micros, in_service: bool) {
        tracing::info!(target: LOG_TARGET, on = in_service, "service state set by an operator");
        self.drain_at = (!in_service).then_some(now + OUT_OF_SERVICE_CLOSE_DELAY);
        self.ready_at = None;
        let state = if in_service { ServiceState::InService } else { ServiceState::OutOfService };
        self.set_service_state(now, state);
    }

    /// Puts the proxy in service, unless it is ready already or an operator has set the service state.
    pub(super) fn become_ready(&mut self, now: Micros) {
        if self.ready_at.take().is_some() {
            self.set_service_state(now, ServiceState::InService);
        }
    }

    pub(super) fn set_service_state(&mut self, now: Micros, state: ServiceState) {
        let effects = self.fronts.set_service_state(now, state);
        self.apply_front_effects(now, effects);
    }

    /// Starts to close idle connections once the proxy has been out of service for
    /// [`OUT_OF_SERVICE_CLOSE_DELAY`].
    pub(super) fn drain_if_due(&mut self, now: Micros) {
        if self.drain_at.is_some_and(|drain_at| drain_at <= now) {
            self.drain_at = None;
            self.close_idle_connections(now);
        }
    }
}
