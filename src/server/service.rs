//! Readiness, and the service state that operators set.

use super::{LOG_TARGET, Server};
use crate::Micros;
use crate::core::{Counters, RecordKind};
use crate::front::ServiceState;
use crate::net::admin::{AdminCall, AdminRequest, AdminResponse};

/// Without an endpoint update, the proxy is ready this long after its start.
pub(super) const MAX_STARTUP_WAIT: Micros = 400_000;
/// Out of service, connections are closed between requests after this delay: the front layer polls ten times
/// per second, and keeps sending for 0.2 s after a negative answer.
const OUT_OF_SERVICE_CLOSE_DELAY: Micros = 1_000_000;

impl Server {
    /// Handles an operator's request.
    pub(super) fn handle_admin_call(&mut self, now: Micros, call: AdminCall) {
        let response = match call.request {
            AdminRequest::Ready => AdminResponse::Answer(self.ready_at.is_none()),
            AdminRequest::Counters => AdminResponse::Counters(self.counters()),
            AdminRequest::SetInService(in_service) => {
                self.set_in_service(now, in_service);
                AdminResponse::Answer(true)
            }
        };
        // The caller may have disconnected.
        let _ = call.respond_to.try_send(response);
    }

    /// The counters of the reducer, and those of the server's own records.
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

    fn set_in_service(&mut self, now: Micros, in_service: bool) {
        tracing::info!(target: LOG_TARGET, on = in_service, "service state set by an operator");
        self.drain_at = (!in_service).then_some(now + OUT_OF_SERVICE_CLOSE_DELAY);
        self.ready_at = None;
        let state = if in_service { ServiceState::InService } else { ServiceState::OutOfService };
        self.set_service_state(now, state);
    }

    /// Puts the proxy in service, unless it already is or an operator has decided.
    pub(super) fn become_ready(&mut self, now: Micros) {
        if self.ready_at.take().is_some() {
            self.set_service_state(now, ServiceState::InService);
        }
    }

    fn set_service_state(&mut self, now: Micros, state: ServiceState) {
        let effects = self.fronts.set_service_state(now, state);
        self.apply_front_effects(now, effects);
    }

    /// Closes connections between requests once the proxy has been out of service long enough.
    pub(super) fn drain_if_due(&mut self, now: Micros) {
        if self.drain_at.is_some_and(|drain_at| drain_at <= now) {
            self.drain_at = None;
            self.close_idle_connections(now);
        }
    }
}
