//! Timers in order of their due time; timers that are due at the same time fire in the order they were set.

use super::JobId;
use crate::{Micros, RequestId};
use std::collections::BTreeMap;

/// What happens when a timer fires.
#[derive(Clone, Copy)]
pub enum TimerEvent {
    /// The router requested a call back with this token.
    Router(u32),
    /// The job has timed out.
    JobTimeout(JobId),
    /// The attempt may no longer be started.
    StartLimit(JobId),
    /// The deadline by which the request must have been answered.
    RequestDeadline(RequestId),
    /// Connections that have been idle for too long are closed.
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
    /// Sets a timer.
    pub fn set(&mut self, due_at: Micros, event: TimerEvent) {
        self.last_sequence += 1;
        let key = TimerKey { due_at, sequence: self.last_sequence };
        self.pending.insert(key, event);
    }

    /// When the next timer is due.
    pub fn next_due_at(&self) -> Option<Micros> {
        self.pending.keys().next().map(|key| key.due_at)
    }

    /// Removes the first timer if it is due.
    pub fn pop_due(&mut self, now: Micros) -> Option<TimerEvent> {
        let first = self.pending.first_entry()?;
        if first.key().due_at > now {
            return None;
        }
        Some(first.remove())
    }
}
