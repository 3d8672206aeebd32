//! The last commit of each session, which the session's reads must see, also on other connections.

use crate::Micros;
use std::collections::{BTreeMap, VecDeque};

/// The maximum number of sessions whose last commit is remembered, over all clients. The session whose first
/// commit is the oldest is evicted first.
const MAX_SESSIONS: usize = 16 * 1024;

/// The position of the last commit of each session.
#[derive(Default)]
pub struct SessionCommits {
    positions: BTreeMap<u64, Micros>,
    /// The sessions, in the order of their first commits.
    insertion_order: VecDeque<u64>,
}

impl SessionCommits {
    /// The position of a session's last commit.
    pub fn last(&self, session_key: u64) -> Option<Micros> {
        self.positions.get(&session_key).copied()
    }

    /// Records the position of a session's last commit.
    pub fn record(&mut self, session_key: u64, position: Micros) {
        if self.positions.insert(session_key, position).is_none() {
            self.insertion_order.push_back(session_key);
        }
        if self.insertion_order.len() > MAX_SESSIONS
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.positions.remove(&oldest);
        }
    }
}
