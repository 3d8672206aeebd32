//! The extended front: prepared statements, portals and pipelines. The messages up to a Sync are one implicit
//! transaction. They are forwarded as one request, which needs of its member what each of the executed
//! statements needs, and gets one final answer.
//!
//! A Flush before the Sync makes a request of the messages up to it, and the implicit transaction ends at the
//! member with that request. Later messages before the Sync may still use a portal that was bound before the
//! Flush: it is bound again, and the client does not see the second BindComplete. An Execute is rejected if
//! one preceded the Flush, because both could not be executed in one transaction.

mod analysis;
mod batch_planner;
mod bind;
mod config;
mod dependencies;
mod error;
mod execution;
mod reply_summary;
mod session;
mod statement_recorder;
mod statement_table;

pub use config::{ExtendedListenerConfig, UnknownClassError};
pub use session::Session;

use super::final_answer::append_final_answer;
use super::{CommandStep, Protocol, ServiceState};
use crate::client::{BatchEnd, ClientBatch, Refusal};
use crate::core::FinalAnswer;
use crate::exchange::{MemberRequest, MemberResponse};
use crate::extended::ExtendedBatch;
use crate::memory_budget::{HeldBytes, MemoryBudget};
use crate::pg::message_tags::{backend, frontend};
use crate::pg::{self, statement};
use crate::state::SessionCommits;
use crate::store::Change;
use crate::{GroupId, Micros, SessionInGroup, Settings};
use analysis::{BatchStatements, StatementAnalyzer};
use batch_planner::{BatchPlan, BatchPlanner};
use dependencies::statement_names;
use error::BatchError;
use execution::{Execution, Executions};
use reply_summary::ReplySummary;
use statement_recorder::StatementRecorder;
use statement_table::StatementChange;
use std::sync::Arc;

/// The length of a Query message with an empty text: type byte, length field and terminating zero.
const EMPTY_QUERY_BYTES: usize = 6;

/// The context of a forwarded batch, which its reply depends on.
pub struct BatchContext {
    /// The changes that the batch makes to the session's statements.
    changes: Vec<StatementChange>,
    /// The group of the batch.
    group: GroupId,
    /// The sessions that the batch may have written for if it was served.
    written_sessions: Vec<u64>,
    /// The type of the message that ended the batch.
    end: BatchEnd,
    /// Whether a member may have executed an earlier part of the client's implicit transaction, up to a
    /// Flush.
    follows_execution: bool,
}

/// The memory that the extended front may use.
pub struct PostgresLimits {
    /// The memory of the prepared statements and portals of all clients.
    pub session_memory: Arc<MemoryBudget>,
    /// The most bytes of the last commits of sessions.
    pub commit_bytes: usize,
}

/// The extended front's protocol.
pub struct Postgres {
    analyzer: StatementAnalyzer,
    commits: SessionCommits,
    /// When the front was created, on the core's clock.
    started_at: Micros,
    recorder: StatementRecorder,
    /// The memory of the statements and portals of all clients.
    session_memory: Arc<MemoryBudget>,
}

impl Postgres {
    /// Creates a front with the defaults of `config`. Fails if a default class does not exist.
    pub fn new(
        config: ExtendedListenerConfig,
        settings: Arc<Settings>,
        limits: PostgresLimits,
        now: Micros,
    ) -> Result<Self, UnknownClassError> {
        Ok(Postgres {
            analyzer: StatementAnalyzer::new(config, settings)?,
            commits: SessionCommits::within(limits.commit_bytes),
            started_at: now,
            recorder: StatementRecorder::default(),
            session_memory: limits.session_memory,
        })
    }

    fn start_batch(
        &mut self,
        session: &mut Session,
        batch: &ClientBatch,
        service: ServiceState,
    ) -> Result<CommandStep<Self>, BatchError> {
        if let Some(refusal) = batch.refusal {
            return Err(refusal.into());
        }
        match batch.messages.first() {
            Some(message) if batch.end == BatchEnd::Query => {
                session.end_unnamed_statement();
                // The layer in front of the proxies sends empty queries as health checks, to decide whether
                // this proxy may get clients.
                if service == ServiceState::OutOfService && message.len() == EMPTY_QUERY_BYTES {
                    return Err(BatchError::OutOfService);
                }
                self.start_simple_query(session, message)
            }
            _ => self.start_extended_batch(session, batch),
        }
    }

