//! The clock of the process, and the conversion of times on the wire.
//!
//! On the wire, every position and every start of an endpoint is a Unix time in whole milliseconds, on the
//! clock of the members. In the core, all times are in microseconds on a monotonic clock that starts at this
//! machine's Unix time. That time may be wrong, so the state of each group holds an estimate of how far the
//! group's clock is ahead. Durations never depend on Unix time. Positions are rounded down and commits
//! rounded up to whole milliseconds, so a converted position is never later than the true one, and a
//! converted commit is never earlier.

use crate::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A clock that reads the Unix time once, at its start, and is monotonic afterwards.
#[derive(Clone, Copy)]
pub struct Clock {
    /// The Unix time at the start of the clock, in microseconds.
    base: Micros,
    /// The instant at which the clock was started.
    started: Instant,
}

impl Clock {
    /// Starts a clock at the current Unix time of this machine.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { base: unix.as_micros() as Micros, started: Instant::now() }
    }

    /// The current time, in microseconds.
    pub fn now(&self) -> Micros {
        self.base + self.started.elapsed().as_micros() as Micros
    }

    /// The [`Instant`] of a time on this clock; that of the start for earlier times.
    pub fn instant(&self, at: Micros) -> Instant {
        self.started + Duration::from_micros(at.saturating_sub(self.base))
    }
}

/// Converts a position or a start on the wire, a Unix time in milliseconds, to microseconds.
pub fn from_unix_ms(ms: u64) -> Micros {
    ms.saturating_mul(1000)
}
