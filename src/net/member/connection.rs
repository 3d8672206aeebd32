//! A connection to a member: opened for its first job, checked before reuse, and reopened if it is dead.

use super::connect::{ConnectError, OpenConnection, connect};
use super::events::{MemberEvent, MemberEvents};
use super::job::{Job, JobExecution, JobReply};
use super::liveness::answers_empty_query;
use super::memory::MemberMemory;
use crate::Outcome;
use crate::core::{ConnectionId, Input};
use crate::extended::PreparedStatementCache;
use crate::memory_budget::HeldBytes;
use crate::sockets::closed_by_peer;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The shortest interval between two log lines about local errors.
const LOCAL_ERROR_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A connection to a member, open or not yet opened. A job that runs on it uses it from a worker thread,
/// while the event loop may abort it.
pub(super) struct MemberConnection {
    connection_id: ConnectionId,
    address: SocketAddr,
    /// The time limit for opening the connection, and for a liveness check.
    connect_timeout: Duration,
    events: MemberEvents,
    /// The current socket, which [`Self::abort`] shuts down; `None` while none is open.
    abort_target: Mutex<Option<Arc<TcpStream>>>,
    /// The state of the connection while no job is running; `None` while a job uses it, and after the
    /// connection has ended.
    idle_state: Mutex<Option<ConnectionState>>,
    /// The memory that all member connections share.
    memory: MemberMemory,
}

/// The state of the current connection; the default is a connection that is not opened yet.
struct ConnectionState {
    open: Option<OpenConnection>,
    /// The statements that are prepared on this connection.
    statements: PreparedStatementCache,
}

impl ConnectionState {
    /// The state of a connection that is not open.
    fn new(memory: &MemberMemory) -> ConnectionState {
        let held = HeldBytes::new(memory.statements.clone());
        ConnectionState { open: None, statements: PreparedStatementCache::new(held) }
    }

    /// Whether the connection is open, and the member has closed it or sent unexpected bytes.
    fn is_unusable(&self) -> bool {
        self.open.as_ref().is_some_and(|open| closed_by_peer(&open.stream))
    }
}

/// The result of a liveness check before a job.
enum Liveness {
    Alive,
    Dead,
    /// The job was cancelled before the check.
    CancelledBefore,
    /// The job was cancelled during the check, which aborts the connection. The member has executed nothing.
    CancelledDuring,
}

impl MemberConnection {
    /// Creates a connection to the member at this address, without opening it.
    pub(super) fn new(
        connection_id: ConnectionId,
        address: SocketAddr,
        connect_timeout: Duration,
        events: MemberEvents,
        memory: MemberMemory,
    ) -> MemberConnection {
        MemberConnection {
            connection_id,
            address,
            connect_timeout,
            events,
            abort_target: Mutex::new(None),
            idle_state: Mutex::new(Some(ConnectionState::new(&memory))),
            memory,
        }
    }

