//! The extended front: prepared statements, portals and pipelines. Messages up to a Sync are one request,
//! with the effect of its strictest class and one final answer.
//!
//! A Flush before the Sync makes a request of what came so far. Portals bound there are bound again,
//! unseen by the client, where the rest of the unit uses them; after an Execute, such a unit takes no
//! further one, as the implicit transaction has ended at the member.

use super::final_answer::append_final_answer;
use super::{CommandStep, Protocol, ServiceState};
use crate::client::{ClientBatch, ParsedRequest};
use crate::clock::from_unix_ms;
use crate::core::FinalAnswer;
use crate::exchange::{MemberRequest, MemberResponse};
use crate::extended::{ExtendedBatch, ExtendedMessage, PreparedStatement};
use crate::pg::{self, statement};
use crate::store::{Change, Statement};
use crate::{Idempotency, Micros, Requirement, Settings};
use serde::Deserialize;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

/// SQLSTATE: no statement of that name.
const NO_STATEMENT: &str = "26000";
/// SQLSTATE: no portal of that name.
const NO_PORTAL: &str = "34000";
/// SQLSTATE: more than the listener allows.
const LIMIT: &str = "54000";
/// The longest statement that is prepared, and the most bytes of them for one client.
const LONGEST: usize = 32 * 1024;
const STATEMENT_BYTES: usize = 128 * 1024;
/// The longest that the store's catalogue takes.
const NOTED_BYTES: usize = 8 * 1024;
/// Statements remembered as noted before they are noted anew.
const NOTED: usize = 1024;
/// Sessions whose last commit is remembered, over all clients.
const COMMITS: usize = 16 * 1024;

/// The file under `deploy/` that says where this front listens, and its defaults.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The class of reads whose statement names none.
    pub read_class: String,
    /// The class of writes whose statement names none.
    pub write_class: String,
    /// The group of statements that name none.
    pub group: u32,
    /// How long a client waits whose statement does not say, in milliseconds.
    pub wait_ms: u64,
    /// The parameter that names the session, counted from 1; 0 for none.
    pub session_parameter: usize,
    /// Statements that one client may have prepared.
    pub statements: usize,
}

impl Listen {
    /// The classes that it names must exist.
    pub fn check(&self, settings: &Settings) -> Result<(), String> {
        let unknown = |name: &&String| settings.class(name.as_bytes()).is_none();
        match [&self.read_class, &self.write_class].into_iter().find(unknown) {
            Some(name) => Err(format!("class {name} of the extended listener does not exist")),
            None => Ok(()),
        }
    }
}

/// What is known of a statement.
#[derive(Clone)]
struct Known {
    prepared: Arc<PreparedStatement>,
    class: usize,
    group: u32,
    wait: Micros,
    after: Option<Micros>,
    repeat: bool,
    key: u64,
}

#[derive(Clone)]
struct Portal {
    known: Known,
    key: u64,
    tail: Vec<u8>,
    /// It was bound before the last Flush: the member does not have it any more.
    flushed: bool,
}

/// A statement that a unit prepares.
struct Parsed {
    name: Vec<u8>,
    prepared: Arc<PreparedStatement>,
    /// What stood under this name.
    before: Option<Known>,
}

/// What is kept of a request until its answer.
pub struct Open {
    parsed: Vec<Parsed>,
    key: u64,
    end: u8,
}

/// What a connection keeps.
#[derive(Default)]
pub struct Session {
    statements: BTreeMap<Vec<u8>, Known>,
    portals: BTreeMap<Vec<u8>, Portal>,
    /// After an error before a Flush: all is skipped up to the Sync.
    skipping: bool,
    /// The unit has executed something before a Flush.
    executed: bool,
}

