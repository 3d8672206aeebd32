//! What clients, members, discovery and the processes saw: the rules are checked on these records alone.

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
    /// Starts at 0.
    pub fn start() -> RunClock {
        RunClock(Instant::now())
    }

    /// The time since the start.
    pub fn now(&self) -> Micros {
        self.0.elapsed().as_micros() as Micros
    }
}

/// What all emulators of a run share.
#[derive(Clone)]
pub struct RunContext {
    /// The seed.
    pub seed: u64,
    /// The records.
    pub history: Arc<History>,
    /// The clock.
    pub clock: RunClock,
    /// The run is over.
    pub is_over: Arc<AtomicBool>,
}

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// Served with this value.
    Served(String),
    /// Rejected or failed with this SQLSTATE.
    Error(String),
    /// The proxy closed the connection without an answer, at least once more on a new connection.
    Closed,
    /// No answer had come half a second after its time.
    Silent,
    /// The client closed its connection first.
    Left,
    /// Its proxy was killed without a warning, or the run ended.
    Excused,
}

/// A request, as its client saw it.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Its id.
    pub id: u64,
    /// The index of the proxy.
    pub proxy: usize,
    /// The index of the class.
    pub class: usize,
    /// When its last byte was written.
    pub sent_at: Micros,
    /// How long its client waits.
    pub wait: Micros,
    /// When it ended.
    pub ended_at: Micros,
    /// How it ended.
    pub end: RequestEnd,
}

/// How a member answered an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// With its value.
    Served,
    /// Not the primary, or too far behind.
    NotServable,
    /// With an error, after it ran.
    Error,
    /// Turned away: the member drains.
    Rejected,
    /// Not at all: the member hung, or closed the connection.
    NoAnswer,
}

/// An attempt, as a member saw it.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// The id of its request.
    pub id: u64,
    /// The proxy that sent it.
    pub proxy: usize,
    /// The index of the member.
    pub member: usize,
    /// When it arrived.
    pub at: Micros,
    /// How long the member was told that the proxy waits.
    pub told_wait: Micros,
    /// It ran.
    pub executed: bool,
    /// The value it was answered with.
    pub value: String,
    /// How far the member had applied the log.
    pub position: Micros,
    /// The member was primary.
    pub primary: bool,
    /// How it ended.
    pub end: AttemptEnd,
}

/// A change of one member in the list, from when discovery had it.
#[derive(Clone, Copy, Debug)]
pub struct ListChange {
    /// When.
    pub at: Micros,
    /// The revision of the list.
    pub revision: u64,
    /// The index of the member.
    pub member: usize,
    /// Whether new requests may be sent to it.
    pub serving: bool,
}

/// Discovery told a proxy a revision, or it counts as told from then on.
#[derive(Clone, Copy, Debug)]
pub struct Notice {
    /// When.
    pub at: Micros,
    /// The proxy.
    pub proxy: usize,
    /// The revision.
    pub revision: u64,
}

/// A finding that was made while the run was played.
#[derive(Clone, Debug)]
pub struct Incident {
    /// When.
    pub at: Micros,
    /// The proxy.
    pub proxy: usize,
    /// What, in words.
    pub text: String,
}

/// A thread that sleeps for this ...
const STALL_STEP: Duration = Duration::from_millis(4);
/// ... and wakes this much later has met a stall.
const MIN_STALL: Micros = 15 * MS;
/// A stall explains what is found this long before or after it.
const STALL_VICINITY: Micros = SECOND;

/// Records the stalls of the machine until the run is over.
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
    /// Requests.
    pub requests: Mutex<Vec<RequestRecord>>,
    /// Attempts.
    pub attempts: Mutex<Vec<AttemptRecord>>,
    /// Changes of the list.
    pub changes: Mutex<Vec<ListChange>>,
    /// What discovery told.
    pub notices: Mutex<Vec<Notice>>,
    /// Starts of members: when, and the index of the member.
    pub member_starts: Mutex<Vec<(Micros, usize)>>,
    /// When a thread of the emulator that wanted to run did not, and for how long.
    pub stalls: Mutex<Vec<(Micros, Micros)>>,
    /// Findings made while the run was played.
    pub incidents: Mutex<Vec<Incident>>,
    /// What was done to the processes and to discovery, for the report.
    pub events: Mutex<Vec<(Micros, String)>>,
}

impl History {
    /// Notes something that was done.
    pub fn note(&self, at: Micros, text: String) {
        self.events.lock().unwrap().push((at, text));
    }

    /// How long the machine kept the emulator waiting around this time.
    pub fn stall_around(&self, at: Micros) -> Micros {
        let stalls = self.stalls.lock().unwrap();
        let near = stalls.iter().filter(|(when, _)| when.abs_diff(at) <= STALL_VICINITY);
        near.map(|(_, length)| *length).max().unwrap_or(0)
    }

    /// Records a finding.
    pub fn incident(&self, at: Micros, proxy: usize, text: impl Into<String>) {
        self.incidents.lock().unwrap().push(Incident { at, proxy, text: text.into() });
    }
}
