//! The time limits of a job: when it must have started, and how long the proxy waits for its result.

#[cfg(test)]
mod tests;

use crate::core::JobSpec;
use std::time::{Duration, Instant};

/// An attempt with less time than this is not begun: members are told whole milliseconds.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// The time limits of a job. They count from the decision to start it, whatever delays the start: the
/// proxy's own threads, opening the connection, a liveness check.
#[derive(Clone, Copy)]
pub(super) struct TimeLimits {
    /// The job must not start later than this.
    start_by: Option<Instant>,
    /// The proxy waits for the result until then.
    wait_until: Option<Instant>,
}

impl TimeLimits {
    /// The limits of a job that was decided at this time.
    pub(super) fn of<W>(job: &JobSpec<W>, decided_at: Instant) -> TimeLimits {
        match job {
            JobSpec::Attempt { timeout, start_within, .. } => TimeLimits {
                start_by: decided_at.checked_add(Duration::from_micros(*start_within)),
                wait_until: decided_at.checked_add(Duration::from_micros(*timeout)),
            },
            JobSpec::Probe => TimeLimits { start_by: None, wait_until: None },
        }
    }

    /// How long the proxy still waits for the result; `None` if the job must not start any more. Read right
    /// before the job is written, as the member is told this time.
    pub(super) fn time_left(&self) -> Option<Duration> {
        self.time_left_at(Instant::now())
    }

    fn time_left_at(&self, now: Instant) -> Option<Duration> {
        if self.start_by.is_some_and(|start_by| now > start_by) {
            return None;
        }
        let Some(wait_until) = self.wait_until else { return Some(Duration::MAX) };
        Some(wait_until.saturating_duration_since(now)).filter(|left| *left >= MIN_WAIT)
    }
}