    fn start_simple_query(
        &self,
        session: &mut Session,
        message: &[u8],
    ) -> Result<CommandStep<Self>, BatchError> {
        let body = pg::message_body(message);
        let Some((text, [])) = pg::split_c_string(body) else { return Err(BatchError::MalformedMessage) };
        if text.trim_ascii().is_empty() {
            let mut reply = Vec::new();
            pg::put_message(&mut reply, backend::EMPTY_QUERY_RESPONSE, &[]);
            session.end_batch(BatchEnd::Query, &mut reply);
            return Ok(CommandStep::Reply(reply));
        }
        let statement = self.analyzer.analyze(text, &[])?;
        let executions = Executions::from_iter([Execution::new(&statement, statement.session_key, false)]);
        let statements = BatchStatements {
            statements: &[statement],
            executions: &executions,
            commits: &self.commits,
            commits_known_since: self.started_at,
        };
        let member_request = MemberRequest::SimpleQuery {
            text: text.to_vec(),
            timeout_digits: statement::parse_fields(text).timeout.map(|timeout| timeout.digits),
        };
        let request = self.analyzer.combine(&statements, member_request)?;
        let follows_execution = session.executed_before_flush;
        session.end_transaction();
        let context = BatchContext {
            changes: Vec::new(),
            group: request.group,
            written_sessions: executions.sessions_of(|execution| execution.may_write),
            end: BatchEnd::Query,
            follows_execution,
        };
        Ok(CommandStep::Forward(request, context))
    }

    fn start_extended_batch(
        &mut self,
        session: &mut Session,
        batch: &ClientBatch,
    ) -> Result<CommandStep<Self>, BatchError> {
        let plan = self.plan_batch(session, batch)?;
        if plan.statements.is_empty() {
            // The batch is empty or consists of Close messages, which are answered without a member.
            session.end_changes(&plan.changes, usize::MAX);
            let mut reply = Vec::new();
            plan.messages.iter().for_each(|_| pg::put_message(&mut reply, backend::CLOSE_COMPLETE, &[]));
            session.end_batch(batch.end, &mut reply);
            return Ok(CommandStep::Reply(reply));
        }
        let executes = !plan.executions.is_empty();
        if let Err(error) = check_flush(session, batch.end, executes) {
            session.end_changes(&plan.changes, 0);
            return Err(error);
        }
        let follows_execution = session.executed_before_flush;
        session.executed_before_flush |= executes;
        let statements = BatchStatements {
            statements: &plan.statements,
            executions: &plan.executions,
            commits: &self.commits,
            commits_known_since: self.started_at,
        };
        let extended = ExtendedBatch { messages: plan.messages, confirm_before_execute: false };
        let combined = self.analyzer.combine(&statements, MemberRequest::Extended(extended));
        let mut request = match combined {
            Ok(request) => request,
            Err(error) => {
                session.end_changes(&plan.changes, 0);
                return Err(error);
            }
        };
        let must_not_be_repeated = self.analyzer.must_not_be_repeated(&request);
        if let MemberRequest::Extended(extended) = &mut request.member_request {
            extended.confirm_before_execute = must_not_be_repeated;
        }
        if batch.end != BatchEnd::Flush {
            session.end_transaction();
        }
        let context = BatchContext {
            changes: plan.changes,
            group: request.group,
            written_sessions: plan.executions.sessions_of(|execution| execution.may_write),
            end: batch.end,
            follows_execution,
        };
        Ok(CommandStep::Forward(request, context))
    }

    fn plan_batch(&mut self, session: &mut Session, batch: &ClientBatch) -> Result<BatchPlan, BatchError> {
        let mut planner = BatchPlanner {
            analyzer: &self.analyzer,
            recorder: &mut self.recorder,
            session,
            plan: BatchPlan::default(),
            added: 0,
        };
        let result = batch.messages.iter().try_for_each(|message| planner.add_message(message));
        let plan = planner.plan;
        match result {
            Ok(()) => Ok(plan),
            Err(error) => {
                session.end_changes(&plan.changes, 0);
                Err(error)
            }
        }
    }
}

/// Whether a message is a Parse of the unnamed statement.
fn parses_unnamed(message: &[u8]) -> bool {
    message.first() == Some(&frontend::PARSE) && pg::message_body(message).first() == Some(&0)
}

