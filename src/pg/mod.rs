//! The parts of PostgreSQL's wire protocol, version 3, that both fronts and the member links need:
//! an incremental, length-checked reader of messages and builders for the ones written here.
//!
//! Nothing here does I/O but [`Frames::fill`], and nothing here panics on any input.

pub mod statement;

use std::io::{ErrorKind, Read};
use std::ops::RangeInclusive;

/// The longest message that is read: a value of 64 KiB as hexadecimal digits, with room around it.
pub const MAX_MESSAGE: usize = 256 * 1024;
/// The longest message of a server that is no row: errors, notices, descriptions.
const MAX_TOLD: usize = 16 * 1024;
/// What is asked of the socket at once.
const CHUNK: usize = 16 * 1024;

/// SQLSTATE: the message or the statement is not what the protocol allows.
pub const PROTOCOL_VIOLATION: &str = "08P01";
/// SQLSTATE: the proxy is not to be sent clients.
pub const OUT_OF_SERVICE: &str = "57P03";
/// SQLSTATE: refused, trying again is harmless.
pub const TOO_MANY: &str = "53300";
/// SQLSTATE: failed, and it may have taken effect.
pub const UNKNOWN_EFFECT: &str = "08007";
/// SQLSTATE: failed without having taken effect.
pub const CANCELED: &str = "57014";
/// SQLSTATE: not supported on this listener.
pub const NOT_SUPPORTED: &str = "0A000";

/// A message that breaks the protocol, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

/// What a client may open a connection with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Opening {
    /// The startup message of version 3.
    Startup,
    /// A question for TLS or GSS encryption, which is answered `N`.
    Encryption,
    /// A request to cancel what another connection runs.
    Cancel {
        /// The connection's process id.
        process: u32,
        /// Its secret.
        secret: u32,
    },
}

/// Bytes as they come off a socket, and the messages in them.
#[derive(Default)]
pub struct Frames {
    buffer: Vec<u8>,
    start: usize,
}

impl Frames {
    /// Reads once; `false` at the end of the stream. Waits as the stream does.
    pub fn fill(&mut self, mut stream: impl Read) -> std::io::Result<bool> {
        if self.start > 0 {
            self.buffer.drain(..self.start);
            self.start = 0;
        }
        if self.buffer.is_empty() && self.buffer.capacity() > 4 * CHUNK {
            // A long message must not hold its memory for as long as the connection lasts.
            self.buffer = Vec::new();
        }
        let at = self.buffer.len();
        self.buffer.resize(at + CHUNK, 0);
        let got = loop {
            match stream.read(&mut self.buffer[at..]) {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                other => break other,
            }
        };
        self.buffer.truncate(at + *got.as_ref().unwrap_or(&0));
        got.map(|n| n > 0)
    }

    /// Takes over bytes that were read elsewhere.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.start);
        self.start = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// Bytes that have come and were not taken yet.
    pub fn rest(&self) -> &[u8] {
        &self.buffer[self.start..]
    }

    fn length(&self, at: usize) -> Option<usize> {
        let b = self.rest().get(at..at + 4)?;
        Some(u32::from_be_bytes([b[0], b[1], b[2], b[3]]) as usize)
    }

    /// The opening packet, which has no type byte.
    pub fn opening(&mut self) -> Result<Option<Opening>, Malformed> {
        let Some(length) = self.length(0) else { return Ok(None) };
        if !(8..=10_000).contains(&length) {
            return Err(Malformed("opening packet of impossible length"));
        }
        let Some(code) = self.length(4).filter(|_| self.rest().len() >= length) else { return Ok(None) };
        let (process, secret) = (self.length(8), self.length(12));
        let opening = match (code, length) {
            (80877103 | 80877104, 8) => Opening::Encryption,
            (80877102, 16) => match (process, secret) {
                (Some(process), Some(secret)) => {
                    Opening::Cancel { process: process as u32, secret: secret as u32 }
                }
                _ => return Err(Malformed("cancel request without a key")),
            },
            (196608..=196699, 9..) if self.rest()[length - 1] == 0 => Opening::Startup,
            _ => return Err(Malformed("unknown opening packet")),
        };
        self.start += length;
        Ok(Some(opening))
    }

    /// The next whole message: its type, and all its bytes with type and length.
    pub fn message(&mut self) -> Result<Option<(u8, &[u8])>, Malformed> {
        self.message_of(|_| 4..=MAX_MESSAGE)
    }

