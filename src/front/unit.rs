//! Extended-query messages up to a Sync, as one request: what they ask of a member, which messages that takes
//! on a connection that has prepared other statements, and which of its replies are the client's.
//!
//! No I/O here: a link writes what a [`Script`] says and hands it the replies.

use crate::pg;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// A statement as a client prepared it. The same text with the same types is one statement at a member,
/// whoever prepared it and under whatever name.
#[derive(Debug, PartialEq, Eq, Hash)]
pub struct Prepared {
    /// The text, as it came.
    pub sql: Vec<u8>,
    /// The parameter types, as they came.
    pub types: Vec<u8>,
}

/// One message of a unit.
pub enum Part {
    /// The client prepares a statement.
    Parse(Arc<Prepared>),
    /// The client binds a portal, or, if not `visible`, it did so before a Flush.
    Bind {
        /// Its name.
        portal: Vec<u8>,
        /// The statement.
        statement: Arc<Prepared>,
        /// All that follows the names.
        tail: Vec<u8>,
        /// The client is owed a BindComplete.
        visible: bool,
    },
    /// The client asks about a statement.
    DescribeStatement(Arc<Prepared>),
    /// The client asks about a portal.
    DescribePortal(Vec<u8>),
    /// The client executes a portal.
    Execute {
        /// Its name.
        portal: Vec<u8>,
        /// The most rows, as it came.
        rows: Vec<u8>,
    },
    /// The client closes a portal.
    ClosePortal(Vec<u8>),
    /// The client closes a statement: its own matter, members keep theirs.
    CloseStatement,
}

/// A unit.
pub struct Unit {
    /// Its messages.
    pub parts: Vec<Part>,
    /// It must not run twice: Execute is not sent before the member has taken all that comes ahead of it.
    pub careful: bool,
}

impl Unit {
    /// It executes something.
    pub fn executes(&self) -> bool {
        self.parts.iter().any(|p| matches!(p, Part::Execute { .. }))
    }
}

/// The statements that one member connection has prepared, under names of its own.
#[derive(Default)]
pub struct Catalogue {
    names: HashMap<Arc<Prepared>, (u64, u64)>,
    last: u64,
    bytes: usize,
}

/// Statements and their bytes that one member connection keeps; the one used longest ago goes first.
const MOST: usize = 128;
const MOST_BYTES: usize = 128 * 1024;

impl Catalogue {
    /// The statement's name, with the messages that prepare it where it is missing.
    fn name(&mut self, statement: &Arc<Prepared>, script: &mut Script, visible: bool) -> String {
        self.last += 1;
        let now = self.last;
        if let Some((name, used)) = self.names.get_mut(statement) {
            *used = now;
            if visible {
                let mut done = Vec::new();
                pg::put_message(&mut done, b'1', &[]);
                script.expects.push_back(Expect::Own(done));
            }
            return format!("liftrelay_{name}");
        }
        while (self.names.len() >= MOST || self.bytes + statement.sql.len() > MOST_BYTES)
            && let Some((oldest, name)) = self
                .names
                .iter()
                .min_by_key(|(_, v)| v.1)
                .map(|(s, v)| (s.clone(), format!("liftrelay_{}", v.0)))
        {
            self.forget(&oldest);
            script.put(b'C', &[b"S", name.as_bytes(), &[0]]);
            script.expects.push_back(Expect::Hidden(b'3'));
        }
        let name = format!("liftrelay_{now}");
        script.put(b'P', &[name.as_bytes(), &[0], &statement.sql, &[0], &statement.types]);
        script.expects.push_back(Expect::Parse(statement.clone(), visible));
        self.names.insert(statement.clone(), (now, now));
        self.bytes += statement.sql.len();
        name
    }

    /// The member does not have these after all.
    fn forget(&mut self, statement: &Arc<Prepared>) {
        if self.names.remove(statement).is_some() {
            self.bytes -= statement.sql.len();
        }
    }
}

enum Expect {
    /// The proxy's own reply, at this place.
    Own(Vec<u8>),
    /// A reply that no client asked for.
    Hidden(u8),
    /// ParseComplete, for the client or not.
    Parse(Arc<Prepared>, bool),
    Bind(bool),
    Parameters,
    Rows,
    Result,
    Close,
}

/// What a reply comes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// More replies are due.
    More,
    /// ReadyForQuery: the unit has ended.
    Ready,
    /// The member does not keep to the protocol.
    Broken,
}

