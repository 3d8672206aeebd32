//! The last commit of each session, which the session's reads must see, also on other connections.

use crate::{Micros, SessionInGroup};
use std::collections::{BTreeMap, VecDeque};

/// The maximum number of remembered commits, over all clients. The session whose first commit is the oldest
/// is evicted first.
const MAX_COMMITS: usize = 16 * 1024;

/// The position of the last commit of each session in each group.
#[derive(Default)]
pub struct SessionCommits {
    positions: BTreeMap<SessionInGroup, Micros>,
    /// The keys of `positions`, in the order of their first commits.
    insertion_order: VecDeque<SessionInGroup>,
}

impl SessionCommits {
    /// The position of a session's last commit in a group.
    pub fn last(&self, session: SessionInGroup) -> Option<Micros> {
        self.positions.get(&session).copied()
    }

    /// Records the position of a commit. Answers may arrive in another order than that of the commits, and
    /// the answer to a repeated write holds the commit of its first run, so a later position is kept.
    pub fn record(&mut self, session: SessionInGroup, position: Micros) {
        let last = self.positions.entry(session).or_insert_with(|| {
            self.insertion_order.push_back(session);
            position
        });
        *last = position.max(*last);
        if self.insertion_order.len() > MAX_COMMITS
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.positions.remove(&oldest);
        }
    }
}

#[cfg(test)]
mod tests;
