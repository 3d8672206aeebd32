//! Parses the reply to a simple query.

use super::job::{JobExecution, JobReply};
use super::load_report::MemberStatus;
use super::outcome::{outcome_of_error, outcome_of_reply};
use crate::memory_budget::HeldBytes;
use crate::pg::message_tags::backend;
use crate::{Outcome, pg};

/// The column count 1, with which the body of a RowDescription of one column starts.
const ONE_COLUMN: [u8; 2] = [0, 1];

/// The last message received, for checking the order of messages.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    Start,
    RowDescription,
    DataRow,
    CommandComplete,
    Error,
}

/// The effect of a message on the reply.
enum Progress {
    /// More messages are expected.
    AwaitingMessages,
    /// The message is ReadyForQuery, which completes the reply.
    Complete,
    /// The message is malformed, or not allowed in this position.
    ProtocolViolation,
}

/// The part of a simple query's reply that has been received.
///
/// A reply is accepted only as a complete sequence of well-formed messages: RowDescription of one column, one
/// DataRow, CommandComplete, ReadyForQuery; or an ErrorResponse before the DataRow, then ReadyForQuery. Any
/// other sequence is a protocol violation: a corrupted reply could otherwise be taken for the reply to this
/// request, which may have been executed.
struct SimpleQueryReply {
    stage: Stage,
    /// Whether the value of the row is kept as a load report.
    is_health_check: bool,
    /// The text of the load report; `None` before the row, and for a query that is no health check.
    load_report: Option<Vec<u8>>,
    /// The SQLSTATE of the ErrorResponse; `None` if there is none.
    error: Option<Vec<u8>>,
    /// The messages that are passed on to the client.
    response: Vec<u8>,
    /// What the reply's ParameterStatus messages report about the member.
    status: MemberStatus,
}

impl SimpleQueryReply {
    fn new(is_health_check: bool) -> SimpleQueryReply {
        SimpleQueryReply {
            stage: Stage::Start,
            is_health_check,
            load_report: None,
            error: None,
            response: Vec::new(),
            status: MemberStatus::default(),
        }
    }

    /// Handles the next message, given as its type byte and all of its bytes.
    fn on_message(&mut self, tag: u8, message: &[u8]) -> Progress {
        let body = pg::message_body(message);
        if tag == backend::PARAMETER_STATUS {
            // A parameter that can't be parsed is ignored: the reply remains valid.
            self.status.on_parameter(body);
            return Progress::AwaitingMessages;
        }
        if !pg::is_well_formed(tag, body) {
            return Progress::ProtocolViolation;
        }
        if tag == backend::NOTICE_RESPONSE {
            return Progress::AwaitingMessages;
        }
        let next_stage = match (self.stage, tag) {
            (Stage::Start, backend::ROW_DESCRIPTION) if body.starts_with(&ONE_COLUMN) => {
                Stage::RowDescription
            }
            (Stage::RowDescription, backend::DATA_ROW) => {
                let Some(value) = pg::single_column(body) else { return Progress::ProtocolViolation };
                self.load_report = self.is_health_check.then(|| value.to_vec());
                Stage::DataRow
            }
            (Stage::DataRow, backend::COMMAND_COMPLETE) => Stage::CommandComplete,
            (Stage::Start | Stage::RowDescription, backend::ERROR_RESPONSE) => {
                self.error = pg::error_sqlstate(body).map(<[u8]>::to_vec);
                Stage::Error
            }
            (Stage::CommandComplete | Stage::Error, backend::READY_FOR_QUERY) => return Progress::Complete,
            _ => return Progress::ProtocolViolation,
        };
        self.stage = next_stage;
        self.response.extend_from_slice(message);
        Progress::AwaitingMessages
    }
}

impl JobExecution<'_> {
    /// Reads the reply to a simple query, which is either a health check or an attempt.
    pub(super) fn read_simple_query_reply(&mut self, is_health_check: bool) -> JobReply {
        let mut reply = SimpleQueryReply::new(is_health_check);
        loop {
            match self.connection.frames.next_reply() {
                Ok(Some((tag, message))) => match reply.on_message(tag, message) {
                    Progress::AwaitingMessages => {}
                    Progress::Complete => return self.completed(reply),
                    Progress::ProtocolViolation => return JobReply::failed(Outcome::Error),
                },
                Ok(None) => {
                    if !matches!(self.connection.fill(), Ok(true)) {
                        return disconnected(reply);
                    }
                }
                Err(_) => return JobReply::failed(Outcome::Error),
            }
        }
    }

    fn completed(&self, mut reply: SimpleQueryReply) -> JobReply {
        let outcome = outcome_of_reply(reply.error.as_deref());
        if let Some(load_report) = &reply.load_report {
            reply.status.on_load_report(load_report);
        }
        let mut held = HeldBytes::new(self.response_memory.clone());
        held.set(reply.response.len());
        JobReply::answered(outcome, reply.status, reply.response, held, self.connection)
    }
}

/// The reply of a job whose connection ended before ReadyForQuery. If a complete ErrorResponse was received,
/// its SQLSTATE determines the outcome.
fn disconnected(reply: SimpleQueryReply) -> JobReply {
    let outcome = reply.error.map_or(Outcome::Reset, |code| outcome_of_error(&code));
    JobReply { job_result: reply.status.into_job_result(outcome, Vec::new(), None), reusable: false }
}
