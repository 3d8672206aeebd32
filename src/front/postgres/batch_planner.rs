//! Converts the messages of a client's batch to messages for a member.

use super::analysis::{AnalyzedStatement, StatementAnalyzer};
use super::bind::parse_parameters;
use super::error::BatchError;
use super::execution::{Execution, Executions};
use super::session::{Portal, Session};
use super::statement_recorder::StatementRecorder;
use super::statement_table::StatementChange;
use crate::extended::ExtendedMessage;
use crate::pg::message_tags::{describe_targets, frontend};
use crate::pg::{self, statement};
use std::sync::Arc;

/// The maximum length of a prepared statement's text and parameter types together.
const MAX_STATEMENT_BYTES: usize = 32 * 1024;
/// The maximum length of the texts and parameter types of one client's prepared statements together.
const MAX_STATEMENT_BYTES_PER_CLIENT: usize = 128 * 1024;
/// The length of a parameter's type number in a Parse.
const TYPE_BYTES: usize = 4;
/// The length of the row limit in an Execute.
const ROW_LIMIT_BYTES: usize = 4;

/// The messages that a batch sends to a member, and the statements that it uses and prepares.
#[derive(Default)]
pub struct BatchPlan {
    /// The messages for the member, in order.
    pub messages: Vec<ExtendedMessage>,
    /// The statements that the messages prepare, bind or describe.
    pub statements: Vec<AnalyzedStatement>,
    /// The changes that the batch makes to the session's statements.
    pub changes: Vec<StatementChange>,
    /// What the messages execute.
    pub executions: Executions,
}

/// Builds the [`BatchPlan`] of a batch, message by message.
pub struct BatchPlanner<'a> {
    /// The analyzer of the statements.
    pub analyzer: &'a StatementAnalyzer,
    /// The recorder of statements for the store's catalogue.
    pub recorder: &'a mut StatementRecorder,
    /// The connection's statements and portals.
    pub session: &'a mut Session,
    /// The plan for the messages that have been added.
    pub plan: BatchPlan,
    /// The number of the client's messages that have been added.
    pub added: usize,
}

