//! Emulated members: servers of simple queries with a role, a replication lag, a capacity, and faults.

use crate::extended_session::ExtendedSession;
use crate::history::{AttemptEnd, AttemptRecord, MS, Micros, RunContext, SECOND};
use crate::random::Draws;
use crate::scenario::{KEY_WINDOW, LEAST_LAG, SLOW_START_CAPACITY, SLOW_START_DURATION};
use crate::wire::{MemberReply, message, read_body, read_message};
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time after a change of the primary within which a read may still reach the former one: proxies learn of the change
/// from an answer.
const FORMER_PRIMARY_TIME: Micros = SECOND;
/// Interval at which a listener polls for connections and for a fault of its member.
const ACCEPT_STEP: Duration = Duration::from_millis(2);
/// Read timeout of a member's connections: the longest time that a member keeps an unused connection open.
const MAX_HANG: Duration = Duration::from_secs(30);

/// Read timeout of a member with [`MemberFault::ClosesIdle`], after which it closes an idle connection.
const IDLE_TIME: Duration = Duration::from_millis(120);
/// Number of requests that a member executes at the same time.
const CORES: u32 = 2;
/// Shortest execution time of a request on a member at full capacity.
const MIN_WORK: Micros = MS;
/// Longest execution time of a request on a member at full capacity.
const MAX_WORK: Micros = 12 * MS;
/// Requests of mean execution time that a member at full capacity serves per second.
pub const CAPACITY: f64 = 2.0 * CORES as f64 * SECOND as f64 / (MIN_WORK + MAX_WORK) as f64;

/// Returns the share of its full capacity that a member has at this time after its start, from 0 to 1.
pub fn capacity_share(age: Micros) -> f64 {
    (SLOW_START_CAPACITY + (1.0 - SLOW_START_CAPACITY) * age as f64 / SLOW_START_DURATION as f64).min(1.0)
}

/// The fault that a member shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberFault {
    /// No fault.
    None,
    /// Accepts and runs requests, but sends no answer.
    Hangs,
    /// Resets the connection on each request, in half of the cases after running it.
    Resets,
    /// Answers the startup message 50 to 1500 ms late.
    SlowToConnect,
    /// Answers half of the requests with an error after running them.
    Errors,
    /// Closes connections that are idle for 120 ms.
    ClosesIdle,
    /// The process is down: new connections are refused, and open ones are closed at their next message.
    Down,
}

/// The role of a member when it executes a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberRole {
    /// The primary.
    Primary,
    /// A replica that was the primary a moment before.
    FormerPrimary,
    /// A replica.
    Replica,
}

impl std::fmt::Display for MemberRole {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            MemberRole::Primary => "primary",
            MemberRole::FormerPrimary => "former",
            MemberRole::Replica => "replica",
        })
    }
}

/// An emulated member.
pub struct Member {
    /// Its index.
    pub index: usize,
    /// The index of its group.
    pub group: usize,
    /// Whether it is primary.
    pub primary: AtomicBool,
    /// Whether it drains, and rejects all requests with SQLSTATE 53300.
    pub draining: AtomicBool,
    /// Replication lag in microseconds, while it is a replica.
    pub lag: AtomicU64,
    /// Whether it rejects reads that need newer data than it has, with SQLSTATE 72000, instead of serving
    /// them.
    pub rejects_stale: bool,
    /// When it last stopped being primary; 0 if it never did.
    demoted_at: AtomicU64,
    /// A planted fault: it answers with the value of another request.
    pub mixes_values: AtomicBool,
    /// A planted fault: it reports a position as if it had no lag.
    pub hides_lag: AtomicBool,
    /// The time of the run at which its slow start began; 0 if it started before the run.
    pub warming_since: AtomicU64,
    /// The greatest position returned by [`Member::position`].
    position: AtomicU64,
    busy_cores: Mutex<u32>,
    core_free: Condvar,
    fault: Mutex<MemberFault>,
    /// When it last went down: connections opened before are closed.
    went_down_at: AtomicU64,
    run: RunContext,
    keys: Arc<SeenKeys>,
}

