//! A limit on the rate of log lines of one kind.

use crate::Micros;
use std::num::NonZeroU64;

/// The number of lines of one kind that may be written in a burst.
const BURST: f64 = 64.0;
/// The number of lines of one kind that may be written per second after a burst.
const LINES_PER_SECOND: f64 = 8.0;
const MICROS_PER_SECOND: f64 = 1e6;

/// The number of lines of the same kind that were left out before a line; `None` if there were none.
pub type LeftOut = Option<NonZeroU64>;

/// A token bucket that limits the lines of one kind.
pub struct LineBudget {
    /// The number of lines that may be written at `updated_at`.
    lines: f64,
    updated_at: Micros,
    /// The number of lines that have been left out since the last written line.
    left_out: u64,
}

impl LineBudget {
    /// Creates a full budget.
    pub fn full(now: Micros) -> LineBudget {
        LineBudget { lines: BURST, updated_at: now, left_out: 0 }
    }

    /// Takes one line from the budget, and returns how many lines were left out before it; `None` if the
    /// budget is used up, so that this line is left out as well.
    pub fn take(&mut self, now: Micros) -> Option<LeftOut> {
        let elapsed = now.saturating_sub(self.updated_at) as f64 / MICROS_PER_SECOND;
        self.updated_at = now;
        self.lines = (self.lines + elapsed * LINES_PER_SECOND).min(BURST);
        if self.lines < 1.0 {
            self.left_out += 1;
            return None;
        }
        self.lines -= 1.0;
        Some(NonZeroU64::new(std::mem::take(&mut self.left_out)))
    }
}
