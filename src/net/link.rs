//! One connection to a member, on a thread of its own: a hung member stalls nothing but this thread.

use super::{Message, Messages, clock::from_unix_ms, spawn};
use crate::core::{Ending, Input, Job, JobId, LinkId};
use crate::front::{Answer, Work, millis};
use crate::pg::{self, Frames};
use crate::{Micros, Note, Outcome, Report, Role};
use crossbeam_channel::{Receiver, Sender, bounded};
use std::io::{ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Where a job stands: the step from `WAITING` is taken once, by the link or by whoever withdraws it.
const WAITING: u8 = 0;
const WITHDRAWN: u8 = 1;
const SENDING: u8 = 2;

/// The user and database that members are greeted with.
const USER: &str = "web";
const DATABASE: &str = "orders";

struct Order {
    job: JobId,
    what: Job<Work>,
    state: Arc<AtomicU8>,
}

/// The reducer's end of a link.
pub struct Handle {
    orders: Sender<Order>,
    stream: Arc<Mutex<Option<Arc<TcpStream>>>>,
    state: Arc<AtomicU8>,
    job: JobId,
}

impl Handle {
    /// Starts a link; `None` where there is no thread for it.
    pub fn open(link: LinkId, address: SocketAddr, dial: Duration, messages: Messages) -> Option<Handle> {
        let (orders, inbox) = bounded(1);
        let stream = Arc::new(Mutex::new(None));
        let slot = stream.clone();
        let lane = Lane { link, address, dial, messages, slot };
        spawn("link", move || lane.run(&inbox)).ok()?;
        Some(Handle { orders, stream, state: Arc::new(AtomicU8::new(WITHDRAWN)), job: 0 })
    }

    /// Hands over a job; `false` if the link is no more.
    pub fn carry(&mut self, job: JobId, what: Job<Work>) -> bool {
        (self.state, self.job) = (Arc::new(AtomicU8::new(WAITING)), job);
        self.orders.try_send(Order { job, what, state: self.state.clone() }).is_ok()
    }

    /// Withdraws a job: `true` if it may have been sent. Then the connection is cut.
    pub fn abandon(&self, job: JobId) -> bool {
        if self.job != job {
            return true;
        }
        let step = self.state.compare_exchange(WAITING, WITHDRAWN, Ordering::SeqCst, Ordering::SeqCst);
        if step.is_err() {
            self.cut();
        }
        step.is_err()
    }

    /// Ends the connection, whatever it is doing.
    pub fn cut(&self) {
        let slot = self.stream.lock().unwrap_or_else(|e| e.into_inner());
        if let Some(stream) = slot.as_ref() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

struct Lane {
    link: LinkId,
    address: SocketAddr,
    dial: Duration,
    messages: Messages,
    slot: Arc<Mutex<Option<Arc<TcpStream>>>>,
}

/// What became of a query.
struct Reply {
    ending: Ending<Answer>,
    open: bool,
}

impl Reply {
    fn plain(outcome: Outcome) -> Reply {
        Reply { ending: Ending::plain(outcome), open: false }
    }
}

impl Lane {
    fn run(self, inbox: &Receiver<Order>) {
        let mut connection = self.connect();
        let mut used = false;
        while let Ok(order) = inbox.recv() {
            if order.state.load(Ordering::SeqCst) == WITHDRAWN {
                if connection.is_err() {
                    break;
                }
                self.tell(Input::Idle(self.link));
                continue;
            }
            // Guards against a connection that the member closed while it was idle: writing to it would
            // count as sent. It is opened anew, and the job has not run.
            if used && connection.as_ref().is_ok_and(|(stream, _)| gone(stream)) {
                connection = self.connect();
            }
            used = true;
            let reply = match &mut connection {
                Err(outcome) => Reply::plain(*outcome),
                Ok((stream, frames)) => {
                    let step =
                        order.state.compare_exchange(WAITING, SENDING, Ordering::SeqCst, Ordering::SeqCst);
                    if step.is_err() {
                        self.tell(Input::Idle(self.link));
                        continue;
                    }
                    exchange(stream, frames, &order.what)
                }
            };
            let Reply { ending, open } = reply;
            self.tell(Input::Ended { link: self.link, job: order.job, ending, open });
            if !open {
                break;
            }
        }
        *self.slot.lock().unwrap_or_else(|e| e.into_inner()) = None;
        drop(connection);
        self.tell(Input::Closed(self.link));
    }

    fn tell(&self, input: Input<Work, Answer>) {
        let _ = self.messages.send(Message::Core(input));
    }

    /// Opens the connection, up to the member's first ReadyForQuery.
    fn connect(&self) -> Result<(Arc<TcpStream>, Frames), Outcome> {
        let end = Instant::now() + self.dial;
        let failed = Outcome::ConnectFailed;
        let stream = TcpStream::connect_timeout(&self.address, self.dial).map_err(|_| failed)?;
        let _ = stream.set_nodelay(true);
        (&stream).write_all(&pg::startup(USER, DATABASE)).map_err(|_| failed)?;
        let mut frames = Frames::default();
        loop {
            match frames.message().map_err(|_| failed)? {
                Some((b'Z', _)) => break,
                Some((b'E', message)) => {
                    let full = pg::error_field(pg::body(message), b'C') == Some(pg::TOO_MANY.as_bytes());
                    return Err(if full { Outcome::Full } else { failed });
                }
                Some(_) => {}
                None => {
                    let left = end.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        return Err(failed);
                    }
                    stream.set_read_timeout(Some(left)).map_err(|_| failed)?;
                    if !frames.fill(&stream).map_err(|_| failed)? {
                        return Err(failed);
                    }
                }
            }
        }
        stream.set_read_timeout(None).map_err(|_| failed)?;
        let stream = Arc::new(stream);
        *self.slot.lock().unwrap_or_else(|e| e.into_inner()) = Some(stream.clone());
        Ok((stream, frames))
    }
}

/// The other side has closed an idle connection, or said something that nobody asked for.
fn gone(stream: &TcpStream) -> bool {
    let mut byte = [0];
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut byte);
    let quiet = matches!(&peeked, Err(e) if e.kind() == ErrorKind::WouldBlock);
    stream.set_nonblocking(false).is_err() || !quiet
}

/// One query and its answer, classified exactly as the protocol's table has it.
fn exchange(stream: &TcpStream, frames: &mut Frames, what: &Job<Work>) -> Reply {
    let message = match what {
        Job::Probe => pg::query(&[b"SHOW health"]),
        Job::Attempt { work, allowed } => match work.as_ref() {
            Work::Simple { text, wait } => {
                let digits = millis(*allowed).to_string();
                pg::query(&[&text[..wait.start], digits.as_bytes(), &text[wait.end..]])
            }
        },
    };
    let mut sent = 0;
    while sent < message.len() {
        match (&*stream).write(&message[sent..]) {
            Ok(n) if n > 0 => sent += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            // It broke before the last byte was handed over: it never ran.
            _ => return Reply::plain(Outcome::ConnectFailed),
        }
    }
    read_reply(stream, frames, matches!(what, Job::Probe))
}

fn read_reply(stream: &TcpStream, frames: &mut Frames, probe: bool) -> Reply {
    let mut answer = Vec::new();
    let (mut row, mut done, mut error) = (None, false, None);
    let mut note = Note::default();
    let mut report = Report::default();
    loop {
        match frames.message() {
            Err(_) => break,
            // Guards against a member that talks without end.
            Ok(None) if answer.len() > 2 * pg::MAX_MESSAGE => break,
            Ok(None) => match frames.fill(stream) {
                Ok(true) => {}
                _ => break,
            },
            Ok(Some((tag, message))) => match tag {
                b'T' | b'C' | b'D' => {
                    answer.extend_from_slice(message);
                    done |= tag == b'C';
                    if tag == b'D' {
                        row = pg::only_column(pg::body(message)).map(<[u8]>::to_vec);
                    }
                }
                b'E' => error = Some(outcome_of(pg::error_field(pg::body(message), b'C'))),
                b'S' => parameter(pg::body(message), &mut note, &mut report),
                b'Z' => {
                    let outcome = error.unwrap_or(if done { Outcome::Ok } else { Outcome::Error });
                    if probe && let Some(row) = &row {
                        report = report_of(row);
                    }
                    return Reply {
                        ending: Ending { outcome, note, report, answer: Some(answer) },
                        open: true,
                    };
                }
                _ => {}
            },
        }
    }
    // The connection is no more. What it said whole before counts.
    let outcome = error.unwrap_or(if done { Outcome::Ok } else { Outcome::Reset });
    Reply { ending: Ending { outcome, note, report, answer: Some(answer) }, open: false }
}

/// The protocol's table, for errors.
fn outcome_of(code: Option<&[u8]>) -> Outcome {
    match code {
        Some(b"25006" | b"72000") => Outcome::Miss,
        Some(b"53300") => Outcome::Full,
        _ => Outcome::Error,
    }
}

fn parameter(body: &[u8], note: &mut Note, report: &mut Report) {
    let Some((name, rest)) = pg::cstr(body) else { return };
    let Some((value, _)) = pg::cstr(rest) else { return };
    match name {
        b"recovery" => {
            note.role = match value {
                b"off" => Some(Role::Primary),
                b"on" => Some(Role::Replica),
                _ => None,
            }
        }
        b"lsn_ms" => note.position = pg::statement::number(value).filter(|ms| *ms > 0).map(from_unix_ms),
        b"health" => *report = report_of(value),
        _ => {}
    }
}

/// A load report: `x0` is a position, `x1` is 1 from a primary.
fn report_of(text: &[u8]) -> Report {
    let mut report = Report::default();
    for pair in String::from_utf8_lossy(text).split(',') {
        let Some((name, value)) = pair.split_once('=') else { continue };
        let Ok(value) = value.trim().parse::<f64>() else { continue };
        match name.trim() {
            "x0" if value > 0.0 => report.position = Some(from_unix_ms(value as Micros)),
            "x1" => report.role = Some(if value >= 0.5 { Role::Primary } else { Role::Replica }),
            _ => {}
        }
    }
    report
}
