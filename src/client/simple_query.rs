//! A simple query in the platform's protocol: one statement, with a comment that holds the routing fields.

use super::{ParsedRequest, Refusal};
use crate::clock::from_unix_ms;
use crate::exchange::MemberRequest;
use crate::pg::sqlstate;
use crate::pg::statement::{self, StatementError, StatementFields, Timeout};
use crate::{Class, ExecutedStatement, Idempotency, Micros, Requirement, Settings};
use std::ops::Range;

/// The greatest length of the `id` in a comment.
const MAX_EXTERNAL_ID_BYTES: usize = 64;
/// The greatest value of the `d` in a comment, which is the client's timeout.
const MAX_TIMEOUT_MS: u64 = 600_000;

/// Why a query is rejected. The text of the error is sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidQuery {
    /// The query was refused as it was read, and its text was dropped.
    #[error(transparent)]
    Refused(#[from] Refusal),
    /// The query is not one complete statement.
    #[error(transparent)]
    Statement(#[from] StatementError),
    /// The comment has no `c`, the name of the class.
    #[error("the comment names no class")]
    MissingClass,
    /// No class has the name in the comment.
    #[error("unknown class")]
    UnknownClass,
    /// The statement does not begin with `insert` in a class of writes, or with `select` in another class.
    #[error("the statement does not fit its class")]
    WrongKeyword,
    /// The comment has no `d`, the timeout, or its value is not a number.
    #[error("the comment holds no d, or one that is no number")]
    MissingTimeout,
    /// The timeout is 0 or greater than [`MAX_TIMEOUT_MS`].
    #[error("nobody waits that long")]
    TimeoutOutOfRange,
    /// The comment has no `cluster`, the group, or its value is not a number.
    #[error("the comment holds no cluster, or one that is no number")]
    MissingGroup,
    /// The statement has no quoted literal, which would identify the session.
    #[error("the statement holds no key")]
    MissingKey,
    /// The comment has no `id`, the client's id of the request, or it is empty or too long.
    #[error("the comment holds no id, or an impossible one")]
    MissingExternalId,
}

impl InvalidQuery {
    /// The SQLSTATE that is sent to the client.
    pub fn sqlstate(self) -> &'static str {
        match self {
            InvalidQuery::Refused(_) => sqlstate::TOO_MANY_CONNECTIONS,
            _ => sqlstate::PROTOCOL_VIOLATION,
        }
    }
}

/// A simple query and the routing fields parsed from it.
pub struct SimpleQuery {
    /// When the last byte of the query was read.
    pub received_at: Micros,
    /// The statement, without the terminating zero byte.
    pub text: Vec<u8>,
    /// The routing fields, or the reason why the query is rejected.
    pub fields: Result<ParsedQuery, InvalidQuery>,
}

/// The result of parsing a valid query.
pub enum ParsedQuery {
    /// The query is empty and has no routing fields.
    Empty,
    /// A request, and the range of the digits of its `d` in the statement.
    Request(Box<ParsedRequest>, Range<usize>),
}

impl ParsedQuery {
    /// Validates a statement, parses its routing fields and looks up its class.
    pub fn parse(text: &[u8], settings: &Settings) -> Result<ParsedQuery, InvalidQuery> {
        if text.trim_ascii().is_empty() {
            return Ok(ParsedQuery::Empty);
        }
        statement::validate(text)?;
        let fields = statement::parse_fields(text);
        let class_name = fields.class.ok_or(InvalidQuery::MissingClass)?;
        let class = settings.class(class_name).ok_or(InvalidQuery::UnknownClass)?;
        let writes = settings.classes[class].requirement == Requirement::Write;
        let keyword = if writes { "insert" } else { "select" };
        if statement::first_keyword(text) != keyword {
            return Err(InvalidQuery::WrongKeyword);
        }
        Self::from_fields(fields, class, &settings.classes[class])
    }

    fn from_fields(
        fields: StatementFields<'_>,
        class: usize,
        properties: &Class,
    ) -> Result<ParsedQuery, InvalidQuery> {
        let external_id = fields.id.filter(|id| !id.is_empty() && id.len() <= MAX_EXTERNAL_ID_BYTES);
        let Timeout { millis, digits } = fields.timeout.ok_or(InvalidQuery::MissingTimeout)?;
        if !(1..=MAX_TIMEOUT_MS).contains(&millis) {
            return Err(InvalidQuery::TimeoutOutOfRange);
        }
        let group = fields.group.ok_or(InvalidQuery::MissingGroup)?;
        let session = fields.key.map(statement::session_id).ok_or(InvalidQuery::MissingKey)?;
        let min_position = fields.min_position_ms.map(from_unix_ms);
        let writes = properties.requirement == Requirement::Write;
        let has_key = fields.has_idempotency_key;
        let executed = ExecutedStatement { min_position, has_key, ..ExecutedStatement::new(class, session) };
        let request = ParsedRequest {
            class,
            statements: vec![executed],
            sessions: vec![session],
            read_sessions: vec![session],
            writes,
            written_sessions: if writes { vec![session] } else { Vec::new() },
            group,
            at_most_once: executed.idempotency(properties) == Idempotency::AtMostOnce,
            is_retry: fields.is_retry,
            external_id: external_id.ok_or(InvalidQuery::MissingExternalId)?.to_vec(),
            timeout: from_unix_ms(millis),
            member_request: MemberRequest::SimpleQuery { text: Vec::new(), timeout_digits: None },
        };
        Ok(ParsedQuery::Request(Box::new(request), digits))
    }
}