    /// The same from a server. What none can send is refused as soon as its head has come: a member that
    /// claims 3 GB, or talks noise, is not waited for.
    pub fn reply(&mut self) -> Result<Option<(u8, &[u8])>, Malformed> {
        if let Some(&[b'D', _, _, _, _, _, _, a, b, c, d]) = self.rest().get(..11)
            && i32::from_be_bytes([a, b, c, d]) > self.length(1).map_or(0, |l| l as i32 - 10)
        {
            return Err(Malformed("value longer than its row"));
        }
        self.message_of(|tag| match tag {
            b'Z' => 5..=5,
            b'1' | b'2' | b'3' | b'n' | b's' | b'I' => 4..=4,
            b'C' => 6..=128,
            b'D' => 6..=MAX_MESSAGE,
            b'E' | b'N' | b'S' | b'T' | b't' | b'R' | b'K' | b'v' => 4..=MAX_TOLD,
            _ => 0..=0,
        })
    }

    fn message_of(
        &mut self,
        lengths: impl Fn(u8) -> RangeInclusive<usize>,
    ) -> Result<Option<(u8, &[u8])>, Malformed> {
        let Some(&tag) = self.rest().first() else { return Ok(None) };
        let lengths = lengths(tag);
        if *lengths.end() == 0 {
            return Err(Malformed("message of an unknown type"));
        }
        let Some(length) = self.length(1) else { return Ok(None) };
        if length < *lengths.start() {
            return Err(Malformed("message shorter than its length field"));
        }
        if length > *lengths.end() {
            return Err(Malformed("message too long"));
        }
        if self.rest().len() <= length {
            return Ok(None);
        }
        let from = self.start;
        self.start += length + 1;
        Ok(Some((tag, &self.buffer[from..=from + length])))
    }
}

/// The body of a message that [`Frames::message`] returned.
pub fn body(message: &[u8]) -> &[u8] {
    message.get(5..).unwrap_or_default()
}

/// Splits off a zero-terminated string.
pub fn cstr(body: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = body.iter().position(|b| *b == 0)?;
    Some((&body[..end], &body[end + 1..]))
}

/// The field of this type in an ErrorResponse's body.
pub fn error_field(mut body: &[u8], field: u8) -> Option<&[u8]> {
    while let Some((&kind, rest)) = body.split_first()
        && kind != 0
    {
        let (value, rest) = cstr(rest)?;
        if kind == field {
            return Some(value);
        }
        body = rest;
    }
    None
}

/// Whether the body of a server's message is what its type wants, to the last byte.
pub fn well_formed(tag: u8, body: &[u8]) -> bool {
    match tag {
        b'Z' => matches!(body, [b'I' | b'T' | b'E']),
        b'1' | b'2' | b'3' | b'n' | b's' | b'I' => body.is_empty(),
        b'C' => cstr(body).is_some_and(|(tag, rest)| !tag.is_empty() && readable(tag) && rest.is_empty()),
        b'E' | b'N' => errors(body).is_some(),
        b'S' => cstr(body).and_then(|(_, rest)| cstr(rest)).is_some_and(|(_, rest)| rest.is_empty()),
        b't' => body.split_at_checked(2).is_some_and(|(n, rest)| rest.len() == 4 * count(n)),
        b'T' => columns(body, |at| {
            let (name, rest) = cstr(at)?;
            readable(name).then_some(())?;
            rest.get(18..)
        }),
        b'D' => columns(body, |at| {
            let (head, rest) = at.split_at_checked(4)?;
            match i32::from_be_bytes([head[0], head[1], head[2], head[3]]) {
                -1 => Some(rest),
                length => rest.get(usize::try_from(length).ok()?..),
            }
        }),
        _ => false,
    }
}

fn readable(text: &[u8]) -> bool {
    text.iter().all(|b| (b' '..=b'~').contains(b))
}

fn count(head: &[u8]) -> usize {
    usize::from(u16::from_be_bytes([head[0], head[1]]))
}

fn columns(body: &[u8], next: impl Fn(&[u8]) -> Option<&[u8]>) -> bool {
    let Some((head, mut rest)) = body.split_at_checked(2) else { return false };
    for _ in 0..count(head) {
        let Some(behind) = next(rest) else { return false };
        rest = behind;
    }
    rest.is_empty()
}

/// The SQLSTATE of an ErrorResponse or NoticeResponse whose fields are whole.
pub fn errors(body: &[u8]) -> Option<&[u8]> {
    let (last, mut fields) = body.split_last()?;
    while let Some((_, rest)) = fields.split_first().filter(|(kind, _)| **kind != 0) {
        fields = cstr(rest)?.1;
    }
    let code = error_field(body, b'C').filter(|c| c.len() == 5 && c.iter().all(u8::is_ascii_alphanumeric));
    code.filter(|_| *last == 0 && fields.is_empty())
}

/// The value of a DataRow of one column.
pub fn only_column(body: &[u8]) -> Option<&[u8]> {
    let (head, rest) = body.split_at_checked(6)?;
    let length = u32::from_be_bytes([head[2], head[3], head[4], head[5]]) as usize;
    (head[..2] == [0, 1] && rest.len() == length).then_some(rest)
}

