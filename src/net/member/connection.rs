//! A connection to a member: it is opened for its first job, checked before it is reused, and reopened
//! if it turns out to be dead.

use super::connect::{ConnectError, OpenConnection, connect};
use super::events::{MemberEvent, MemberEvents};
use super::job::{Job, JobExecution, JobReply};
use super::liveness::answers_empty_query;
use crate::Outcome;
use crate::core::{ConnectionId, Input};
use crate::extended::PreparedStatementCache;
use crate::sockets::closed_by_peer;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The least interval between two log lines about errors of this machine.
const LOCAL_ERROR_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A connection to a member, opened or to be opened.
pub(super) struct MemberConnection {
    link: ConnectionId,
    address: SocketAddr,
    /// For opening the connection, and for a liveness check.
    connect_timeout: Duration,
    events: MemberEvents,
    /// The current socket, for aborting the connection.
    abort_target: Mutex<Option<Arc<TcpStream>>>,
    /// The state of the connection while no job is running; a job takes it. `None` also once it has ended.
    idle_state: Mutex<Option<ConnectionState>>,
}

/// The state of the current connection; the default is not opened yet.
#[derive(Default)]
struct ConnectionState {
    open: Option<OpenConnection>,
    statements: PreparedStatementCache,
}

impl ConnectionState {
    fn is_unusable(&self) -> bool {
        self.open.as_ref().is_some_and(|open| closed_by_peer(&open.stream))
    }
}

/// The result of a liveness check before a job.
enum Liveness {
    Alive,
    Dead,
    /// The job was withdrawn before the check.
    WithdrawnBefore,
    /// The job was withdrawn during the check, which cuts the connection: nothing has been executed.
    WithdrawnDuring,
}

impl MemberConnection {
    /// A connection to the member at this address that is not opened yet.
    pub(super) fn new(
        link: ConnectionId,
        address: SocketAddr,
        connect_timeout: Duration,
        events: MemberEvents,
    ) -> MemberConnection {
        MemberConnection {
            link,
            address,
            connect_timeout,
            events,
            abort_target: Mutex::new(None),
            idle_state: Mutex::new(Some(ConnectionState::default())),
        }
    }

    /// Ends the connection, whatever its state.
    pub(super) fn abort(&self) {
        if let Some(stream) = self.abort_target().as_ref() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Runs a job; returns the event for the event loop.
    pub(super) fn run_job(&self, job: Job) -> Vec<MemberEvent> {
        let state = self.idle_state().take();
        let mut events = Vec::new();
        if let Some(state) = state.and_then(|state| self.run_job_with(state, &job, &mut events)) {
            *self.idle_state() = Some(state);
        } else {
            *self.abort_target() = None;
            events.push(Input::ConnectionClosed(self.link));
        }
        events
    }

    /// Notifies the event loop.
    pub(super) fn notify(&self, event: MemberEvent) {
        self.events.send(event);
    }

    fn abort_target(&self) -> MutexGuard<'_, Option<Arc<TcpStream>>> {
        self.abort_target.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn idle_state(&self) -> MutexGuard<'_, Option<ConnectionState>> {
        self.idle_state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Runs a job on the connection; returns the state to keep for the next job, `None` if it has ended.
    fn run_job_with(
        &self,
        mut state: ConnectionState,
        job: &Job,
        events: &mut Vec<MemberEvent>,
    ) -> Option<ConnectionState> {
        if job.state.is_withdrawn() {
            events.push(Input::ConnectionIdle(self.link));
            return Some(state);
        }
        // Guards against a connection that the member closed while it was idle: a write to it would count as
        // sent. It is reopened, and the job has not started.
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
                Liveness::WithdrawnBefore => {
                    events.push(Input::ConnectionIdle(self.link));
                    return Some(state);
                }
                Liveness::WithdrawnDuring => return None,
            }
        }
        let Some(JobReply { ending, reusable }) = self.execute(&mut state, job) else {
            events.push(Input::ConnectionIdle(self.link));
            return Some(state);
        };
        events.push(Input::JobFinished { connection: self.link, job: job.id, result: ending, reusable });
        reusable.then_some(state)
    }

    /// Closes a connection that can't be used; returns the state of one not opened yet. Guards against a
    /// socket that stays open, and that nobody reads, while the next one is being opened.
    fn discard(&self, state: ConnectionState) -> ConnectionState {
        *self.abort_target() = None;
        drop(state);
        ConnectionState::default()
    }

    fn check_liveness(&self, open: &mut OpenConnection, job: &Job) -> Liveness {
        if !job.state.start_preparing() {
            return Liveness::WithdrawnBefore;
        }
        // With the check's time limit left on it, the connection would break off a job that takes longer.
        let alive = answers_empty_query(open, Instant::now() + self.connect_timeout)
            && open.stream.set_read_timeout(None).is_ok();
        if !job.state.return_to_queued() {
            return Liveness::WithdrawnDuring;
        }
        if alive { Liveness::Alive } else { Liveness::Dead }
    }

    /// Opens the connection if it is not open, and executes the job on it; `None` if the job was withdrawn
    /// before anything was written.
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
        };
        let reply = execution.run(&job.what, &mut state.statements);
        state.open = Some(open);
        reply
    }

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

/// Logs that this machine could not open a connection, once in a while: each request may meet it.
fn log_local_error(error: &ConnectError) {
    static LAST_LOGGED: Mutex<Option<Instant>> = Mutex::new(None);
    let mut last_logged = LAST_LOGGED.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    if last_logged.is_none_or(|logged| logged.elapsed() >= LOCAL_ERROR_LOG_INTERVAL) {
        *last_logged = Some(Instant::now());
        tracing::warn!(%error, "this machine opens no connection to members");
    }
}
