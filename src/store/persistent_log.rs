//! The log on the disk and its health. After a failed write, the log can't be used until its contents are
//! replaced by those in memory.

use super::LOG_TARGET;
use super::error::StoreError;
use super::log_file::LogFile;
use super::raft::{Entry, HardState, PersistedState};
use super::state::{Change, State};
use crate::Micros;
use crate::clock::Clock;
use crate::random::RandomSource;

/// The delay before the first attempt to replace a failed log. It is shorter than an election, so that a
/// transient error costs the group less time than an election does. Each later delay is twice as long.
const FIRST_RETRY_DELAY: Micros = 100_000;
/// The longest delay between two attempts. A disk that has space again is used after at most this time, plus
/// the jitter.
const MAX_RETRY_DELAY: Micros = 5_000_000;
/// The random jitter of a delay is less than the delay divided by this. Without jitter, replicas that share a
/// disk would replace their logs at the same time.
const JITTER_DIVISOR: Micros = 4;

/// The log could not be written to. [`PersistentLog::failure`] returns the error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PersistFailed;

/// The health of the log.
enum LogState {
    /// Everything that was passed to the log is on the disk.
    Healthy,
    /// A write or a sync failed. The log has to be replaced.
    Failed(Failure),
}

struct Failure {
    /// The text of the first error.
    error: String,
    failed_at: Micros,
    attempts: u64,
    /// The delay before the next attempt to replace the log, without its jitter.
    delay: Micros,
    retry_at: Micros,
}

/// The log of a replica, on the disk or, without a file, in memory only.
pub struct PersistentLog {
    file: Option<LogFile>,
    state: LogState,
    clock: Clock,
    random: RandomSource,
}

impl PersistentLog {
    /// Creates a healthy log; without a file, the log is in memory only.
    pub fn new(file: Option<LogFile>, clock: Clock, seed: u64) -> Self {
        PersistentLog { file, state: LogState::Healthy, clock, random: RandomSource::new(seed) }
    }

    /// Appends the hard state, if it has changed, and the entries. They are on the disk when this returns
    /// `Ok`.
    pub fn append(&mut self, hard_state: HardState, entries: &[Entry<Change>]) -> Result<(), PersistFailed> {
        let Some(file) = &mut self.file else { return Ok(()) };
        let result = file.append(hard_state, entries);
        result.map_err(|error| self.fail(&error))
    }

    /// Replaces the contents of the log. A failed log is healthy again if this succeeds.
    pub fn replace(&mut self, contents: PersistedState<Change, State>) -> Result<(), PersistFailed> {
        let Some(file) = &mut self.file else { return Ok(()) };
        match file.replace(contents) {
            Ok(()) => {
                self.recover();
                Ok(())
            }
            Err(error) => Err(self.fail(&error)),
        }
    }

    /// Returns when the next attempt to replace a failed log is due; `None` for a healthy log.
    pub fn retry_at(&self) -> Option<Micros> {
        match &self.state {
            LogState::Healthy => None,
            LogState::Failed(failure) => Some(failure.retry_at),
        }
    }

    /// Returns the first error of a failed log; `None` for a healthy log.
    pub fn failure(&self) -> Option<&str> {
        match &self.state {
            LogState::Healthy => None,
            LogState::Failed(failure) => Some(&failure.error),
        }
    }

    /// Records a failure and schedules the next attempt to replace the log. Logs only the first error.
    pub fn fail(&mut self, error: &StoreError) -> PersistFailed {
        let now = self.clock.now();
        let failure = match std::mem::replace(&mut self.state, LogState::Healthy) {
            LogState::Healthy => {
                tracing::error!(
                    target: LOG_TARGET, %error, "raft log can't be written: this replica follows silently"
                );
                Failure::first(now, error)
            }
            LogState::Failed(failure) => failure.after_failed_attempt(now),
        };
        let jitter = self.random.below(failure.delay / JITTER_DIVISOR);
        self.state = LogState::Failed(Failure { retry_at: failure.retry_at + jitter, ..failure });
        PersistFailed
    }

    fn recover(&mut self) {
        if let LogState::Failed(failure) = std::mem::replace(&mut self.state, LogState::Healthy) {
            let failed_ms = self.clock.now().saturating_sub(failure.failed_at) / 1000;
            let attempts = failure.attempts;
            tracing::info!(target: LOG_TARGET, failed_ms, attempts, "raft log is written again");
        }
    }
}

impl Failure {
    fn first(now: Micros, error: &StoreError) -> Self {
        Failure {
            error: error.to_string(),
            failed_at: now,
            attempts: 1,
            delay: FIRST_RETRY_DELAY,
            retry_at: now + FIRST_RETRY_DELAY,
        }
    }

    /// Counts another failed attempt, and doubles the delay up to [`MAX_RETRY_DELAY`].
    fn after_failed_attempt(self, now: Micros) -> Self {
        let delay = (self.delay * 2).min(MAX_RETRY_DELAY);
        Failure { attempts: self.attempts + 1, delay, retry_at: now + delay, ..self }
    }
}

#[cfg(test)]
mod tests;
