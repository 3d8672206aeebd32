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
/// Requests that are still pending fail this long before SIGKILL, and reading from clients stops: what would
/// be read later could only be rejected, and is left to the client to send elsewhere.
const FAIL_PENDING_BEFORE_KILL: Micros = 250_000;
/// Waiting stops this long before SIGKILL.
const STOP_WAITING_BEFORE_KILL: Micros = FAIL_PENDING_BEFORE_KILL / 4;
/// The process has exited this long before SIGKILL.
const EXIT_BEFORE_KILL: Micros = 30_000;
/// Clients go on opening connections for 0.4 s after SIGTERM: until a little later, none is closed between
/// requests.
const MIN_SERVING_TIME: Micros = 450_000;
/// New connections are answered for this long after SIGTERM, even if there are no clients, unless requests
/// must fail before.
const MAX_SERVING_TIME_WITHOUT_CLIENTS: Micros = 900_000;
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

/// The times of a shutdown. Guards against an outage longer than a restart: open connections are served until
/// shortly before SIGKILL may come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Schedule {
    /// Connections are closed between requests from then on.
    close_idle_at: Micros,
    /// Reading stops from then on if there are no clients.
    may_end_at: Micros,
    /// Requests that are still pending fail, and reading from clients stops.
    fail_pending_at: Micros,
    /// Waiting for answers stops.
    stop_waiting_at: Micros,
    /// The process has exited.
    exit_at: Micros,
}

impl Schedule {
    /// The times of a shutdown that was requested at this time.
    fn new(requested_at: Micros, settings: &Settings) -> Schedule {
        let longest_deadline = settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        let time_until_kill = longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_MARGIN;
        let kill_at = requested_at + time_until_kill;
        // With short deadlines, half of the time serves clients, and half is left to their last requests.
        let serving_time = time_until_kill.saturating_sub(CLOSE_IDLE_BEFORE_KILL).max(time_until_kill / 2);
        let fail_pending_at = kill_at - FAIL_PENDING_BEFORE_KILL;
        Schedule {
            close_idle_at: requested_at + serving_time.max(MIN_SERVING_TIME),
            may_end_at: fail_pending_at.min(requested_at + MAX_SERVING_TIME_WITHOUT_CLIENTS),
            fail_pending_at,
            stop_waiting_at: kill_at - STOP_WAITING_BEFORE_KILL,
            exit_at: kill_at - EXIT_BEFORE_KILL,
        }
    }
}

impl Server {
    /// Starts the shutdown, once.
    pub(super) fn request_shutdown(&mut self, now: Micros) {
        if self.shutdown.phase != Phase::Running {
            return;
        }
        tracing::info!(target: LOG_TARGET, "shutdown requested");
        self.shutdown.phase = Phase::Draining { requested_at: now };
        let deadline = Schedule::new(now, &self.settings).fail_pending_at;
        self.step_reducer(now, Input::ShutdownRequested { deadline });
    }

    /// Advances a requested shutdown; breaks when the event loop is to end.
    pub(super) fn advance_shutdown(&mut self, now: Micros) -> ControlFlow<()> {
        let Some(requested_at) = self.shutdown.requested_at() else {
            return ControlFlow::Continue(());
        };
        let schedule = Schedule::new(requested_at, &self.settings);
        self.leave_shared_listener(now, requested_at);
        // Repeated at each check: connections that were accepted late and send nothing are closed as well.
        if now >= schedule.close_idle_at {
            self.enter_closing_idle(requested_at);
            self.close_idle_connections(now);
        }
        let is_done = self.fronts.open_connections() == 0 && self.reducer.pending_requests() == 0;
        let may_end = is_done && now >= schedule.may_end_at;
        if self.shutdown.reading == Reading::Active && (may_end || now >= schedule.fail_pending_at) {
            self.shutdown.reading = Reading::Stopping;
            self.client_reactor.stop_reading();
        }
        // Guards against a request that is read at the last moment and never answered.
        let all_answered = self.shutdown.reading == Reading::Stopped && self.reducer.pending_requests() == 0;
        if all_answered || now >= schedule.stop_waiting_at {
            self.flush_clients(schedule.exit_at);
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
