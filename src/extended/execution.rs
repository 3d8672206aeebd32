//! The execution of one batch on one member connection: the messages to write, the replies to expect, and
//! which of these are sent to the client.

use super::batch::{ExtendedBatch, ExtendedMessage, PreparedStatement, timeout_ms};
use super::statement_cache::{CacheLookup, PreparedStatementCache};
use crate::pg;
use crate::pg::message_tags::{backend, frontend};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// The target of a Describe or a Close, as encoded in its first byte.
const STATEMENT: &[u8] = b"S";
const PORTAL: &[u8] = b"P";
/// The terminator of a name in a message.
const NUL: &[u8] = &[0];

/// The next reply of the member, or of the proxy in its place.
enum ExpectedReply {
    /// The proxy answers for the member, with a message that consists of this type byte and its length.
    Synthesized(u8),
    ParseComplete {
        statement: Arc<PreparedStatement>,
        forwarded: bool,
    },
    BindComplete {
        forwarded: bool,
    },
    ParameterDescription,
    /// RowDescription or NoData.
    RowDescription,
    /// The rows of an Execute, up to the message that ends them.
    ExecuteResult,
    CloseComplete {
        forwarded: bool,
    },
}

/// How a reply matches the expected one.
struct Fit {
    /// The reply completes the expected one.
    completes: bool,
    /// The reply is sent to the client.
    forwarded: bool,
}

impl ExpectedReply {
    /// How a reply of this type matches; `None` if the protocol does not allow it here.
    fn fit(&self, tag: u8) -> Option<Fit> {
        use backend::*;
        let (allowed, forwarded) = match self {
            ExpectedReply::Synthesized(_) => (false, false),
            ExpectedReply::ParseComplete { forwarded, .. } => (tag == PARSE_COMPLETE, *forwarded),
            ExpectedReply::BindComplete { forwarded } => (tag == BIND_COMPLETE, *forwarded),
            ExpectedReply::ParameterDescription => (tag == PARAMETER_DESCRIPTION, true),
            ExpectedReply::RowDescription => (matches!(tag, ROW_DESCRIPTION | NO_DATA), true),
            ExpectedReply::ExecuteResult => {
                (matches!(tag, DATA_ROW | COMMAND_COMPLETE | PORTAL_SUSPENDED | EMPTY_QUERY_RESPONSE), true)
            }
            ExpectedReply::CloseComplete { forwarded } => (tag == CLOSE_COMPLETE, *forwarded),
        };
        let completes = tag != DATA_ROW;
        allowed.then_some(Fit { completes, forwarded })
    }
}

/// The effect of a reply on the batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// More replies are expected.
    AwaitingReplies,
    /// ReadyForQuery: the batch has ended.
    Complete,
    /// The member violates the protocol.
    ProtocolViolation,
}

/// The messages of a batch for one connection, and the replies to it so far.
#[derive(Default)]
pub struct BatchExecution {
    /// The messages before the first Execute; all messages of a batch that executes nothing.
    pub pre_execute: Vec<u8>,
    /// The messages from the first Execute on.
    pub from_execute: Vec<u8>,
    /// An Execute has been added: messages go to `from_execute`.
    executes: bool,
    expected: VecDeque<ExpectedReply>,
    /// The time that its statements are prepared with, in milliseconds.
    timeout_ms: u64,
    /// The client's replies.
    pub response: Vec<u8>,
    /// The SQLSTATE of the error that ended the batch.
    pub error: Option<Vec<u8>>,
}

impl BatchExecution {
    /// Prepares the part of a batch before its first Execute, for the connection that has these statements,
    /// with this time left for the batch. Statements of that part count as prepared there from now on.
    pub fn new(
        batch: &ExtendedBatch,
        statements: &mut PreparedStatementCache,
        time_left: Duration,
    ) -> BatchExecution {
        let mut execution = BatchExecution { timeout_ms: timeout_ms(time_left), ..Default::default() };
        for message in batch.messages_before_execute() {
            execution.add(message, statements);
        }
        execution
    }

    /// Prepares the rest of the batch, with this time left. Where the time that the portals were bound with
    /// is more than that, they are bound again, unseen by the client.
    pub fn add_from_execute(
        &mut self,
        batch: &ExtendedBatch,
        statements: &mut PreparedStatementCache,
        time_left: Duration,
    ) {
        self.executes = true;
        if time_left < Duration::from_millis(self.timeout_ms) {
            self.timeout_ms = timeout_ms(time_left);
            for message in batch.messages_before_execute() {
                self.bind_again(message, statements);
            }
        }
        for message in batch.messages_from_execute() {
            self.add(message, statements);
        }
    }

    fn bind_again(&mut self, message: &ExtendedMessage, statements: &mut PreparedStatementCache) {
        let ExtendedMessage::Bind { portal, statement, arguments, .. } = message else { return };
        if statement.timeout_digits.is_none() {
            return;
        }
        self.put(frontend::CLOSE, &[PORTAL, portal, NUL]);
        self.expected.push_back(ExpectedReply::CloseComplete { forwarded: false });
        self.add_bind(portal, statement, arguments, statements, false);
    }

    fn add_bind(
        &mut self,
        portal: &[u8],
        statement: &Arc<PreparedStatement>,
        arguments: &[u8],
        statements: &mut PreparedStatementCache,
        forwarded: bool,
    ) {
        let name = self.add_statement(statement, statements, false);
        self.put(frontend::BIND, &[portal, NUL, name.as_bytes(), NUL, arguments]);
        self.expected.push_back(ExpectedReply::BindComplete { forwarded });
    }

