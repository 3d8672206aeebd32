//! The deadlines of client connections, in order.

use crate::client::ClientId;
use std::collections::BTreeSet;
use std::time::Instant;

/// The deadlines of all connections; each has one at most.
#[derive(Default)]
pub(super) struct Deadlines(BTreeSet<(Instant, ClientId)>);

impl Deadlines {
    /// The next deadline.
    pub(super) fn next(&self) -> Option<Instant> {
        self.0.first().map(|&(deadline, _)| deadline)
    }

    /// Replaces the deadline of a connection.
    pub(super) fn replace(&mut self, id: ClientId, old: Option<Instant>, new: Option<Instant>) {
        if old == new {
            return;
        }
        if let Some(old) = old {
            self.0.remove(&(old, id));
        }
        if let Some(new) = new {
            self.0.insert((new, id));
        }
    }

    /// Removes and returns the connection whose deadline has passed first.
    pub(super) fn pop_expired(&mut self) -> Option<ClientId> {
        let &(deadline, id) = self.0.first()?;
        if deadline > Instant::now() {
            return None;
        }
        self.0.remove(&(deadline, id));
        Some(id)
    }
}
