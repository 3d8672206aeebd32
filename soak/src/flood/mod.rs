//! Floods: clients that send one kind of message as fast as the proxy reads, in one state of their
//! connections, while ordinary clients of both listeners are judged by their deadlines.
//!
//! A seed draws the play. The kinds come from the tables of the proxy's parser, in turn, so that as many seeds
//! in a row as there are kinds play all of them.

pub mod flooder;
mod member;
pub mod messages;
pub mod ordinary;
mod stage;

use crate::random::Draws;
use flooder::{Flood, FloodCounts};
use liftrelay::StartupKind;
use messages::{BodyForm, ConnectionState, MessageKind, all_kinds};
use ordinary::{Answer, Answered, Ordinary};
use stage::Stage;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// The shortest deadline of the deployments and a longer one, each for a client of each listener; and that of
/// health checks and admin calls, which the pages answer within a second.
const DEADLINES: [Duration; 4] = [
    Duration::from_millis(355),
    Duration::from_millis(355),
    Duration::from_millis(1027),
    Duration::from_millis(2900),
];
const CHECK_DEADLINE: Duration = Duration::from_secs(1);
/// What the protocol page adds to each limit on sockets.
const SLACK: Duration = Duration::from_millis(50);
/// The memory limit of the proxies in MB, that of the smallest ones in service.
pub const MEMORY_MB: u64 = 32;
/// The earliest time of SIGKILL after SIGTERM.
const EXIT_LIMIT: Duration = Duration::from_millis(3700);
/// How long the ordinary clients run before the flood.
const QUIET_TIME: Duration = Duration::from_millis(200);
/// A sleep of this length that ends late shows that the machine kept the emulator waiting.
const STALL_STEP: Duration = Duration::from_millis(4);

/// What happens in the middle of a flood.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbance {
    /// Nothing.
    None,
    /// SIGHUP with another discovery address.
    Reload,
    /// Changes of the endpoint list without end.
    ListChanges,
    /// SIGTERM.
    Terminate,
}

/// A flood and what runs beside it.
#[derive(Clone, Debug)]
pub struct Play {
    /// What the flooding clients do; `None` for a play without a flood.
    pub flood: Option<Flood>,
    /// Whether they flood the extended listener.
    pub extended: bool,
    /// How long they do it.
    pub duration: Duration,
    /// Whether the proxies are held to one core.
    pub one_core: bool,
    /// The number of proxies, each with a flood and clients of its own.
    pub proxies: usize,
    /// What happens in the middle.
    pub disturbance: Disturbance,
    /// A fault to plant: the first proxy is stopped for this long in the middle.
    pub planted_stop: Option<Duration>,
    /// The seed of all draws.
    pub seed: u64,
}

/// What a play has shown.
#[derive(Debug)]
pub struct PlayResult {
    /// The answers of the ordinary clients while the flood ran.
    pub answers: Vec<Answer>,
    /// The rules that were broken.
    pub findings: Vec<String>,
    /// Counters of the first proxy at the end of the flood.
    pub counters: String,
    /// The bytes that the flooding clients sent.
    pub flood_bytes: u64,
    /// The connections that they opened.
    pub flood_connections: u64,
    /// The highest memory of a proxy in KiB.
    pub memory_kib: u64,
}

impl Play {
    /// Draws the play of a seed.
    pub fn draw(seed: u64) -> Play {
        let mut draws = Draws::new(seed, 53);
        let kinds = all_kinds();
        let reconnects = draws.once_in(4);
        let kind = kinds[seed as usize % kinds.len()].clone();
        let any_state = draws.pick(&ConnectionState::ALL);
        let flood = Flood {
            state: if draws.once_in(2) { kind.usual_state(&mut draws) } else { any_state },
            kind,
            form: draws.pick(&BodyForm::ALL),
            messages_per_sync: draws.pick(&[0, 1, 10, 1000]),
            connections: draws.pick(&[1, 6, 40]),
            reads: !draws.once_in(3),
            messages_per_connection: if reconnects { draws.pick(&[1, 10]) } else { 0 },
            piece_bytes: draws.pick(&[1, 100, 1 << 20, 1 << 20]),
        };
        let disturbances =
            [Disturbance::None, Disturbance::Reload, Disturbance::ListChanges, Disturbance::Terminate];
        let one_core = draws.below(3) > 0;
        Play {
            flood: Some(flood),
            extended: draws.once_in(2),
            duration: Duration::from_millis(1200),
            one_core,
            proxies: if one_core && draws.once_in(3) { 2 } else { 1 },
            disturbance: draws.pick(&disturbances),
            planted_stop: None,
            seed,
        }
    }

    /// The plays of the incident of 2026-12-05: six connections with requests for encryption at full speed, on
    /// either listener, on one core and on all.
    pub fn of_encryption_requests() -> Vec<Play> {
        let asks_for_encryption =
            |kind: &MessageKind| matches!(kind, MessageKind::Startup { kind: StartupKind::Encryption, .. });
        let mut plays = Vec::new();
        for kind in all_kinds().into_iter().filter(asks_for_encryption) {
            for (extended, one_core) in [(false, false), (true, false), (false, true), (true, true)] {
                let flood = Flood { kind: kind.clone(), ..Flood::on_six_connections() };
                plays.push(Play { extended, one_core, ..Play::of_flood(Some(flood)) });
            }
        }
        plays
    }

