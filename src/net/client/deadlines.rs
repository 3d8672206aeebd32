//! The deadlines of client connections, ordered by time.

use crate::client::ClientId;
use std::collections::BTreeSet;
use std::time::Instant;

/// The deadlines of all connections; a connection has at most one.
#[derive(Default)]
pub(super) struct Deadlines(BTreeSet<(Instant, ClientId)>);

impl Deadlines {
    /// The earliest deadline.
    pub(super) fn next(&self) -> Option<Instant> {
        self.0.first().map(|&(deadline, _)| deadline)
    }

    /// Replaces the deadline of a connection; `None` stands for no deadline.
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

    /// Removes the earliest deadline if it has passed, and returns its connection.
    pub(super) fn pop_expired(&mut self) -> Option<ClientId> {
        let &(deadline, id) = self.0.first()?;
        if deadline > Instant::now() {
            return None;
        }
        self.0.remove(&(deadline, id));
        Some(id)
    }
}
