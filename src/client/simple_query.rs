//! A simple query of the platform's protocol: one statement, described by the comment that it carries.

use super::ParsedRequest;
use crate::clock::from_unix_ms;
use crate::exchange::MemberRequest;
use crate::pg::statement;
use crate::{Micros, Requirement, Settings};
use std::ops::Range;

/// The longest `id`, and the longest `d` in milliseconds.
const LONGEST_ID: usize = 64;
const LONGEST_WAIT: u64 = 600_000;

/// A simple query and what was read off its comment.
pub struct SimpleQuery {
    /// When its last byte was read.
    pub at: Micros,
    /// The statement, without the closing zero.
    pub text: Vec<u8>,
    /// What the decisions need, or what is wrong with it.
    pub fields: Result<ParsedQuery, &'static str>,
}

/// What the decisions need of a query.
pub enum ParsedQuery {
    /// Nothing: an empty query.
    Empty,
    /// A request, and where the digits of its `d` stand.
    Request(Box<ParsedRequest>, Range<usize>),
}

impl ParsedQuery {
    /// Reads a statement; the names of the classes are looked up here.
    pub fn read(text: &[u8], settings: &Settings) -> Result<ParsedQuery, &'static str> {
        if text.trim_ascii().is_empty() {
            return Ok(ParsedQuery::Empty);
        }
        statement::validate(text)?;
        let fields = statement::parse_fields(text);
        let name = fields.class.ok_or("the comment names no class")?;
        let class = settings.class(name).ok_or("unknown class")?;
        let writes = settings.classes[class].requirement == Requirement::Write;
        let word = if writes { "insert" } else { "select" };
        if statement::first_keyword(text) != word {
            return Err("the statement does not fit its class");
        }
        let id = fields.id.filter(|id| !id.is_empty() && id.len() <= LONGEST_ID);
        let statement::Timeout { millis: wait, digits: place } =
            fields.timeout.ok_or("the comment holds no d, or one that is no number")?;
        if !(1..=LONGEST_WAIT).contains(&wait) {
            return Err("nobody waits that long");
        }
        let ask = ParsedRequest {
            class,
            writes,
            group: fields.group.ok_or("the comment holds no cluster, or one that is no number")?,
            session: fields.key.map(statement::session_id).ok_or("the statement holds no key")?,
            after: fields.min_position_ms.map(from_unix_ms),
            repeat: fields.is_retry,
            name: id.ok_or("the comment holds no id, or an impossible one")?.to_vec(),
            wait: from_unix_ms(wait),
            work: MemberRequest::SimpleQuery { text: Vec::new(), wait_digits: None },
        };
        Ok(ParsedQuery::Request(Box::new(ask), place))
    }
}
