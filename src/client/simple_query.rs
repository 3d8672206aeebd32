//! A simple query of the platform's protocol: one statement, described by the comment that it carries.

use super::ParsedRequest;
use crate::clock::from_unix_ms;
use crate::exchange::MemberRequest;
use crate::pg::statement::{self, StatementError, StatementFields, Timeout};
use crate::{Micros, Requirement, Settings};
use std::ops::Range;

/// The longest `id` of a comment.
const MAX_EXTERNAL_ID_BYTES: usize = 64;
/// The longest `d` of a comment.
const MAX_TIMEOUT_MS: u64 = 600_000;

/// Why a query is rejected. The text is sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidQuery {
    /// It is not one complete statement.
    #[error(transparent)]
    Statement(#[from] StatementError),
    /// The comment lacks the class.
    #[error("the comment names no class")]
    MissingClass,
    /// There is no class of that name.
    #[error("unknown class")]
    UnknownClass,
    /// A read in a class of writes, or the other way round.
    #[error("the statement does not fit its class")]
    WrongKeyword,
    /// The comment lacks the timeout.
    #[error("the comment holds no d, or one that is no number")]
    MissingTimeout,
    /// The timeout is out of range.
    #[error("nobody waits that long")]
    TimeoutOutOfRange,
    /// The comment lacks the group.
    #[error("the comment holds no cluster, or one that is no number")]
    MissingGroup,
    /// The statement has no quoted literal.
    #[error("the statement holds no key")]
    MissingKey,
    /// The comment lacks the request's id.
    #[error("the comment holds no id, or an impossible one")]
    MissingExternalId,
}

/// A simple query and what was parsed from its comment.
pub struct SimpleQuery {
    /// When its last byte was read.
    pub received_at: Micros,
    /// The statement, without the terminating zero.
    pub text: Vec<u8>,
    /// What routing needs, or why the query is rejected.
    pub fields: Result<ParsedQuery, InvalidQuery>,
}

/// The routing properties of a query.
pub enum ParsedQuery {
    /// Nothing: an empty query.
    Empty,
    /// A request, and the position of the digits of its `d`.
    Request(Box<ParsedRequest>, Range<usize>),
}

impl ParsedQuery {
    /// Parses a statement and looks up its class.
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
        Self::from_fields(fields, class, writes)
    }

    fn from_fields(
        fields: StatementFields<'_>,
        class: usize,
        writes: bool,
    ) -> Result<ParsedQuery, InvalidQuery> {
        let external_id = fields.id.filter(|id| !id.is_empty() && id.len() <= MAX_EXTERNAL_ID_BYTES);
        let Timeout { millis, digits } = fields.timeout.ok_or(InvalidQuery::MissingTimeout)?;
        if !(1..=MAX_TIMEOUT_MS).contains(&millis) {
            return Err(InvalidQuery::TimeoutOutOfRange);
        }
        let request = ParsedRequest {
            class,
            writes,
            group: fields.group.ok_or(InvalidQuery::MissingGroup)?,
            session: fields.key.map(statement::session_id).ok_or(InvalidQuery::MissingKey)?,
            required_position: fields.min_position_ms.map(from_unix_ms),
            is_retry: fields.is_retry,
            external_id: external_id.ok_or(InvalidQuery::MissingExternalId)?.to_vec(),
            timeout: from_unix_ms(millis),
            member_request: MemberRequest::SimpleQuery { text: Vec::new(), timeout_digits: None },
        };
        Ok(ParsedQuery::Request(Box::new(request), digits))
    }
}
