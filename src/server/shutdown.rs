//! The graceful shutdown after SIGTERM or SIGINT: its phases, and its schedule, which ends before SIGKILL.

use super::{LOG_TARGET, Server};
use crate::core::Input;
use crate::front::ServiceState;
use crate::{Micros, Settings};
use std::ops::ControlFlow;
use std::time::Duration;

/// SIGKILL comes no earlier than the longest deadline of a request class plus [`KILL_MARGIN`] after SIGTERM.
/// A longer deadline than this counts as this.
const MAX_COUNTED_DEADLINE: Micros = 3_000_000;
/// The least time from the end of the longest deadline, counted from SIGTERM, to SIGKILL.
const KILL_MARGIN: Micros = 700_000;
/// Idle connections are closed from this long before SIGKILL on.
const CLOSE_IDLE_BEFORE_KILL: Micros = 900_000;
/// This long before SIGKILL, requests that are still pending fail and reading from clients stops. A request
/// that was read later could only be rejected; unread, it can be sent to another proxy by its client.
const FAIL_PENDING_BEFORE_KILL: Micros = 250_000;
/// The process stops waiting for answers this long before SIGKILL.
const STOP_WAITING_BEFORE_KILL: Micros = FAIL_PENDING_BEFORE_KILL / 4;
/// The process exits no later than this long before SIGKILL.
const EXIT_BEFORE_KILL: Micros = 30_000;
/// For this long after SIGTERM, no idle connection is closed, because clients still open connections to this
/// process for 0.4 s after SIGTERM.
const MIN_SERVING_TIME: Micros = 450_000;
/// The process accepts connections for this long after SIGTERM even if it has no clients, but not longer
/// than until pending requests fail.
const MAX_SERVING_TIME_WITHOUT_CLIENTS: Micros = 900_000;
/// How long connections are accepted after SIGTERM from a listening socket that the next process shares.
const SHARED_ACCEPT_TIME: Micros = 500_000;
/// The interval of the checks whether all requests have been answered.
const CHECK_INTERVAL: Micros = 20_000;
/// How long the process waits before its exit for clients to read their answers and to close their
/// connections.
const MAX_FLUSH_TIME: Micros = 1_000_000;

/// The phase of the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No shutdown has been requested.
    Running,
    /// A shutdown has been requested, but connections are still served as before.
    Draining {
        /// When the shutdown was requested.
        requested_at: Micros,
    },
    /// Connections are closed when they are idle.
    ClosingIdle {
        /// When the shutdown was requested.
        requested_at: Micros,
    },
}

/// Whether commands are read from clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reading {
    Active,
    /// The client reactor has been requested to stop reading.
    Stopping,
    /// Reading has stopped, and all commands that were read have been handled.
    Stopped,
}

/// The state of the shutdown.
pub(super) struct Shutdown {
    phase: Phase,
    reading: Reading,
    /// Whether this process still accepts connections from a listening socket that another process may share.
    accepts_from_shared_listener: bool,
}

impl Shutdown {
    /// Creates the state without a requested shutdown. An inherited listening socket may be shared with
    /// another process that accepts from it.
    pub(super) fn new(inherited_listener: bool) -> Self {
        Shutdown {
            phase: Phase::Running,
            reading: Reading::Active,
            accepts_from_shared_listener: inherited_listener,
        }
    }

    /// Records that reading from clients has stopped and all commands that were read have been handled.
    pub(super) fn reading_stopped(&mut self) {
        self.reading = Reading::Stopped;
    }

    /// When the next check for completion is due; `None` while no shutdown has been requested.
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

/// The times of a shutdown. Open connections are served until shortly before SIGKILL may come. If they were
/// closed earlier, their clients would be without service for longer than the restart takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Schedule {
    /// From this time on, idle connections are closed.
    close_idle_at: Micros,
    /// From this time on, reading stops if there are no clients and no pending requests.
    may_end_at: Micros,
    /// At this time, requests that are still pending fail and reading from clients stops.
    fail_pending_at: Micros,
    /// At this time, waiting for answers stops.
    stop_waiting_at: Micros,
    /// By this time, the process exits.
    exit_at: Micros,
}

impl Schedule {
    /// Computes the times of a shutdown that was requested at `requested_at`.
    fn new(requested_at: Micros, settings: &Settings) -> Schedule {
        let longest_deadline = settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        let time_until_kill = longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_MARGIN;
        let kill_at = requested_at + time_until_kill;
        // If the deadlines are short, connections are served for half of the time until SIGKILL, and the
        // other half is left for their last requests.
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
    /// Starts the shutdown, unless it has been started already.
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
        // Repeated at each check, so that connections that were accepted late and send nothing are closed.
        if now >= schedule.close_idle_at {
            self.enter_closing_idle(requested_at);
            self.close_idle_connections(now);
        }
        let is_done = self.fronts.open_connections() == 0 && self.reducer.pending_requests() == 0;
        let may_end = is_done && now >= schedule.may_end_at;
        if self.shutdown.reading == Reading::Active && (may_end || now >= schedule.fail_pending_at) {
            self.shutdown.reading = Reading::Stopping;
            // While the process starts, empty queries wait for the service state.
            if self.ready_at.take().is_some() {
                self.set_service_state(now, ServiceState::OutOfService);
            }
            self.client_reactor.stop_reading();
        }
        // While there is time to wait, the event loop ends only after all commands that were read have been
        // handled. Otherwise a request that is read while reading stops would never be answered.
        let all_answered = self.shutdown.reading == Reading::Stopped && self.reducer.pending_requests() == 0;
        if all_answered || now >= schedule.stop_waiting_at {
            self.flush_clients(schedule.exit_at);
            return ControlFlow::Break(());
        }
        ControlFlow::Continue(())
    }

    /// Stops accepting [`SHARED_ACCEPT_TIME`] after SIGTERM if another process may share the listening
    /// socket, and leaves new connections to that process.
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

    /// Closes all client connections, and waits for clients to read their answers, no longer than `deadline`.
    fn flush_clients(&mut self, deadline: Micros) {
        self.clients.clear();
        self.client_reactor.shut_down();
        let timeout = deadline.saturating_sub(self.clock.now()).min(MAX_FLUSH_TIME);
        // No message is ever sent on this channel: it is disconnected when the last connection has closed.
        let _ = self.clients_closed.recv_timeout(Duration::from_micros(timeout));
    }
}

#[cfg(test)]
mod tests;
