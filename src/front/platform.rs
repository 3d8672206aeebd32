//! The platform's front: simple queries, one statement each, described by the comment that they carry.

use super::{Ask, Protocol, Service, Step, put_verdict};
use crate::clock::from_unix_ms;
use crate::core::FinalAnswer;
use crate::exchange::{MemberRequest, MemberResponse};
use crate::pg::{self, statement};
use crate::{Micros, Requirement, Settings};
use std::ops::Range;

/// The longest `id`, and the longest `d` in milliseconds.
const LONGEST_ID: usize = 64;
const LONGEST_WAIT: u64 = 600_000;

/// A simple query and what was read off its comment.
pub struct Query {
    /// When its last byte was read.
    pub at: Micros,
    /// The statement, without the closing zero.
    pub text: Vec<u8>,
    /// What the decisions need, or what is wrong with it.
    pub fields: Result<Asked, &'static str>,
}

/// What the decisions need of a query.
pub enum Asked {
    /// Nothing: an empty query.
    Empty,
    /// A request, and where the digits of its `d` stand.
    Request(Box<Ask>, Range<usize>),
}

impl Asked {
    /// Reads a statement; the names of the classes are looked up here.
    pub fn read(text: &[u8], settings: &Settings) -> Result<Asked, &'static str> {
        if text.trim_ascii().is_empty() {
            return Ok(Asked::Empty);
        }
        statement::validate(text)?;
        let fields = statement::parse_fields(text);
        let name = fields.class.ok_or("the comment names no class")?;
        let class = settings.class(name).ok_or("unknown class")?;
        let writes = settings.classes[class].need == Requirement::Write;
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
        let ask = Ask {
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
        Ok(Asked::Request(Box::new(ask), place))
    }
}

/// The platform's way of talking.
#[derive(Default)]
pub struct Platform;

impl Protocol for Platform {
    type Command = Query;
    type Session = ();
    type Context = ();

    fn read_at(query: &Query) -> Micros {
        query.at
    }

    fn start(&mut self, (): &mut (), query: Query, service: Service) -> Step<Self> {
        let mut bytes = Vec::new();
        match query.fields {
            Ok(Asked::Empty) if service == Service::Starting => return Step::Wait(query),
            // The front layer's question, whether it may send clients.
            Ok(Asked::Empty) if service == Service::Out => {
                pg::put_error_response(
                    &mut bytes,
                    "ERROR",
                    pg::sqlstate::CANNOT_CONNECT_NOW,
                    "out of service",
                    None,
                );
            }
            Ok(Asked::Empty) => pg::put_message(&mut bytes, b'I', &[]),
            Err(why) => {
                pg::put_error_response(&mut bytes, "ERROR", pg::sqlstate::PROTOCOL_VIOLATION, why, None)
            }
            Ok(Asked::Request(ask, place)) => {
                let work = MemberRequest::SimpleQuery { text: query.text, wait_digits: Some(place) };
                return Step::Ask(Ask { work, ..*ask }, ());
            }
        }
        pg::put_ready_for_query(&mut bytes);
        Step::Say(bytes)
    }

    fn finish(&mut self, (): &mut (), (): (), verdict: FinalAnswer<MemberResponse>) -> Vec<u8> {
        let mut bytes = Vec::new();
        put_verdict(&mut bytes, &verdict);
        pg::put_ready_for_query(&mut bytes);
        bytes
    }
}
