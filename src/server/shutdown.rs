//! The shutdown after SIGTERM or SIGINT: its phases, and the times between the request and SIGKILL.

use super::{LOG_TARGET, Server};
use crate::core::Input;
use crate::{Micros, Settings};
use std::ops::ControlFlow;
use std::time::Duration;

/// SIGKILL comes no earlier than the longest deadline, counted as this at most, and a margin after SIGTERM.
const MAX_COUNTED_DEADLINE: Micros = 3_000_000;
const KILL_MARGIN: Micros = 700_000;
/// Connections are closed between requests from this long before SIGKILL on.
const CLOSE_IDLE_BEFORE_KILL: Micros = 900_000;
/// Requests that are still pending fail this long before SIGKILL.
const FAIL_PENDING_BEFORE_KILL: Micros = 250_000;
/// Reading from clients stops this long before SIGKILL.
const STOP_READING_BEFORE_KILL: Micros = FAIL_PENDING_BEFORE_KILL / 2;
/// Waiting stops this long before SIGKILL.
const STOP_WAITING_BEFORE_KILL: Micros = FAIL_PENDING_BEFORE_KILL / 4;
/// The process has exited this long before SIGKILL.
const EXIT_BEFORE_KILL: Micros = 30_000;
/// New connections are answered for this long after SIGTERM at least, even if there are no clients.
const MIN_SERVING_TIME: Micros = 900_000;
/// New connections are accepted for this long after SIGTERM where the next process accepts them as well.
const SHARED_ACCEPT_TIME: Micros = 500_000;
/// The interval between two checks whether all requests are answered.
const CHECK_INTERVAL: Micros = 20_000;
/// How long the process waits before it exits for clients to read their answers and to close.
const MAX_FLUSH_TIME: Micros = 1_000_000;

/// The phase of the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No shutdown has been requested.
    Running,
    /// Requested; connections are served as before.
    Draining {
        /// When it was requested.
        requested_at: Micros,
    },
    /// Connections are closed between requests.
    ClosingIdle {
        /// When it was requested.
        requested_at: Micros,
    },
}

/// Whether reading from clients is active.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reading {
    Active,
    /// The reading thread has been asked to stop.
    Stopping,
    /// All commands that were read have been handled.
    Stopped,
}

/// The state of the shutdown.
pub(super) struct Shutdown {
    phase: Phase,
    reading: Reading,
    /// Another process may accept connections from the listening socket, as this one still does.
    accepts_from_shared_listener: bool,
}

impl Shutdown {
    /// No shutdown yet. With an inherited listening socket, another process may accept from it.
    pub(super) fn new(inherited_listener: bool) -> Self {
        Shutdown {
            phase: Phase::Running,
            reading: Reading::Active,
            accepts_from_shared_listener: inherited_listener,
        }
    }

    /// Reading from clients has stopped, and all that was read before has been handled.
    pub(super) fn reading_stopped(&mut self) {
        self.reading = Reading::Stopped;
    }

    /// When the next completion check is due; `None` while no shutdown has been requested.
    pub(super) fn next_check_at(&self, now: Micros) -> Option<Micros> {
        self.requested_at().map(|_| now + CHECK_INTERVAL)
    }

    fn requested_at(&self) -> Option<Micros> {
        match self.phase {
            Phase::Running => None,
            Phase::Draining { requested_at } | Phase::ClosingIdle { requested_at } => Some(requested_at),
        }
    }
}

/// When SIGKILL may follow SIGTERM. Guards against an outage longer than a restart: open connections are
/// served until shortly before it.
fn time_until_kill(settings: &Settings) -> Micros {
    let longest_deadline = settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
    longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_MARGIN
}

impl Server {
    /// Starts the shutdown, once.
    pub(super) fn request_shutdown(&mut self, now: Micros) {
        if self.shutdown.phase != Phase::Running {
            return;
        }
        tracing::info!(target: LOG_TARGET, "shutdown requested");
        self.shutdown.phase = Phase::Draining { requested_at: now };
        let deadline = now + time_until_kill(&self.settings) - FAIL_PENDING_BEFORE_KILL;
        self.step_reducer(now, Input::ShutdownRequested { deadline });
    }

    /// Advances a requested shutdown; breaks when the event loop is to end.
    pub(super) fn advance_shutdown(&mut self, now: Micros) -> ControlFlow<()> {
        let Some(requested_at) = self.shutdown.requested_at() else {
            return ControlFlow::Continue(());
        };
        let time_until_kill = time_until_kill(&self.settings);
        let kill_at = requested_at + time_until_kill;
        self.leave_shared_listener(now, requested_at);
        // Repeated at each check: connections that were accepted late and send nothing are closed as well.
        let close_idle_after = (time_until_kill - CLOSE_IDLE_BEFORE_KILL).max(MIN_SERVING_TIME);
        if now >= requested_at + close_idle_after {
            self.enter_closing_idle(requested_at);
            self.close_idle_connections(now);
        }
        let is_done = self.fronts.open_connections() == 0 && self.reducer.pending_requests() == 0;
        let is_late = now >= kill_at - STOP_READING_BEFORE_KILL;
        let served_long_enough = now >= requested_at + MIN_SERVING_TIME;
        if self.shutdown.reading == Reading::Active && served_long_enough && (is_done || is_late) {
            self.shutdown.reading = Reading::Stopping;
            self.client_reactor.stop_reading();
        }
        // Guards against a request that is read at the last moment and never answered.
        let all_answered = self.shutdown.reading == Reading::Stopped && self.reducer.pending_requests() == 0;
        if all_answered || now >= kill_at - STOP_WAITING_BEFORE_KILL {
            self.flush_clients(kill_at - EXIT_BEFORE_KILL);
            return ControlFlow::Break(());
        }
        ControlFlow::Continue(())
    }

    /// Stops accepting once it is time to leave new connections to the process that shares the socket.
    fn leave_shared_listener(&mut self, now: Micros, requested_at: Micros) {
        if self.shutdown.accepts_from_shared_listener && now >= requested_at + SHARED_ACCEPT_TIME {
            self.shutdown.accepts_from_shared_listener = false;
            self.client_reactor.stop_accepting();
        }
    }

    fn enter_closing_idle(&mut self, requested_at: Micros) {
        let closing = Phase::ClosingIdle { requested_at };
        if self.shutdown.phase != closing {
            self.shutdown.phase = closing;
            tracing::info!(target: LOG_TARGET, "closing idle connections");
        }
    }

    /// Waits for clients to read the unwritten answers, until the deadline at most.
    fn flush_clients(&mut self, deadline: Micros) {
        self.clients.clear();
        self.client_reactor.shut_down();
        let timeout = deadline.saturating_sub(self.clock.now()).min(MAX_FLUSH_TIME);
        // Returns at once when the last connection has closed: no message is ever sent here.
        let _ = self.clients_closed.recv_timeout(Duration::from_micros(timeout));
    }
}

#[cfg(test)]
mod tests;
