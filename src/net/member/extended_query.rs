//! A batch of extended-query messages and the replies to it.

use super::connect::OpenConnection;
use super::job::{JobExecution, JobReply, WriteError};
use super::load_report::MemberStatus;
use super::outcome::{INVALID_SQL_STATEMENT_NAME, outcome_of_reply};
use crate::extended::{BatchExecution, ExtendedBatch, PreparedStatementCache, Progress};
use crate::pg::message_tags::{backend, frontend};
use crate::{Outcome, pg};
use std::time::Duration;

/// The time limit of a member for the messages before the first Execute. After it, waiting ends:
/// the member has executed nothing.
const PRE_EXECUTE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Reading stops if a response is longer than this.
const MAX_RESPONSE_BYTES: usize = 4 * pg::MAX_MESSAGE_BYTES;

/// The replies to a batch, and what they report about the member.
struct BatchReplies<'a> {
    execution: BatchExecution,
    statements: &'a mut PreparedStatementCache,
    status: MemberStatus,
}

impl BatchReplies<'_> {
    /// Prepares what follows the messages before the first Execute, unless one of these has met an error.
    fn add_from_execute(&mut self, batch: &ExtendedBatch, time_left: Duration) {
        if batch.executes() && self.execution.error.is_none() {
            self.execution.add_from_execute(batch, self.statements, time_left);
        }
    }

    /// Reads one reply; `None` if the connection ends.
    fn read(&mut self, connection: &mut OpenConnection) -> Option<Progress> {
        loop {
            if let Some((tag, message)) = connection.frames.next_reply().ok()? {
                return Some(self.on_reply(tag, message));
            }
            if self.execution.response.len() > MAX_RESPONSE_BYTES || !connection.fill().ok()? {
                return None;
            }
        }
    }

    /// Reads until all messages before the first Execute are answered; `false` if that does not happen.
    fn read_pre_execute(&mut self, connection: &mut OpenConnection) -> bool {
        while !self.execution.pre_execute_answered() {
            if self.read(connection) != Some(Progress::AwaitingReplies) {
                return false;
            }
        }
        true
    }

    /// Reads up to ReadyForQuery; `false` if it does not arrive.
    fn read_to_end(&mut self, connection: &mut OpenConnection) -> bool {
        loop {
            match self.read(connection) {
                Some(Progress::AwaitingReplies) => {}
                Some(Progress::Complete) => return true,
                Some(Progress::ProtocolViolation) | None => return false,
            }
        }
    }

    fn on_reply(&mut self, tag: u8, message: &[u8]) -> Progress {
        let body = pg::message_body(message);
        if tag == backend::PARAMETER_STATUS {
            self.status.on_parameter(body);
        } else if !pg::is_well_formed(tag, body) {
            return Progress::ProtocolViolation;
        }
        self.execution.on_reply(self.statements, tag, message)
    }
}

impl JobExecution<'_> {
    /// Runs a batch; `None` if it was withdrawn before anything was written.
    ///
    /// Where the batch must not be executed twice, Execute is held back until the member has confirmed all
    /// messages before it: until then, nothing can have been executed.
    pub(super) fn run_batch(
        &mut self,
        batch: &ExtendedBatch,
        statements: &mut PreparedStatementCache,
    ) -> Option<JobReply> {
        let executes = batch.executes();
        let confirm_first = batch.confirm_before_execute || !executes;
        let Some(time_left) = self.conditions.time_left() else {
            return Some(JobReply::not_begun());
        };
        // Checked before the execution is created, as its statements count as prepared from then on.
        let started = if confirm_first { self.state.start_preparing() } else { self.state.begin() };
        if !started {
            return None;
        }
        let mut replies = BatchReplies {
            execution: BatchExecution::new(batch, statements, time_left),
            statements,
            status: MemberStatus::default(),
        };
        let pre_execute = std::mem::take(&mut replies.execution.pre_execute);
        if !confirm_first {
            replies.add_from_execute(batch, time_left);
            return Some(self.finish_batch(pre_execute, replies, executes));
        }
        match self.confirm_pre_execute(pre_execute, &mut replies, executes) {
            Ok(time_left) => replies.add_from_execute(batch, time_left),
            Err(outcome) => return Some(JobReply::failed(outcome)),
        }
        Some(self.finish_batch(Vec::new(), replies, executes))
    }

    /// Sends the messages before the first Execute and waits until they are answered; returns how much time
    /// is left then. On success, the job has started, or there is nothing to execute: the batch executes
    /// nothing or has met an error.
    fn confirm_pre_execute(
        &mut self,
        mut messages: Vec<u8>,
        replies: &mut BatchReplies<'_>,
        executes: bool,
    ) -> Result<Duration, Outcome> {
        pg::put_message(&mut messages, frontend::FLUSH, &[]);
        let _ = self.connection.stream.set_read_timeout(Some(PRE_EXECUTE_TIMEOUT));
        let confirmed = self.write(&messages).is_ok() && replies.read_pre_execute(self.connection);
        // With the limit left on it, the connection would break off an Execute that takes longer.
        let is_unlimited = self.connection.stream.set_read_timeout(None).is_ok();
        if !confirmed || !is_unlimited {
            return Err(Outcome::ConnectFailed);
        }
        // Without time left, the batch is incomplete at the member: the connection can't be reused.
        let time_left = self.conditions.time_left().ok_or(Outcome::NeverSent)?;
        let will_execute = executes && replies.execution.error.is_none();
        if will_execute && !self.state.begin_prepared() {
            return Err(Outcome::ConnectFailed);
        }
        Ok(time_left)
    }

    /// Sends the rest of the batch after these messages, and reads the replies.
    fn finish_batch(
        &mut self,
        mut messages: Vec<u8>,
        mut replies: BatchReplies<'_>,
        executes: bool,
    ) -> JobReply {
        messages.append(&mut replies.execution.from_execute);
        pg::put_message(&mut messages, frontend::SYNC, &[]);
        if let Err(WriteError { written }) = self.write(&messages) {
            let outcome = if written == 0 { Outcome::ConnectFailed } else { Outcome::Reset };
            return JobReply::failed(outcome);
        }
        (self.on_written)();
        if !replies.read_to_end(self.connection) {
            return JobReply::failed(if executes { Outcome::Reset } else { Outcome::ConnectFailed });
        }
        let BatchReplies { execution, status, .. } = replies;
        let error = execution.error.as_deref();
        if error == Some(INVALID_SQL_STATEMENT_NAME) {
            // Guards against a member that lost its prepared statements: the batch has no effect, and the
            // next connection starts with an empty cache.
            return JobReply::failed(Outcome::RejectedByMember);
        }
        JobReply::answered(outcome_of_reply(error), status, execution.response, self.connection)
    }
}
