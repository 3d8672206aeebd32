//! The reply to a simple query.

use super::job::{JobExecution, JobReply};
use super::load_report::MemberStatus;
use super::outcome::{outcome_of_error, outcome_of_reply};
use crate::pg::message_tags::backend;
use crate::{Outcome, pg};

/// The column count at the start of the body of a RowDescription of one column.
const ONE_COLUMN: [u8; 2] = [0, 1];

/// The last message of the reply, for checking the order of messages.
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
    /// ReadyForQuery: the reply has ended.
    Complete,
    /// The message is malformed, or not allowed in this position.
    ProtocolViolation,
}

/// The reply to a simple query so far.
///
/// Only the complete sequence counts, each message well formed: RowDescription of one column, one DataRow,
/// CommandComplete, ReadyForQuery; or an error before the DataRow and ReadyForQuery. Guards against corrupted
/// replies: otherwise the reply to this request can't be told apart from noise, and the request may
/// have been executed.
struct SimpleQueryReply {
    stage: Stage,
    /// Keep the value of the row, which is a load report.
    health_check: bool,
    load_report: Option<Vec<u8>>,
    /// The SQLSTATE of the error.
    error: Option<Vec<u8>>,
    /// The client's messages.
    response: Vec<u8>,
    status: MemberStatus,
}

impl SimpleQueryReply {
    fn new(health_check: bool) -> SimpleQueryReply {
        SimpleQueryReply {
            stage: Stage::Start,
            health_check,
            load_report: None,
            error: None,
            response: Vec::new(),
            status: MemberStatus::default(),
        }
    }

    /// Handles the next message: its type byte and the complete message.
    fn on_message(&mut self, tag: u8, message: &[u8]) -> Progress {
        let body = pg::message_body(message);
        if tag == backend::PARAMETER_STATUS {
            // A load report that can't be read affects nothing else.
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
                self.load_report = self.health_check.then(|| value.to_vec());
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
    /// Reads the reply to a simple query, a health check or an attempt.
    pub(super) fn read_simple_query_reply(&mut self, health_check: bool) -> JobReply {
        let mut reply = SimpleQueryReply::new(health_check);
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
        JobReply::answered(outcome, reply.status, reply.response, self.connection)
    }
}

/// The connection ended before the reply was complete. An error that was received completely counts.
fn disconnected(reply: SimpleQueryReply) -> JobReply {
    let outcome = reply.error.map_or(Outcome::Reset, |code| outcome_of_error(&code));
    JobReply { ending: reply.status.into_ending(outcome, Vec::new()), reusable: false }
}
