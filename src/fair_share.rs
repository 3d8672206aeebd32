//! Start-time fair queueing of the time of one thread.
//!
//! Each flow, such as a client connection, has the time that the thread has spent on it. Whoever has used
//! least goes first, so a flow that needs much waits for those that need little, however many messages it
//! sends and whatever they are: what is counted is the time that was measured. A flow that has been idle is
//! not given the time of its absence afterwards, and a flow that begins is put behind those that wait.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The most time of one turn that counts for a client, since the system may have run other processes in that
/// time. A new client is put as far behind the others, so that whoever had one turn waits for no client that
/// comes later: clients that come without end would exclude those that stay otherwise.
pub const MAX_CLIENT_CHARGE: Duration = Duration::from_micros(250);
/// The least time that is charged for a turn, so that each turn counts.
const MIN_CHARGE: Duration = Duration::from_micros(1);

/// The time that a flow has used, on a scale on which returning flows are moved up to those that wait.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct UsedTime(Duration);

/// The used time of a flow that several threads know.
#[derive(Debug)]
pub struct SharedUsedTime(AtomicU64);

/// The value of a [`SharedUsedTime`] of a flow that has not begun.
const NOT_BEGUN: u64 = u64::MAX;

impl Default for SharedUsedTime {
    fn default() -> Self {
        SharedUsedTime(AtomicU64::new(NOT_BEGUN))
    }
}

impl SharedUsedTime {
    /// Returns the time; `None` if the flow has not begun.
    fn get(&self) -> Option<UsedTime> {
        let nanos = self.0.load(Ordering::SeqCst);
        (nanos != NOT_BEGUN).then(|| UsedTime(Duration::from_nanos(nanos)))
    }

    fn set(&self, used: UsedTime) {
        self.0.store(used.0.as_nanos() as u64, Ordering::SeqCst);
    }
}

/// The state of a thread whose time is shared: the used time of the flow that was served last.
#[derive(Debug, Default)]
pub struct FairClock {
    served: UsedTime,
}

impl FairClock {
    /// The position of a flow that has something to do, from its used time.
    pub fn position(&self, used: UsedTime) -> UsedTime {
        used.max(self.served)
    }

    /// The position of a flow that has something to do; that of a new one is behind the others.
    pub fn shared_position(&self, used: &SharedUsedTime) -> UsedTime {
        let position = match used.get() {
            Some(used) => self.position(used),
            None => UsedTime(self.served.0 + MAX_CLIENT_CHARGE),
        };
        used.set(position);
        position
    }

    /// Records that the flow at this position is served. The least position must be served first.
    pub fn serve(&mut self, position: UsedTime) {
        self.served = self.position(position);
    }
}

impl UsedTime {
    /// The used time after a turn that took `spent`, of which no more than `max_charge` counts.
    pub fn charged(self, spent: Duration, max_charge: Duration) -> UsedTime {
        UsedTime(self.0 + spent.clamp(MIN_CHARGE, max_charge))
    }
}

impl SharedUsedTime {
    /// Charges a turn at this position, [`MAX_CLIENT_CHARGE`] at most.
    pub fn charge(&self, position: UsedTime, spent: Duration) {
        self.set(position.charged(spent, MAX_CLIENT_CHARGE));
    }
}

#[cfg(test)]
mod tests;
