//! The log on the disk as the service sees it: healthy, or failed until it is replaced by what is in memory.

use super::LOG_TARGET;
use super::error::StoreError;
use super::log_file::LogFile;
use super::raft::{Entry, HardState, PersistedState};
use super::state::{Change, State};
use crate::Micros;
use crate::clock::Clock;
use crate::random::RandomSource;

/// The delay before the first replacement of a failed log: an error that passes at once costs the group less
/// than an election. Each later delay is twice as long.
const FIRST_RETRY_DELAY: Micros = 100_000;
/// The longest delay: a disk that has space again is used this much later at most, plus the jitter.
const MAX_RETRY_DELAY: Micros = 5_000_000;
/// The jitter is up to this fraction of a delay: replicas that share a disk don't write at the same time.
const JITTER_DIVISOR: Micros = 4;

/// The log could not be written to. [`PersistentLog::failure`] says why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PersistFailed;

/// The state of the log.
enum LogState {
    /// All that was persisted is on the disk.
    Healthy,
    /// A write or a sync failed. The log has to be replaced.
    Failed(Failure),
}

struct Failure {
    /// The first error.
    error: String,
    since: Micros,
    attempts: u64,
    /// The delay before the next replacement, without its jitter.
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
    /// A log that is healthy; in memory only without a file.
    pub fn new(file: Option<LogFile>, clock: Clock, seed: u64) -> Self {
        PersistentLog { file, state: LogState::Healthy, clock, random: RandomSource::new(seed) }
    }

    /// Appends term and vote, if they have changed, and entries.
    pub fn append(&mut self, hard_state: HardState, entries: &[Entry<Change>]) -> Result<(), PersistFailed> {
        let Some(file) = &mut self.file else { return Ok(()) };
        let result = file.append(hard_state, entries);
        result.map_err(|error| self.fail(&error))
    }

    /// Replaces the log.
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

    /// When the log has to be replaced next; `None` for a healthy one.
    pub fn retry_at(&self) -> Option<Micros> {
        match &self.state {
            LogState::Healthy => None,
            LogState::Failed(failure) => Some(failure.retry_at),
        }
    }

    /// Why nothing can be persisted; `None` for a healthy log.
    pub fn failure(&self) -> Option<&str> {
        match &self.state {
            LogState::Healthy => None,
            LogState::Failed(failure) => Some(&failure.error),
        }
    }

    /// Notes a failure, the first one in the process's log, too, and schedules the next replacement.
    pub fn fail(&mut self, error: &StoreError) -> PersistFailed {
        let now = self.clock.now();
        let failure = match std::mem::replace(&mut self.state, LogState::Healthy) {
            LogState::Healthy => {
                tracing::error!(
                    target: LOG_TARGET, %error, "raft log can't be written: this replica follows silently"
                );
                Failure::first(now, error)
            }
            LogState::Failed(failure) => failure.again(now),
        };
        let jitter = self.random.below(failure.delay / JITTER_DIVISOR);
        self.state = LogState::Failed(Failure { retry_at: failure.retry_at + jitter, ..failure });
        PersistFailed
    }

    fn recover(&mut self) {
        if let LogState::Failed(failure) = std::mem::replace(&mut self.state, LogState::Healthy) {
            let failed_ms = self.clock.now().saturating_sub(failure.since) / 1000;
            let attempts = failure.attempts;
            tracing::info!(target: LOG_TARGET, failed_ms, attempts, "raft log is written again");
        }
    }
}

impl Failure {
    fn first(now: Micros, error: &StoreError) -> Self {
        Failure {
            error: error.to_string(),
            since: now,
            attempts: 1,
            delay: FIRST_RETRY_DELAY,
            retry_at: now + FIRST_RETRY_DELAY,
        }
    }

    /// After another failure, with the next longer delay.
    fn again(self, now: Micros) -> Self {
        let delay = (self.delay * 2).min(MAX_RETRY_DELAY);
        Failure { attempts: self.attempts + 1, delay, retry_at: now + delay, ..self }
    }
}

#[cfg(test)]
mod tests;
