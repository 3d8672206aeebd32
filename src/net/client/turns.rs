//! The order in which the reactor serves the connections that are ready: whoever has used least of its time
//! comes first.
//!
//! A turn is bounded by a number of messages and one read, and a round of turns by [`MAX_ROUND`]. What is
//! not served in a round is ready in the next one as well, in the order that then applies.

use crate::client::ClientId;
use crate::fair_share::{FairClock, SharedUsedTime, UsedTime};
use rustix::event::epoll::EventFlags;
use std::time::{Duration, Instant};

/// How long the reactor serves what it has found ready before it looks again.
const MAX_ROUND: Duration = Duration::from_millis(2);

/// Something that the reactor has to do.
#[derive(Clone, Copy, Debug)]
pub(super) enum Task {
    /// Empty the waker.
    DrainWaker,
    /// Accept connections of the listener with this index.
    Accept(usize),
    /// Handle these events of a connection.
    Handle(ClientId, EventFlags),
    /// Parse what a connection has sent beyond its last turn.
    Continue(ClientId),
}

/// The time that the reactor shares among connections.
#[derive(Default)]
pub(super) struct Turns {
    clock: FairClock,
    /// Connections whose last turn ended before all their messages were parsed.
    continued: Vec<ClientId>,
}

/// A round of turns.
pub(super) struct Round {
    started_at: Instant,
    turn_started_at: Instant,
}

impl Turns {
    /// Has the rest of a connection's messages parsed in a later turn.
    pub(super) fn continue_later(&mut self, id: ClientId) {
        self.continued.push(id);
    }

    /// Whether connections wait for another turn.
    pub(super) fn has_continued(&self) -> bool {
        !self.continued.is_empty()
    }

    /// Removes and returns the connections that wait for another turn.
    pub(super) fn take_continued(&mut self) -> Vec<ClientId> {
        std::mem::take(&mut self.continued)
    }

    /// The position of a connection in a round.
    pub(super) fn position(&self, used: &SharedUsedTime) -> UsedTime {
        self.clock.shared_position(used)
    }

    /// Begins a round.
    pub(super) fn begin_round(&self) -> Round {
        let now = Instant::now();
        Round { started_at: now, turn_started_at: now }
    }

    /// Charges a turn that has just ended.
    pub(super) fn end_turn(&mut self, round: &mut Round, position: UsedTime, used: Option<&SharedUsedTime>) {
        let now = Instant::now();
        let spent = now - round.turn_started_at;
        round.turn_started_at = now;
        self.clock.serve(position);
        if let Some(used) = used {
            used.charge(position, spent);
        }
    }
}

impl Round {
    /// Whether the round has taken its time.
    pub(super) fn is_over(&self) -> bool {
        self.turn_started_at - self.started_at >= MAX_ROUND
    }
}
