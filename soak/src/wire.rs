//! The few messages of the PostgreSQL protocol that clients and members need.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::TcpStream;

/// The protocol version of the startup message.
const PROTOCOL_VERSION: u32 = 196_608;
/// The longest message that is read.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// The startup message.
pub fn startup_message() -> Vec<u8> {
    let parameters = b"user\0web\0database\0orders\0\0";
    let length = 8 + parameters.len() as u32;
    [&length.to_be_bytes()[..], &PROTOCOL_VERSION.to_be_bytes(), parameters].concat()
}

/// A message with a tag.
pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let length = 4 + body.len() as u32;
    [&[tag][..], &length.to_be_bytes(), body].concat()
}

/// A simple query.
pub fn query(text: &str) -> Vec<u8> {
    message(b'Q', &[text.as_bytes(), b"\0"].concat())
}

/// Reads a message: its tag and its body.
pub fn read_message(stream: &mut TcpStream) -> Result<(u8, Vec<u8>)> {
    let mut tag = [0];
    stream.read_exact(&mut tag)?;
    Ok((tag[0], read_body(stream)?))
}

/// Reads a body with its length in front, as the startup message is.
pub fn read_body(stream: &mut TcpStream) -> Result<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let length = (u32::from_be_bytes(length) as usize).saturating_sub(4);
    if length > MAX_MESSAGE_BYTES {
        return Err(Error::new(ErrorKind::InvalidData, "message too long"));
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    Ok(body)
}

/// The reply to a query, up to ReadyForQuery.
#[derive(Debug, PartialEq, Eq)]
pub enum Reply {
    /// One row of one column.
    Row(String),
    /// An error with this SQLSTATE.
    Error(String),
    /// EmptyQueryResponse.
    Empty,
}

/// Reads the reply to a query.
pub fn read_reply(stream: &mut TcpStream) -> Result<Reply> {
    let mut reply = None;
    loop {
        let (tag, body) = read_message(stream)?;
        match tag {
            b'D' => reply = Some(Reply::Row(String::from_utf8_lossy(&body[6.min(body.len())..]).into())),
            b'E' => {
                let code = body.split(|byte| *byte == 0).find_map(|field| field.strip_prefix(b"C"));
                let error = Reply::Error(String::from_utf8_lossy(code.unwrap_or_default()).into());
                // A fatal error needs no ReadyForQuery.
                if body.starts_with(b"SFATAL\0") {
                    return Ok(error);
                }
                reply = Some(error);
            }
            b'I' => reply = Some(Reply::Empty),
            b'Z' => return reply.ok_or_else(|| Error::new(ErrorKind::InvalidData, "ready without a reply")),
            _ => {}
        }
    }
}

/// A member's reply to a query.
pub struct MemberReply<'a> {
    /// The value or the SQLSTATE.
    pub result: std::result::Result<&'a str, &'a str>,
    /// The member is primary.
    pub primary: bool,
    /// How far it has applied the log, in Unix milliseconds.
    pub position_ms: u64,
}

impl MemberReply<'_> {
    /// Writes the reply.
    pub fn write(&self, stream: &mut TcpStream) -> Result<()> {
        let mut bytes = Vec::new();
        match self.result {
            Ok(value) => {
                let column = b"\0\x01v\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01";
                bytes.extend(message(b'T', column));
                let length = (value.len() as u32).to_be_bytes();
                bytes.extend(message(b'D', &[&[0, 1][..], &length, value.as_bytes()].concat()));
                bytes.extend(message(b'C', b"DONE\0"));
            }
            Err(code) => {
                bytes.extend(message(b'E', format!("SERROR\0C{code}\0Memulated\0\0").as_bytes()));
            }
        }
        let recovery = if self.primary { "off" } else { "on" };
        bytes.extend(message(b'S', format!("recovery\0{recovery}\0").as_bytes()));
        bytes.extend(message(b'S', format!("lsn_ms\0{}\0", self.position_ms).as_bytes()));
        bytes.extend(message(b'Z', b"I"));
        stream.write_all(&bytes)
    }
}
