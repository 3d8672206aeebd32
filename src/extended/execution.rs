//! The execution of one batch on one member connection: the messages to write, the expected replies, and
//! which of the replies are forwarded to the client.

use super::batch::{ExtendedBatch, ExtendedMessage, PreparedStatement, timeout_ms};
use super::statement_cache::{CacheLookup, PreparedStatementCache};
use crate::pg;
use crate::pg::message_tags::{backend, frontend};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// The targets of a Describe or a Close, as encoded in the first byte of its body.
const STATEMENT: &[u8] = b"S";
const PORTAL: &[u8] = b"P";
/// The terminator of a name in a message.
const NUL: &[u8] = &[0];

/// A reply that the batch expects. `forwarded`: whether the client receives the reply.
enum ExpectedReply {
    /// A reply that the proxy itself sends to the client: a message of this type without a body.
    Synthesized(u8),
    ParseComplete {
        statement: Arc<PreparedStatement>,
        forwarded: bool,
    },
    BindComplete {
        forwarded: bool,
    },
    ParameterDescription,
    /// A RowDescription or a NoData.
    RowDescription,
    /// The DataRow messages of an Execute and the message that ends them.
    ExecuteResult,
    CloseComplete {
        forwarded: bool,
    },
}

/// How a message of the member matches the expected reply.
struct ReplyMatch {
    /// Whether the message completes the expected reply.
    completes: bool,
    /// Whether the message is forwarded to the client.
    forwarded: bool,
}

impl ExpectedReply {
    /// Matches a message of this type; `None` if the protocol does not allow it as this reply.
    fn match_message(&self, tag: u8) -> Option<ReplyMatch> {
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
        allowed.then_some(ReplyMatch { completes, forwarded })
    }
}

/// The state of the batch after a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// More replies are expected.
    AwaitingReplies,
    /// ReadyForQuery: the batch has ended.
    Complete,
    /// The protocol does not allow the reply in its position.
    ProtocolViolation,
}

/// The messages of a batch for one connection, and the replies that have been received.
#[derive(Default)]
pub struct BatchExecution {
    /// The messages before the first Execute; all messages of a batch without an Execute.
    pub pre_execute: Vec<u8>,
    /// The messages from the first Execute on.
    pub from_execute: Vec<u8>,
    /// Whether messages are appended to `from_execute` instead of `pre_execute`.
    adds_from_execute: bool,
    /// The replies that have not been received, in order.
    expected: VecDeque<ExpectedReply>,
    /// The timeout in the texts of the batch's statements, in milliseconds.
    timeout_ms: u64,
    /// Whether the member has sent a result of an Execute.
    pub has_executed: bool,
    /// The replies for the client.
    pub response: Vec<u8>,
    /// The SQLSTATE of the member's ErrorResponse, after which the member skips the rest of the batch; empty
    /// if the ErrorResponse has none.
    pub error: Option<Vec<u8>>,
}

impl BatchExecution {
    /// Creates the messages before the batch's first Execute, for the connection that `statements` belongs
    /// to. The cache treats the statements of these messages as prepared when this function returns.
    /// `time_left` is the time left for the batch.
    pub fn new(
        batch: &ExtendedBatch,
        statements: &mut PreparedStatementCache,
        time_left: Duration,
    ) -> BatchExecution {
        let mut execution = BatchExecution { timeout_ms: timeout_ms(time_left), ..Default::default() };
        for message in batch.messages_before_execute() {
            execution.add_message(message, statements);
        }
        execution
    }

    /// Adds the messages from the first Execute on. If `time_left` is less than the timeout with which the
    /// statements were prepared, the portals of statements with a timeout are first closed and bound again.
    /// The replies to that are not forwarded to the client.
    pub fn add_from_execute(
        &mut self,
        batch: &ExtendedBatch,
        statements: &mut PreparedStatementCache,
        time_left: Duration,
    ) {
        self.adds_from_execute = true;
        if time_left < Duration::from_millis(self.timeout_ms) {
            self.timeout_ms = timeout_ms(time_left);
            for message in batch.messages_before_execute() {
                self.rebind(message, statements);
            }
        }
        for message in batch.messages_from_execute() {
            self.add_message(message, statements);
        }
    }

