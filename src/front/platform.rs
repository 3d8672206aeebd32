//! The platform's front: simple queries, one statement each, described by the comment that they carry.

use super::{Answer, Ask, Step, Talk, Work, put_verdict};
use crate::core::Verdict;
use crate::net::clock::from_unix_ms;
use crate::pg::{self, statement};
use crate::{Micros, Settings};
use std::ops::Range;

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
        let fields = statement::fields(text);
        let name = fields.class.ok_or("the comment names no class")?;
        let class = settings.class(name).ok_or("unknown class")?;
        if !fields.id {
            return Err("the comment holds no id");
        }
        let (wait, place) = fields.wait.ok_or("the comment holds no d")?;
        let ask = Ask {
            class,
            group: fields.group.ok_or("the comment holds no cluster")?,
            session: fields.key.map_or(0, statement::session),
            after: fields.after.map(from_unix_ms),
            repeat: fields.repeat,
            wait: from_unix_ms(wait).min(1 << 40),
            work: Work::Simple { text: Vec::new(), wait: None },
        };
        Ok(Asked::Request(Box::new(ask), place))
    }
}

/// The platform's way of talking.
#[derive(Default)]
pub struct Platform;

impl Talk for Platform {
    type Command = Query;
    type Session = ();

    fn read_at(query: &Query) -> Micros {
        query.at
    }

    fn start(&mut self, (): &mut (), query: Query, ready: bool) -> Step<Query> {
        let mut bytes = Vec::new();
        match query.fields {
            Ok(Asked::Empty) if !ready => return Step::Wait(query),
            Ok(Asked::Empty) => pg::put(&mut bytes, b'I', &[]),
            Err(why) => pg::put_error(&mut bytes, "ERROR", pg::PROTOCOL_VIOLATION, why, None),
            Ok(Asked::Request(ask, place)) => {
                return Step::Ask(Ask { work: Work::Simple { text: query.text, wait: Some(place) }, ..*ask });
            }
        }
        pg::put_ready(&mut bytes);
        Step::Say(bytes)
    }

    fn finish(&mut self, (): &mut (), verdict: Verdict<Answer>) -> Vec<u8> {
        let mut bytes = Vec::new();
        put_verdict(&mut bytes, &verdict);
        pg::put_ready(&mut bytes);
        bytes
    }
}