    /// A play of this flood on the platform's listener, on all cores and without a disturbance.
    pub fn of_flood(flood: Option<Flood>) -> Play {
        Play {
            flood,
            extended: false,
            duration: Duration::from_secs(3),
            one_core: false,
            proxies: 1,
            disturbance: Disturbance::None,
            planted_stop: None,
            seed: 1,
        }
    }

    /// Plays it with the proxy's program at `program`; `folder` is created for the time of the play.
    pub fn run(&self, program: &Path, folder: &Path) -> std::io::Result<PlayResult> {
        let mut stage = Stage::prepare(self, program, folder)?;
        let (is_over, is_flood_over, counts) =
            (AtomicBool::new(false), AtomicBool::new(false), FloodCounts::default());
        let ordinary = Ordinary {
            answers: Mutex::default(),
            is_over: &is_over,
            serial: AtomicU64::new(self.seed << 32),
        };
        let stalls = Mutex::new(Vec::new());
        let mut flood_began = Instant::now();
        let mut findings = Vec::new();
        let mut counters = String::new();
        std::thread::scope(|scope| {
            scope.spawn(|| watch_for_stalls(&is_over, &stalls));
            for (target, address, deadline) in stage.ordinary_clients() {
                let ordinary = &ordinary;
                scope.spawn(move || ordinary.run(target, address, deadline));
            }
            std::thread::sleep(QUIET_TIME);
            flood_began = Instant::now();
            for address in stage.flooded_addresses(self.extended) {
                let (is_over, counts) = (&is_flood_over, &counts);
                if let Some(flood) = &self.flood {
                    scope.spawn(move || flood.run(address, self.seed, is_over, counts));
                }
            }
            stage.disturb(self, flood_began, &mut findings);
            findings.extend(stage.usage_findings());
            counters = stage.counters(&["not_served.", "attempts_failed.", "event_queue.clients."]);
            is_flood_over.store(true, Ordering::SeqCst);
            is_over.store(true, Ordering::SeqCst);
        });
        let mut answers = ordinary.answers.into_inner().unwrap();
        answers.retain(|answer| answer.sent_at >= flood_began);
        let stalls = stalls.into_inner().unwrap();
        findings.extend(answers.iter().filter_map(|answer| self.judge(answer, &stalls, &stage)));
        let memory_kib = stage.highest_memory_kib();
        let [flood_bytes, flood_connections] =
            [&counts.bytes, &counts.connections].map(|count| count.load(Ordering::SeqCst));
        Ok(PlayResult { answers, findings, counters, flood_bytes, flood_connections, memory_kib })
    }

    /// Returns what is wrong with an answer. The machine's own stalls excuse twice their length.
    fn judge(&self, answer: &Answer, stalls: &[(Instant, Duration)], stage: &Stage) -> Option<String> {
        let ended_at = answer.sent_at + answer.took;
        let was_stopping = stage.terminated_at.is_some_and(|at| ended_at >= at);
        let near = stalls.iter().filter(|(at, _)| *at >= answer.sent_at && *at <= ended_at + STALL_STEP);
        let stalled: Duration = near.map(|(_, length)| *length).sum();
        let limit = answer.deadline + SLACK + 2 * stalled;
        let Answer { target, deadline, took, end, .. } = answer;
        let is_late = *took > limit || *end == Answered::Silent;
        // A proxy that is ending closes connections between requests and rejects what comes late.
        let is_unserved = *end != Answered::Served && !was_stopping;
        (is_late || is_unserved)
            .then(|| format!("{target:?} {deadline:?}: {end:?} after {took:?}, stalled for {stalled:?}"))
    }
}

/// Records stalls of the machine until the end: when they ended, and their length.
fn watch_for_stalls(is_over: &AtomicBool, stalls: &Mutex<Vec<(Instant, Duration)>>) {
    while !is_over.load(Ordering::SeqCst) {
        let before = Instant::now();
        std::thread::sleep(STALL_STEP);
        let late = before.elapsed().saturating_sub(STALL_STEP);
        if late >= STALL_STEP {
            stalls.lock().unwrap().push((Instant::now(), late));
        }
    }
}

impl PlayResult {
    /// The time within which this share of the answers came, of all targets.
    pub fn quantile(&self, share: f64) -> Duration {
        let mut times: Vec<_> = self.answers.iter().map(|answer| answer.took).collect();
        times.sort_unstable();
        let index = (times.len() as f64 * share) as usize;
        times.get(index.min(times.len().saturating_sub(1))).copied().unwrap_or_default()
    }

    /// One line of figures.
    pub fn summary(&self) -> String {
        let slowest = self.answers.iter().max_by_key(|answer| answer.took);
        let of = |deadline: Duration| self.answers.iter().filter(|answer| answer.took > deadline).count();
        format!(
            "{} answers, {} over 350 ms, median {:.1?}, 99 % {:.1?}, longest {:.1?} ({:?}), flood {} KiB on {} \
             connections, memory {} KiB",
            self.answers.len(),
            of(Duration::from_millis(350)),
            self.quantile(0.5),
            self.quantile(0.99),
            self.quantile(1.0),
            slowest.map(|answer| answer.target),
            self.flood_bytes / 1024,
            self.flood_connections,
            self.memory_kib
        )
    }
}
