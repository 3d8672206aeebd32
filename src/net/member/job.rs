//! A job on a member connection: writes the job's messages and classifies its result.

use super::connect::OpenConnection;
use super::job_state::JobState;
use super::load_report::MemberStatus;
use super::start_conditions::StartConditions;
use crate::core::{JobId, JobResult, JobSpec};
use crate::exchange::{MemberRequest, MemberResponse};
use crate::extended::PreparedStatementCache;
use crate::memory_budget::{HeldBytes, MemoryBudget};
use crate::sockets::TransientErrorRetries;
use crate::{Outcome, pg};
use std::io::Write;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

/// The simple query of a probe, which requests the member's load report.
const HEALTH_CHECK: &[u8] = b"SHOW health";

/// A job for a connection.
pub(super) struct Job {
    /// The id of the job in events.
    pub(super) id: JobId,
    /// The work of the job: a probe or an attempt.
    pub(super) spec: JobSpec<MemberRequest>,
    /// The conditions under which the job may start.
    pub(super) conditions: StartConditions,
    /// The progress of the job, shared with the event loop.
    pub(super) state: Arc<JobState>,
}

impl Job {
    /// Whether the liveness of an open connection is checked before the job starts.
    pub(super) fn wants_liveness_check(&self) -> bool {
        matches!(self.spec, JobSpec::Attempt { verify_connection: true, .. })
    }
}

/// How a job ended on its connection.
pub(super) struct JobReply {
    /// The result for the event loop.
    pub(super) job_result: JobResult<MemberResponse>,
    /// Whether the connection can be given another job.
    pub(super) reusable: bool,
}

impl JobReply {
    /// The reply of a job that ended with this outcome, without a response. The connection can't be reused.
    pub(super) fn failed(outcome: Outcome) -> JobReply {
        JobReply { job_result: JobResult::from_outcome(outcome), reusable: false }
    }

    /// The reply of a job whose start conditions were not met: nothing was written for it.
    pub(super) fn not_started() -> JobReply {
        JobReply { job_result: JobResult::from_outcome(Outcome::NeverSent), reusable: true }
    }

    /// The reply of a job that the member answered with a complete response.
    pub(super) fn answered(
        outcome: Outcome,
        status: MemberStatus,
        bytes: Vec<u8>,
        held: HeldBytes,
        connection: &OpenConnection,
    ) -> JobReply {
        // With bytes left after a complete reply, the connection is not reused: they would count as part of
        // the next job's reply.
        let reusable = connection.frames.buffered().is_empty();
        JobReply { job_result: status.into_job_result(outcome, bytes, Some(held)), reusable }
    }
}

/// The execution of one job on an open connection. Its outcome distinguishes whether the member may have
/// executed the request.
pub(super) struct JobExecution<'a> {
    /// The connection.
    pub(super) connection: &'a mut OpenConnection,
    /// The progress of the job.
    pub(super) state: &'a JobState,
    /// The conditions under which the job may start.
    pub(super) conditions: &'a StartConditions,
    /// A function that is called when the last byte of an attempt has been written.
    pub(super) on_written: &'a dyn Fn(),
    /// The memory of responses to batches that are being read.
    pub(super) response_memory: &'a Arc<MemoryBudget>,
}

impl JobExecution<'_> {
    /// Runs the job; returns `None` if the job was cancelled before anything was written.
    pub(super) fn run(
        &mut self,
        spec: &JobSpec<MemberRequest>,
        statements: &mut PreparedStatementCache,
    ) -> Option<JobReply> {
        match spec {
            JobSpec::Probe => self.run_simple_query(HEALTH_CHECK, None, true),
            JobSpec::Attempt { work, .. } => match work.as_ref() {
                MemberRequest::Extended(batch) => self.run_batch(batch, statements),
                MemberRequest::SimpleQuery { text, timeout_digits } => {
                    self.run_simple_query(text, timeout_digits.as_ref(), false)
                }
            },
        }
    }

    fn run_simple_query(
        &mut self,
        text: &[u8],
        timeout_digits: Option<&Range<usize>>,
        is_health_check: bool,
    ) -> Option<JobReply> {
        let Some(time_left) = self.conditions.time_left() else {
            return Some(JobReply::not_started());
        };
        if !self.state.start_queued() {
            return None;
        }
        if self.write(&simple_query(text, timeout_digits, time_left)).is_err() {
            // The last byte was not written: the member can't have executed the query.
            return Some(JobReply::failed(Outcome::ConnectFailed));
        }
        if !is_health_check {
            (self.on_written)();
        }
        Some(self.read_simple_query_reply(is_health_check))
    }

    /// Writes all bytes. A write that fails with a transient error is retried.
    pub(super) fn write(&mut self, bytes: &[u8]) -> Result<(), WriteError> {
        let mut written = 0;
        let mut retries = TransientErrorRetries::default();
        while written < bytes.len() {
            match (&*self.connection.stream).write(&bytes[written..]) {
                Ok(n) if n > 0 => written += n,
                Err(error) if retries.should_retry_after(&error) => {}
                _ => return Err(WriteError { written }),
            }
        }
        Ok(())
    }
}

/// The error of a connection that broke while a request was written.
pub(super) struct WriteError {
    /// The number of bytes that had been written before the error.
    pub(super) written: usize,
}

/// The Query message of a statement. The time left, in whole milliseconds, replaces the digits of the timeout
/// in the statement's text.
fn simple_query(text: &[u8], timeout_digits: Option<&Range<usize>>, time_left: Duration) -> Vec<u8> {
    match timeout_digits {
        None => pg::query_message(&[text]),
        Some(digits) => {
            let timeout_ms = time_left.as_millis().to_string();
            pg::query_message(&[&text[..digits.start], timeout_ms.as_bytes(), &text[digits.end..]])
        }
    }
}