/// A unit's messages for one connection, and its replies so far.
#[derive(Default)]
pub struct Script {
    /// What comes ahead of the first Execute; all of a unit that executes nothing.
    pub preface: Vec<u8>,
    /// The rest, from the first Execute.
    pub rest: Vec<u8>,
    executes: bool,
    expects: VecDeque<Expect>,
    /// How many replies the rest has.
    behind: usize,
    /// The client's replies.
    pub answer: Vec<u8>,
    /// The SQLSTATE of the error that ended the unit.
    pub error: Option<Vec<u8>>,
    /// Executes that were completed.
    pub executed: usize,
}

impl Script {
    /// What a unit takes on the connection with this catalogue.
    pub fn new(unit: &Unit, catalogue: &mut Catalogue) -> Script {
        let mut s = Script::default();
        let mut ahead = 0;
        for part in &unit.parts {
            match part {
                Part::Parse(statement) => drop(catalogue.name(statement, &mut s, true)),
                Part::Bind { portal, statement, tail, visible } => {
                    let name = catalogue.name(statement, &mut s, false);
                    s.put(b'B', &[portal, &[0], name.as_bytes(), &[0], tail]);
                    s.expects.push_back(Expect::Bind(*visible));
                }
                Part::DescribeStatement(statement) => {
                    let name = catalogue.name(statement, &mut s, false);
                    s.put(b'D', &[b"S", name.as_bytes(), &[0]]);
                    s.expects.extend([Expect::Parameters, Expect::Rows]);
                }
                Part::DescribePortal(portal) => {
                    s.put(b'D', &[b"P", portal, &[0]]);
                    s.expects.push_back(Expect::Rows);
                }
                Part::Execute { portal, rows } => {
                    if !s.executes {
                        s.executes = true;
                        ahead = s.expects.len();
                    }
                    s.put(b'E', &[portal, &[0], rows]);
                    s.expects.push_back(Expect::Result);
                }
                Part::ClosePortal(portal) => {
                    s.put(b'C', &[b"P", portal, &[0]]);
                    s.expects.push_back(Expect::Close);
                }
                Part::CloseStatement => {
                    let mut done = Vec::new();
                    pg::put_message(&mut done, b'3', &[]);
                    s.expects.push_back(Expect::Own(done));
                }
            }
        }
        s.behind = if s.executes { s.expects.len() - ahead } else { 0 };
        s
    }

    fn put(&mut self, tag: u8, parts: &[&[u8]]) {
        pg::put_message(if self.executes { &mut self.rest } else { &mut self.preface }, tag, parts);
    }

    fn own(&mut self) {
        while let Some(Expect::Own(_)) = self.expects.front() {
            if let Some(Expect::Own(bytes)) = self.expects.pop_front() {
                self.answer.extend(bytes);
            }
        }
    }

    /// All that the preface asked for has been answered.
    pub fn preface_done(&mut self) -> bool {
        if self.error.is_none() && self.expects.len() > self.behind {
            self.own();
        }
        self.error.is_some() || self.expects.len() <= self.behind
    }