    /// Shuts down the socket of the connection, if one is open.
    pub(super) fn abort(&self) {
        if let Some(stream) = self.abort_target().as_ref() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Runs a job; returns the events that the event loop is to be notified of after it.
    pub(super) fn run_job(&self, job: Job) -> Vec<MemberEvent> {
        let state = self.idle_state().take();
        let mut events = Vec::new();
        if let Some(state) = state.and_then(|state| self.run_job_with(state, &job, &mut events)) {
            *self.idle_state() = Some(state);
        } else {
            *self.abort_target() = None;
            events.push(Input::ConnectionClosed(self.connection_id));
        }
        events
    }

    /// Sends an event to the event loop.
    pub(super) fn notify(&self, event: MemberEvent) {
        self.events.send(event);
    }

    fn abort_target(&self) -> MutexGuard<'_, Option<Arc<TcpStream>>> {
        self.abort_target.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn idle_state(&self) -> MutexGuard<'_, Option<ConnectionState>> {
        self.idle_state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Runs a job on the connection. Returns the connection's state for the next job; `None` if the
    /// connection has ended.
    fn run_job_with(
        &self,
        mut state: ConnectionState,
        job: &Job,
        events: &mut Vec<MemberEvent>,
    ) -> Option<ConnectionState> {
        if job.state.is_cancelled() {
            events.push(Input::ConnectionIdle(self.connection_id));
            return Some(state);
        }
        // A connection that the member closed while it was idle is reopened before the job starts: a write to
        // it could still succeed, and the request would count as sent.
        if state.is_unusable() {
            state = self.discard(state);
        }
        if job.wants_liveness_check()
            && let Some(open) = &mut state.open
        {
            match self.check_liveness(open, job) {
                Liveness::Alive => {}
                Liveness::Dead => {
                    self.notify(Input::StaleConnectionFound);
                    state = self.discard(state);
                }
                Liveness::CancelledBefore => {
                    events.push(Input::ConnectionIdle(self.connection_id));
                    return Some(state);
                }
                Liveness::CancelledDuring => return None,
            }
        }
        let Some(JobReply { job_result, reusable }) = self.execute(&mut state, job) else {
            events.push(Input::ConnectionIdle(self.connection_id));
            return Some(state);
        };
        events.push(Input::JobFinished {
            connection: self.connection_id,
            job: job.id,
            result: job_result,
            reusable,
        });
        reusable.then_some(state)
    }

    /// Closes a connection that can't be used, and returns the state of one that is not opened yet. Without
    /// this, the old socket would stay open, unread, while the next one is being opened.
    fn discard(&self, state: ConnectionState) -> ConnectionState {
        *self.abort_target() = None;
        drop(state);
        ConnectionState::new(&self.memory)
    }

    /// Checks whether the connection is alive, unless the job is cancelled before or during the check.
    fn check_liveness(&self, open: &mut OpenConnection, job: &Job) -> Liveness {
        if !job.state.start_preparing() {
            return Liveness::CancelledBefore;
        }
        // The check's read timeout is removed: otherwise a job that takes longer would fail.
        let alive = answers_empty_query(open, Instant::now() + self.connect_timeout)
            && open.stream.set_read_timeout(None).is_ok();
        if !job.state.return_to_queued() {
            return Liveness::CancelledDuring;
        }
        if alive { Liveness::Alive } else { Liveness::Dead }
    }

    /// Opens the connection if it is not open, and executes the job on it. Returns `None` if the job was
    /// cancelled before anything was written.
    fn execute(&self, state: &mut ConnectionState, job: &Job) -> Option<JobReply> {
        let mut open = match state.open.take() {
            Some(open) => open,
            None => match self.open() {
                Ok(open) => open,
                Err(outcome) => return Some(JobReply::failed(outcome)),
            },
        };
        let mut execution = JobExecution {
            connection: &mut open,
            state: &job.state,
            conditions: &job.conditions,
            on_written: &|| self.notify(Input::AttemptWritten),
            response_memory: &self.memory.responses,
        };
        let reply = execution.run(&job.spec, &mut state.statements);
        open.frames.release_idle_buffer();
        state.open = Some(open);
        reply
    }

    /// Opens the connection; on failure, returns the job's outcome.
    fn open(&self) -> Result<OpenConnection, Outcome> {
        let open = connect(self.address, self.connect_timeout).map_err(|error| {
            let outcome = error.outcome();
            if outcome == Outcome::LocalError {
                log_local_error(&error);
            }
            outcome
        })?;
        *self.abort_target() = Some(open.stream.clone());
        Ok(open)
    }
}

/// Logs that this machine could not open a connection, once a second at most: while the error lasts, each
/// request may cause it again.
fn log_local_error(error: &ConnectError) {
    static LAST_LOGGED: Mutex<Option<Instant>> = Mutex::new(None);
    let mut last_logged = LAST_LOGGED.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    if last_logged.is_none_or(|logged| logged.elapsed() >= LOCAL_ERROR_LOG_INTERVAL) {
        *last_logged = Some(Instant::now());
        tracing::warn!(%error, "this machine opens no connection to members");
    }
}