impl BatchPlanner<'_> {
    /// Adds the next message of the batch to the plan, and updates the session's statements and portals.
    pub fn add_message(&mut self, message: &[u8]) -> Result<(), BatchError> {
        let body = pg::message_body(message);
        let result = match message.first() {
            Some(&frontend::PARSE) => self.add_parse(body),
            Some(&frontend::BIND) => self.add_bind(body),
            Some(&frontend::EXECUTE) => self.add_execute(body),
            Some(&frontend::DESCRIBE) => self.add_describe(body),
            Some(&frontend::CLOSE) => self.add_close(body),
            _ => Err(BatchError::MalformedMessage),
        };
        self.added += 1;
        result
    }

    fn add_parse(&mut self, body: &[u8]) -> Result<(), BatchError> {
        let (name, rest) = pg::split_c_string(body).ok_or(BatchError::MalformedMessage)?;
        let (sql, parameter_types) = pg::split_c_string(rest).ok_or(BatchError::MalformedMessage)?;
        if !is_parameter_type_list(parameter_types) {
            return Err(BatchError::MalformedMessage);
        }
        self.check_may_prepare(name, sql.len() + parameter_types.len())?;
        let statement = self.analyzer.analyze(sql, parameter_types)?;
        let change = self.session.prepare(name, statement.clone(), self.added)?;
        self.recorder.record(&statement.prepared);
        self.plan.messages.push(ExtendedMessage::Parse(statement.prepared.clone()));
        self.plan.statements.push(statement);
        self.plan.changes.push(change);
        Ok(())
    }

    fn check_may_prepare(&self, name: &[u8], bytes: usize) -> Result<(), BatchError> {
        if !name.is_empty() && self.session.statement(name).is_some() {
            return Err(BatchError::DuplicateStatement);
        }
        let is_full = self.session.statement_count() >= self.analyzer.config.statements;
        if is_full || self.session.statement_text_bytes() + bytes > MAX_STATEMENT_BYTES_PER_CLIENT {
            return Err(BatchError::TooManyStatements);
        }
        if bytes > MAX_STATEMENT_BYTES {
            return Err(BatchError::StatementTooLong);
        }
        Ok(())
    }

    fn add_bind(&mut self, body: &[u8]) -> Result<(), BatchError> {
        let (portal, rest) = pg::split_c_string(body).ok_or(BatchError::MalformedMessage)?;
        let (name, arguments) = pg::split_c_string(rest).ok_or(BatchError::MalformedMessage)?;
        let parameters = parse_parameters(arguments).ok_or(BatchError::MalformedMessage)?;
        let statement = self.statement(name)?;
        let config = &self.analyzer.config;
        let session_key = parameter(&parameters, config.session_parameter)
            .map_or(statement.session_key, statement::session_id);
        let has_key = parameter(&parameters, config.key_parameter).is_some_and(|key| !key.is_empty());
        let arguments: Arc<[u8]> = arguments.into();
        let bound = Portal {
            statement: statement.clone(),
            session_key,
            has_key,
            arguments: arguments.clone(),
            flushed: false,
        };
        self.session.bind(portal, bound);
        self.plan.messages.push(ExtendedMessage::Bind {
            portal: portal.to_vec(),
            statement: statement.prepared.clone(),
            arguments,
            reply_forwarded: true,
        });
        self.plan.statements.push(statement);
        Ok(())
    }

    fn add_execute(&mut self, body: &[u8]) -> Result<(), BatchError> {
        let (portal, row_limit) = pg::split_c_string(body).ok_or(BatchError::MalformedMessage)?;
        if row_limit.len() != ROW_LIMIT_BYTES {
            return Err(BatchError::MalformedMessage);
        }
        let execution = self.ensure_bound(portal)?;
        self.plan.executions.push(execution);
        let (portal, row_limit) = (portal.to_vec(), row_limit.to_vec());
        self.plan.messages.push(ExtendedMessage::Execute { portal, row_limit });
        Ok(())
    }

    fn add_describe(&mut self, body: &[u8]) -> Result<(), BatchError> {
        match parse_target(body)? {
            Target::Statement(name) => {
                let statement = self.statement(name)?;
                let message = ExtendedMessage::DescribeStatement(statement.prepared.clone());
                self.plan.messages.push(message);
                self.plan.statements.push(statement);
            }
            Target::Portal(name) => {
                self.ensure_bound(name)?;
                self.plan.messages.push(ExtendedMessage::DescribePortal(name.to_vec()));
            }
        }
        Ok(())
    }

    fn add_close(&mut self, body: &[u8]) -> Result<(), BatchError> {
        let message = match parse_target(body)? {
            Target::Statement(name) => {
                self.plan.changes.push(self.session.close_statement(name, self.added));
                ExtendedMessage::CloseStatement
            }
            Target::Portal(name) => match self.session.close_portal(name) {
                Some(portal) if !portal.flushed => ExtendedMessage::ClosePortal(name.to_vec()),
                // The member does not have the portal: the proxy sends CloseComplete itself, as for a
                // statement.
                _ => ExtendedMessage::CloseStatement,
            },
        };
        self.plan.messages.push(message);
        Ok(())
    }

    fn statement(&self, name: &[u8]) -> Result<AnalyzedStatement, BatchError> {
        let statement = self.session.statement(name).cloned();
        statement.ok_or_else(|| BatchError::unknown_statement(name))
    }

    /// Ensures that the portal exists at the member when a later message uses it: a portal that was bound
    /// before a Flush is bound again. Returns what an Execute of the portal executes.
    fn ensure_bound(&mut self, name: &[u8]) -> Result<Execution, BatchError> {
        let portal = self.session.portal_mut(name).ok_or_else(|| BatchError::unknown_portal(name))?;
        if portal.flushed {
            portal.flushed = false;
            self.plan.messages.push(ExtendedMessage::Bind {
                portal: name.to_vec(),
                statement: portal.statement.prepared.clone(),
                arguments: portal.arguments.clone(),
                reply_forwarded: false,
            });
            self.plan.statements.push(portal.statement.clone());
        }
        Ok(Execution::new(&portal.statement, portal.session_key, portal.has_key))
    }
}

/// The value of a parameter, counted from 1; `None` for parameter 0, for a NULL, and for one that is missing.
fn parameter<'p>(parameters: &[Option<&'p [u8]>], number: usize) -> Option<&'p [u8]> {
    parameters.get(number.checked_sub(1)?).copied().flatten()
}

/// The target of a Describe or a Close.
enum Target<'a> {
    Statement(&'a [u8]),
    Portal(&'a [u8]),
}

fn parse_target(body: &[u8]) -> Result<Target<'_>, BatchError> {
    let (&kind, rest) = body.split_first().ok_or(BatchError::MalformedMessage)?;
    let Some((name, [])) = pg::split_c_string(rest) else { return Err(BatchError::MalformedMessage) };
    match kind {
        describe_targets::STATEMENT => Ok(Target::Statement(name)),
        describe_targets::PORTAL => Ok(Target::Portal(name)),
        _ => Err(BatchError::MalformedMessage),
    }
}

/// Whether these bytes of a Parse are a count and as many type numbers.
fn is_parameter_type_list(bytes: &[u8]) -> bool {
    bytes
        .split_first_chunk()
        .is_some_and(|(count, types)| types.len() == TYPE_BYTES * usize::from(u16::from_be_bytes(*count)))
}
