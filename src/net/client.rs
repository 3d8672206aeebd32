//! A client's connection: one thread reads, one writes. Neither decides anything.

use super::clock::Clock;
use super::{Message, Messages, spawn};
use crate::front::ClientId;
use crate::front::Said;
use crate::front::platform::{Asked, Query};
use crate::front::postgres::Batch;
use crate::pg::{self, Frames, Malformed};
use crate::{Micros, Settings};
use crossbeam_channel::{Receiver, Sender, bounded};
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Commands that one client may have unanswered before its reader waits; a long one counts as several.
const AHEAD: usize = 16;
/// What counts as one command.
const SHARE: usize = 16 * 1024;
/// Answers that may wait for one client's socket, and bytes that may wait for all; with more, a client that
/// does not read is cut off.
const UNWRITTEN: usize = 32;
const UNWRITTEN_BYTES: usize = 32 << 20;
/// A client that takes nothing for this long is cut off.
const STUCK: Duration = Duration::from_secs(10);

/// Messages and bytes that may come before a Sync.
const UNIT_MESSAGES: usize = 1024;
const UNIT_BYTES: usize = 256 * 1024;

/// What all writing threads share. Once the last has ended, the receiver at the other end of `alive` is told.
#[derive(Clone)]
pub struct Writers {
    /// Bytes that wait for sockets.
    pub unwritten: Arc<AtomicUsize>,
    /// Held, never used.
    pub alive: Sender<()>,
}

/// How a listener's clients talk.
#[derive(Clone)]
pub enum Dialect {
    /// Simple queries, as the platform words them.
    Platform(Arc<Settings>),
    /// Extended queries.
    Postgres,
}

/// The reducer's end of a client's connection.
pub struct Handle {
    answers: Sender<Vec<u8>>,
    credits: Receiver<usize>,
    /// Bytes that wait for sockets, of all clients.
    unwritten: Arc<AtomicUsize>,
    stream: Arc<TcpStream>,
    /// It came in on the extended listener.
    pub extended: bool,
}

impl Handle {
    /// Starts the two threads of a connection; `None` where there are none for it.
    pub fn open(
        id: ClientId,
        stream: TcpStream,
        dialect: Dialect,
        clock: Clock,
        messages: Messages,
        writers: Writers,
    ) -> Option<Handle> {
        let extended = matches!(dialect, Dialect::Postgres);
        let _ = stream.set_nodelay(true);
        let _ = stream.set_write_timeout(Some(STUCK));
        let stream = Arc::new(stream);
        let (answers, queue) = bounded::<Vec<u8>>(UNWRITTEN);
        let unwritten = writers.unwritten.clone();
        let (spend, credits) = bounded(AHEAD);
        let writes = stream.clone();
        spawn("client-write", move || {
            while let Ok(bytes) = queue.recv() {
                let written = (&*writes).write_all(&bytes);
                writers.unwritten.fetch_sub(bytes.len(), Ordering::Relaxed);
                if written.is_err() {
                    break;
                }
            }
            while let Ok(bytes) = queue.try_recv() {
                writers.unwritten.fetch_sub(bytes.len(), Ordering::Relaxed);
            }
            // Ends the reader too.
            let _ = writes.shutdown(Shutdown::Both);
        })
        .ok()?;
        let reads = stream.clone();
        spawn("client-read", move || {
            let mut reader = Reader { id, clock, messages, spend, frames: Frames::default() };
            match dialect {
                Dialect::Platform(settings) => {
                    let end = reader
                        .opened(&reads, Message::Client)
                        .unwrap_or_else(|| reader.queries(&reads, &settings).unwrap_or_else(Said::Malformed));
                    reader.say(Message::Client, end);
                }
                Dialect::Postgres => {
                    let end = reader
                        .opened(&reads, Message::Extended)
                        .unwrap_or_else(|| reader.batches(&reads).unwrap_or_else(Said::Malformed));
                    reader.say(Message::Extended, end);
                }
            }
        })
        .ok()?;
        Some(Handle { answers, credits, unwritten, stream, extended })
    }

    /// Hands bytes to the writer; `false` if the client does not read.
    pub fn write(&self, bytes: Vec<u8>) -> bool {
        let length = bytes.len();
        let before = self.unwritten.fetch_add(length, Ordering::Relaxed);
        let queued = before + length <= UNWRITTEN_BYTES && self.answers.try_send(bytes).is_ok();
        if !queued {
            self.unwritten.fetch_sub(length, Ordering::Relaxed);
        }
        queued
    }

