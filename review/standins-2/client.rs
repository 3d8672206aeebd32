//! A client: one connection to a proxy, for simple or extended queries.

use super::wire;
use std::io::{Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The answer to one unit, up to ReadyForQuery.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Served, with the values of the rows.
    Served(Vec<String>),
    /// An error, with its SQLSTATE.
    Error(String),
    /// The connection ended, or nothing came in time.
    None(String),
}

impl Answer {
    pub fn is_served(&self) -> bool {
        matches!(self, Answer::Served(_))
    }

    /// Whether the answer says that a further try is harmless.
    pub fn is_refused(&self) -> bool {
        matches!(self, Answer::Error(code) if code == "53300" || code == "57P03")
    }
}

pub struct Client {
    stream: TcpStream,
}

impl Client {
    /// Connects, and reads up to the first ReadyForQuery.
    pub fn connect(address: SocketAddr) -> Result<Client> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        wire::write_startup(&mut stream)?;
        while wire::read_message(&mut stream)?.0 != b'Z' {}
        Ok(Client { stream })
    }

    pub fn send(&mut self, bytes: &[u8]) -> Result<()> {
        self.stream.write_all(bytes)
    }

    /// Sends a simple query and reads its answer.
    pub fn query(&mut self, sql: &str) -> Answer {
        let mut out = Vec::new();
        wire::put(&mut out, b'Q', &[sql.as_bytes(), &[0]].concat());
        match self.send(&out) {
            Ok(()) => self.answer(),
            Err(error) => Answer::None(error.to_string()),
        }
    }

    /// Reads the answer to one unit.
    pub fn answer(&mut self) -> Answer {
        let mut rows = Vec::new();
        let mut failed = None;
        loop {
            match wire::read_message(&mut self.stream) {
                Err(error) => return failed.unwrap_or(Answer::None(error.to_string())),
                Ok((b'Z', _)) => return failed.unwrap_or(Answer::Served(rows)),
                Ok((b'D', body)) => {
                    rows.push(String::from_utf8_lossy(body.get(6..).unwrap_or_default()).into_owned());
                }
                Ok((b'E', body)) => {
                    let code = error_code(&body);
                    failed = Some(Answer::Error(code));
                }
                Ok(_) => {}
            }
        }
    }
}

fn error_code(mut body: &[u8]) -> String {
    while let Some((&kind, rest)) = body.split_first().filter(|(kind, _)| **kind != 0) {
        let (text, rest) = wire::c_string(rest);
        if kind == b'C' {
            return text;
        }
        body = rest;
    }
    "?".into()
}
