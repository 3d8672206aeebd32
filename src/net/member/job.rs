//! A job on a member connection: the messages written for it, and its result.

use super::connect::OpenConnection;
use super::job_state::JobState;
use super::load_report::MemberStatus;
use super::start_conditions::StartConditions;
use crate::core::{JobId, JobResult, JobSpec};
use crate::exchange::{MemberRequest, MemberResponse};
use crate::extended::PreparedStatementCache;
use crate::sockets::TransientErrorRetries;
use crate::{Outcome, pg};
use std::io::Write;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

/// The simple query that requests a member's load report.
const HEALTH_CHECK: &[u8] = b"SHOW health";

/// A job for a connection.
pub(super) struct Job {
    /// The number of the job.
    pub(super) id: JobId,
    /// The work of the job.
    pub(super) what: JobSpec<MemberRequest>,
    /// The conditions under which the job may start.
    pub(super) conditions: StartConditions,
    /// The progress of the job.
    pub(super) state: Arc<JobState>,
}

impl Job {
    /// Whether an open connection is checked before the job starts.
    pub(super) fn wants_liveness_check(&self) -> bool {
        matches!(self.what, JobSpec::Attempt { verify_connection: true, .. })
    }
}

/// How a job ended on its connection.
pub(super) struct JobReply {
    /// The result for the event loop.
    pub(super) ending: JobResult<MemberResponse>,
    /// The connection can be given another job.
    pub(super) reusable: bool,
}

impl JobReply {
    /// The job ended with this outcome, without a response, and the connection can't be reused.
    pub(super) fn failed(outcome: Outcome) -> JobReply {
        JobReply { ending: JobResult::from_outcome(outcome), reusable: false }
    }

    /// The job ended before anything was written for it.
    pub(super) fn not_begun() -> JobReply {
        JobReply { ending: JobResult::from_outcome(Outcome::NeverSent), reusable: true }
    }

    /// The member's response is complete.
    pub(super) fn answered(
        outcome: Outcome,
        status: MemberStatus,
        bytes: Vec<u8>,
        connection: &OpenConnection,
    ) -> JobReply {
        // Guards against bytes after a complete reply: they would count as part of the next job's reply.
        let reusable = connection.frames.buffered().is_empty();
        JobReply { ending: status.into_ending(outcome, bytes), reusable }
    }
}

/// The execution of one job on an open connection, classified exactly by the protocol's table.
pub(super) struct JobExecution<'a> {
    /// The connection.
    pub(super) connection: &'a mut OpenConnection,
    /// The progress of the job.
    pub(super) state: &'a JobState,
    /// The conditions under which the job may start.
    pub(super) conditions: &'a StartConditions,
    /// Called when the last byte of an attempt has been written.
    pub(super) on_written: &'a dyn Fn(),
}

impl JobExecution<'_> {
    /// Runs the job; `None` if it was withdrawn before anything was written.
    pub(super) fn run(
        &mut self,
        what: &JobSpec<MemberRequest>,
        statements: &mut PreparedStatementCache,
    ) -> Option<JobReply> {
        match what {
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
        health_check: bool,
    ) -> Option<JobReply> {
        let Some(time_left) = self.conditions.time_left() else {
            return Some(JobReply::not_begun());
        };
        if !self.state.begin() {
            return None;
        }
        if self.write(&simple_query(text, timeout_digits, time_left)).is_err() {
            // The connection broke before the last byte was written: the query was never executed.
            return Some(JobReply::failed(Outcome::ConnectFailed));
        }
        if !health_check {
            (self.on_written)();
        }
        Some(self.read_simple_query_reply(health_check))
    }

    /// Writes all bytes.
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

/// The connection broke while a request was written.
pub(super) struct WriteError {
    /// The number of bytes that had been written.
    pub(super) written: usize,
}

/// The query message of a statement, with the remaining time of this proxy's wait in place of the timeout's
/// digits.
fn simple_query(text: &[u8], timeout_digits: Option<&Range<usize>>, time_left: Duration) -> Vec<u8> {
    match timeout_digits {
        None => pg::query_message(&[text]),
        Some(digits) => {
            let wait = time_left.as_millis().to_string();
            pg::query_message(&[&text[..digits.start], wait.as_bytes(), &text[digits.end..]])
        }
    }
}
