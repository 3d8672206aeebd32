//! The one clock, and the one place where times on sockets are converted.
//!
//! On sockets, every position and start is a Unix time in milliseconds, on the clock of the members. In the
//! core all times are microseconds on a monotonic clock that starts at this machine's Unix time, which may be
//! wrong: the state of a group tells how far its clock is ahead. A span never depends on Unix time. Positions
//! are rounded down and commits rounded up, so a complete millisecond keeps its meaning here.

use crate::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A clock that reads Unix time once and never goes back afterwards.
#[derive(Clone, Copy)]
pub struct Clock {
    base: Micros,
    from: Instant,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { base: unix.as_micros() as Micros, from: Instant::now() }
    }

    /// The current time.
    pub fn now(&self) -> Micros {
        self.base + self.from.elapsed().as_micros() as Micros
    }

    /// The system time of a time on this clock.
    pub fn instant(&self, at: Micros) -> Instant {
        self.from + Duration::from_micros(at.saturating_sub(self.base))
    }
}

/// A position or a start on the wire.
pub fn from_unix_ms(ms: u64) -> Micros {
    ms.saturating_mul(1000)
}
