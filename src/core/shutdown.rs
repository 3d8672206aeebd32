//! Shutdown: every pending request gets its final answer before the proxy exits.

use super::Core;
use super::timers::TimerEvent;
use crate::Micros;

impl<W, A> Core<W, A> {
    /// Records the deadline of the shutdown, and brings later deadlines of pending requests forward to it.
    pub(super) fn begin_shutdown(&mut self, deadline: Micros) {
        self.shutdown_deadline = Some(deadline);
        for (id, pending) in &mut self.requests {
            if pending.deadline >= deadline {
                pending.deadline = deadline;
                self.timers.set(deadline, TimerEvent::RequestDeadline(*id));
            }
        }
    }

    /// The time until the proxy stops running; [`Micros::MAX`] if no shutdown has been requested.
    pub(super) fn time_until_shutdown(&self, now: Micros) -> Micros {
        match self.shutdown_deadline {
            Some(deadline) => deadline.saturating_sub(now),
            None => Micros::MAX,
        }
    }
}