/// The idempotency keys that a group has seen, with the time of the first run and its value.
pub type SeenKeys = Mutex<HashMap<String, (Micros, String)>>;

impl Member {
    /// Creates a member that is not listening, is a replica with a lag of 5 ms, and shows no fault.
    pub fn new(
        index: usize,
        group: usize,
        rejects_stale: bool,
        run: RunContext,
        keys: Arc<SeenKeys>,
    ) -> Member {
        Member {
            index,
            group,
            primary: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            lag: AtomicU64::new(LEAST_LAG),
            rejects_stale,
            demoted_at: AtomicU64::new(0),
            mixes_values: AtomicBool::new(false),
            hides_lag: AtomicBool::new(false),
            warming_since: AtomicU64::new(0),
            position: AtomicU64::new(0),
            busy_cores: Mutex::new(0),
            core_free: Condvar::new(),
            fault: Mutex::new(MemberFault::None),
            went_down_at: AtomicU64::new(0),
            run,
            keys,
        }
    }

    /// Returns the current fault.
    pub fn fault(&self) -> MemberFault {
        *self.fault.lock().unwrap()
    }

    /// Changes the fault. With [`MemberFault::Down`], open connections are closed at their next message.
    pub fn set_fault(&self, fault: MemberFault) {
        *self.fault.lock().unwrap() = fault;
        if fault == MemberFault::Down {
            self.went_down_at.store(self.run.clock.now(), Ordering::SeqCst);
        }
    }

