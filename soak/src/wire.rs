//! The messages of the PostgreSQL protocol that emulated clients and members send and read.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::TcpStream;

/// Protocol version 3.0, as the startup message encodes it.
const PROTOCOL_VERSION: u32 = 196_608;
/// Greatest length of a message's body that is read.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Returns the startup message of user `web` and database `orders`.
pub fn startup_message() -> Vec<u8> {
    let parameters = b"user\0web\0database\0orders\0\0";
    let length = 8 + parameters.len() as u32;
    [&length.to_be_bytes()[..], &PROTOCOL_VERSION.to_be_bytes(), parameters].concat()
}

/// Encodes a message with a tag.
pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let length = 4 + body.len() as u32;
    [&[tag][..], &length.to_be_bytes(), body].concat()
}

/// Encodes a simple query.
pub fn query(text: &str) -> Vec<u8> {
    message(b'Q', &[text.as_bytes(), b"\0"].concat())
}

/// Reads a message and returns its tag and its body.
pub fn read_message(stream: &mut TcpStream) -> Result<(u8, Vec<u8>)> {
    let mut tag = [0];
    stream.read_exact(&mut tag)?;
    Ok((tag[0], read_body(stream)?))
}

/// Reads the length and the body of a message without a tag, such as the startup message. Fails with
/// `InvalidData` if the body is longer than 1 MiB.
pub fn read_body(stream: &mut TcpStream) -> Result<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let length = (u32::from_be_bytes(length) as usize).saturating_sub(4);
    if length > MAX_MESSAGE_BYTES {
        return Err(Error::new(ErrorKind::InvalidData, "message is longer than 1 MiB"));
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    Ok(body)
}

/// The reply to a simple query.
#[derive(Debug, PartialEq, Eq)]
pub enum Reply {
    /// A row; the value of its first column.
    Row(String),
    /// An ErrorResponse; its SQLSTATE.
    Error(String),
    /// An EmptyQueryResponse.
    Empty,
}

/// Reads the reply to a simple query, up to ReadyForQuery or a fatal error. Fails with `InvalidData` if
/// ReadyForQuery comes without a reply before.
pub fn read_reply(stream: &mut TcpStream) -> Result<Reply> {
    let mut reply = None;
    loop {
        let (tag, body) = read_message(stream)?;
        match tag {
            b'D' => reply = Some(Reply::Row(String::from_utf8_lossy(&body[6.min(body.len())..]).into())),
            b'E' => {
                let code = body.split(|byte| *byte == 0).find_map(|field| field.strip_prefix(b"C"));
                let error = Reply::Error(String::from_utf8_lossy(code.unwrap_or_default()).into());
                // The server closes the connection after a fatal error and sends no ReadyForQuery.
                if body.starts_with(b"SFATAL\0") {
                    return Ok(error);
                }
                reply = Some(error);
            }
            b'I' => reply = Some(Reply::Empty),
            b'Z' => {
                return reply.ok_or_else(|| {
                    Error::new(ErrorKind::InvalidData, "expected a reply before ReadyForQuery, got none")
                });
            }
            _ => {}
        }
    }
}

/// Splits a zero-terminated string off.
pub fn split_c_string(bytes: &[u8]) -> (String, &[u8]) {
    let length = bytes.iter().position(|byte| *byte == 0).unwrap_or(bytes.len());
    let rest = bytes.get(length + 1..).unwrap_or_default();
    (String::from_utf8_lossy(&bytes[..length]).into_owned(), rest)
}

/// Appends a member's parameters: its role, and its position as a Unix time in milliseconds.
pub fn append_parameters(bytes: &mut Vec<u8>, primary: bool, position_ms: u64) {
    let recovery = if primary { "off" } else { "on" };
    bytes.extend(message(b'S', format!("recovery\0{recovery}\0").as_bytes()));
    bytes.extend(message(b'S', format!("lsn_ms\0{position_ms}\0").as_bytes()));
}

/// A member's reply to a simple query.
pub struct MemberReply<'a> {
    /// The value, or the SQLSTATE of an error.
    pub result: std::result::Result<&'a str, &'a str>,
    /// Whether the member is primary, sent as parameter `recovery`.
    pub primary: bool,
    /// The Unix time in milliseconds up to which the member has applied the log, sent as parameter `lsn_ms`.
    pub position_ms: u64,
}

impl MemberReply<'_> {
    /// Writes the reply with the member's parameters and ReadyForQuery.
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
        append_parameters(&mut bytes, self.primary, self.position_ms);
        bytes.extend(message(b'Z', b"I"));
        stream.write_all(&bytes)
    }
}
