//! The last commit of each session, so that the session's reads see it on any connection.

use crate::Micros;
use std::collections::{BTreeMap, VecDeque};

/// Sessions whose last commit is remembered, over all clients; the oldest are evicted.
const MAX_SESSIONS: usize = 16 * 1024;

/// The last commit of each session.
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

    /// Records a commit of a session.
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
