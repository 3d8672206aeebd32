//! The table of endpoints. The slots of removed endpoints are reused.

use super::Endpoint;
use crate::{EndpointId, EndpointState, Micros};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Index, IndexMut};

/// How long a removed endpoint must not have answered before its slot may be reused.
const SLOT_REUSE_DELAY: Micros = 10_000_000;

/// The slot of an endpoint in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EndpointIndex(usize);

/// All endpoints, by slot and by identity.
#[derive(Default)]
pub(crate) struct EndpointTable {
    slots: Vec<Endpoint>,
    by_id: BTreeMap<EndpointId, EndpointIndex>,
    /// The slots of removed endpoints, so that finding one to reuse doesn't scan the table.
    removed: BTreeSet<EndpointIndex>,
    /// How often an endpoint was accessed by its index.
    #[cfg(test)]
    lookups: std::cell::Cell<usize>,
}

impl EndpointTable {
    /// Returns the slot of the endpoint with this identity.
    pub(crate) fn find(&self, id: EndpointId) -> Option<EndpointIndex> {
        self.by_id.get(&id).copied()
    }

    /// Assigns a slot to a new endpoint; the caller fills it.
    ///
    /// Reuses the slot of an endpoint that was removed, has not answered for [`SLOT_REUSE_DELAY`] and has no
    /// outstanding attempts, and also returns that former endpoint. If there is none, the table grows.
    /// Without the reuse, it would grow with every endpoint that is ever listed.
    pub(crate) fn allocate(&mut self, id: EndpointId, now: Micros) -> (EndpointIndex, Option<Endpoint>) {
        let is_reusable = |endpoint: &Endpoint| {
            endpoint.state == EndpointState::Removed
                && now > endpoint.last_answer_at + SLOT_REUSE_DELAY
                && endpoint.outstanding.is_empty()
        };
        let reused = self.removed.iter().copied().find(|index| is_reusable(&self[*index]));
        let dropped = reused.map(|index| std::mem::take(&mut self[index]));
        if let Some(dropped) = &dropped {
            self.by_id.remove(&dropped.id);
        } else {
            self.slots.push(Endpoint::default());
        }
        let index = reused.unwrap_or(EndpointIndex(self.slots.len() - 1));
        self.by_id.insert(id, index);
        (index, dropped)
    }

    /// Sets the state of an endpoint. Every change of a state must go through this method, which keeps the
    /// index of removed endpoints up to date.
    pub(crate) fn set_state(&mut self, index: EndpointIndex, state: EndpointState) {
        self[index].state = state;
        if state == EndpointState::Removed {
            self.removed.insert(index);
        } else {
            self.removed.remove(&index);
        }
    }

    /// How often an endpoint was accessed by its index, in total.
    #[cfg(test)]
    pub(crate) fn lookup_count(&self) -> usize {
        self.lookups.get()
    }

    /// The number of slots, including those of removed endpoints.
    pub(crate) fn len(&self) -> usize {
        self.slots.len()
    }

    pub(crate) fn indices(&self) -> impl Iterator<Item = EndpointIndex> + use<> {
        (0..self.slots.len()).map(EndpointIndex)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Endpoint> + Clone {
        self.slots.iter()
    }
}

impl Index<EndpointIndex> for EndpointTable {
    type Output = Endpoint;

    fn index(&self, index: EndpointIndex) -> &Endpoint {
        #[cfg(test)]
        self.lookups.set(self.lookups.get() + 1);
        &self.slots[index.0]
    }
}

impl IndexMut<EndpointIndex> for EndpointTable {
    fn index_mut(&mut self, index: EndpointIndex) -> &mut Endpoint {
        #[cfg(test)]
        self.lookups.set(self.lookups.get() + 1);
        &mut self.slots[index.0]
    }
}
