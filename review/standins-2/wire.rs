//! Messages of PostgreSQL's wire protocol.

use std::io::{Read, Result, Write};
use std::net::TcpStream;

/// Appends a message: its type, its length and its body.
pub fn put(out: &mut Vec<u8>, tag: u8, body: &[u8]) {
    out.push(tag);
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
}

/// Reads a message; returns its type and its body.
pub fn read_message(stream: &mut TcpStream) -> Result<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head)?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    let mut body = vec![0; length.saturating_sub(4)];
    stream.read_exact(&mut body)?;
    Ok((head[0], body))
}

/// Splits a zero-terminated text off; returns it and the rest.
pub fn c_string(bytes: &[u8]) -> (String, &[u8]) {
    let end = bytes.iter().position(|byte| *byte == 0).unwrap_or(bytes.len());
    (String::from_utf8_lossy(&bytes[..end]).into_owned(), bytes.get(end + 1..).unwrap_or_default())
}

/// Writes the startup message (user `web`, database `orders`).
pub fn write_startup(stream: &mut TcpStream) -> Result<()> {
    let body = b"\0\x03\0\0user\0web\0database\0orders\0\0";
    stream.write_all(&(body.len() as u32 + 4).to_be_bytes())?;
    stream.write_all(body)
}

pub fn parse(out: &mut Vec<u8>, name: &str, sql: &str) {
    put(out, b'P', &[name.as_bytes(), &[0], sql.as_bytes(), &[0, 0, 0]].concat());
}

pub fn bind(out: &mut Vec<u8>, statement: &str, values: &[&str]) {
    let mut body = vec![0];
    body.extend(statement.as_bytes());
    body.extend([0, 0, 0]);
    body.extend((values.len() as u16).to_be_bytes());
    for value in values {
        body.extend((value.len() as u32).to_be_bytes());
        body.extend(value.as_bytes());
    }
    body.extend([0, 0]);
    put(out, b'B', &body);
}

pub fn execute(out: &mut Vec<u8>) {
    put(out, b'E', &[0, 0, 0, 0, 0]);
}

pub fn sync(out: &mut Vec<u8>) {
    put(out, b'S', &[]);
}

/// The values of a Bind message, behind the names of the portal and the statement.
pub fn bind_values(mut rest: &[u8]) -> Vec<String> {
    fn number(rest: &mut &[u8]) -> usize {
        let value = u16::from_be_bytes([rest[0], rest[1]]) as usize;
        *rest = &rest[2..];
        value
    }
    let formats = number(&mut rest);
    rest = &rest[2 * formats..];
    let count = number(&mut rest);
    let mut values = Vec::new();
    for _ in 0..count {
        let length = i32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]);
        rest = &rest[4..];
        let length = length.max(0) as usize;
        values.push(String::from_utf8_lossy(&rest[..length]).into_owned());
        rest = &rest[length..];
    }
    values
}