    /// Lets the client send one more command.
    pub fn credit(&self) {
        // A command's first token says how many it took.
        let took = self.credits.try_recv().unwrap_or(0);
        for _ in 1..took {
            let _ = self.credits.try_recv();
        }
    }

    /// Cuts the connection at once, whatever is unwritten.
    pub fn cut(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

struct Reader {
    id: ClientId,
    clock: Clock,
    messages: Messages,
    spend: Sender<usize>,
    frames: Frames,
}

/// How what a client said is wrapped for the loop.
type Wrap<C> = fn(ClientId, Said<C>) -> Message;

impl Reader {
    fn say<C>(&self, wrap: Wrap<C>, said: Said<C>) -> bool {
        self.messages.send(wrap(self.id, said)).is_ok()
    }

    /// Says a command once the client may have another one unanswered.
    fn command<C>(&self, wrap: Wrap<C>, command: C, size: usize) -> bool {
        let tokens = (1 + size / SHARE).min(AHEAD);
        let spent = (0..tokens).all(|n| self.spend.send(if n == 0 { tokens } else { 0 }).is_ok());
        spent && self.say(wrap, Said::Command(command))
    }

    /// Reads up to the startup message; returns how the connection ended if it did.
    fn opened<C>(&mut self, stream: &TcpStream, wrap: Wrap<C>) -> Option<Said<C>> {
        loop {
            match self.frames.opening() {
                Err(e) => return Some(Said::Malformed(e)),
                Ok(Some(opening)) => {
                    let started = opening == pg::Opening::Startup;
                    let last = matches!(opening, pg::Opening::Cancel { .. });
                    if !self.say(wrap, Said::Opening(opening)) || last {
                        return Some(Said::Gone);
                    }
                    if started {
                        return None;
                    }
                }
                Ok(None) => match self.frames.fill(stream) {
                    Ok(true) => {}
                    _ => return Some(Said::Gone),
                },
            }
        }
    }

    fn queries(&mut self, stream: &TcpStream, settings: &Settings) -> Result<Said<Query>, Malformed> {
        let mut at: Micros = self.clock.now();
        loop {
            match self.frames.message()? {
                Some((b'Q', message)) => {
                    let (text, _) = pg::cstr(pg::body(message)).ok_or(Malformed("query without an end"))?;
                    if text.len() + 6 != message.len() {
                        return Err(Malformed("bytes behind the query's end"));
                    }
                    let query = Query { at, text: text.to_vec(), fields: Asked::read(text, settings) };
                    let size = query.text.len();
                    if !self.command(Message::Client, query, size) {
                        return Ok(Said::Gone);
                    }
                }
                Some((b'X', _)) => return Ok(Said::Terminate),
                Some((b'P' | b'B' | b'E' | b'D' | b'C' | b'H' | b'S' | b'F', _)) => {
                    return Ok(Said::Unsupported);
                }
                Some(_) => return Err(Malformed("unknown message type")),
                None => match self.frames.fill(stream) {
                    Ok(true) => at = self.clock.now(),
                    _ => return Ok(Said::Gone),
                },
            }
        }
    }

    fn batches(&mut self, stream: &TcpStream) -> Result<Said<Batch>, Malformed> {
        let mut at: Micros = self.clock.now();
        let (mut messages, mut size) = (Vec::new(), 0);
        loop {
            match self.frames.message()? {
                Some((end @ (b'S' | b'H' | b'Q'), message)) => {
                    if end == b'Q' {
                        if !messages.is_empty() {
                            return Err(Malformed("a query amid extended messages"));
                        }
                        size = message.len();
                        messages.push(message.to_vec());
                    } else if message.len() != 5 {
                        return Err(Malformed("bytes where none belong"));
                    }
                    let batch = Batch { at, messages: std::mem::take(&mut messages), end };
                    if !self.command(Message::Extended, batch, size) {
                        return Ok(Said::Gone);
                    }
                    size = 0;
                }
                Some((b'P' | b'B' | b'E' | b'D' | b'C', message)) => {
                    size += message.len();
                    if size > UNIT_BYTES || messages.len() >= UNIT_MESSAGES {
                        return Err(Malformed("too much before a Sync"));
                    }
                    messages.push(message.to_vec());
                }
                Some((b'X', _)) => return Ok(Said::Terminate),
                Some(_) => return Err(Malformed("unknown message type")),
                None => match self.frames.fill(stream) {
                    Ok(true) => at = self.clock.now(),
                    _ => return Ok(Said::Gone),
                },
            }
        }
    }
}
