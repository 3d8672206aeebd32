//! One connection to a mock member: reads requests, and handles each as the test has planned.

use super::wire::{put_message, read_message, split_c_string};
use super::{MemberBehavior, MemberEvent, MockMember};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::mpsc::Sender;

/// Whether a message of this type executes a statement: a simple query or an Execute.
fn is_execution(tag: u8) -> bool {
    matches!(tag, b'Q' | b'E')
}

/// Whether a message of this type ends a request: a simple query or a Sync.
fn ends_request(tag: u8) -> bool {
    matches!(tag, b'Q' | b'S')
}

/// One connection to a mock member. Its methods return `None` if the connection must be closed.
pub struct MemberConnection<'a> {
    member: &'a MockMember,
    stream: TcpStream,
    events: &'a Sender<MemberEvent>,
    /// The part of the reply that is not sent yet.
    out: Vec<u8>,
    /// The planned behavior for the current request; `None` between requests.
    behavior: Option<MemberBehavior>,
    /// Whether the current request has failed: its remaining messages are skipped.
    failed: bool,
    drop_on_next_message: bool,
    prepared: HashMap<String, String>,
    bound: HashMap<String, String>,
}

impl<'a> MemberConnection<'a> {
    pub fn new(member: &'a MockMember, stream: TcpStream, events: &'a Sender<MemberEvent>) -> Self {
        MemberConnection {
            member,
            stream,
            events,
            out: Vec::new(),
            behavior: None,
            failed: false,
            drop_on_next_message: false,
            prepared: HashMap::new(),
            bound: HashMap::new(),
        }
    }

    /// Serves messages until the connection must be closed.
    pub fn serve(&mut self) -> Option<()> {
        self.read_startup()?;
        self.member.wait_until_greetings_are_released(self.events);
        put_message(&mut self.out, b'R', &[0; 4]);
        put_message(&mut self.out, b'Z', b"I");
        self.flush()?;
        loop {
            let (tag, body) = read_message(&mut self.stream)?;
            if self.drop_on_next_message {
                return None;
            }
            self.serve_message(tag, &body)?;
        }
    }

    fn read_startup(&mut self) -> Option<()> {
        let mut length = [0; 4];
        self.stream.read_exact(&mut length).ok()?;
        let mut body = vec![0; u32::from_be_bytes(length) as usize - 4];
        self.stream.read_exact(&mut body).ok()
    }

    fn serve_message(&mut self, tag: u8, body: &[u8]) -> Option<()> {
        if tag == b'Q' && body == b"\0" {
            put_message(&mut self.out, b'I', &[]);
            self.put_ready();
            return self.flush();
        }
        if tag == b'Q' && split_c_string(body).0 == "SHOW health" {
            return self.serve_health_check();
        }
        let behavior = self.current_behavior();
        let error = self.record_message(tag, body, behavior);
        self.apply_behavior(tag, behavior)?;
        self.put_reply(tag, body, behavior, error);
        self.end_message(tag, behavior)
    }

    fn serve_health_check(&mut self) -> Option<()> {
        let position = self.member.position_ms() as f64 / 1e3;
        let report = format!("x0={position:.3},x1={}", u8::from(self.member.primary));
        self.put_row(report.as_bytes());
        self.put_ready();
        self.flush()
    }

    fn current_behavior(&mut self) -> MemberBehavior {
        *self.behavior.get_or_insert_with(|| self.member.next_behavior())
    }

