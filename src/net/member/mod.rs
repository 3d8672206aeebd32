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
mod memory;
mod outcome;
mod simple_query;
mod start_conditions;
mod worker_pool;

pub use events::MemberEvents;
pub use memory::MemberMemory;
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

/// The result of cancelling a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobCancellation {
    /// Whether the last byte of the request may have been sent: if so, the member may execute the request.
    pub maybe_sent: bool,
    /// Whether the connection can be given another job. If not, the connection has been aborted.
    pub reusable: bool,
}

impl JobCancellation {
    /// The cancellation of a job that had started: the connection was aborted.
    pub const ABORTED: JobCancellation = JobCancellation { maybe_sent: true, reusable: false };
}

/// The event loop's handle of a member connection.
pub struct MemberHandle {
    connection: Arc<MemberConnection>,
    workers: WorkerPool,
    /// The latest job; 0 before the first one.
    job: JobId,
    /// The state of the latest job.
    state: Arc<JobState>,
}

impl MemberHandle {
    /// Creates a handle without opening the connection. The first job opens it, and fails if that takes
    /// longer than `connect_timeout`.
    pub fn new(
        connection_id: ConnectionId,
        address: SocketAddr,
        connect_timeout: Duration,
        events: MemberEvents,
        workers: &WorkerPool,
        memory: &MemberMemory,
    ) -> MemberHandle {
        let memory = memory.clone();
        let connection = MemberConnection::new(connection_id, address, connect_timeout, events, memory);
        MemberHandle {
            connection: Arc::new(connection),
            workers: workers.clone(),
            job: 0,
            state: Arc::new(JobState::cancelled()),
        }
    }

    /// Passes a job to a worker thread; returns `false` if no thread could be started for it.
    pub fn start_job(
        &mut self,
        job: JobId,
        spec: JobSpec<MemberRequest>,
        conditions: StartConditions,
    ) -> bool {
        self.job = job;
        self.state = Arc::new(JobState::queued());
        let job = Job { id: job, spec, conditions, state: self.state.clone() };
        self.workers.dispatch(AssignedJob { connection: self.connection.clone(), job })
    }

    /// Cancels a job that has not started; returns `None` if the job has started or has been replaced by
    /// a later one. If the connection is in use for a liveness check or for the messages before an Execute,
    /// it is aborted.
    pub fn cancel_unsent(&self, job: JobId) -> Option<JobCancellation> {
        if self.job != job {
            return None;
        }
        if self.state.cancel_queued() {
            return Some(JobCancellation { maybe_sent: false, reusable: true });
        }
        if self.state.cancel_preparing() {
            self.abort();
            return Some(JobCancellation { maybe_sent: false, reusable: false });
        }
        None
    }

    /// Cancels a job, whether or not it has started. If it has started, the connection is aborted.
    pub fn cancel(&self, job: JobId) -> JobCancellation {
        self.cancel_unsent(job).unwrap_or_else(|| {
            self.abort();
            JobCancellation::ABORTED
        })
    }

    /// Shuts down the socket of the connection in both directions, if it is open. A job that runs on the
    /// connection fails.
    pub fn abort(&self) {
        self.connection.abort();
    }
}
