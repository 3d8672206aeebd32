//! Runs a batch of extended-query messages and reads the replies.

use super::connect::OpenConnection;
use super::job::{JobExecution, JobReply, WriteError};
use super::load_report::MemberStatus;
use super::outcome::{INVALID_SQL_STATEMENT_NAME, outcome_of_reply};
use crate::extended::{BatchExecution, ExtendedBatch, PreparedStatementCache, Progress};
use crate::memory_budget::HeldBytes;
use crate::pg::message_tags::{backend, frontend};
use crate::{Outcome, pg};
use std::time::Duration;

/// The read timeout while the member answers the messages before the first Execute. When it expires, the
/// attempt fails: the member has executed nothing.
const PRE_EXECUTE_TIMEOUT: Duration = Duration::from_millis(1000);
/// The longest accepted response to a batch, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 * pg::MAX_MESSAGE_BYTES;

/// The execution of a batch, and what the replies report about the member.
struct BatchReplies<'a> {
    execution: BatchExecution,
    statements: &'a mut PreparedStatementCache,
    status: MemberStatus,
    /// The bytes of the response, as counted in the budget of all responses.
    held: HeldBytes,
    /// Whether the response was given up because the budget is used up.
    is_over_budget: bool,
}

impl BatchReplies<'_> {
    /// Prepares the messages from the first Execute on, unless the batch has none or a message before it has
    /// failed.
    fn add_from_execute(&mut self, batch: &ExtendedBatch, time_left: Duration) {
        if batch.executes() && self.execution.error.is_none() {
            self.execution.add_from_execute(batch, self.statements, time_left);
        }
    }

    /// Reads and handles one reply; returns `None` if the connection ends, the reply is malformed, or the
    /// response is too long or exceeds the budget of all responses.
    fn read(&mut self, connection: &mut OpenConnection) -> Option<Progress> {
        loop {
            if let Some((tag, message)) = connection.frames.next_reply().ok()? {
                let progress = self.on_reply(tag, message);
                self.is_over_budget = self.held.try_set(self.execution.response.len()).is_err();
                return (!self.is_over_budget).then_some(progress);
            }
            if self.execution.response.len() > MAX_RESPONSE_BYTES || !connection.fill().ok()? {
                return None;
            }
        }
    }

    /// Reads until all messages before the first Execute are answered; returns `false` if the replies end
    /// before that.
    fn read_pre_execute(&mut self, connection: &mut OpenConnection) -> bool {
        while !self.execution.pre_execute_answered() {
            if self.read(connection) != Some(Progress::AwaitingReplies) {
                return false;
            }
        }
        true
    }

    /// Reads up to ReadyForQuery; returns `false` if ReadyForQuery does not arrive or the replies violate the
    /// protocol.
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
    /// Runs a batch; returns `None` if the job was cancelled before anything was written.
    ///
    /// If the batch must not be executed twice, the first Execute is sent only after the member has confirmed
    /// all messages before it. If the connection breaks before that, nothing has been executed.
    pub(super) fn run_batch(
        &mut self,
        batch: &ExtendedBatch,
        statements: &mut PreparedStatementCache,
    ) -> Option<JobReply> {
        let executes = batch.executes();
        let confirm_first = batch.confirm_before_execute || !executes;
        let Some(time_left) = self.conditions.time_left() else {
            return Some(JobReply::not_started());
        };
        // Creating the execution marks the batch's statements as prepared on this connection. The state
        // changes before that, so that a job that has been cancelled leaves the cache unchanged.
        let started = if confirm_first { self.state.start_preparing() } else { self.state.start_queued() };
        if !started {
            return None;
        }
        let mut replies = BatchReplies {
            execution: BatchExecution::new(batch, statements, time_left),
            statements,
            status: MemberStatus::default(),
            held: HeldBytes::new(self.response_memory.clone()),
            is_over_budget: false,
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

    /// Sends the messages before the first Execute, waits until they are answered, and returns the time left
    /// after that. On success, the job has started, unless there is nothing to execute: the batch has no
    /// Execute, or one of its messages has failed.
    fn confirm_pre_execute(
        &mut self,
        mut messages: Vec<u8>,
        replies: &mut BatchReplies<'_>,
        executes: bool,
    ) -> Result<Duration, Outcome> {
        pg::put_message(&mut messages, frontend::FLUSH, &[]);
        let _ = self.connection.stream.set_read_timeout(Some(PRE_EXECUTE_TIMEOUT));
        let is_written = self.write(&messages).is_ok();
        drop(messages);
        let confirmed = is_written && replies.read_pre_execute(self.connection);
        // The read timeout is removed: otherwise an Execute that takes longer would fail.
        let is_unlimited = self.connection.stream.set_read_timeout(None).is_ok();
        if !confirmed || !is_unlimited {
            return Err(Outcome::ConnectFailed);
        }
        // If no time is left, the rest of the batch is not sent, and the connection can't be reused.
        let time_left = self.conditions.time_left().ok_or(Outcome::NeverSent)?;
        let will_execute = executes && replies.execution.error.is_none();
        if will_execute && !self.state.start_prepared() {
            return Err(Outcome::ConnectFailed);
        }
        Ok(time_left)
    }

    /// Sends `messages` and the rest of the batch, and reads the replies.
    fn finish_batch(
        &mut self,
        mut messages: Vec<u8>,
        mut replies: BatchReplies<'_>,
        executes: bool,
    ) -> JobReply {
        messages.append(&mut replies.execution.from_execute);
        pg::put_message(&mut messages, frontend::SYNC, &[]);
        let written = self.write(&messages);
        // The reply may take as long as the client waits.
        drop(messages);
        if let Err(WriteError { written }) = written {
            let outcome = if written == 0 { Outcome::ConnectFailed } else { Outcome::Reset };
            return JobReply::failed(outcome);
        }
        (self.on_written)();
        if !replies.read_to_end(self.connection) {
            return JobReply::failed(match executes {
                // This says nothing about the member.
                true if replies.is_over_budget => Outcome::Cancelled,
                true => Outcome::Reset,
                false => Outcome::ConnectFailed,
            });
        }
        let BatchReplies { execution, status, held, .. } = replies;
        let error = execution.error.as_deref();
        let is_statement_lost = error == Some(INVALID_SQL_STATEMENT_NAME);
        // A member that has lost a prepared statement which the cache of this connection contains has
        // rejected the batch, which had no effect.
        let rejection = is_statement_lost.then_some(Outcome::RejectedByMember);
        let outcome = match rejection.unwrap_or_else(|| outcome_of_reply(error)) {
            // A part of the batch has been executed before the member rejected the rest.
            Outcome::RejectedByMember if execution.has_executed => Outcome::Error,
            outcome => outcome,
        };
        if is_statement_lost {
            // The connection is closed, so that the next one starts with an empty cache.
            return JobReply::failed(outcome);
        }
        JobReply::answered(outcome, status, execution.response, held, self.connection)
    }
}