    /// Listens at an address for the connections of one proxy. Returns the address with the bound port.
    pub fn listen(self: &Arc<Self>, address: SocketAddr, proxy: usize) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let member = self.clone();
        std::thread::spawn(move || member.accept(listener, address, proxy));
        Ok(address)
    }

    fn accept(self: Arc<Self>, listener: TcpListener, address: SocketAddr, proxy: usize) {
        let mut listener = Some(listener);
        while !self.run.is_over.load(Ordering::SeqCst) {
            if self.fault() == MemberFault::Down {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(address).ok();
            }
            if let Some(listener) = &listener {
                let _ = listener.set_nonblocking(true);
                while let Ok((stream, _)) = listener.accept() {
                    let member = self.clone();
                    std::thread::spawn(move || drop(member.serve(stream, proxy)));
                }
            }
            std::thread::sleep(ACCEPT_STEP);
        }
    }

    /// Serves a connection of a proxy until it ends.
    fn serve(&self, mut stream: TcpStream, proxy: usize) -> std::io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(MAX_HANG))?;
        let opened_at = self.run.clock.now();
        let mut draws = Draws::new(self.run.seed, opened_at);
        let mut extended = ExtendedSession::of_proxy(proxy);
        read_body(&mut stream)?;
        if self.fault() == MemberFault::SlowToConnect {
            std::thread::sleep(Duration::from_millis(draws.between(50, 1500)));
        }
        stream.write_all(&[message(b'R', &[0; 4]), message(b'Z', b"I")].concat())?;
        loop {
            let idle = if self.fault() == MemberFault::ClosesIdle { IDLE_TIME } else { MAX_HANG };
            stream.set_read_timeout(Some(idle))?;
            let (tag, body) = read_message(&mut stream)?;
            if opened_at < self.went_down_at.load(Ordering::SeqCst) {
                return Ok(());
            }
            if matches!(tag, b'P' | b'B' | b'E' | b'D' | b'C' | b'H' | b'S') {
                if !extended.handle(self, &mut stream, (tag, &body), &mut draws)? {
                    return Ok(());
                }
                continue;
            }
            if tag != b'Q' {
                return Ok(());
            }
            let text = String::from_utf8_lossy(&body[..body.len().saturating_sub(1)]).into_owned();
            if text.is_empty() {
                stream.write_all(&[message(b'I', &[]), message(b'Z', b"I")].concat())?;
            } else if text == "SHOW health" {
                self.answer_health_check(&mut stream)?;
            } else if !self.answer_query(&mut stream, proxy, &text, &mut draws)? {
                return Ok(());
            }
        }
    }

    /// Returns the time of the run up to which the member has applied the log. It never decreases, not even
    /// when the lag grows or the role changes.
    pub(crate) fn position(&self) -> Micros {
        let lag = if self.primary.load(Ordering::SeqCst) { 0 } else { self.lag.load(Ordering::SeqCst) };
        let position = self.run.clock.now().saturating_sub(lag);
        self.position.fetch_max(position, Ordering::SeqCst).max(position)
    }

    /// Waits for a free core and executes a request, which takes longer during slow start.
    pub(crate) fn work(&self, draws: &mut Draws) {
        let mut busy = self.busy_cores.lock().unwrap();
        while *busy >= CORES {
            busy = self.core_free.wait(busy).unwrap();
        }
        *busy += 1;
        drop(busy);
        let work = draws.between(MIN_WORK, MAX_WORK) as f64 / self.capacity_share();
        std::thread::sleep(Duration::from_micros(work as u64));
        *self.busy_cores.lock().unwrap() -= 1;
        self.core_free.notify_one();
    }

    /// Returns the share of its full capacity that the member has now.
    fn capacity_share(&self) -> f64 {
        match self.warming_since.load(Ordering::SeqCst) {
            0 => 1.0,
            started => capacity_share(self.run.clock.now().saturating_sub(started)),
        }
    }

    /// Returns the time of the run.
    pub(crate) fn now(&self) -> Micros {
        self.run.clock.now()
    }

    /// Returns whether it is primary.
    pub(crate) fn is_primary(&self) -> bool {
        self.primary.load(Ordering::SeqCst)
    }

    /// Makes it a replica.
    pub(crate) fn demote(&self) {
        self.demoted_at.store(self.now(), Ordering::SeqCst);
        self.primary.store(false, Ordering::SeqCst);
    }

    /// Returns its role, as batch answers name it.
    pub(crate) fn role(&self) -> MemberRole {
        let demoted_at = self.demoted_at.load(Ordering::SeqCst);
        match self.is_primary() {
            true => MemberRole::Primary,
            false if demoted_at > 0 && self.now() < demoted_at + FORMER_PRIMARY_TIME => {
                MemberRole::FormerPrimary
            }
            false => MemberRole::Replica,
        }
    }

    /// Records an attempt.
    pub(crate) fn record(&self, attempt: AttemptRecord) {
        self.run.history.attempts.lock().unwrap().push(attempt);
    }

    /// Returns the Unix time in milliseconds that it reports as this position.
    pub(crate) fn reported_ms(&self, position: Micros) -> u64 {
        let hides_lag = self.hides_lag.load(Ordering::SeqCst);
        self.unix_ms(if hides_lag { self.now() } else { position })
    }

    /// Converts a time of the run to a Unix time in milliseconds.
    fn unix_ms(&self, position: Micros) -> u64 {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        now - self.run.clock.now().saturating_sub(position) / MS
    }

    fn answer_health_check(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        if self.fault() == MemberFault::Hangs {
            return Ok(());
        }
        let position_ms = self.reported_ms(self.position());
        let primary = self.primary.load(Ordering::SeqCst);
        let report = format!("x0={}.{:03},x1={}", position_ms / 1000, position_ms % 1000, u8::from(primary));
        MemberReply { result: Ok(&report), primary, position_ms }.write(stream)
    }

    /// Answers an attempt and records it. Returns `false` if the connection must be closed.
    fn answer_query(
        &self,
        stream: &mut TcpStream,
        proxy: usize,
        text: &str,
        draws: &mut Draws,
    ) -> std::io::Result<bool> {
        let at = self.run.clock.now();
        let id = u64::from_str_radix(field(text, "id=").unwrap_or("0"), 16).unwrap_or(0);
        let told_wait = field(text, "d=").and_then(|digits| digits.parse::<u64>().ok()).unwrap_or(0) * MS;
        let primary = self.primary.load(Ordering::SeqCst);
        let (position, fault) = (self.position(), self.fault());
        let (end, executed) = self.outcome(text, primary, position, fault, draws);
        let mut value = format!("v{id:016x}-{}-{at}", self.index);
        let mut executed = executed;
        if let (true, Some(key)) = (executed, field(text, "k=")) {
            let mut keys = self.keys.lock().unwrap();
            let (first_at, first_value) = keys.entry(key.into()).or_insert((at, value.clone())).clone();
            // A key that was seen within the window is not executed again: the reply has the first value.
            if first_at != at && at < first_at + KEY_WINDOW {
                executed = false;
                value = first_value;
            }
        }
        if self.mixes_values.load(Ordering::SeqCst) && end == AttemptEnd::Served {
            value = format!("v{:016x}-0-0", id ^ 1);
        }
        if executed {
            self.work(draws);
        }
        let recorded = AttemptRecord {
            id,
            proxy,
            member: self.index,
            at,
            told_wait,
            executed,
            value: if self.mixes_values.load(Ordering::SeqCst) { String::new() } else { value.clone() },
            position,
            primary,
            end,
        };
        self.record(recorded);
        let reply = |result| MemberReply { result, primary, position_ms: self.reported_ms(position) };
        match end {
            AttemptEnd::Served => reply(Ok(&value)).write(stream)?,
            AttemptEnd::NotServable => {
                reply(Err(if text.starts_with("INSERT") { "25006" } else { "72000" })).write(stream)?;
            }
            AttemptEnd::Error => reply(Err("XX000")).write(stream)?,
            AttemptEnd::Rejected => reply(Err("53300")).write(stream)?,
            AttemptEnd::NoAnswer => {
                self.end_unanswered(stream);
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Waits until the proxy closes a connection without an answer, or resets it, as the fault says.
    pub(crate) fn end_unanswered(&self, stream: &mut TcpStream) {
        if self.fault() == MemberFault::Hangs {
            let _ = std::io::Read::read(stream, &mut [0]);
        } else {
            let _ = rustix::net::sockopt::set_socket_linger(&*stream, Some(Duration::ZERO));
        }
    }

    /// Returns how an execution of this statement ends now, and whether it runs.
    pub(crate) fn outcome_of(&self, text: &str, position: Micros, draws: &mut Draws) -> (AttemptEnd, bool) {
        self.outcome(text, self.is_primary(), position, self.fault(), draws)
    }

    /// Returns how an attempt ends, and whether its statement runs.
    fn outcome(
        &self,
        text: &str,
        primary: bool,
        position: Micros,
        fault: MemberFault,
        draws: &mut Draws,
    ) -> (AttemptEnd, bool) {
        if self.draining.load(Ordering::SeqCst) {
            return (AttemptEnd::Rejected, false);
        }
        match fault {
            MemberFault::Hangs => return (AttemptEnd::NoAnswer, true),
            MemberFault::Resets => return (AttemptEnd::NoAnswer, draws.once_in(2)),
            _ => {}
        }
        let after = field(text, "after=").and_then(|digits| digits.parse::<u64>().ok());
        let is_behind = after.is_some_and(|after| self.unix_ms(position) < after) && self.rejects_stale;
        if !primary && (is_behind || text.starts_with("INSERT")) {
            return (AttemptEnd::NotServable, false);
        }
        if fault == MemberFault::Errors && draws.once_in(2) {
            return (AttemptEnd::Error, true);
        }
        (AttemptEnd::Served, true)
    }
}

/// Returns the value of a field in a statement's comment; `name` includes the `=`.
pub(crate) fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let comment = text.split("/* ").nth(1)?.strip_suffix(" */")?;
    comment.split(',').find_map(|field| field.strip_prefix(name))
}
