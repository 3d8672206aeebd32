//! The watch on the member list: it starts from what was known, and reconnects for as long as the proxy runs.

use super::clock::from_unix_ms;
use super::{Message, Messages, spawn};
use crate::stable_hash::stable_hash;
use crate::{EndpointEntry, EndpointId, EndpointState};
use serde::{Deserialize, Serialize};
use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

// What discovery has to tell counts as told 6 s after it had it and could be reached, and 6 s after a watch
// fell silent. The longest way there is a silent watch, a wait, a connection that never comes up, a wait, a
// call that hangs, and one more wait: 2.4 + 0.25 + 0.4 + 0.5 + 1 + 1 s.

/// An empty line comes every 2 s: a watch that ended no line for longer has ended without a sign.
const SILENCE: Duration = Duration::from_millis(2400);
/// The agent is on this machine: a connection that is not up by then never comes up.
const DIAL: Duration = Duration::from_millis(400);
/// A call that has told no whole list by then hangs; the next one in a row may take twice as long. Guards
/// against giving up a discovery that is short of room each time just before it answers.
const CALL: Duration = Duration::from_millis(1000);
const CALL_MOST: Duration = Duration::from_millis(2000);
/// The wait before a watch is opened again, and the most that it grows to while nothing is heard. A quarter
/// more or less of it is taken, so that hundreds of proxies do not call in step.
const AGAIN: Duration = Duration::from_millis(200);
const AGAIN_MOST: Duration = Duration::from_millis(800);
const _: () = {
    let waits = (AGAIN.as_millis() + AGAIN.as_millis() * 2 + AGAIN_MOST.as_millis()) * 5 / 4;
    assert!(SILENCE.as_millis() + DIAL.as_millis() + CALL.as_millis() + waits < 5700);
};
/// The longest list that is read.
const MAX_LIST: usize = 4 << 20;

