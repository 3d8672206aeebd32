//! The extended queries on one connection to an emulated member.

use crate::history::{AttemptEnd, AttemptRecord, MS, Micros};
use crate::member::{Member, field};
use crate::random::Draws;
use crate::wire::{append_parameters, message, split_c_string};
use std::collections::HashMap;
use std::io::Write;
use std::net::TcpStream;

/// The SQLSTATE of a message that names a statement or a portal which the member does not have.
const UNKNOWN_NAME: &str = "26000";

/// A bound portal.
struct Portal {
    text: String,
    /// The value of the second parameter, by which the client recognizes the answer.
    tag: String,
}

/// What a batch has done so far.
struct BatchState {
    started_at: Micros,
    /// The text of the last executed statement, and how it ended.
    last: Option<(String, AttemptEnd)>,
    executed: bool,
    /// The position of the batch's commit, if it has one.
    commit: Option<Micros>,
}

/// The prepared statements and portals of a connection, and the batch in progress.
#[derive(Default)]
pub(crate) struct ExtendedSession {
    /// The index of the proxy at the other end.
    proxy: usize,
    statements: HashMap<String, String>,
    portals: HashMap<String, Portal>,
    batch: Option<BatchState>,
    /// Whether messages up to the next Sync are skipped.
    skips: bool,
    /// Replies that have not been written.
    replies: Vec<u8>,
}

impl ExtendedSession {
    /// The state of a new connection of a proxy.
    pub(crate) fn of_proxy(proxy: usize) -> ExtendedSession {
        ExtendedSession { proxy, ..ExtendedSession::default() }
    }

    /// Handles a message. Returns `false` if the connection must be closed.
    pub(crate) fn handle(
        &mut self,
        member: &Member,
        stream: &mut TcpStream,
        (tag, body): (u8, &[u8]),
        draws: &mut Draws,
    ) -> std::io::Result<bool> {
        let started_at = member.now();
        self.batch.get_or_insert(BatchState { started_at, last: None, executed: false, commit: None });
        let keeps_open = match tag {
            b'S' => {
                self.sync(member);
                true
            }
            b'H' => true,
            _ if self.skips => true,
            b'E' => self.execute(member, body, draws),
            _ => {
                self.prepare(tag, body);
                true
            }
        };
        if !keeps_open {
            member.end_unanswered(stream);
            return Ok(false);
        }
        if matches!(tag, b'S' | b'H') {
            stream.write_all(&std::mem::take(&mut self.replies))?;
        }
        Ok(true)
    }

    /// Handles Parse, Bind, Describe and Close.
    fn prepare(&mut self, tag: u8, body: &[u8]) {
        let (first, rest) = split_c_string(body);
        let (second, rest) = split_c_string(rest);
        match tag {
            b'P' => {
                self.statements.insert(first, second);
                self.replies.extend(message(b'1', b""));
            }
            b'B' => {
                let Some(text) = self.statements.get(&second).cloned() else {
                    return self.fail(UNKNOWN_NAME);
                };
                self.portals.insert(first, Portal { text, tag: second_parameter(rest) });
                self.replies.extend(message(b'2', b""));
            }
            b'D' => self.replies.extend(message(b'n', b"")),
            _ => self.replies.extend(message(b'3', b"")),
        }
    }

    /// Executes a portal. Returns `false` if the member does not answer.
    fn execute(&mut self, member: &Member, body: &[u8], draws: &mut Draws) -> bool {
        let name = split_c_string(body).0;
        let Some(Portal { text, tag }) = self.portals.get(&name) else {
            self.fail(UNKNOWN_NAME);
            return true;
        };
        let (text, tag) = (text.clone(), tag.clone());
        let (at, position) = (member.now(), member.position());
        let (role, is_write) = (member.role(), text.starts_with("INSERT"));
        let (end, executed) = member.outcome_of(&text, position, draws);
        if let Some(batch) = &mut self.batch {
            batch.last = Some((text, end));
            batch.executed |= executed;
            batch.commit = batch.commit.max((executed && is_write).then_some(position));
        }
        if executed {
            member.work(draws);
        }
        match end {
            AttemptEnd::Served => {
                let value = format!("{tag}-{}-{at}-{position}-{role}", member.index);
                let length = (value.len() as u32).to_be_bytes();
                let row = [&[0, 1][..], &length, value.as_bytes()].concat();
                self.replies.extend([message(b'D', &row), message(b'C', b"DONE\0")].concat());
            }
            AttemptEnd::NotServable => self.fail(if is_write { "25006" } else { "72000" }),
            AttemptEnd::Error => self.fail("XX000"),
            AttemptEnd::Rejected => self.fail("53300"),
            AttemptEnd::NoAnswer => return false,
        }
        true
    }

    fn fail(&mut self, code: &str) {
        self.skips = true;
        self.replies.extend(message(b'E', format!("SERROR\0C{code}\0Memulated\0\0").as_bytes()));
    }

    /// Ends the batch: records it as an attempt, and appends the member's parameters and ReadyForQuery.
    fn sync(&mut self, member: &Member) {
        let Some(batch) = self.batch.take() else { return };
        let position = batch.commit.unwrap_or(member.position());
        if let Some((text, end)) = batch.last {
            let told_wait =
                field(&text, "d=").and_then(|digits| digits.parse::<u64>().ok()).unwrap_or(0) * MS;
            member.record(AttemptRecord {
                id: 0,
                proxy: self.proxy,
                member: member.index,
                at: batch.started_at,
                told_wait,
                executed: batch.executed,
                value: String::new(),
                position,
                primary: member.is_primary(),
                end,
            });
        }
        self.skips = false;
        self.portals.clear();
        append_parameters(&mut self.replies, member.is_primary(), member.reported_ms(position));
        self.replies.extend(message(b'Z', b"I"));
    }
}

/// The second parameter of a Bind message's arguments; empty without one. The parameters are text.
fn second_parameter(arguments: &[u8]) -> String {
    let mut rest = arguments.get(4..).unwrap_or_default();
    let mut value = &rest[..0];
    for _ in 0..2 {
        let Some((head, tail)) = rest.split_first_chunk() else { return String::new() };
        let length = u32::from_be_bytes(*head) as usize;
        (value, rest) = tail.split_at(length.min(tail.len()));
    }
    String::from_utf8_lossy(value).into_owned()
}
