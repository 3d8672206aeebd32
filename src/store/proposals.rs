//! The local proxy's changes that wait for a leader.

use super::state::Change;
use crate::endpoint_list::EndpointList;
use std::collections::VecDeque;

/// A bounded queue of changes. A change that a later one makes redundant is removed.
pub struct Proposals {
    changes: VecDeque<Change>,
    capacity: usize,
}

impl Proposals {
    /// Creates an empty queue. A change above its capacity drops the oldest prepared statement, which the
    /// state would evict first; without one, the first change.
    pub fn new(capacity: usize) -> Self {
        Proposals { changes: VecDeque::new(), capacity }
    }

    /// Adds a change at the end. Merges an endpoint list with the one that waits.
    pub fn push(&mut self, change: Change) {
        let change = match change {
            Change::Members(update) => Change::Members(self.take_endpoint_list().followed_by(update)),
            change => {
                self.changes.retain(|earlier| !is_replaced(earlier, &change));
                change
            }
        };
        if self.changes.len() >= self.capacity {
            let oldest = self.changes.iter().position(|earlier| matches!(earlier, Change::Prepared(_)));
            self.changes.remove(oldest.unwrap_or_default());
        }
        self.changes.push_back(change);
    }

    /// Removes and returns the first change.
    pub fn pop(&mut self) -> Option<Change> {
        self.changes.pop_front()
    }

    /// Removes and returns the endpoint list that waits; an empty update if there is none.
    fn take_endpoint_list(&mut self) -> EndpointList {
        let position = self.changes.iter().position(|change| matches!(change, Change::Members(_)));
        match position.and_then(|position| self.changes.remove(position)) {
            Some(Change::Members(list)) => list,
            _ => EndpointList::default(),
        }
    }
}

/// Returns whether a later change makes an earlier one redundant.
fn is_replaced(earlier: &Change, later: &Change) -> bool {
    match (earlier, later) {
        (Change::Set(earlier, _), Change::Set(later, _)) => earlier == later,
        (Change::Prepared(earlier), Change::Prepared(later)) => earlier == later,
        _ => false,
    }
}