/// The shortest time limit of a read.
const LEAST: Duration = Duration::from_millis(1);

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
    pub fn members(&self) -> Vec<(EndpointEntry, SocketAddr)> {
        let entry = |t: &Target| {
            let listed = match t.state.as_str() {
                "SERVING" => EndpointState::Ready,
                "DRAINING" => EndpointState::Draining,
                _ => EndpointState::Gone,
            };
            let gone = SocketAddr::from(([127, 0, 0, 1], 0));
            let address = t.endpoint.parse().ok().or((listed == EndpointState::Gone).then_some(gone))?;
            let member = EndpointEntry {
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
pub fn server_id(uid: &str) -> EndpointId {
    EndpointId(stable_hash(uid.as_bytes()) & 0xffff_ffff_ffff)
}

/// The number of a watch: the loop takes news of the newest only.
pub type WatchId = u64;

/// The loop's end of a watch.
pub struct Watch {
    /// Its number.
    pub id: WatchId,
    /// Where it leads.
    pub address: SocketAddr,
    /// The present connection; `None` once the watch is ended.
    stream: Arc<Mutex<Option<TcpStream>>>,
    ended: Arc<AtomicBool>,
}

impl Watch {
    /// Starts one behind this version, or, without one, from the whole list: versions of another discovery
    /// tell nothing.
    pub fn start(
        id: WatchId,
        address: SocketAddr,
        rev: Option<u64>,
        seed: u64,
        messages: Messages,
    ) -> Result<Watch> {
        let (stream, ended): (Arc<Mutex<Option<TcpStream>>>, Arc<AtomicBool>) = Default::default();
        let mut watcher = Watcher {
            id,
            address,
            rev,
            heard: false,
            patience: CALL,
            messages,
            stream: stream.clone(),
            ended: ended.clone(),
        };
        spawn("discovery", move || {
            let (mut wait, mut turn) = (AGAIN, seed);
            while !watcher.ended.load(Ordering::SeqCst) {
                if let Err(e) = watcher.once()
                    && !watcher.ended.load(Ordering::SeqCst)
                {
                    tracing::warn!(error = %e, "the watch on the member list ended");
                }
                // Guards against hundreds of proxies that call in step, and ever on, where discovery is short
                // of room: the wait doubles while nothing is heard.
                wait = if std::mem::take(&mut watcher.heard) { AGAIN } else { (wait * 2).min(AGAIN_MOST) };
                turn = stable_hash(&turn.to_be_bytes());
                std::thread::sleep(wait * 3 / 4 + wait * (turn % 1000) as u32 / 2000);
            }
        })?;
        Ok(Watch { id, address, stream, ended })
    }
}

impl Drop for Watch {
    /// Ends it, whatever it waits for.
    fn drop(&mut self) {
        self.ended.store(true, Ordering::SeqCst);
        let slot = self.stream.lock().unwrap_or_else(|e| e.into_inner());
        if let Some(stream) = slot.as_ref() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

struct Watcher {
    id: WatchId,
    address: SocketAddr,
    /// What it has been told; `None` before the first whole list.
    rev: Option<u64>,
    /// Discovery has said something since the last call.
    heard: bool,
    /// How long a call may take to tell the first whole list.
    patience: Duration,
    messages: Messages,
    stream: Arc<Mutex<Option<TcpStream>>>,
    ended: Arc<AtomicBool>,
}

impl Watcher {
    fn once(&mut self) -> Result<()> {
        if self.rev.is_none() {
            self.ask("/api/targets", false)?;
        }
        let rev = self.rev.unwrap_or(0);
        self.ask(&format!("/api/targets?stream=1&index={rev}"), true)
    }

    /// Asks, and hands on what is told: one list, or all that come for as long as the watch lasts.
    fn ask(&mut self, path: &str, watch: bool) -> Result<()> {
        let stream = TcpStream::connect_timeout(&self.address, DIAL)?;
        *self.stream.lock().unwrap_or_else(|e| e.into_inner()) = Some(stream.try_clone()?);
        // Guards against being ended while the connection came up: nobody would cut this one.
        if self.ended.load(Ordering::SeqCst) {
            return Ok(());
        }
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(CALL))?;
        let by = Instant::now() + self.patience;
        let ask = format!("GET {path} HTTP/1.1\r\nHost: {}\r\n\r\n", self.address);
        (&stream).write_all(ask.as_bytes())?;
        let told = self.listen(&stream, by, watch);
        let hung = matches!(&told, Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut));
        self.patience = if hung && !self.heard { (self.patience * 2).min(CALL_MOST) } else { CALL };
        told
    }

    fn listen(&mut self, stream: &TcpStream, mut by: Instant, watch: bool) -> Result<()> {
        let mut body = Body::open(stream, by)?;
        if watch {
            // Where nothing has changed, the first line may be the next empty one.
            by = Instant::now() + SILENCE;
        }
        let mut objects = Objects::default();
        while let Some(part) = body.next(by)? {
            // Guards against bytes that come for ever and end no line.
            let late = Instant::now() > by;
            let mut ended = false;
            for byte in part {
                let Some(object) = objects.take(byte)? else { continue };
                if object.is_empty() && !watch {
                    continue;
                }
                (self.heard, ended) = (true, true);
                by = Instant::now() + SILENCE;
                if !self.news(&object)? || !watch {
                    return Ok(());
                }
            }
            if late && !ended {
                return Err(ErrorKind::TimedOut.into());
            }
        }
        match objects.bytes.is_empty() && watch {
            true => Ok(()),
            false => Err(ErrorKind::UnexpectedEof.into()),
        }
    }

    /// `false` if nobody wants them any more.
    fn news(&mut self, object: &[u8]) -> Result<bool> {
        if self.ended.load(Ordering::SeqCst) {
            return Ok(false);
        }
        if object.is_empty() {
            return Ok(true);
        }
        let list: List = serde_json::from_slice(object).map_err(Error::other)?;
        self.rev = Some(list.rev);
        Ok(self.messages.send(Message::News(self.id, list)).is_ok())
    }
}

/// Cuts a stream of JSON objects apart, however they are broken into lines.
#[derive(Default)]
struct Objects {
    /// The object that has begun.
    bytes: Vec<u8>,
    depth: usize,
    /// Within a string, and behind a backslash there.
    quoted: bool,
    escaped: bool,
}

impl Objects {
    /// Takes a byte, and returns the object that it ends, or nothing for the end of an empty line.
    fn take(&mut self, byte: u8) -> Result<Option<Vec<u8>>> {
        if self.depth == 0 && byte != b'{' {
            return match byte {
                b'\n' => Ok(Some(Vec::new())),
                _ if byte.is_ascii_whitespace() => Ok(None),
                _ => Err(Error::new(ErrorKind::InvalidData, "no JSON object")),
            };
        }
        self.bytes.push(byte);
        if self.bytes.len() > MAX_LIST {
            return Err(Error::new(ErrorKind::InvalidData, "list too long"));
        }
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' if self.quoted => self.escaped = true,
            b'"' => self.quoted = !self.quoted,
            b'{' if !self.quoted => self.depth += 1,
            b'}' if !self.quoted => self.depth -= 1,
            _ => {}
        }
        Ok((self.depth == 0).then(|| std::mem::take(&mut self.bytes)))
    }
}

/// The body of an HTTP answer, in chunks or to the end of the stream.
struct Body<'a> {
    stream: &'a TcpStream,
    buffer: Vec<u8>,
    chunked: bool,
    /// Bytes left of the present chunk, or of a body of stated length.
    left: usize,
    /// Its length is stated.
    sized: bool,
}

impl<'a> Body<'a> {
    fn open(stream: &'a TcpStream, by: Instant) -> Result<Self> {
        let mut body = Body { stream, buffer: Vec::new(), chunked: false, left: 0, sized: false };
        loop {
            if !body.fill(by)? {
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
                let length = answer.headers.iter().find(|h| h.name.eq_ignore_ascii_case("content-length"));
                if let Some(length) = length.filter(|_| !body.chunked) {
                    let length = std::str::from_utf8(length.value).ok().and_then(|l| l.trim().parse().ok());
                    body.left = length.ok_or(Error::new(ErrorKind::InvalidData, "bad length"))?;
                    body.sized = true;
                }
                body.buffer.drain(..head);
                return Ok(body);
            }
            if body.buffer.len() > 16 * 1024 {
                return Err(Error::new(ErrorKind::InvalidData, "headers too long"));
            }
        }
    }

    /// Reads once, until then at the latest; `false` at the end of the stream.
    fn fill(&mut self, by: Instant) -> Result<bool> {
        let mut part = [0; 4096];
        let mut stream = self.stream;
        let n = loop {
            // What has come is read, too, if it is late only because the process stood still.
            let left = by.saturating_duration_since(Instant::now()).max(LEAST);
            stream.set_read_timeout(Some(left))?;
            match stream.read(&mut part) {
                // Guards against a pause of the whole process (SIGSTOP, SIGCONT) passing for the watch's end:
                // a read with a time limit is not taken up again by the system.
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                other => break other?,
            }
        };
        self.buffer.extend_from_slice(&part[..n]);
        Ok(n > 0)
    }

    /// The next bytes of the body, until then at the latest; `None` at its end.
    fn next(&mut self, by: Instant) -> Result<Option<Vec<u8>>> {
        loop {
            if !self.chunked || self.left > 0 {
                if self.sized && self.left == 0 {
                    return Ok(None);
                }
                let limited = self.chunked || self.sized;
                let n = if limited { self.left.min(self.buffer.len()) } else { self.buffer.len() };
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
            if !self.fill(by)? {
                return Ok(None);
            }
        }
    }
}
