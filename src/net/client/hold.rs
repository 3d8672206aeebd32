//! Clients that are held back: how often and how long their input waited in their sockets, and why.

use crate::client::ClientId;
use crate::line_budget::LineBudget;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// The target of the log line.
const LOG_TARGET: &str = "liftrelay::net::client";
/// A connection is logged once it has been held back for this long in all.
const LOG_AFTER: Duration = Duration::from_millis(500);

/// Why nothing is read from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldReason {
    /// Its events have no further place in the queue to the event loop.
    Queue,
    /// Its commands in progress are as many, or have as many bytes, as are admitted.
    Commands,
    /// It does not read its answers.
    Answers,
}

impl HoldReason {
    /// All reasons, in the order of their numbers.
    pub const ALL: [HoldReason; 3] = [HoldReason::Queue, HoldReason::Commands, HoldReason::Answers];

    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            HoldReason::Queue => "queue",
            HoldReason::Commands => "commands",
            HoldReason::Answers => "answers",
        }
    }
}

/// How often, and how long in all, connections were held back for one reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HoldCounts {
    /// The number of times.
    pub times: u64,
    /// The sum of their lengths, of those that have ended.
    pub held: Duration,
}

/// The totals over all connections, and the limit on log lines.
pub(super) struct HoldTotals {
    times: [AtomicU64; HoldReason::ALL.len()],
    micros: [AtomicU64; HoldReason::ALL.len()],
    lines: Mutex<LineBudget>,
    started_at: Instant,
}

impl Default for HoldTotals {
    fn default() -> Self {
        HoldTotals {
            times: Default::default(),
            micros: Default::default(),
            lines: Mutex::new(LineBudget::full(0)),
            started_at: Instant::now(),
        }
    }
}

impl HoldTotals {
    /// The counts, in the order of [`HoldReason::ALL`].
    pub(super) fn counts(&self) -> [HoldCounts; HoldReason::ALL.len()] {
        HoldReason::ALL.map(|reason| HoldCounts {
            times: self.times[reason as usize].load(Ordering::Relaxed),
            held: Duration::from_micros(self.micros[reason as usize].load(Ordering::Relaxed)),
        })
    }

    fn log(&self, client: ClientId, reason: HoldReason, held: Duration, events: u64) {
        let now = self.started_at.elapsed().as_micros() as u64;
        let line = self.lines.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).take(now);
        let Some(left_out) = line else { return };
        let (reason, held_ms) = (reason.name(), held.as_millis());
        tracing::info!(target: LOG_TARGET, client, reason, held_ms, events, left_out, "client held back");
    }
}

/// The holds of one connection.
#[derive(Default)]
pub(super) struct Hold {
    current: Option<(Instant, HoldReason)>,
    held: Duration,
    is_logged: bool,
}

impl Hold {
    /// Begins a hold, unless there is one.
    pub(super) fn begin(&mut self, reason: HoldReason, totals: &HoldTotals) {
        if self.current.is_none() {
            self.current = Some((Instant::now(), reason));
            totals.times[reason as usize].fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Ends the hold. Logs the connection, once, if it has been held back for [`LOG_AFTER`] by now; `events`
    /// is the number of events that it has reported.
    pub(super) fn end(&mut self, client: ClientId, events: u64, totals: &HoldTotals) {
        let Some((since, reason)) = self.current.take() else { return };
        let held = since.elapsed();
        self.held += held;
        totals.micros[reason as usize].fetch_add(held.as_micros() as u64, Ordering::Relaxed);
        if self.held >= LOG_AFTER && !std::mem::replace(&mut self.is_logged, true) {
            totals.log(client, reason, self.held, events);
        }
    }
}
