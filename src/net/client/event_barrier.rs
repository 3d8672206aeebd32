//! Barriers in the sequence of client events. A worker thread that was delayed, for example by a process
//! pause, waits on a barrier until the event loop has handled all events that have arrived from clients in
//! the meantime. Otherwise it could send a request whose cancel request has already arrived.

use super::{EventSink, ReactorEvent};
use crossbeam_channel::Sender;
use std::convert::Infallible;

/// The number of calls of `epoll_wait` after which a barrier is reported even if more events are ready. A
/// cancel request takes two: its connection is accepted after the first, and read after the second.
const MAX_ROUNDS: usize = 4;

/// A barrier, which is reported after the client events that had arrived before it. Dropping the barrier
/// releases the thread that waits for it.
pub struct EventBarrier(#[expect(dead_code, reason = "it is dropped")] Sender<Infallible>);

impl EventBarrier {
    pub(super) fn new(released: Sender<Infallible>) -> EventBarrier {
        EventBarrier(released)
    }
}

/// The barriers that the reactor has not reported yet.
#[derive(Default)]
pub(super) struct PendingBarriers {
    barriers: Vec<EventBarrier>,
    rounds: usize,
}

impl PendingBarriers {
    pub(super) fn is_empty(&self) -> bool {
        self.barriers.is_empty()
    }

    /// Adds barriers, which are reported after the events that are ready now.
    pub(super) fn add(&mut self, barriers: Vec<EventBarrier>) {
        if !barriers.is_empty() {
            self.rounds = 0;
            self.barriers.extend(barriers);
        }
    }

    /// Ends a round, which is one call of `epoll_wait` and the handling of its events. Reports all barriers
    /// if nothing was ready in this round, or after [`MAX_ROUNDS`].
    pub(super) fn finish_round(&mut self, nothing_was_ready: bool, events: &EventSink) {
        if self.barriers.is_empty() {
            return;
        }
        self.rounds += 1;
        if nothing_was_ready || self.rounds >= MAX_ROUNDS {
            for barrier in self.barriers.drain(..) {
                events(ReactorEvent::Barrier(barrier));
            }
        }
    }
}
