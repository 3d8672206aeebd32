//! Connections to members. Each running job has its own thread, so that a member that hangs blocks only
//! that thread. A connection without a job has no thread.

mod connect;
mod connection;
mod events;
mod extended_query;
mod job;
mod job_state;
mod liveness;
mod load_report;
mod outcome;
mod simple_query;
mod start_conditions;
mod worker_pool;

pub use events::MemberEvents;
pub use start_conditions::StartConditions;
pub use worker_pool::WorkerPool;

use crate::core::{ConnectionId, JobId, JobSpec};
use crate::exchange::MemberRequest;
use connection::MemberConnection;
use job::Job;
use job_state::JobState;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use worker_pool::AssignedJob;

/// The result of withdrawing a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Withdrawal {
    /// The last byte of the request may have been sent, so that the member may execute it.
    pub maybe_sent: bool,
    /// The connection can be given another job. If not, it has been aborted.
    pub reusable: bool,
}

impl Withdrawal {
    /// The job had started, and the connection was aborted.
    pub const ABORTED: Withdrawal = Withdrawal { maybe_sent: true, reusable: false };
}

/// The event loop's handle of a member connection.
pub struct MemberHandle {
    connection: Arc<MemberConnection>,
    workers: WorkerPool,
    /// The latest job and its state.
    job: JobId,
    state: Arc<JobState>,
}

impl MemberHandle {
    /// Prepares a connection to the member at this address: its first job opens it, within `connect_timeout`.
    pub fn new(
        link: ConnectionId,
        address: SocketAddr,
        connect_timeout: Duration,
        events: MemberEvents,
        workers: &WorkerPool,
    ) -> MemberHandle {
        let connection = MemberConnection::new(link, address, connect_timeout, events);
        MemberHandle {
            connection: Arc::new(connection),
            workers: workers.clone(),
            job: 0,
            state: Arc::new(JobState::withdrawn()),
        }
    }

    /// Starts a job on the connection; `false` if there is no thread for it.
    pub fn start_job(
        &mut self,
        job: JobId,
        what: JobSpec<MemberRequest>,
        conditions: StartConditions,
    ) -> bool {
        self.job = job;
        self.state = Arc::new(JobState::queued());
        let job = Job { id: job, what, conditions, state: self.state.clone() };
        self.workers.dispatch(AssignedJob { connection: self.connection.clone(), job })
    }

    /// Withdraws a job that has not started; `None` if it has. A connection in use for a liveness check,
    /// or for the messages before an Execute, is aborted.
    pub fn withdraw_unsent(&self, job: JobId) -> Option<Withdrawal> {
        if self.job != job {
            return None;
        }
        if self.state.withdraw_queued() {
            return Some(Withdrawal { maybe_sent: false, reusable: true });
        }
        if self.state.withdraw_preparing() {
            self.abort();
            return Some(Withdrawal { maybe_sent: false, reusable: false });
        }
        None
    }

    /// Withdraws a job, whether it has started or not. If it has started, the connection is aborted.
    pub fn abandon(&self, job: JobId) -> Withdrawal {
        self.withdraw_unsent(job).unwrap_or_else(|| {
            self.abort();
            Withdrawal::ABORTED
        })
    }

    /// Ends the connection, whatever its state.
    pub fn abort(&self) {
        self.connection.abort();
    }
}
