//! Connections to members. A job on one has a thread to itself: a hung member stalls nothing but that
//! thread. An idle connection has none.

use super::{Message, Messages, clock::from_unix_ms, spawn};
use crate::core::{ConnectionId, Input, JobId, JobResult, JobSpec};
use crate::front::unit::{Catalogue, Progress, Script, Unit};
use crate::front::{Answer, Work, millis};
use crate::pg::{self, FrameReader};
use crate::sockets::closed_by_peer;
use crate::{LoadReport, Micros, Outcome, ResponseMetadata, Role};
use crossbeam_channel::{Sender, bounded};
use std::io::{ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Where a job stands: the step from `WAITING` is taken once, by the link or by whoever withdraws it.
const WAITING: u8 = 0;
const WITHDRAWN: u8 = 1;
const SENDING: u8 = 2;
/// What comes ahead of a unit's first Execute is on its way: nothing has run, but the connection is in use.
const PREFACE: u8 = 3;

/// A member that has not taken a Parse or a Bind by then is not waited for: nothing has run.
const PREFACE_WAIT: Duration = Duration::from_millis(1000);

/// A thread without a job ends after this.
const UNUSED: Duration = Duration::from_secs(1);

/// ENFILE and EMFILE.
const OUT_OF_FILES: [Option<i32>; 2] = [Some(23), Some(24)];

/// The user and database that members are greeted with.
const USER: &str = "web";
const DATABASE: &str = "orders";

struct Order {
    lane: Arc<Lane>,
    job: JobId,
    what: JobSpec<Work>,
    /// It is not begun later than this.
    by: Option<Instant>,
    state: Arc<AtomicU8>,
}

/// Threads that carry jobs, one at a time each. Guards against a thread for each idle link: hundreds of
/// proxies on a machine, each with a link to most members, used up its thread numbers.
#[derive(Clone, Default)]
pub struct Workers {
    /// Those without a job, the one that had one last at the end: it is the next, and the rest end in time.
    idle: Arc<Mutex<Vec<Worker>>>,
    last: Arc<AtomicU64>,
}

/// A thread's number, and where its next job goes.
type Worker = (u64, Sender<Order>);

impl Workers {
    /// Hands over a job; `false` where there is no thread for it.
    fn hand(&self, order: Order) -> bool {
        let idle = self.idle().pop();
        if let Some((_, worker)) = idle {
            return worker.try_send(order).is_ok();
        }
        let (number, workers) = (self.last.fetch_add(1, Ordering::SeqCst), self.clone());
        spawn("link", move || workers.work(number, order)).is_ok()
    }

    fn idle(&self) -> MutexGuard<'_, Vec<Worker>> {
        self.idle.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// A worker's life: jobs until none has come for a while.
    fn work(self, number: u64, first: Order) {
        let (sender, inbox) = bounded(1);
        let mut order = first;
        loop {
            let lane = order.lane.clone();
            let told = lane.carry(order);
            // Before the loop hears of the end: what it sends on then finds this worker.
            self.idle().push((number, sender.clone()));
            told.into_iter().for_each(|input| lane.tell(input));
            drop(lane);
            order = match inbox.recv_timeout(UNUSED) {
                Ok(next) => next,
                Err(_) => {
                    let mut idle = self.idle();
                    let Some(at) = idle.iter().position(|(n, _)| *n == number) else {
                        // It has been picked meanwhile: its job is on the way.
                        drop(idle);
                        let Ok(next) = inbox.recv() else { return };
                        order = next;
                        continue;
                    };
                    idle.remove(at);
                    return;
                }
            };
        }
    }
}

/// The reducer's end of a link.
pub struct Handle {
    lane: Arc<Lane>,
    workers: Workers,
    state: Arc<AtomicU8>,
    job: JobId,
}

impl Handle {
    /// Prepares a link: its first job opens it.
    pub fn open(
        link: ConnectionId,
        address: SocketAddr,
        dial: Duration,
        messages: Messages,
        workers: &Workers,
    ) -> Handle {
        let (slot, seat) = (Mutex::new(None), Mutex::new(Some(Seat::default())));
        let lane = Arc::new(Lane { link, address, dial, messages, slot, seat });
        Handle { lane, workers: workers.clone(), state: Arc::new(AtomicU8::new(WITHDRAWN)), job: 0 }
    }

    /// Hands over a job; `false` if the link can't take it.
    pub fn carry(&mut self, job: JobId, what: JobSpec<Work>) -> bool {
        (self.state, self.job) = (Arc::new(AtomicU8::new(WAITING)), job);
        let by = match what {
            JobSpec::Attempt { start_within: within, .. } => {
                Instant::now().checked_add(Duration::from_micros(within))
            }
            JobSpec::Probe => None,
        };
        self.workers.hand(Order { lane: self.lane.clone(), job, what, by, state: self.state.clone() })
    }

    /// Withdraws a job that has not begun: whether the link goes on, or nothing if it has begun. A connection
    /// in use for a check, or for what comes ahead of an Execute, is cut.
    pub fn recall(&self, job: JobId) -> Option<bool> {
        if self.job != job {
            return None;
        }
        if step(&self.state, WAITING, WITHDRAWN) {
            return Some(true);
        }
        step(&self.state, PREFACE, WITHDRAWN).then(|| {
            self.cut();
            false
        })
    }

    /// Withdraws a job: whether it may have been sent, and whether the link goes on. If not, it is cut.
    pub fn abandon(&self, job: JobId) -> (bool, bool) {
        match self.recall(job) {
            Some(open) => (false, open),
            None => {
                self.cut();
                (true, false)
            }
        }
    }

    /// Ends the connection, whatever it is doing.
    pub fn cut(&self) {
        let slot = self.lane.slot.lock().unwrap_or_else(|e| e.into_inner());
        if let Some(stream) = slot.as_ref() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Takes a step that only one side can take.
fn step(state: &AtomicU8, from: u8, to: u8) -> bool {
    state.compare_exchange(from, to, Ordering::SeqCst, Ordering::SeqCst).is_ok()
}

struct Lane {
    link: ConnectionId,
    address: SocketAddr,
    dial: Duration,
    messages: Messages,
    /// The present connection, for whoever cuts it.
    slot: Mutex<Option<Arc<TcpStream>>>,
    /// What belongs to the connection, here while no job is under way.
    seat: Mutex<Option<Seat>>,
}

#[derive(Default)]
struct Seat {
    connection: Option<Connection>,
    catalogue: Catalogue,
}

type Connection = (Arc<TcpStream>, FrameReader);

/// What became of a query.
struct Reply {
    ending: JobResult<Answer>,
    open: bool,
}

impl Reply {
    fn plain(outcome: Outcome) -> Reply {
        Reply { ending: JobResult::from_outcome(outcome), open: false }
    }
}

impl Lane {
    /// Carries a job, and returns what the loop is to be told.
    fn carry(&self, order: Order) -> Vec<Input<Work, Answer>> {
        let seat = self.seat.lock().unwrap_or_else(|e| e.into_inner()).take();
        let mut told = Vec::new();
        if let Some(seat) = seat.and_then(|seat| self.job(seat, order, &mut told)) {
            *self.seat.lock().unwrap_or_else(|e| e.into_inner()) = Some(seat);
        } else {
            *self.slot.lock().unwrap_or_else(|e| e.into_inner()) = None;
            told.push(Input::ConnectionClosed(self.link));
        }
        told
    }

    /// The link goes on with what is returned.
    fn job(&self, mut seat: Seat, order: Order, told: &mut Vec<Input<Work, Answer>>) -> Option<Seat> {
        if order.state.load(Ordering::SeqCst) == WITHDRAWN {
            told.push(Input::ConnectionIdle(self.link));
            return Some(seat);
        }
        // Guards against a connection that the member closed while it was idle: writing to it would
        // count as sent. It is opened anew, and the job has not run.
        if seat.connection.as_ref().is_some_and(|(stream, _)| closed_by_peer(stream)) {
            seat = Seat::default();
        }
        let check = matches!(&order.what, JobSpec::Attempt { verify_connection: true, .. });
        if check && let Some((stream, frames)) = &mut seat.connection {
            if !step(&order.state, WAITING, PREFACE) {
                told.push(Input::ConnectionIdle(self.link));
                return Some(seat);
            }
            let alive = answers(stream, frames, Instant::now() + self.dial);
            let _ = stream.set_read_timeout(None);
            // Withdrawn meanwhile, which cuts the connection: nothing has run.
            if !step(&order.state, PREFACE, WAITING) {
                return None;
            }
            if !alive {
                self.tell(Input::StaleConnectionFound);
                seat = Seat::default();
            }
        }
        let connected = match seat.connection.take() {
            Some(connection) => Ok(connection),
            None => self.connect(),
        };
        let reply = match connected {
            Err(outcome) => Reply::plain(outcome),
            Ok((stream, mut frames)) => {
                let mut talk = Exchange {
                    stream: &stream,
                    frames: &mut frames,
                    state: &order.state,
                    by: order.by,
                    written: &|| self.tell(Input::AttemptWritten),
                };
                let reply = talk.run(&order.what, &mut seat.catalogue);
                seat.connection = Some((stream, frames));
                match reply {
                    Some(reply) => reply,
                    None => {
                        told.push(Input::ConnectionIdle(self.link));
                        return Some(seat);
                    }
                }
            }
        };
        let Reply { ending, open } = reply;
        told.push(Input::JobFinished {
            connection: self.link,
            job: order.job,
            result: ending,
            reusable: open,
        });
        open.then_some(seat)
    }

    fn tell(&self, input: Input<Work, Answer>) {
        let _ = self.messages.send(Message::Core(input));
    }

    /// Opens the connection, up to the member's first ReadyForQuery.
    fn connect(&self) -> Result<Connection, Outcome> {
        let end = Instant::now() + self.dial;
        let failed = Outcome::ConnectFailed;
        // Guards against taking the proxy's own want of descriptors for the member's fault.
        let cause = |e: std::io::Error| {
            if OUT_OF_FILES.contains(&e.raw_os_error()) { Outcome::NeverSent } else { failed }
        };
        let stream = TcpStream::connect_timeout(&self.address, self.dial).map_err(cause)?;
        let _ = stream.set_nodelay(true);
        (&stream).write_all(&pg::startup_message(USER, DATABASE)).map_err(|_| failed)?;
        let mut frames = FrameReader::default();
        loop {
            match frames.next_reply().map_err(|_| failed)? {
                // What stands behind it belongs to nobody.
                Some((b'Z', _)) => {
                    if frames.buffered().is_empty() {
                        break;
                    }
                    return Err(failed);
                }
                Some((b'E', message)) => {
                    let full = pg::error_sqlstate(pg::message_body(message))
                        == Some(pg::sqlstate::TOO_MANY_CONNECTIONS.as_bytes());
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

/// The connection still leads to the member: an empty query, which has no effect, is answered by then.
fn answers(mut stream: &TcpStream, frames: &mut FrameReader, by: Instant) -> bool {
    if stream.write_all(&pg::query_message(&[])).is_err() {
        return false;
    }
    let mut empty = false;
    loop {
        let tag = match frames.next_reply() {
            Ok(reply) => reply.map(|(tag, _)| tag),
            Err(_) => return false,
        };
        match tag {
            Some(b'I') if !empty => empty = true,
            Some(b'S' | b'N') => {}
            Some(b'Z') => return empty && frames.buffered().is_empty(),
            None => {
                // All of it together. Guards against a member that says a little at a time.
                let left = by.saturating_duration_since(Instant::now());
                let waits = !left.is_zero() && stream.set_read_timeout(Some(left)).is_ok();
                if !waits || !matches!(frames.fill(stream), Ok(true)) {
                    return false;
                }
            }
            Some(_) => return false,
        }
    }
}

/// One job on a connection, classified exactly as the protocol's table has it.
struct Exchange<'a> {
    stream: &'a TcpStream,
    frames: &'a mut FrameReader,
    state: &'a AtomicU8,
    /// It is not begun later than this.
    by: Option<Instant>,
    /// Called when an attempt's last byte has been written.
    written: &'a dyn Fn(),
}

/// What a job's replies told of the member.
#[derive(Default)]
struct Heard {
    metadata: ResponseMetadata,
    report: LoadReport,
}

impl Heard {
    fn ending(self, outcome: Outcome, bytes: Vec<u8>) -> JobResult<Answer> {
        let answer = Some(Answer { bytes, commit: self.metadata.position });
        JobResult { outcome, metadata: self.metadata, report: self.report, answer }
    }
}

impl Exchange<'_> {
    /// `None` if the job was withdrawn before anything was written.
    fn run(&mut self, what: &JobSpec<Work>, catalogue: &mut Catalogue) -> Option<Reply> {
        let message = match what {
            JobSpec::Probe => pg::query_message(&[b"SHOW health"]),
            JobSpec::Attempt { work, timeout: allowed, .. } => match work.as_ref() {
                Work::Unit(unit) => return self.unit(unit, catalogue),
                Work::Simple { text, wait: None } => pg::query_message(&[text]),
                Work::Simple { text, wait: Some(wait) } => {
                    let digits = millis(*allowed).to_string();
                    pg::query_message(&[&text[..wait.start], digits.as_bytes(), &text[wait.end..]])
                }
            },
        };
        if self.late() {
            return Some(Reply { ending: JobResult::from_outcome(Outcome::NeverSent), open: true });
        }
        if !step(self.state, WAITING, SENDING) {
            return None;
        }
        // It broke before the last byte was handed over: it never ran.
        Some(match self.write(&message) {
            Ok(()) => {
                let probe = matches!(what, JobSpec::Probe);
                if !probe {
                    (self.written)();
                }
                self.simple(probe)
            }
            Err(_) => Reply::plain(Outcome::ConnectFailed),
        })
    }

    /// What was true when this was decided may be so no more. Guards against a connection that comes up late.
    fn late(&self) -> bool {
        self.by.is_some_and(|by| Instant::now() > by)
    }

    /// Writes all of it, or says how much was handed over.
    fn write(&mut self, bytes: &[u8]) -> Result<(), usize> {
        let mut sent = 0;
        while sent < bytes.len() {
            match (&*self.stream).write(&bytes[sent..]) {
                Ok(n) if n > 0 => sent += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                _ => return Err(sent),
            }
        }
        Ok(())
    }

    /// The answer to a simple query. Only the whole sequence counts, each message well formed: RowDescription
    /// of one column, one DataRow, CommandComplete, ReadyForQuery. Guards against spoilt answers: what was
    /// made for this request can't be told from noise in any other case, and the request may have run.
    fn simple(&mut self, probe: bool) -> Reply {
        let mut answer = Vec::new();
        let (mut row, mut at, mut error) = (None, b' ', None);
        let mut heard = Heard::default();
        loop {
            let (tag, message) = match self.frames.next_reply() {
                Ok(Some(reply)) => reply,
                Ok(None) => match self.frames.fill(self.stream) {
                    Ok(true) => continue,
                    _ => break,
                },
                Err(_) => return Reply::plain(Outcome::Error),
            };
            let body = pg::message_body(message);
            if tag == b'S' {
                // A load report that can't be read spoils nothing but itself.
                parameter(body, &mut heard);
                continue;
            }
            if !pg::is_well_formed(tag, body) {
                return Reply::plain(Outcome::Error);
            }
            match (tag, at) {
                (b'N', _) => continue,
                (b'T', b' ') if body[..2] == [0, 1] => {}
                (b'D', b'T') if pg::single_column(body).is_some() => {
                    row = probe.then(|| pg::single_column(body).unwrap_or_default().to_vec());
                }
                (b'C', b'D') => {}
                (b'E', b' ' | b'T') => {
                    (error, at) = (pg::error_sqlstate(body).map(<[u8]>::to_vec), b'E');
                    answer.extend_from_slice(message);
                    continue;
                }
                (b'Z', b'C' | b'E') => {
                    let outcome = match error.as_deref() {
                        Some(code) if is_the_statements(code) => Outcome::NeverSent,
                        Some(code) => outcome_of(Some(code)),
                        None => Outcome::Ok,
                    };
                    if let Some(row) = &row {
                        heard.report = report_of(row);
                    }
                    // Guards against bytes behind an answer: they would pass for the next request's.
                    let open = self.frames.buffered().is_empty();
                    return Reply { ending: heard.ending(outcome, answer), open };
                }
                _ => return Reply::plain(Outcome::Error),
            }
            at = tag;
            answer.extend_from_slice(message);
        }
        // The connection is no more. An error that it said whole before stands.
        let outcome = error.map_or(Outcome::Reset, |code| outcome_of(Some(&code)));
        Reply { ending: heard.ending(outcome, Vec::new()), open: false }
    }

    /// A unit of extended-query messages. Where it must not run twice, Execute is held back until the member
    /// has taken all that comes ahead of it: until then, nothing can have run.
    fn unit(&mut self, unit: &Unit, catalogue: &mut Catalogue) -> Option<Reply> {
        let mut heard = Heard::default();
        let executes = unit.executes();
        let ahead = unit.careful || !executes;
        if self.late() {
            return Some(Reply { ending: JobResult::from_outcome(Outcome::NeverSent), open: true });
        }
        // Before the script is made: it takes for prepared what it is about to prepare.
        if !step(self.state, WAITING, if ahead { PREFACE } else { SENDING }) {
            return None;
        }
        let mut script = Script::new(unit, catalogue);
        let mut end = Vec::new();
        if ahead {
            let mut preface = std::mem::take(&mut script.preface);
            pg::put_message(&mut preface, b'H', &[]);
            let _ = self.stream.set_read_timeout(Some(PREFACE_WAIT));
            let taken = self.write(&preface).is_ok() && self.preface(&mut script, catalogue, &mut heard);
            let _ = self.stream.set_read_timeout(None);
            if taken && self.late() {
                // The member is at rest before its Execute: the connection is of no further use.
                return Some(Reply::plain(Outcome::NeverSent));
            }
            if !taken || (script.error.is_none() && executes && !step(self.state, PREFACE, SENDING)) {
                return Some(Reply::plain(Outcome::ConnectFailed));
            }
        } else {
            end.append(&mut script.preface);
        }
        if script.error.is_none() {
            end.append(&mut script.rest);
        }
        pg::put_message(&mut end, b'S', &[]);
        if let Err(sent) = self.write(&end) {
            return Some(Reply::plain(if sent == 0 { Outcome::ConnectFailed } else { Outcome::Reset }));
        }
        (self.written)();
        while let Some(progress) = self.reply(&mut script, catalogue, &mut heard) {
            match progress {
                Progress::More => {}
                Progress::Broken => break,
                Progress::Ready if script.error.as_deref() == Some(b"26000") => {
                    // Guards against a member that lost what it had prepared: nothing of the unit stands, and
                    // the next connection starts with an empty catalogue.
                    return Some(Reply::plain(Outcome::Full));
                }
                Progress::Ready => {
                    let outcome = match script.error.as_deref() {
                        Some(code) if is_the_statements(code) => Outcome::NeverSent,
                        Some(code) => outcome_of(Some(code)),
                        None => Outcome::Ok,
                    };
                    let open = self.frames.buffered().is_empty();
                    return Some(Reply { ending: heard.ending(outcome, script.answer), open });
                }
            }
        }
        Some(Reply::plain(if executes { Outcome::Reset } else { Outcome::ConnectFailed }))
    }

    /// Reads until the preface is answered; `false` if that does not come.
    fn preface(&mut self, script: &mut Script, catalogue: &mut Catalogue, heard: &mut Heard) -> bool {
        while !script.preface_done() {
            if self.reply(script, catalogue, heard) != Some(Progress::More) {
                return false;
            }
        }
        true
    }

    /// Reads one message; `None` if the connection ends.
    fn reply(
        &mut self,
        script: &mut Script,
        catalogue: &mut Catalogue,
        heard: &mut Heard,
    ) -> Option<Progress> {
        loop {
            if let Some((tag, message)) = self.frames.next_reply().ok()? {
                if tag == b'S' {
                    parameter(pg::message_body(message), heard);
                } else if !pg::is_well_formed(tag, pg::message_body(message)) {
                    return Some(Progress::Broken);
                }
                return Some(script.take(catalogue, tag, message));
            }
            if script.answer.len() > 4 * pg::MAX_MESSAGE_BYTES || !self.frames.fill(self.stream).ok()? {
                return None;
            }
        }
    }
}

/// An error that tells of the statement, not of the member: protocol, syntax, names, data, constraints,
/// rights. Every member would give it, so it is the answer, and counts neither for nor against the member.
fn is_the_statements(code: &[u8]) -> bool {
    let class = code.get(..2).unwrap_or_default();
    let classes = [b"0A", b"21", b"22", b"23", b"24", b"28", b"34", b"42", b"44", b"P0"];
    code == pg::sqlstate::PROTOCOL_VIOLATION.as_bytes() || classes.iter().any(|c| *c == class)
}

/// The protocol's table, for errors.
fn outcome_of(code: Option<&[u8]>) -> Outcome {
    match code {
        Some(b"25006" | b"72000") => Outcome::NotServable,
        Some(b"53300") => Outcome::Full,
        _ => Outcome::Error,
    }
}

fn parameter(body: &[u8], heard: &mut Heard) {
    let Heard { metadata, report } = heard;
    if !pg::is_well_formed(b'S', body) {
        return;
    }
    let Some((name, rest)) = pg::split_c_string(body) else { return };
    let Some((value, _)) = pg::split_c_string(rest) else { return };
    match name {
        b"recovery" => {
            metadata.role = match value {
                b"off" => Some(Role::Primary),
                b"on" => Some(Role::Replica),
                _ => None,
            }
        }
        b"lsn_ms" => {
            metadata.position = pg::statement::parse_number(value).filter(|ms| *ms > 0).map(from_unix_ms)
        }
        b"health" => *report = report_of(value),
        _ => {}
    }
}

/// A load report: `x0` is a position as Unix time in seconds, unlike those beside answers; `x1` is 1 from a
/// primary. One that can't be read whole tells nothing.
fn report_of(text: &[u8]) -> LoadReport {
    let read = || {
        let mut report = LoadReport::default();
        for pair in std::str::from_utf8(text).ok()?.split(',') {
            let (name, value) = pair.split_once('=')?;
            let value = value.trim().parse::<f64>().ok().filter(|v| v.is_finite())?;
            match name.trim() {
                "x0" if value >= 0.0 => {
                    // Guards against taking seconds for milliseconds: the member passed for years late, reads
                    // that need anything were refused there, and what it said of its role counted as old.
                    report.position = Some((value * 1e6) as Micros).filter(|p| *p > 0);
                }
                "x1" if value == 1.0 => report.role = Some(Role::Primary),
                "x1" if value == 0.0 => report.role = Some(Role::Replica),
                "x0" | "x1" => return None,
                _ => {}
            }
        }
        Some(report)
    };
    read().unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_report_tells_its_position_in_seconds() {
        let report = report_of(b"x0=1796159340.996,x1=0");
        assert_eq!(report.role, Some(Role::Replica));
        let millis = report.position.unwrap().div_ceil(1000);
        assert!((1_796_159_340_995..=1_796_159_340_997).contains(&millis), "{millis}");
        assert_eq!(report_of(b"x0=1796159340.996,x1=maybe").position, None);
    }
}