/// Checks that a batch may be forwarded although a Flush precedes it, or ends it.
fn check_flush(session: &mut Session, end: BatchEnd, executes: bool) -> Result<(), BatchError> {
    if executes && session.executed_before_flush {
        return Err(BatchError::ExecuteAfterFlush);
    }
    if end == BatchEnd::Flush {
        session.keep_portals()?;
    }
    Ok(())
}

impl Protocol for Postgres {
    type Command = ClientBatch;
    type Session = Session;
    type Context = BatchContext;

    fn new_session(&self) -> Session {
        Session::new(HeldBytes::new(self.session_memory.clone()))
    }

    fn read_at(batch: &ClientBatch) -> Micros {
        batch.received_at
    }

    /// A batch waits for unfinished batches that prepare or close a statement which it names, and for
    /// unfinished batches that ended with a Flush.
    fn must_wait(batch: &ClientBatch, unfinished: &[&BatchContext]) -> bool {
        let names = statement_names(batch);
        let changes_a_dependency = |context: &BatchContext| {
            context.changes.iter().any(|change| names.contains(&change.name.as_slice()))
        };
        unfinished.iter().any(|context| context.end == BatchEnd::Flush || changes_a_dependency(context))
    }

    fn refuse(batch: &mut ClientBatch, refusal: Refusal) {
        batch.refusal = Some(refusal);
    }

    fn start(
        &mut self,
        session: &mut Session,
        batch: ClientBatch,
        service: ServiceState,
    ) -> CommandStep<Self> {
        let mut reply = Vec::new();
        if session.skipping_until_sync {
            if batch.end == BatchEnd::Sync {
                session.end_batch(batch.end, &mut reply);
            }
            return CommandStep::Reply(reply);
        }
        self.start_batch(session, &batch, service).unwrap_or_else(|error| {
            // The client takes the error for the answer to its first message. A batch that was refused as it
            // was read has lost its messages; the first one may have been such a Parse.
            if batch.messages.first().is_none_or(|message| parses_unnamed(message)) {
                session.end_unnamed_statement();
            }
            let error = if session.executed_before_flush { error.after_execution() } else { error };
            pg::put_error_response(&mut reply, "ERROR", error.sqlstate(), &error.to_string(), None);
            session.fail_batch(batch.end, &mut reply);
            CommandStep::Reply(reply)
        })
    }

    fn take_store_changes(&mut self) -> Vec<Change> {
        self.recorder.take_changes()
    }

    /// A batch with an error has been rolled back. The position of a read is not that of a commit.
    fn record_commit(&mut self, context: &BatchContext, response: &MemberResponse) {
        let Some(position) = response.position else { return };
        if context.written_sessions.is_empty() || ReplySummary::of(&response.bytes).has_error {
            return;
        }
        let group = context.group;
        for &session in context.written_sessions.iter().filter(|session| **session != 0) {
            self.commits.record(SessionInGroup { session, group }, position);
        }
    }

    fn finish(
        &mut self,
        session: &mut Session,
        context: BatchContext,
        answer: FinalAnswer<MemberResponse>,
    ) -> Vec<u8> {
        // A part of the implicit transaction that a Flush has committed stays, whatever happens to the rest.
        let answer = match answer {
            FinalAnswer::Served(response) => FinalAnswer::Served(response),
            _ if context.follows_execution => FinalAnswer::Failed { maybe_executed: true },
            unserved => unserved,
        };
        let mut reply = Vec::new();
        append_final_answer(&mut reply, &answer);
        let ReplySummary { completed, has_error } = ReplySummary::of(&reply);
        session.end_changes(&context.changes, if has_error { completed } else { usize::MAX });
        if context.end == BatchEnd::Flush && has_error {
            session.fail_batch(context.end, &mut reply);
        } else if context.end == BatchEnd::Flush {
            session.end_batch(context.end, &mut reply);
        } else {
            // `Session::end_transaction` was called when this batch was started. The session may now hold the
            // portals of a later transaction, which must not be cleared.
            pg::put_ready_for_query(&mut reply);
        }
        reply
    }
}

#[cfg(test)]
mod batch_needs_tests;
#[cfg(test)]
mod session_commits_tests;
#[cfg(test)]
mod statement_changes_tests;
#[cfg(test)]
mod test_front;
#[cfg(test)]
mod tests;