    /// Records the message, and its statement if the member executes it. Returns the SQLSTATE if the reply is
    /// an error.
    fn record_message(&self, tag: u8, body: &[u8], behavior: MemberBehavior) -> Option<&'static str> {
        let (first, rest) = split_c_string(body);
        let description = match tag {
            b'Q' => first.clone(),
            b'P' => format!("P {first}: {}", split_c_string(rest).0),
            b'B' => format!("B {}", split_c_string(rest).0),
            _ => char::from(tag).into(),
        };
        let statement = match tag {
            b'Q' => first,
            _ => self.bound.get(&first).cloned().unwrap_or_default(),
        };
        let error = match behavior {
            _ if statement.starts_with("INSERT") && !self.member.primary => Some("25006"),
            MemberBehavior::ServeError(code) => Some(code),
            _ => None,
        };
        let is_executed = !self.failed && is_execution(tag) && error.is_none();
        self.member.record_message(description, is_executed.then_some(statement));
        error
    }

    /// Carries out a planned fault or delay before the regular reply, or instead of it.
    fn apply_behavior(&mut self, tag: u8, behavior: MemberBehavior) -> Option<()> {
        match behavior {
            MemberBehavior::HangOn(trigger) if trigger == tag => {
                let _ = self.events.send(MemberEvent::Hanging);
                self.read_until_closed()
            }
            MemberBehavior::ResetOn(trigger) if trigger == tag => None,
            MemberBehavior::SendRaw(bytes) if is_execution(tag) => {
                self.out.extend(bytes);
                self.stream.write_all(&self.out).ok()?;
                self.read_until_closed()
            }
            MemberBehavior::HangMidReply if is_execution(tag) => {
                self.out.extend(b"D\0\0\0\x20half");
                self.stream.write_all(&self.out).ok()?;
                let _ = self.events.send(MemberEvent::Hanging);
                self.read_until_closed()
            }
            MemberBehavior::HangAfterReplyOf(bytes) if tag == b'S' && self.out.len() > bytes => {
                self.flush()?;
                self.read_until_closed()
            }
            MemberBehavior::HoldReply(_) if is_execution(tag) => self.wait_for_release(),
            MemberBehavior::HoldOn(trigger) if trigger == tag => self.wait_for_release(),
            _ => Some(()),
        }
    }

    /// Reports [`MemberEvent::ReplyHeld`], and waits until the reply is released.
    fn wait_for_release(&self) -> Option<()> {
        let _ = self.events.send(MemberEvent::ReplyHeld);
        self.member.wait_for_release();
        Some(())
    }

    /// Reads and discards messages until the proxy closes the connection.
    fn read_until_closed(&mut self) -> Option<()> {
        while read_message(&mut self.stream).is_some() {}
        None
    }

    fn put_reply(&mut self, tag: u8, body: &[u8], behavior: MemberBehavior, error: Option<&str>) {
        if self.failed {
            return;
        }
        let value = match behavior {
            MemberBehavior::ServeValue(value) | MemberBehavior::HoldReply(value) => value.into(),
            _ => self.member.value(),
        };
        let (first, rest) = split_c_string(body);
        match (tag, error) {
            (b'Q' | b'E', Some(code)) => {
                let fields = format!("SERROR\0C{code}\0Mplanned\0\0");
                put_message(&mut self.out, b'E', fields.as_bytes());
                self.failed = true;
            }
            (b'Q', _) => self.put_row(value.as_bytes()),
            (b'P', _) => {
                self.prepared.insert(first, split_c_string(rest).0);
                put_message(&mut self.out, b'1', &[]);
            }
            (b'B', _) => {
                let name = split_c_string(rest).0;
                let Some(sql) = self.prepared.get(&name) else {
                    panic!("statement {name} is not prepared on this connection")
                };
                self.bound.insert(first, sql.clone());
                put_message(&mut self.out, b'2', &[]);
            }
            (b'D', _) => {
                if body[0] == b'S' {
                    put_message(&mut self.out, b't', &[0, 0]);
                }
                put_message(&mut self.out, b'n', &[]);
            }
            (b'E', _) => self.put_data_and_completion(value.as_bytes()),
            (b'C', _) => put_message(&mut self.out, b'3', &[]),
            _ => {}
        }
    }

    /// Sends the reply after a Flush or the last message of a request. After the last message, the request
    /// ends.
    fn end_message(&mut self, tag: u8, behavior: MemberBehavior) -> Option<()> {
        if ends_request(tag) {
            self.put_ready();
            self.behavior = None;
            self.failed = false;
            self.bound.clear();
            if let MemberBehavior::ServeThenSend(bytes) = behavior {
                self.out.extend(bytes);
            }
        }
        if ends_request(tag) || tag == b'H' {
            self.flush()?;
        }
        self.drop_on_next_message = behavior == MemberBehavior::ServeThenDrop && ends_request(tag);
        if behavior == MemberBehavior::ServeThenClose && ends_request(tag) {
            return None;
        }
        Some(())
    }

    fn flush(&mut self) -> Option<()> {
        self.stream.write_all(&std::mem::take(&mut self.out)).ok()
    }

    /// Appends the reply to a simple query, up to CommandComplete: one row with one column.
    fn put_row(&mut self, value: &[u8]) {
        put_message(&mut self.out, b'T', b"\0\x01v\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01");
        self.put_data_and_completion(value);
    }

    fn put_data_and_completion(&mut self, value: &[u8]) {
        let length = (value.len() as u32).to_be_bytes();
        put_message(&mut self.out, b'D', &[&[0, 1][..], &length, value].concat());
        put_message(&mut self.out, b'C', b"DONE\0");
    }

    fn put_ready(&mut self) {
        let recovery = if self.member.primary { "off" } else { "on" };
        put_message(&mut self.out, b'S', format!("recovery\0{recovery}\0").as_bytes());
        put_message(&mut self.out, b'S', format!("lsn_ms\0{}\0", self.member.position_ms()).as_bytes());
        put_message(&mut self.out, b'Z', b"I");
    }
}