    fn rebind(&mut self, message: &ExtendedMessage, statements: &mut PreparedStatementCache) {
        let ExtendedMessage::Bind { portal, statement, arguments, .. } = message else { return };
        if statement.timeout_digits.is_none() {
            return;
        }
        self.append(frontend::CLOSE, &[PORTAL, portal, NUL]);
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
        self.append(frontend::BIND, &[portal, NUL, name.as_bytes(), NUL, arguments]);
        self.expected.push_back(ExpectedReply::BindComplete { forwarded });
    }

    fn add_message(&mut self, message: &ExtendedMessage, statements: &mut PreparedStatementCache) {
        match message {
            ExtendedMessage::Parse(statement) => {
                self.add_statement(statement, statements, true);
            }
            ExtendedMessage::Bind { portal, statement, arguments, reply_forwarded } => {
                self.add_bind(portal, statement, arguments, statements, *reply_forwarded);
            }
            ExtendedMessage::DescribeStatement(statement) => {
                let name = self.add_statement(statement, statements, false);
                self.append(frontend::DESCRIBE, &[STATEMENT, name.as_bytes(), NUL]);
                self.expected.push_back(ExpectedReply::ParameterDescription);
                self.expected.push_back(ExpectedReply::RowDescription);
            }
            ExtendedMessage::DescribePortal(portal) => {
                self.append(frontend::DESCRIBE, &[PORTAL, portal, NUL]);
                self.expected.push_back(ExpectedReply::RowDescription);
            }
            ExtendedMessage::Execute { portal, row_limit } => {
                self.append(frontend::EXECUTE, &[portal, NUL, row_limit]);
                self.expected.push_back(ExpectedReply::ExecuteResult);
            }
            ExtendedMessage::ClosePortal(portal) => {
                self.append(frontend::CLOSE, &[PORTAL, portal, NUL]);
                self.expected.push_back(ExpectedReply::CloseComplete { forwarded: true });
            }
            ExtendedMessage::CloseStatement => {
                self.expected.push_back(ExpectedReply::Synthesized(backend::CLOSE_COMPLETE));
            }
        }
    }

    /// Ensures that the statement, with the batch's timeout in its text, is prepared at the member, and
    /// returns its name there. `requested`: whether the client sent a Parse for it and expects a
    /// ParseComplete.
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
                    self.append(frontend::CLOSE, &[STATEMENT, evicted_name.as_bytes(), NUL]);
                    self.expected.push_back(ExpectedReply::CloseComplete { forwarded: false });
                }
                self.append(
                    frontend::PARSE,
                    &[name.as_bytes(), NUL, &statement.sql, NUL, &statement.parameter_types],
                );
                self.expected.push_back(ExpectedReply::ParseComplete { statement, forwarded: requested });
                name
            }
        }
    }

    fn append(&mut self, tag: u8, parts: &[&[u8]]) {
        let messages = if self.adds_from_execute { &mut self.from_execute } else { &mut self.pre_execute };
        pg::put_message(messages, tag, parts);
    }

    /// Appends synthesized replies to the response, up to the next reply that the member has to send.
    fn add_synthesized_replies(&mut self) {
        while let Some(ExpectedReply::Synthesized(tag)) = self.expected.front() {
            pg::put_message(&mut self.response, *tag, &[]);
            self.expected.pop_front();
        }
    }

    /// Whether the replies to all messages of `pre_execute` have been received, or an error to one of them.
    /// Appends synthesized replies that are due to the response. Must not be called after
    /// [`add_from_execute`](Self::add_from_execute), which adds expected replies.
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
        // The member skips the messages between the failed one and the Sync, so a Parse whose ParseComplete
        // has not been received has prepared nothing.
        for expected in self.expected.drain(..) {
            if let ExpectedReply::ParseComplete { statement, .. } = expected {
                statements.remove(&statement);
            }
        }
    }

    fn on_expected_reply(&mut self, tag: u8, message: &[u8]) -> Progress {
        let Some(reply_match) = self.expected.front().and_then(|expected| expected.match_message(tag)) else {
            return Progress::ProtocolViolation;
        };
        self.has_executed |= matches!(self.expected.front(), Some(ExpectedReply::ExecuteResult));
        if reply_match.forwarded {
            self.response.extend_from_slice(message);
        }
        if reply_match.completes {
            self.expected.pop_front();
        }
        self.add_synthesized_replies();
        Progress::AwaitingReplies
    }
}