type Refusal = (&'static str, String);

fn no<T>(code: &'static str, why: impl Into<String>) -> Result<T, Refusal> {
    Err((code, why.into()))
}

fn malformed<T>() -> Result<T, Refusal> {
    no(pg::sqlstate::PROTOCOL_VIOLATION, "malformed message")
}

/// The extended front's way of talking.
pub struct Postgres {
    listen: Listen,
    settings: Arc<Settings>,
    commits: BTreeMap<u64, Micros>,
    order: VecDeque<u64>,
    /// Statements that the store has not been told of, and those it has.
    news: Vec<Change>,
    noted: HashSet<Arc<PreparedStatement>>,
}

impl Postgres {
    /// A front with these defaults, whose classes must exist.
    pub fn new(listen: Listen, settings: Arc<Settings>) -> Result<Self, String> {
        listen.check(&settings)?;
        Ok(Postgres {
            listen,
            settings,
            commits: BTreeMap::new(),
            order: VecDeque::new(),
            news: Vec::new(),
            noted: HashSet::new(),
        })
    }

    /// Reads a statement. Anything that lives longer than a unit, or is more than one statement, is refused:
    /// the next request may go to another member.
    fn know(&self, sql: &[u8], types: &[u8]) -> Result<Known, Refusal> {
        let word = statement::first_keyword(sql);
        let writes = match word.as_str() {
            "select" | "values" | "show" => false,
            "insert" | "update" | "delete" | "merge" | "with" => true,
            _ => {
                return no(
                    pg::sqlstate::FEATURE_NOT_SUPPORTED,
                    format!("{word} is not supported on this listener"),
                );
            }
        };
        if statement::has_several_statements(sql) {
            return no(pg::sqlstate::FEATURE_NOT_SUPPORTED, "one statement a query, please");
        }
        let fields = statement::parse_fields(sql);
        let class = match fields.class {
            Some(name) => self.settings.class(name),
            None if writes => self.settings.class(self.listen.write_class.as_bytes()),
            None => self.settings.class(self.listen.read_class.as_bytes()),
        };
        let Some(class) = class else { return no(pg::sqlstate::PROTOCOL_VIOLATION, "unknown class") };
        // Guards against a change that is declared as a read, and would then be repeated.
        if writes && word != "with" && self.settings.classes[class].requirement != Requirement::Write {
            return no(
                pg::sqlstate::FEATURE_NOT_SUPPORTED,
                format!("{word} in a class that is not for writes"),
            );
        }
        Ok(Known {
            prepared: Arc::new(PreparedStatement { sql: sql.to_vec(), parameter_types: types.to_vec() }),
            class,
            group: fields.group.unwrap_or(self.listen.group),
            wait: from_unix_ms(fields.timeout.map_or(self.listen.wait_ms, |timeout| timeout.millis))
                .min(1 << 40),
            after: fields.min_position_ms.map(from_unix_ms),
            repeat: fields.is_retry,
            key: fields.key.map_or(0, statement::session_id),
        })
    }

    fn strictness(&self, class: usize) -> (u8, u8) {
        let class = &self.settings.classes[class];
        let effect = match class.idempotency {
            Idempotency::Idempotent => 0,
            Idempotency::Keyed { .. } => 1,
            Idempotency::AtMostOnce => 2,
        };
        let need = match class.requirement {
            Requirement::Any => 0,
            Requirement::BoundedStaleness(_) => 1,
            Requirement::ReadYourWrites => 2,
            Requirement::Latest => 3,
            Requirement::Write => 4,
        };
        (effect, need)
    }

    fn ask(&self, used: &[Known], key: u64, work: MemberRequest) -> Result<ParsedRequest, Refusal> {
        let Some(first) = used.first() else { return malformed() };
        if used.iter().any(|k| k.group != first.group) {
            return no(
                pg::sqlstate::FEATURE_NOT_SUPPORTED,
                "statements of more than one group before a Sync",
            );
        }
        let strictest = used.iter().max_by_key(|k| self.strictness(k.class)).unwrap_or(first);
        let after = used.iter().filter_map(|k| k.after).max();
        let writes = |known: &Known| self.settings.classes[known.class].requirement == Requirement::Write;
        Ok(ParsedRequest {
            class: strictest.class,
            writes: used.iter().any(writes),
            group: first.group,
            session: key,
            required_position: after.max(self.commits.get(&key).copied()),
            is_retry: used.iter().any(|k| k.repeat),
            // A statement is prepared once and its id comes with every execution.
            external_id: Vec::new(),
            timeout: used.iter().map(|k| k.wait).min().unwrap_or(first.wait),
            member_request: work,
        })
    }

    fn simple(&self, session: &mut Session, message: &[u8]) -> Result<CommandStep<Self>, Refusal> {
        let Some((text, [])) = pg::split_c_string(pg::message_body(message)) else { return malformed() };
        if text.trim_ascii().is_empty() {
            let mut bytes = Vec::new();
            pg::put_message(&mut bytes, b'I', &[]);
            pg::put_ready_for_query(&mut bytes);
            return Ok(CommandStep::Reply(bytes));
        }
        let known = self.know(text, &[])?;
        let key = known.key;
        let wait = statement::parse_fields(text).timeout.map(|timeout| timeout.digits);
        let ask =
            self.ask(&[known], key, MemberRequest::SimpleQuery { text: text.to_vec(), wait_digits: wait })?;
        session.end_unit();
        Ok(CommandStep::Forward(ask, Open { parsed: Vec::new(), key, end: b'Q' }))
    }

    fn unit(&mut self, session: &mut Session, batch: &ClientBatch) -> Result<CommandStep<Self>, Refusal> {
        let (mut parts, mut used, mut key) = (Vec::new(), Vec::new(), 0);
        let mut open = Open { parsed: Vec::new(), key: 0, end: batch.end };
        let result = batch.messages.iter().try_for_each(|message| {
            self.message(session, message, &mut open, &mut parts, &mut used, &mut key)
        });
        if let Err(refusal) = result {
            session.undo(open.parsed, 0);
            return Err(refusal);
        }
        if used.is_empty() {
            // Nothing here concerns a member.
            let mut bytes = Vec::new();
            parts.iter().for_each(|_| pg::put_message(&mut bytes, b'3', &[]));
            return Ok(CommandStep::Reply(self.end(session, batch.end, bytes)));
        }
        let executes = parts.iter().any(|p| matches!(p, ExtendedMessage::Execute { .. }));
        if executes && session.executed {
            session.undo(open.parsed, 0);
            return no(
                pg::sqlstate::FEATURE_NOT_SUPPORTED,
                "a further execute in a unit that was flushed after one",
            );
        }
        session.executed |= executes;
        let mut ask =
            self.ask(&used, key, MemberRequest::SimpleQuery { text: Vec::new(), wait_digits: None })?;
        let careful = self.settings.classes[ask.class].idempotency != Idempotency::Idempotent;
        ask.member_request =
            MemberRequest::Extended(ExtendedBatch { messages: parts, confirm_before_execute: careful });
        open.key = key;
        if batch.end != b'H' {
            session.end_unit();
        }
        Ok(CommandStep::Forward(ask, open))
    }

    fn message(
        &mut self,
        session: &mut Session,
        message: &[u8],
        open: &mut Open,
        parts: &mut Vec<ExtendedMessage>,
        used: &mut Vec<Known>,
        key: &mut u64,
    ) -> Result<(), Refusal> {
        let (tag, body) = (message.first().copied().unwrap_or(0), pg::message_body(message));
        match tag {
            b'P' => {
                let Some((name, rest)) = pg::split_c_string(body) else { return malformed() };
                let Some((sql, types)) = pg::split_c_string(rest) else { return malformed() };
                let count = types.get(..2).map(|c| usize::from(u16::from_be_bytes([c[0], c[1]])));
                if count.is_none_or(|c| types.len() != 2 + 4 * c) {
                    return malformed();
                }
                if !name.is_empty() && session.statements.contains_key(name) {
                    return no("42P05", "a statement of that name exists");
                }
                let bytes: usize = session.statements.values().map(|k| k.prepared.sql.len()).sum();
                if session.statements.len() >= self.listen.statements || bytes + sql.len() > STATEMENT_BYTES {
                    return no(LIMIT, "too many prepared statements");
                }
                if sql.len() > LONGEST {
                    return no(LIMIT, "statement too long to prepare");
                }
                let known = self.know(sql, types)?;
                self.note(&known.prepared);
                parts.push(ExtendedMessage::Parse(known.prepared.clone()));
                used.push(known.clone());
                let prepared = known.prepared.clone();
                let before = session.statements.insert(name.to_vec(), known);
                open.parsed.push(Parsed { name: name.to_vec(), prepared, before });
            }
            b'B' => {
                let Some((portal, rest)) = pg::split_c_string(body) else { return malformed() };
                let Some((name, tail)) = pg::split_c_string(rest) else { return malformed() };
                let Some(parameters) = parameters(tail) else { return malformed() };
                let known = self.statement(session, name)?;
                let named = self.listen.session_parameter.checked_sub(1);
                let named = named.and_then(|n| parameters.get(n).copied().flatten());
                let own = named.map_or(known.key, statement::session_id);
                *key = if *key == 0 { own } else { *key };
                let bound = Portal { known: known.clone(), key: own, tail: tail.to_vec(), flushed: false };
                session.portals.insert(portal.to_vec(), bound);
                parts.push(ExtendedMessage::Bind {
                    portal: portal.to_vec(),
                    statement: known.prepared.clone(),
                    arguments: tail.to_vec(),
                    reply_forwarded: true,
                });
                used.push(known);
            }
            b'E' => {
                let Some((portal, rows)) = pg::split_c_string(body).filter(|(_, rows)| rows.len() == 4)
                else {
                    return malformed();
                };
                self.portal(session, portal, parts, used, key)?;
                parts.push(ExtendedMessage::Execute { portal: portal.to_vec(), row_limit: rows.to_vec() });
            }
            b'D' | b'C' => {
                let Some((&kind, rest)) = body.split_first() else { return malformed() };
                let Some((name, [])) = pg::split_c_string(rest) else { return malformed() };
                match (tag, kind) {
                    (b'D', b'S') => {
                        let known = self.statement(session, name)?;
                        parts.push(ExtendedMessage::DescribeStatement(known.prepared.clone()));
                        used.push(known);
                    }
                    (b'D', b'P') => {
                        self.portal(session, name, parts, used, key)?;
                        parts.push(ExtendedMessage::DescribePortal(name.to_vec()));
                    }
                    (b'C', b'S') => {
                        session.statements.remove(name);
                        parts.push(ExtendedMessage::CloseStatement);
                    }
                    (b'C', b'P') => match session.portals.remove(name) {
                        Some(portal) if !portal.flushed => {
                            parts.push(ExtendedMessage::ClosePortal(name.to_vec()))
                        }
                        _ => parts.push(ExtendedMessage::CloseStatement),
                    },
                    _ => return malformed(),
                }
            }
            _ => return malformed(),
        }
        Ok(())
    }

    fn note(&mut self, prepared: &Arc<PreparedStatement>) {
        if self.noted.len() >= NOTED {
            self.noted.clear();
        }
        if prepared.sql.len() <= NOTED_BYTES
            && self.noted.insert(prepared.clone())
            && let Ok(sql) = String::from_utf8(prepared.sql.clone())
        {
            self.news.push(Change::Prepared(Statement { sql, types: prepared.parameter_types.clone() }));
        }
    }

    fn statement(&self, session: &Session, name: &[u8]) -> Result<Known, Refusal> {
        let known = session.statements.get(name).cloned();
        known.ok_or_else(|| {
            (NO_STATEMENT, format!("no prepared statement \"{}\"", String::from_utf8_lossy(name)))
        })
    }

    /// Makes sure that the member will have a portal.
    fn portal(
        &self,
        session: &mut Session,
        name: &[u8],
        parts: &mut Vec<ExtendedMessage>,
        used: &mut Vec<Known>,
        key: &mut u64,
    ) -> Result<(), Refusal> {
        let Some(portal) = session.portals.get_mut(name) else {
            return no(NO_PORTAL, format!("no portal \"{}\"", String::from_utf8_lossy(name)));
        };
        if portal.flushed {
            portal.flushed = false;
            *key = if *key == 0 { portal.key } else { *key };
            parts.push(ExtendedMessage::Bind {
                portal: name.to_vec(),
                statement: portal.known.prepared.clone(),
                arguments: portal.tail.clone(),
                reply_forwarded: false,
            });
            used.push(portal.known.clone());
        }
        Ok(())
    }

    /// Ends a batch: with ReadyForQuery after a Sync or a query, without after a Flush.
    fn end(&self, session: &mut Session, end: u8, mut bytes: Vec<u8>) -> Vec<u8> {
        if end == b'H' {
            session.portals.values_mut().for_each(|p| p.flushed = true);
        } else {
            session.end_unit();
            pg::put_ready_for_query(&mut bytes);
        }
        bytes
    }
}

impl Session {
    /// What a Sync ends. The unit behind it may be looked at before this one is answered.
    fn end_unit(&mut self) {
        self.portals.clear();
        (self.skipping, self.executed) = (false, false);
    }

    /// Takes back what a unit prepared beyond its first `kept` statements, but for names that a later unit
    /// has prepared anew.
    fn undo(&mut self, parsed: Vec<Parsed>, kept: usize) {
        for Parsed { name, prepared, before } in parsed.into_iter().skip(kept).rev() {
            if self.statements.get(&name).is_none_or(|known| !Arc::ptr_eq(&known.prepared, &prepared)) {
                continue;
            }
            match before {
                Some(known) => drop(self.statements.insert(name, known)),
                None => drop(self.statements.remove(&name)),
            }
        }
    }
}

/// The names of statements that a batch prepares, closes or rests on. Its own unnamed statement is its own
/// matter.
fn names_touched(batch: &ClientBatch) -> Vec<&[u8]> {
    let mut names = Vec::new();
    let mut own_unnamed = false;
    for message in &batch.messages {
        let body = pg::message_body(message);
        let name = match message.first() {
            Some(b'P') => pg::split_c_string(body).map(|(name, _)| name),
            Some(b'B') => {
                pg::split_c_string(body).and_then(|(_, rest)| pg::split_c_string(rest)).map(|(name, _)| name)
            }
            Some(b'D' | b'C') => body.strip_prefix(b"S").and_then(pg::split_c_string).map(|(name, _)| name),
            _ => None,
        };
        own_unnamed |= message.first() == Some(&b'P') && name == Some(b"");
        names.extend(name.filter(|name| !name.is_empty() || !own_unnamed));
    }
    names
}

/// The parameters in what follows a Bind's names, if all of it is well formed.
fn parameters(tail: &[u8]) -> Option<Vec<Option<&[u8]>>> {
    fn count(at: &mut &[u8]) -> Option<usize> {
        let (head, rest) = at.split_at_checked(2)?;
        *at = rest;
        Some(usize::from(u16::from_be_bytes([head[0], head[1]])))
    }
    let mut at = tail;
    let formats = count(&mut at)?;
    at = at.get(2 * formats..)?;
    let mut values = Vec::new();
    for _ in 0..count(&mut at)? {
        let (head, rest) = at.split_at_checked(4)?;
        at = rest;
        let length = i32::from_be_bytes([head[0], head[1], head[2], head[3]]);
        values.push(match usize::try_from(length) {
            Err(_) if length == -1 => None,
            Err(_) => return None,
            Ok(length) => {
                let (value, rest) = at.split_at_checked(length)?;
                at = rest;
                Some(value)
            }
        });
    }
    let results = count(&mut at)?;
    (at.len() == 2 * results).then_some(values)
}

impl Protocol for Postgres {
    type Command = ClientBatch;
    type Session = Session;
    type Context = Open;

    fn read_at(batch: &ClientBatch) -> Micros {
        batch.at
    }

    /// A unit that rests on what an unfinished one prepares keeps its order, and so does all behind a Flush.
    fn must_wait(batch: &ClientBatch, unfinished: &[&Open]) -> bool {
        let touched = names_touched(batch);
        let prepares = |open: &&&Open| open.parsed.iter().any(|p| touched.contains(&&p.name[..]));
        unfinished.iter().any(|open| open.end == b'H' || prepares(&open))
    }

    fn start(
        &mut self,
        session: &mut Session,
        batch: ClientBatch,
        service: ServiceState,
    ) -> CommandStep<Self> {
        if session.skipping && batch.end != b'S' {
            return CommandStep::Reply(Vec::new());
        }
        if session.skipping {
            return CommandStep::Reply(self.end(session, batch.end, Vec::new()));
        }
        let step = match batch.messages.first() {
            // The front layer's question, whether it may send clients.
            Some(message)
                if batch.end == b'Q' && service == ServiceState::OutOfService && message.len() == 6 =>
            {
                Err((pg::sqlstate::CANNOT_CONNECT_NOW, "out of service".into()))
            }
            Some(message) if batch.end == b'Q' => self.simple(session, message),
            _ => self.unit(session, &batch),
        };
        step.unwrap_or_else(|(code, why)| {
            let mut bytes = Vec::new();
            pg::put_error_response(&mut bytes, "ERROR", code, &why, None);
            session.skipping = batch.end == b'H';
            CommandStep::Reply(self.end(session, batch.end, bytes))
        })
    }

    fn take_store_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.news)
    }

    fn finish(&mut self, session: &mut Session, open: Open, verdict: FinalAnswer<MemberResponse>) -> Vec<u8> {
        let mut bytes = Vec::new();
        append_final_answer(&mut bytes, &verdict);
        let (parses, error) = tally(&bytes);
        session.undo(open.parsed, if error { parses } else { usize::MAX });
        session.skipping |= error && open.end == b'H';
        if let FinalAnswer::Served(MemberResponse { commit_position: Some(commit), .. }) = verdict
            && !error
            && open.key != 0
        {
            if self.commits.insert(open.key, commit).is_none() {
                self.order.push_back(open.key);
            }
            if self.order.len() > COMMITS
                && let Some(oldest) = self.order.pop_front()
            {
                self.commits.remove(&oldest);
            }
        }
        match open.end {
            b'H' => self.end(session, open.end, bytes),
            // A unit behind it may be under way: what this one's Sync ends was ended when it began.
            _ => {
                pg::put_ready_for_query(&mut bytes);
                bytes
            }
        }
    }
}

/// How many statements an answer says are prepared, and whether it holds an error.
fn tally(mut bytes: &[u8]) -> (usize, bool) {
    let (mut parses, mut error) = (0, false);
    while let Some((head, _)) = bytes.split_at_checked(5) {
        parses += usize::from(head[0] == b'1');
        error |= head[0] == b'E';
        let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        bytes = bytes.get(length + 1..).unwrap_or_default();
    }
    (parses, error)
}
