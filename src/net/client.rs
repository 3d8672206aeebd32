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
use std::time::Duration;

/// Commands that one client may have unanswered before its reader waits.
const AHEAD: usize = 16;
/// Answers that may wait for one client's socket; with more the client does not read.
const UNWRITTEN: usize = 64;
/// A client that takes nothing for this long is cut off.
const STUCK: Duration = Duration::from_secs(10);

/// Messages and bytes that may come before a Sync.
const UNIT_MESSAGES: usize = 1024;
const UNIT_BYTES: usize = 1 << 20;

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
    credits: Receiver<()>,
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
    ) -> Option<Handle> {
        let extended = matches!(dialect, Dialect::Postgres);
        let _ = stream.set_nodelay(true);
        let _ = stream.set_write_timeout(Some(STUCK));
        let stream = Arc::new(stream);
        let (answers, unwritten) = bounded::<Vec<u8>>(UNWRITTEN);
        let (spend, credits) = bounded(AHEAD);
        let writes = stream.clone();
        spawn("client-write", move || {
            while let Ok(bytes) = unwritten.recv() {
                if (&*writes).write_all(&bytes).is_err() {
                    break;
                }
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
        Some(Handle { answers, credits, stream, extended })
    }

    /// Hands bytes to the writer; `false` if the client does not read.
    pub fn write(&self, bytes: Vec<u8>) -> bool {
        self.answers.try_send(bytes).is_ok()
    }

    /// Lets the client send one more command.
    pub fn credit(&self) {
        let _ = self.credits.try_recv();
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
    spend: Sender<()>,
    frames: Frames,
}

/// How what a client said is wrapped for the loop.
type Wrap<C> = fn(ClientId, Said<C>) -> Message;

impl Reader {
    fn say<C>(&self, wrap: Wrap<C>, said: Said<C>) -> bool {
        self.messages.send(wrap(self.id, said)).is_ok()
    }

    /// Says a command once the client may have another one unanswered.
    fn command<C>(&self, wrap: Wrap<C>, command: C) -> bool {
        self.spend.send(()).is_ok() && self.say(wrap, Said::Command(command))
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
                    if !self.command(Message::Client, query) {
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
                        messages.push(message.to_vec());
                    } else if message.len() != 5 {
                        return Err(Malformed("bytes where none belong"));
                    }
                    let batch = Batch { at, messages: std::mem::take(&mut messages), end };
                    size = 0;
                    if !self.command(Message::Extended, batch) {
                        return Ok(Said::Gone);
                    }
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