    fn add(&mut self, message: &ExtendedMessage, statements: &mut PreparedStatementCache) {
        match message {
            ExtendedMessage::Parse(statement) => {
                self.add_statement(statement, statements, true);
            }
            ExtendedMessage::Bind { portal, statement, arguments, reply_forwarded } => {
                self.add_bind(portal, statement, arguments, statements, *reply_forwarded);
            }
            ExtendedMessage::DescribeStatement(statement) => {
                let name = self.add_statement(statement, statements, false);
                self.put(frontend::DESCRIBE, &[STATEMENT, name.as_bytes(), NUL]);
                self.expected.push_back(ExpectedReply::ParameterDescription);
                self.expected.push_back(ExpectedReply::RowDescription);
            }
            ExtendedMessage::DescribePortal(portal) => {
                self.put(frontend::DESCRIBE, &[PORTAL, portal, NUL]);
                self.expected.push_back(ExpectedReply::RowDescription);
            }
            ExtendedMessage::Execute { portal, row_limit } => {
                self.put(frontend::EXECUTE, &[portal, NUL, row_limit]);
                self.expected.push_back(ExpectedReply::ExecuteResult);
            }
            ExtendedMessage::ClosePortal(portal) => {
                self.put(frontend::CLOSE, &[PORTAL, portal, NUL]);
                self.expected.push_back(ExpectedReply::CloseComplete { forwarded: true });
            }
            ExtendedMessage::CloseStatement => {
                self.expected.push_back(ExpectedReply::Synthesized(backend::CLOSE_COMPLETE));
            }
        }
    }

    /// Ensures that the member has a statement with the time that is left, and returns its name there.
    /// `requested`: the client itself prepares it and expects a ParseComplete.
    pub(super) fn add_statement(
        &mut self,
        statement: &Arc<PreparedStatement>,
        statements: &mut PreparedStatementCache,
        requested: bool,
    ) -> String {
        let statement = statement.with_timeout(self.timeout_ms);
        match statements.look_up(&statement) {
            CacheLookup::Hit { name } => {
                if requested {
                    self.expected.push_back(ExpectedReply::Synthesized(backend::PARSE_COMPLETE));
                }
                name
            }
            CacheLookup::Miss { name, evicted } => {
                for evicted_name in evicted {
                    self.put(frontend::CLOSE, &[STATEMENT, evicted_name.as_bytes(), NUL]);
                    self.expected.push_back(ExpectedReply::CloseComplete { forwarded: false });
                }
                self.put(
                    frontend::PARSE,
                    &[name.as_bytes(), NUL, &statement.sql, NUL, &statement.parameter_types],
                );
                self.expected.push_back(ExpectedReply::ParseComplete { statement, forwarded: requested });
                name
            }
        }
    }

    fn put(&mut self, tag: u8, parts: &[&[u8]]) {
        let messages = if self.executes { &mut self.from_execute } else { &mut self.pre_execute };
        pg::put_message(messages, tag, parts);
    }

    /// Adds the proxy's own replies that are next in order to the response.
    fn add_synthesized_replies(&mut self) {
        while let Some(ExpectedReply::Synthesized(tag)) = self.expected.front() {
            pg::put_message(&mut self.response, *tag, &[]);
            self.expected.pop_front();
        }
    }

    /// Whether all messages of `pre_execute` have been answered, or one of them by an error. To be called
    /// before the rest of the batch is added.
    pub fn pre_execute_answered(&mut self) -> bool {
        if self.error.is_none() {
            self.add_synthesized_replies();
        }
        self.error.is_some() || self.expected.is_empty()
    }

    /// Handles a reply of the member: its type byte and the complete message.
    pub fn on_reply(&mut self, statements: &mut PreparedStatementCache, tag: u8, message: &[u8]) -> Progress {
        if tag == backend::NOTICE_RESPONSE || tag == backend::PARAMETER_STATUS {
            return Progress::AwaitingReplies;
        }
        self.add_synthesized_replies();
        if tag == backend::READY_FOR_QUERY {
            let complete = self.error.is_some() || self.expected.is_empty();
            return if complete { Progress::Complete } else { Progress::ProtocolViolation };
        }
        if self.error.is_some() {
            return Progress::AwaitingReplies;
        }
        if tag == backend::ERROR_RESPONSE {
            self.on_error(statements, message);
            return Progress::AwaitingReplies;
        }
        self.on_expected_reply(tag, message)
    }

    fn on_error(&mut self, statements: &mut PreparedStatementCache, message: &[u8]) {
        let code = pg::error_field(pg::message_body(message), b'C').unwrap_or_default();
        self.error = Some(code.to_vec());
        self.response.extend_from_slice(message);
        // The member skips all messages after the error: statements in them are not prepared.
        for expected in self.expected.drain(..) {
            if let ExpectedReply::ParseComplete { statement, .. } = expected {
                statements.remove(&statement);
            }
        }
    }

    fn on_expected_reply(&mut self, tag: u8, message: &[u8]) -> Progress {
        let Some(fit) = self.expected.front().and_then(|expected| expected.fit(tag)) else {
            return Progress::ProtocolViolation;
        };
        if fit.forwarded {
            self.response.extend_from_slice(message);
        }
        if fit.completes {
            self.expected.pop_front();
        }
        self.add_synthesized_replies();
        Progress::AwaitingReplies
    }
}