/// Appends a message made of these parts.
pub fn put(out: &mut Vec<u8>, tag: u8, parts: &[&[u8]]) {
    let length = 4 + parts.iter().map(|p| p.len()).sum::<usize>();
    out.push(tag);
    out.extend((length as u32).to_be_bytes());
    parts.iter().for_each(|p| out.extend_from_slice(p));
}

/// Appends an ErrorResponse; `wait` is the advice in field D.
pub fn put_error(out: &mut Vec<u8>, severity: &str, code: &str, text: &str, wait: Option<u64>) {
    let text: String = text.chars().filter(|c| *c != '\0').collect();
    let mut fields = format!("S{severity}\0V{severity}\0C{code}\0M{text}\0");
    if let Some(ms) = wait {
        fields.push_str(&format!("D{ms}\0"));
    }
    put(out, b'E', &[fields.as_bytes(), &[0]]);
}

/// Appends a ReadyForQuery outside of any transaction.
pub fn put_ready(out: &mut Vec<u8>) {
    put(out, b'Z', &[b"I"]);
}

/// Appends what a server says to a startup message, up to ReadyForQuery.
pub fn put_greeting(out: &mut Vec<u8>, process: u32, secret: u32) {
    put(out, b'R', &[&[0; 4]]);
    let parameters = [
        ("server_version", "15.0 (liftrelay)"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ];
    for (name, value) in parameters {
        put(out, b'S', &[name.as_bytes(), &[0], value.as_bytes(), &[0]]);
    }
    put(out, b'K', &[&process.to_be_bytes(), &secret.to_be_bytes()]);
    put_ready(out);
}

/// The startup message with which members are greeted.
pub fn startup(user: &str, database: &str) -> Vec<u8> {
    let text = format!("user\0{user}\0database\0{database}\0\0");
    let mut out = ((8 + text.len()) as u32).to_be_bytes().to_vec();
    out.extend(196_608u32.to_be_bytes());
    out.extend(text.as_bytes());
    out
}

/// A simple query.
pub fn query(parts: &[&[u8]]) -> Vec<u8> {
    let mut out = Vec::new();
    let mut all = parts.to_vec();
    all.push(&[0]);
    put(&mut out, b'Q', &all);
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    fn frames(bytes: &[u8]) -> Frames {
        Frames { buffer: bytes.to_vec(), start: 0 }
    }

    #[test]
    fn a_message_is_taken_only_when_whole() {
        let whole = query(&[b"SELECT 1"]);
        for cut in 0..whole.len() {
            assert_eq!(frames(&whole[..cut]).message(), Ok(None), "cut at {cut}");
        }
        let two = [whole.clone(), whole.clone()].concat();
        let mut both = frames(&two);
        assert_eq!(both.message(), Ok(Some((b'Q', &whole[..]))));
        assert_eq!(both.message(), Ok(Some((b'Q', &whole[..]))));
        assert_eq!(both.message(), Ok(None));
    }

    #[test]
    fn impossible_lengths_are_malformed_before_the_rest_has_come() {
        assert!(frames(b"Q\0\0\0\x03").message().is_err());
        assert!(frames(b"Q\xff\0\0\0").message().is_err());
        assert!(frames(&[0, 0, 0, 7]).opening().is_err());
        assert!(frames(&[0x7f, 0, 0, 0]).opening().is_err());
        assert!(frames(&[0, 0, 0, 8, 0, 0, 0, 1]).opening().is_err());
    }

    #[test]
    fn openings_are_told_apart() {
        assert_eq!(frames(&startup("web", "orders")).opening(), Ok(Some(Opening::Startup)));
        assert_eq!(frames(&[0, 0, 0, 8, 4, 210, 22, 47]).opening(), Ok(Some(Opening::Encryption)));
        let cancel = [0, 0, 0, 16, 4, 210, 22, 46, 0, 0, 0, 5, 0, 0, 0, 9];
        assert_eq!(frames(&cancel).opening(), Ok(Some(Opening::Cancel { process: 5, secret: 9 })));
    }

    #[test]
    fn fields_and_columns_are_length_checked() {
        let mut out = Vec::new();
        put_error(&mut out, "ERROR", TOO_MANY, "busy", Some(40));
        assert_eq!(error_field(body(&out), b'C'), Some(&b"53300"[..]));
        assert_eq!(error_field(body(&out), b'D'), Some(&b"40"[..]));
        assert_eq!(error_field(b"Cunterminated", b'C'), None);
        assert_eq!(only_column(&[0, 1, 0, 0, 0, 1, 7]), Some(&[7u8][..]));
        assert_eq!(only_column(&[0, 1, 0, 0, 0, 2, 7]), None);
        assert_eq!(only_column(&[0, 1]), None);
    }
}
