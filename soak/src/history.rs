//! The records of a run: what clients, members, discovery and the processes saw. The rules are checked on
//! these records alone.

use crate::batch_client::BatchRecord;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Microseconds since the start of the run.
pub type Micros = u64;
/// Microseconds in a millisecond.
pub const MS: Micros = 1_000;
/// Microseconds in a second.
pub const SECOND: Micros = 1_000_000;

/// The clock of one run.
#[derive(Clone, Copy)]
pub struct RunClock(Instant);

impl RunClock {
    /// Starts the clock at 0.
    pub fn start() -> RunClock {
        RunClock(Instant::now())
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Micros {
        self.0.elapsed().as_micros() as Micros
    }
}

/// The state that all emulators of a run share.
#[derive(Clone)]
pub struct RunContext {
    /// The seed of the run.
    pub seed: u64,
    /// Where the emulators record what they see.
    pub history: Arc<History>,
    /// The clock of the run.
    pub clock: RunClock,
    /// Set at the end of the run; the emulators' threads end when they see it.
    pub is_over: Arc<AtomicBool>,
}

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// Served with this value.
    Served(String),
    /// Rejected or failed with this SQLSTATE.
    Error(String),
    /// The proxy forwarded the request, and closed the connection without an answer.
    Closed,
    /// No answer came until half a second after the client's deadline.
    Silent,
    /// The client closed its connection before the answer.
    Left,
    /// The connection was closed because the proxy's process was killed without a SIGTERM before.
    Excused,
}

/// A request, as its client saw it.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// The id in the statement's comment.
    pub id: u64,
    /// The index of the proxy that it was sent to.
    pub proxy: usize,
    /// The index of its class in [`CLASSES`](crate::scenario::CLASSES).
    pub class: usize,
    /// When its last byte was written.
    pub sent_at: Micros,
    /// How long its client waits for the answer, as the statement's comment says.
    pub wait: Micros,
    /// When the client got the answer, saw the close, left, or stopped waiting.
    pub ended_at: Micros,
    /// How it ended for the client.
    pub end: RequestEnd,
}

/// How a member answered an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// With a value.
    Served,
    /// With an error, since the member is not the primary or is too far behind; the statement did not run.
    NotServable,
    /// With an error, after the statement ran.
    Error,
    /// With an error, since the member drains; the statement did not run.
    Rejected,
    /// Not at all: the member hung or reset the connection, with the statement run or not.
    NoAnswer,
}

/// An attempt, as a member saw it.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// The id of its request.
    pub id: u64,
    /// The index of the proxy that sent it.
    pub proxy: usize,
    /// The index of the member.
    pub member: usize,
    /// When it arrived at the member.
    pub at: Micros,
    /// How long the proxy waits for the answer, as the comment field `d` of the statement tells the member.
    pub told_wait: Micros,
    /// Whether the member ran the statement.
    pub executed: bool,
    /// The value that the member made for it, or that of the first run of its idempotency key, also if it was
    /// not sent; empty while the member mixes values.
    pub value: String,
    /// The time of the run up to which the member had applied the log.
    pub position: Micros,
    /// Whether the member was primary.
    pub primary: bool,
    /// How the member answered.
    pub end: AttemptEnd,
}

/// A change of one member in the list of discovery.
#[derive(Clone, Copy, Debug)]
pub struct ListChange {
    /// When the list changed.
    pub at: Micros,
    /// The revision that the change made.
    pub revision: u64,
    /// The index of the member.
    pub member: usize,
    /// Whether the member is `SERVING`, so that proxies may send it new attempts.
    pub serving: bool,
}

/// A notice of discovery to a proxy, or a time from which the proxy counts as notified.
#[derive(Clone, Copy, Debug)]
pub struct Notice {
    /// When the proxy was notified or began to count as notified.
    pub at: Micros,
    /// The index of the proxy.
    pub proxy: usize,
    /// The revision of the list that the notice brought the proxy to.
    pub revision: u64,
}

/// A finding of rule `process`, made during the run.
#[derive(Clone, Debug)]
pub struct Incident {
    /// When it was seen.
    pub at: Micros,
    /// The index of the proxy; 0 for a fault of the emulator.
    pub proxy: usize,
    /// What was expected and what was seen.
    pub text: String,
}

/// Sleep of the thread that watches for stalls of the machine.
const STALL_STEP: Duration = Duration::from_millis(4);
/// Delay beyond [`STALL_STEP`] from which a late wake-up counts as a stall.
const MIN_STALL: Micros = 15 * MS;
/// Time before and after a stall within which it can explain a finding.
const STALL_VICINITY: Micros = SECOND;

/// Records stalls of the machine until the end of the run. A stall is a late wake-up from a short sleep.
pub fn watch_for_stalls(run: &RunContext) {
    while !run.is_over.load(Ordering::SeqCst) {
        let before = run.clock.now();
        std::thread::sleep(STALL_STEP);
        let now = run.clock.now();
        let late = now.saturating_sub(before + STALL_STEP.as_micros() as Micros);
        if late >= MIN_STALL {
            run.history.stalls.lock().unwrap().push((now, late));
        }
    }
}

/// All records of a run.
#[derive(Default)]
pub struct History {
    /// Requests, in the order in which they ended.
    pub requests: Mutex<Vec<RequestRecord>>,
    /// Batches, in the order in which they ended.
    pub batches: Mutex<Vec<BatchRecord>>,
    /// Attempts, in the order in which members recorded them.
    pub attempts: Mutex<Vec<AttemptRecord>>,
    /// Changes of the list, in the order of their revisions.
    pub changes: Mutex<Vec<ListChange>>,
    /// Notices of discovery to the proxies.
    pub notices: Mutex<Vec<Notice>>,
    /// Starts of members during the run: the time, and the index of the member.
    pub member_starts: Mutex<Vec<(Micros, usize)>>,
    /// Stalls of the machine: the time of the late wake-up, and the delay.
    pub stalls: Mutex<Vec<(Micros, Micros)>>,
    /// Findings made during the run.
    pub incidents: Mutex<Vec<Incident>>,
    /// Actions on processes, members and discovery, and starts and ends of processes, for the report.
    pub events: Mutex<Vec<(Micros, String)>>,
}

impl History {
    /// Records an event for the report.
    pub fn note(&self, at: Micros, text: String) {
        self.events.lock().unwrap().push((at, text));
    }

    /// Returns the longest stall around this time; 0 if there was none.
    pub fn stall_around(&self, at: Micros) -> Micros {
        let stalls = self.stalls.lock().unwrap();
        let near = stalls.iter().filter(|(when, _)| when.abs_diff(at) <= STALL_VICINITY);
        near.map(|(_, length)| *length).max().unwrap_or(0)
    }

    /// Records a finding of rule `process`.
    pub fn incident(&self, at: Micros, proxy: usize, text: impl Into<String>) {
        self.incidents.lock().unwrap().push(Incident { at, proxy, text: text.into() });
    }
}
