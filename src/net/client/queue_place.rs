//! The places of a connection in the queue to the event loop.
//!
//! Everything that a client sends reaches the event loop as an event, and every event takes a place. While a
//! connection has no free place, its input is neither parsed nor read, so that TCP holds back the client:
//! whatever the client sends, what it adds to the queue is bounded.

use super::shared::ConnectionShared;
use crate::fair_share::SharedUsedTime;
use std::sync::Arc;

/// The most events of a connection that wait for the event loop or are being handled. Twice the commands that
/// may be in progress, so that a pipeline never waits for a place.
pub(super) const MAX_QUEUED_EVENTS: usize = 16;
/// Parsing resumes when no more events wait than this.
pub(super) const RESUME_QUEUED_EVENTS: usize = MAX_QUEUED_EVENTS / 2;

/// A place in the queue to the event loop, which is free again when this is dropped.
pub struct QueuePlace(Arc<ConnectionShared>);

impl QueuePlace {
    /// Takes a place of a connection.
    pub(super) fn take(connection: &Arc<ConnectionShared>) -> QueuePlace {
        let mut state = connection.state();
        state.queued_events += 1;
        state.reported_events += 1;
        drop(state);
        QueuePlace(connection.clone())
    }

    /// The time that the event loop has spent on the events of the connection.
    pub fn used_time(&self) -> &Arc<SharedUsedTime> {
        &self.0.used_time
    }
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        self.0.event_handled();
    }
}
