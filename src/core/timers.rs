//! The reducer's timers. They fire in the order of their due times, and timers with the same due time in the
//! order in which they were set.

use super::JobId;
use crate::{Micros, RequestId};
use std::collections::BTreeMap;

/// The event that a timer triggers.
#[derive(Clone, Copy)]
pub enum TimerEvent {
    /// The timer that the router set with this token.
    Router(u32),
    /// The timeout of a job.
    JobTimeout(JobId),
    /// The time limit for the start of an attempt: if it has not started, it is cancelled.
    StartLimit(JobId),
    /// The deadline of a request, which is answered if it is still pending.
    RequestDeadline(RequestId),
    /// The next search for connections that have been idle for too long.
    EvictIdle,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    due_at: Micros,
    sequence: u64,
}

/// The timers that are set.
#[derive(Default)]
pub struct Timers {
    pending: BTreeMap<TimerKey, TimerEvent>,
    last_sequence: u64,
}

impl Timers {
    /// Sets a timer. Timers are never cancelled: the handling of an event checks that it still applies.
    pub fn set(&mut self, due_at: Micros, event: TimerEvent) {
        self.last_sequence += 1;
        let key = TimerKey { due_at, sequence: self.last_sequence };
        self.pending.insert(key, event);
    }

    /// The due time of the next timer; `None` if no timer is set.
    pub fn next_due_at(&self) -> Option<Micros> {
        self.pending.keys().next().map(|key| key.due_at)
    }

    /// Removes the first timer and returns its event, if the timer is due.
    pub fn pop_due(&mut self, now: Micros) -> Option<TimerEvent> {
        let first = self.pending.first_entry()?;
        if first.key().due_at > now {
            return None;
        }
        Some(first.remove())
    }
}
