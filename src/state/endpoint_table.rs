//! The table of endpoints, whose slots are reused.

use super::Endpoint;
use crate::{EndpointId, EndpointState, Micros};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Index, IndexMut};

/// An endpoint that was removed and silent for this long is dropped when its slot is needed.
const FORGET_AFTER: Micros = 10_000_000;

/// The slot of an endpoint in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EndpointIndex(usize);

/// All endpoints, by slot and by identity.
#[derive(Default)]
pub(crate) struct EndpointTable {
    slots: Vec<Endpoint>,
    by_id: BTreeMap<EndpointId, EndpointIndex>,
    /// The slots of removed endpoints, in order.
    removed: BTreeSet<EndpointIndex>,
    /// How often an endpoint was looked at.
    #[cfg(test)]
    lookups: std::cell::Cell<usize>,
}

impl EndpointTable {
    /// The slot of the endpoint with this identity.
    pub(crate) fn find(&self, id: EndpointId) -> Option<EndpointIndex> {
        self.by_id.get(&id).copied()
    }

    /// Assigns a slot to a new endpoint, if possible that of one that is dropped; returns that one too.
    /// Guards against a table that grows forever. The caller fills the slot.
    pub(crate) fn allocate(&mut self, id: EndpointId, now: Micros) -> (EndpointIndex, Option<Endpoint>) {
        let forgotten = |endpoint: &Endpoint| {
            endpoint.state == EndpointState::Removed
                && now > endpoint.last_answer_at + FORGET_AFTER
                && endpoint.outstanding.is_empty()
        };
        let reused = self.removed.iter().copied().find(|index| forgotten(&self[*index]));
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

    /// Sets the state of an endpoint. All changes go through here: removed endpoints are indexed.
    pub(crate) fn set_state(&mut self, index: EndpointIndex, state: EndpointState) {
        self[index].state = state;
        if state == EndpointState::Removed {
            self.removed.insert(index);
        } else {
            self.removed.remove(&index);
        }
    }

    /// How often an endpoint was looked at so far.
    #[cfg(test)]
    pub(crate) fn lookup_count(&self) -> usize {
        self.lookups.get()
    }

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
