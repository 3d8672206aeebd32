//! The watch on the member list: it starts from what was known, and reconnects for as long as the proxy runs.

use super::clock::from_unix_ms;
use super::{Message, Messages};
use crate::pg::statement::hash;
use crate::{Listed, Member, ServerId};
use serde::{Deserialize, Serialize};
use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// An empty line comes every 2 s: a watch silent for longer has ended without a sign.
const SILENCE: Duration = Duration::from_millis(4500);
const DIAL: Duration = Duration::from_secs(1);
const AGAIN: Duration = Duration::from_millis(200);
/// The longest line, and so the longest list, that is read.
const MAX_LINE: usize = 4 << 20;

/// A list, whole or in part, as discovery and the configuration spell it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct List {
    /// Its version.
    #[serde(default)]
    pub rev: u64,
    /// It is whole.
    #[serde(default)]
    pub all: bool,
    /// Its entries.
    #[serde(default)]
    pub targets: Vec<Target>,
}

/// An entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Target {
    uid: String,
    endpoint: String,
    #[serde(default)]
    pod_group: u32,
    state: String,
    #[serde(default)]
    boot_ms: f64,
    #[serde(default)]
    recovery: String,
}

impl List {
    /// Takes over news: a whole list replaces this one, changes replace their entries.
    pub fn merge(&mut self, news: List) {
        if news.all {
            *self = news;
            return;
        }
        self.rev = news.rev;
        for target in news.targets {
            self.targets.retain(|t| t.uid != target.uid);
            if target.state != "DELETED" {
                self.targets.push(target);
            }
        }
    }

    /// As the core takes it. Entries whose endpoint is no address are left out.
    pub fn members(&self) -> Vec<(Member, SocketAddr)> {
        let entry = |t: &Target| {
            let listed = match t.state.as_str() {
                "SERVING" => Listed::Ready,
                "DRAINING" => Listed::Draining,
                _ => Listed::Gone,
            };
            let gone = SocketAddr::from(([127, 0, 0, 1], 0));
            let address = t.endpoint.parse().ok().or((listed == Listed::Gone).then_some(gone))?;
            let member = Member {
                server: server_id(&t.uid),
                group: t.pod_group,
                zone: 0,
                listed,
                primary_hint: t.recovery == "off",
                started: from_unix_ms(t.boot_ms.max(0.0) as u64),
            };
            Some((member, address))
        };
        self.targets.iter().filter_map(entry).collect()
    }
}

/// The same for the same `uid`, at every proxy and after every restart.
pub fn server_id(uid: &str) -> ServerId {
    ServerId(hash(uid.as_bytes()) & 0xffff_ffff_ffff)
}

/// Watches for ever.
pub fn watch(address: SocketAddr, mut rev: u64, messages: &Messages) {
    loop {
        if let Err(e) = watch_once(address, &mut rev, messages) {
            tracing::warn!(error = %e, "the watch on the member list ended");
        }
        std::thread::sleep(AGAIN);
    }
}

fn watch_once(address: SocketAddr, rev: &mut u64, messages: &Messages) -> Result<()> {
    let stream = TcpStream::connect_timeout(&address, DIAL)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(SILENCE))?;
    let ask = format!("GET /api/targets?stream=1&index={rev} HTTP/1.1\r\nHost: {address}\r\n\r\n");
    (&stream).write_all(ask.as_bytes())?;
    let mut body = Body::open(&stream)?;
    let mut line = Vec::new();
    while let Some(part) = body.next()? {
        for byte in part {
            if byte != b'\n' {
                line.push(byte);
                continue;
            }
            if !line.trim_ascii().is_empty() {
                let list: List = serde_json::from_slice(&line).map_err(Error::other)?;
                *rev = list.rev;
                if messages.send(Message::News(list)).is_err() {
                    return Ok(());
                }
            }
            line.clear();
        }
        if line.len() > MAX_LINE {
            return Err(Error::new(ErrorKind::InvalidData, "line too long"));
        }
    }
    Ok(())
}

/// The body of an HTTP answer, in chunks or to the end of the stream.
struct Body<'a> {
    stream: &'a TcpStream,
    buffer: Vec<u8>,
    chunked: bool,
    /// Bytes left of the present chunk.
    left: usize,
}

impl<'a> Body<'a> {
    fn open(stream: &'a TcpStream) -> Result<Self> {
        let mut body = Body { stream, buffer: Vec::new(), chunked: false, left: 0 };
        loop {
            if !body.fill()? {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            let mut headers = [httparse::EMPTY_HEADER; 32];
            let mut answer = httparse::Response::new(&mut headers);
            let parsed = answer.parse(&body.buffer).map_err(Error::other)?;
            if let httparse::Status::Complete(head) = parsed {
                if answer.code != Some(200) {
                    return Err(Error::other(format!("discovery answered {:?}", answer.code)));
                }
                let chunked = |h: &httparse::Header<'_>| {
                    h.name.eq_ignore_ascii_case("transfer-encoding")
                        && h.value.to_ascii_lowercase().ends_with(b"chunked")
                };
                body.chunked = answer.headers.iter().any(chunked);
                body.buffer.drain(..head);
                return Ok(body);
            }
            if body.buffer.len() > 16 * 1024 {
                return Err(Error::new(ErrorKind::InvalidData, "headers too long"));
            }
        }
    }

    fn fill(&mut self) -> Result<bool> {
        let mut part = [0; 4096];
        let mut stream = self.stream;
        let n = stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..n]);
        Ok(n > 0)
    }

    /// The next bytes of the body; `None` at its end.
    fn next(&mut self) -> Result<Option<Vec<u8>>> {
        loop {
            if !self.chunked || self.left > 0 {
                let n = if self.chunked { self.left.min(self.buffer.len()) } else { self.buffer.len() };
                if n > 0 {
                    self.left = self.left.saturating_sub(n);
                    return Ok(Some(self.buffer.drain(..n).collect()));
                }
            } else {
                // The line break that ends the chunk before stands in front of the next size.
                while self.buffer.first().is_some_and(|b| b"\r\n".contains(b)) {
                    self.buffer.remove(0);
                }
                let size = httparse::parse_chunk_size(&self.buffer);
                let size = size.map_err(|_| Error::new(ErrorKind::InvalidData, "bad chunk"))?;
                if let httparse::Status::Complete((head, size)) = size {
                    self.buffer.drain(..head);
                    self.left = usize::try_from(size).unwrap_or(usize::MAX);
                    if size == 0 {
                        return Ok(None);
                    }
                    continue;
                }
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }
}
