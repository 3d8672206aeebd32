//! The conditions under which a job may still start: its time limits, and a client that waits for it.

#[cfg(test)]
mod tests;

use crate::core::JobSpec;
use crate::net::client::ClientPresence;
use std::cell::Cell;
use std::time::{Duration, Instant};

/// An attempt with less time than this is not begun: members are told whole milliseconds.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// Nothing may begin more than 0.1 s after its client has closed or cancelled: after half of that, what has
/// arrived from clients is handled first. Guards against a proxy that was paused.
const MAX_AGE_OF_CLIENT_STATE: Duration = Duration::from_millis(50);

/// The conditions of a job. Its time limits count from the decision to start it, whatever delays the start:
/// the proxy's own threads, opening the connection, a liveness check.
pub struct StartConditions {
    /// The job must not start later than this.
    start_by: Option<Instant>,
    /// The proxy waits for the result until then.
    wait_until: Option<Instant>,
    /// The client of the request.
    client: Option<ClientPresence>,
    /// Everything that had arrived from clients by then is handled.
    clients_handled_at: Cell<Instant>,
}

impl StartConditions {
    /// The conditions of a job that was decided at this time, for this client if there is one.
    pub fn new<W>(job: &JobSpec<W>, decided_at: Instant, client: Option<ClientPresence>) -> StartConditions {
        let (start_by, wait_until) = match job {
            JobSpec::Attempt { timeout, start_within, .. } => (
                decided_at.checked_add(Duration::from_micros(*start_within)),
                decided_at.checked_add(Duration::from_micros(*timeout)),
            ),
            JobSpec::Probe => (None, None),
        };
        StartConditions { start_by, wait_until, client, clients_handled_at: Cell::new(decided_at) }
    }

    /// How long the proxy still waits for the result; `None` if the job must not start any more. Evaluated
    /// right before the job is written: the member is told this time, and nothing may be sent for a client
    /// that has left.
    pub(super) fn time_left(&self) -> Option<Duration> {
        if let Some(client) = &self.client {
            self.catch_up_with_clients(client)?;
            if client.has_disconnected() {
                return None;
            }
        }
        self.time_left_at(Instant::now())
    }

    /// Waits until what has arrived from clients is handled, if that may have been missed; `None` if there is
    /// no time for it.
    fn catch_up_with_clients(&self, client: &ClientPresence) -> Option<()> {
        let now = Instant::now();
        if now.saturating_duration_since(self.clients_handled_at.get()) > MAX_AGE_OF_CLIENT_STATE {
            client.await_arrived_events(self.time_left_at(now)?);
            self.clients_handled_at.set(now);
        }
        Some(())
    }

    fn time_left_at(&self, now: Instant) -> Option<Duration> {
        if self.start_by.is_some_and(|start_by| now > start_by) {
            return None;
        }
        let Some(wait_until) = self.wait_until else { return Some(Duration::MAX) };
        Some(wait_until.saturating_duration_since(now)).filter(|left| *left >= MIN_WAIT)
    }
}