    /// Takes a reply of the member.
    pub fn take(&mut self, catalogue: &mut Catalogue, tag: u8, message: &[u8]) -> Progress {
        if tag == b'N' || tag == b'S' {
            return Progress::More;
        }
        self.own();
        if tag == b'Z' {
            let whole = self.error.is_some() || self.expects.is_empty();
            return if whole { Progress::Ready } else { Progress::Broken };
        }
        if self.error.is_some() {
            return Progress::More;
        }
        if tag == b'E' {
            self.error = Some(pg::error_field(pg::message_body(message), b'C').unwrap_or_default().to_vec());
            self.answer.extend_from_slice(message);
            // What was not reached was not prepared.
            for expect in self.expects.drain(..) {
                if let Expect::Parse(statement, _) = expect {
                    catalogue.forget(&statement);
                }
            }
            return Progress::More;
        }
        let (known, last, visible) = match self.expects.front() {
            Some(Expect::Hidden(want)) => (tag == *want, true, false),
            Some(Expect::Parse(_, visible)) => (tag == b'1', true, *visible),
            Some(Expect::Bind(visible)) => (tag == b'2', true, *visible),
            Some(Expect::Parameters) => (tag == b't', true, true),
            Some(Expect::Rows) => (matches!(tag, b'T' | b'n'), true, true),
            Some(Expect::Result) => (matches!(tag, b'D' | b'C' | b's' | b'I'), tag != b'D', true),
            Some(Expect::Close) => (tag == b'3', true, true),
            Some(Expect::Own(_)) | None => (false, false, false),
        };
        if !known {
            return Progress::Broken;
        }
        if visible {
            self.answer.extend_from_slice(message);
        }
        if last && matches!(self.expects.pop_front(), Some(Expect::Result)) {
            self.executed += 1;
        }
        self.own();
        Progress::More
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn statement(sql: &[u8]) -> Arc<Prepared> {
        Arc::new(Prepared { sql: sql.to_vec(), types: vec![0, 0] })
    }

    fn bind(statement: &Arc<Prepared>) -> Part {
        Part::Bind { portal: Vec::new(), statement: statement.clone(), tail: vec![0; 6], visible: true }
    }

    fn run() -> Part {
        Part::Execute { portal: Vec::new(), rows: vec![0; 4] }
    }

    fn reply(tag: u8) -> Vec<u8> {
        let mut out = Vec::new();
        pg::put_message(&mut out, tag, &[]);
        out
    }

    fn tags(mut bytes: &[u8]) -> String {
        let mut tags = String::new();
        while bytes.len() >= 5 {
            tags.push(bytes[0] as char);
            let length = u32::from_be_bytes([bytes[1], bytes[2], bytes[3], bytes[4]]) as usize;
            bytes = &bytes[length + 1..];
        }
        tags
    }

    #[test]
    fn a_missing_statement_is_prepared_and_its_parse_complete_kept_back() {
        let mut catalogue = Catalogue::default();
        let s = statement(b"SELECT 1");
        let unit = Unit { parts: vec![bind(&s), run()], careful: true };
        let mut first = Script::new(&unit, &mut catalogue);
        assert_eq!((tags(&first.preface), tags(&first.rest)), ("PB".into(), "E".into()));
        for tag in *b"12" {
            assert!(!first.preface_done());
            assert_eq!(first.take(&mut catalogue, tag, &reply(tag)), Progress::More);
        }
        assert!(first.preface_done());
        first.take(&mut catalogue, b'C', &reply(b'C'));
        assert_eq!(first.take(&mut catalogue, b'Z', &reply(b'Z')), Progress::Ready);
        assert_eq!(tags(&first.answer), "2C");
        let again = Script::new(&unit, &mut catalogue);
        assert_eq!(tags(&again.preface), "B", "it is prepared there now");
    }

    #[test]
    fn a_statement_that_another_client_prepared_is_answered_in_its_place() {
        let mut catalogue = Catalogue::default();
        let s = statement(b"SELECT 1");
        let unit = || Unit { parts: vec![Part::Parse(s.clone()), bind(&s), run()], careful: false };
        Script::new(&unit(), &mut catalogue);
        let mut second = Script::new(&unit(), &mut catalogue);
        assert_eq!(tags(&second.preface), "B");
        for tag in *b"2C" {
            second.take(&mut catalogue, tag, &reply(tag));
        }
        assert_eq!(tags(&second.answer), "12C");
    }

    #[test]
    fn what_an_error_skipped_is_not_taken_for_prepared() {
        let mut catalogue = Catalogue::default();
        let s = statement(b"SELEC 1");
        let unit = Unit { parts: vec![bind(&s), run()], careful: false };
        let mut script = Script::new(&unit, &mut catalogue);
        let mut error = Vec::new();
        pg::put_error_response(&mut error, "ERROR", "42601", "syntax", None);
        script.take(&mut catalogue, b'E', &error);
        assert_eq!(script.take(&mut catalogue, b'Z', &reply(b'Z')), Progress::Ready);
        assert_eq!(tags(&Script::new(&unit, &mut catalogue).preface), "PB");
    }

    #[test]
    fn the_catalogue_is_bounded_and_names_are_never_used_twice() {
        let mut catalogue = Catalogue::default();
        let mut seen = std::collections::HashSet::new();
        for n in 0..500 {
            let s = statement(format!("SELECT {n}").as_bytes());
            let mut script = Script::default();
            assert!(seen.insert(catalogue.name(&s, &mut script, true)));
            assert_eq!(tags(&script.preface), if n < 128 { "P" } else { "CP" });
        }
        assert_eq!(catalogue.names.len(), 128);
    }

    #[test]
    fn replies_out_of_place_break_the_script() {
        let mut catalogue = Catalogue::default();
        let s = statement(b"SELECT 1");
        let mut script = Script::new(&Unit { parts: vec![bind(&s), run()], careful: true }, &mut catalogue);
        assert_eq!(script.take(&mut catalogue, b'D', &reply(b'D')), Progress::Broken);
        assert_eq!(script.take(&mut catalogue, b'Z', &reply(b'Z')), Progress::Broken);
    }
}
