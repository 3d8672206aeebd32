//! The progress of a job, shared by the worker thread that runs the job and the event loop that may cancel
//! the job.

#[cfg(test)]
mod tests;

use std::sync::atomic::{AtomicU8, Ordering};

/// The phase of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
enum Phase {
    /// Nothing has been written for the job.
    Queued,
    /// The job was cancelled before it started: the member has executed nothing, and will not.
    Cancelled,
    /// The connection is in use for a liveness check or for the messages before the first Execute: the member
    /// has executed nothing.
    Preparing,
    /// The job has started: the member may execute it.
    Started,
}

/// The phase of a job, changed atomically. Each transition is made by one side only, the event loop or the
/// worker. All accesses are sequentially consistent.
pub(super) struct JobState(AtomicU8);

impl JobState {
    /// The initial state of a job.
    pub(super) fn queued() -> JobState {
        JobState(AtomicU8::new(Phase::Queued as u8))
    }

    /// The state of a connection that has had no job: there is none to cancel.
    pub(super) fn cancelled() -> JobState {
        JobState(AtomicU8::new(Phase::Cancelled as u8))
    }

    /// Whether the job has been cancelled.
    pub(super) fn is_cancelled(&self) -> bool {
        self.0.load(Ordering::SeqCst) == Phase::Cancelled as u8
    }

    /// Cancels the job, on the event loop, if nothing has been written for it.
    pub(super) fn cancel_queued(&self) -> bool {
        self.transition(Phase::Queued, Phase::Cancelled)
    }

    /// Cancels the job, on the event loop, if the connection is in use but nothing can have been executed.
    pub(super) fn cancel_preparing(&self) -> bool {
        self.transition(Phase::Preparing, Phase::Cancelled)
    }

    /// Marks, on the worker, that the connection is in use for a step before the job itself.
    pub(super) fn start_preparing(&self) -> bool {
        self.transition(Phase::Queued, Phase::Preparing)
    }

    /// Marks, on the worker, that a liveness check has ended: the job itself has not started.
    pub(super) fn return_to_queued(&self) -> bool {
        self.transition(Phase::Preparing, Phase::Queued)
    }

    /// Starts a queued job, on the worker.
    pub(super) fn start_queued(&self) -> bool {
        self.transition(Phase::Queued, Phase::Started)
    }

    /// Starts a job, on the worker, after the messages before its first Execute.
    pub(super) fn start_prepared(&self) -> bool {
        self.transition(Phase::Preparing, Phase::Started)
    }

    /// Changes the phase from `from` to `to`; returns `false` if the job is in another phase.
    fn transition(&self, from: Phase, to: Phase) -> bool {
        self.0.compare_exchange(from as u8, to as u8, Ordering::SeqCst, Ordering::SeqCst).is_ok()
    }
}
