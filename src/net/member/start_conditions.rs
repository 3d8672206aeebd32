//! The conditions under which a job may start: its time limits, and a client that still waits for the answer.

#[cfg(test)]
mod tests;

use crate::core::JobSpec;
use crate::net::client::ClientPresence;
use std::cell::Cell;
use std::time::{Duration, Instant};

/// An attempt with less time left than this is not started: the timeout that is sent to the member is in
/// whole milliseconds.
const MIN_TIME_LEFT: Duration = Duration::from_millis(1);

/// When the events of clients were last handled longer ago than this, those that have arrived are handled
/// before a job starts. A job must not start more than 0.1 s after its client has closed the connection or
/// cancelled the request, and while the proxy's process is paused, such an event remains unread. The
/// limit is half of the 0.1 s.
const MAX_CLIENT_STATE_AGE: Duration = Duration::from_millis(50);

/// The conditions of a job. The time limits count from the event loop's decision to start the job: the
/// scheduling of threads, opening the connection and a liveness check may delay the start.
pub struct StartConditions {
    /// The job must not start after this time; `None` for a probe.
    start_deadline: Option<Instant>,
    /// The proxy waits for the result until this time; `None` for a probe.
    result_deadline: Option<Instant>,
    /// The client that waits for the answer, if there is one.
    client: Option<ClientPresence>,
    /// All events of clients that arrived before this time are handled.
    client_events_handled_at: Cell<Instant>,
}

impl StartConditions {
    /// Creates the conditions of a job. The event loop decided at `decided_at` to start the job, for this
    /// client if there is one.
    pub fn new<W>(job: &JobSpec<W>, decided_at: Instant, client: Option<ClientPresence>) -> StartConditions {
        let (start_deadline, result_deadline) = match job {
            JobSpec::Attempt { timeout, start_within, .. } => (
                decided_at.checked_add(Duration::from_micros(*start_within)),
                decided_at.checked_add(Duration::from_micros(*timeout)),
            ),
            JobSpec::Probe => (None, None),
        };
        StartConditions {
            start_deadline,
            result_deadline,
            client,
            client_events_handled_at: Cell::new(decided_at),
        }
    }

    /// Returns how long the proxy will wait for the result; `None` if the job must not start. Call this
    /// immediately before the job is written: the time is sent to the member as the timeout, and nothing may
    /// be sent for a client that has disconnected.
    pub(super) fn time_left(&self) -> Option<Duration> {
        if let Some(client) = &self.client {
            self.await_client_events(client)?;
            if client.has_disconnected() {
                return None;
            }
        }
        self.time_left_at(Instant::now())
    }

    /// Waits until the client events that have arrived are handled, if they were last handled more than
    /// [`MAX_CLIENT_STATE_AGE`] ago; returns `None` if no time is left.
    fn await_client_events(&self, client: &ClientPresence) -> Option<()> {
        let now = Instant::now();
        if now.saturating_duration_since(self.client_events_handled_at.get()) > MAX_CLIENT_STATE_AGE {
            client.await_arrived_events(self.time_left_at(now)?);
            self.client_events_handled_at.set(now);
        }
        Some(())
    }

    /// Returns the time left at `now`, without regard to the client.
    fn time_left_at(&self, now: Instant) -> Option<Duration> {
        if self.start_deadline.is_some_and(|start_deadline| now > start_deadline) {
            return None;
        }
        let Some(result_deadline) = self.result_deadline else { return Some(Duration::MAX) };
        Some(result_deadline.saturating_duration_since(now)).filter(|left| *left >= MIN_TIME_LEFT)
    }
}
