//! Barriers in the order of events: a worker that was delayed waits until what has arrived from clients
//! meanwhile, such as a cancel request, is handled.

use super::{EventSink, ReactorEvent};
use crossbeam_channel::Sender;
use std::convert::Infallible;

/// Rounds of events after which a barrier is reported though more are ready. A cancel request takes two:
/// its connection is accepted, and read.
const MAX_ROUNDS: usize = 4;

/// Reported behind the events of clients that came before it. The one that waits for it goes on once it is
/// dropped.
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

    /// Adds barriers, which wait for everything that is ready from now on.
    pub(super) fn add(&mut self, barriers: Vec<EventBarrier>) {
        if !barriers.is_empty() {
            self.rounds = 0;
            self.barriers.extend(barriers);
        }
    }

    /// Reports all barriers after a round of events in which nothing was ready, or after enough rounds.
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
