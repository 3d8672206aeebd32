//! A client's connection: one thread reads, one writes. Neither decides anything.

use super::clock::Clock;
use super::{Message, Messages, spawn};
use crate::front::ClientId;
use crate::front::platform::{Asked, Query, Said};
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

/// The reducer's end of a client's connection.
pub struct Handle {
    answers: Sender<Vec<u8>>,
    credits: Receiver<()>,
    stream: Arc<TcpStream>,
}

impl Handle {
    /// Starts the two threads of a connection; `None` where there are none for it.
    pub fn open(
        id: ClientId,
        stream: TcpStream,
        settings: Arc<Settings>,
        clock: Clock,
        messages: Messages,
    ) -> Option<Handle> {
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
            let mut reader = Reader { id, settings, clock, messages, spend, frames: Frames::default() };
            let said = match reader.run(&reads) {
                Ok(said) => said,
                Err(e) => Said::Malformed(e),
            };
            reader.say(said);
        })
        .ok()?;
        Some(Handle { answers, credits, stream })
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
    settings: Arc<Settings>,
    clock: Clock,
    messages: Messages,
    spend: Sender<()>,
    frames: Frames,
}

impl Reader {
    fn say(&self, said: Said) -> bool {
        self.messages.send(Message::Client(self.id, said)).is_ok()
    }

    fn run(&mut self, stream: &TcpStream) -> Result<Said, Malformed> {
        loop {
            match self.frames.opening()? {
                Some(pg::Opening::Startup) => break,
                Some(opening) => {
                    let last = matches!(opening, pg::Opening::Cancel { .. });
                    if !self.say(Said::Opening(opening)) || last {
                        return Ok(Said::Gone);
                    }
                }
                None => match self.frames.fill(stream) {
                    Ok(true) => {}
                    _ => return Ok(Said::Gone),
                },
            }
        }
        self.say(Said::Opening(pg::Opening::Startup));
        let mut at: Micros = self.clock.now();
        loop {
            match self.frames.message()? {
                Some((b'Q', message)) => {
                    let (text, _) = pg::cstr(pg::body(message)).ok_or(Malformed("query without an end"))?;
                    if text.len() + 6 != message.len() {
                        return Err(Malformed("bytes behind the query's end"));
                    }
                    let fields = Asked::read(text, &self.settings);
                    let said = Said::Query(Query { at, text: text.to_vec(), fields });
                    if self.spend.send(()).is_err() || !self.say(said) {
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
}
