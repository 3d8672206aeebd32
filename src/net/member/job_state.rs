//! The progress of a job, shared by the thread that runs it and the event loop, which may withdraw it.

#[cfg(test)]
mod tests;

use std::sync::atomic::{AtomicU8, Ordering};

/// The progress of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
enum Phase {
    /// Nothing has been written for it.
    Queued,
    /// It was withdrawn before it started: nothing has been or will be executed.
    Withdrawn,
    /// The connection is in use for a liveness check or for the messages before the first Execute: the member
    /// has executed nothing.
    Preparing,
    /// It has started: the member may execute it.
    Begun,
}

/// The phase of a job. Each transition is made by one side only, and all are sequentially consistent.
pub(super) struct JobState(AtomicU8);

impl JobState {
    /// The state of a job that is to run.
    pub(super) fn queued() -> JobState {
        JobState(AtomicU8::new(Phase::Queued as u8))
    }

    /// The state where there is no job.
    pub(super) fn withdrawn() -> JobState {
        JobState(AtomicU8::new(Phase::Withdrawn as u8))
    }

    /// Whether the job has been withdrawn.
    pub(super) fn is_withdrawn(&self) -> bool {
        self.0.load(Ordering::SeqCst) == Phase::Withdrawn as u8
    }

    /// The event loop withdraws the job before anything was written for it.
    pub(super) fn withdraw_queued(&self) -> bool {
        self.transition(Phase::Queued, Phase::Withdrawn)
    }

    /// The event loop withdraws the job while the connection is in use, but nothing can have been executed.
    pub(super) fn withdraw_preparing(&self) -> bool {
        self.transition(Phase::Preparing, Phase::Withdrawn)
    }

    /// The worker starts to use the connection for the steps before the job itself.
    pub(super) fn start_preparing(&self) -> bool {
        self.transition(Phase::Queued, Phase::Preparing)
    }

    /// The worker has finished a liveness check: the job itself has not started yet.
    pub(super) fn return_to_queued(&self) -> bool {
        self.transition(Phase::Preparing, Phase::Queued)
    }

    /// The worker starts the job.
    pub(super) fn begin(&self) -> bool {
        self.transition(Phase::Queued, Phase::Begun)
    }

    /// The worker starts the job after the steps before its Execute.
    pub(super) fn begin_prepared(&self) -> bool {
        self.transition(Phase::Preparing, Phase::Begun)
    }

    /// Makes a transition; `false` if the job is not in the phase `from`.
    fn transition(&self, from: Phase, to: Phase) -> bool {
        self.0.compare_exchange(from as u8, to as u8, Ordering::SeqCst, Ordering::SeqCst).is_ok()
    }
}
