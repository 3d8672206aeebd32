//! The local proxy's changes that wait for a leader.

use super::state::Change;
use crate::endpoint_list::EndpointList;
use std::collections::VecDeque;

/// A bounded queue of changes, of which only those count whose effect later ones don't replace.
pub struct Proposals {
    changes: VecDeque<Change>,
    capacity: usize,
}

impl Proposals {
    /// An empty queue. Above its capacity, the oldest prepared statements are dropped, which the state would
    /// evict first.
    pub fn new(capacity: usize) -> Self {
        Proposals { changes: VecDeque::new(), capacity }
    }

    /// Adds a change at the end.
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

    /// Removes the first change.
    pub fn pop(&mut self) -> Option<Change> {
        self.changes.pop_front()
    }

    /// Removes the endpoint list that waits; one without changes if there is none.
    fn take_endpoint_list(&mut self) -> EndpointList {
        let position = self.changes.iter().position(|change| matches!(change, Change::Members(_)));
        match position.and_then(|position| self.changes.remove(position)) {
            Some(Change::Members(list)) => list,
            _ => EndpointList::default(),
        }
    }
}

/// Whether a later change has all the effect of an earlier one.
fn is_replaced(earlier: &Change, later: &Change) -> bool {
    match (earlier, later) {
        (Change::Set(earlier, _), Change::Set(later, _)) => earlier == later,
        (Change::Prepared(earlier), Change::Prepared(later)) => earlier == later,
        _ => false,
    }
}
