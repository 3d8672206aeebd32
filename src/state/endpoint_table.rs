//! The table of endpoints, whose slots are reused.

use super::Endpoint;
use crate::{EndpointId, EndpointState, Micros};
use std::collections::BTreeMap;
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
}

impl EndpointTable {
    /// The slot of the endpoint with this identity.
    pub(crate) fn find(&self, id: EndpointId) -> Option<EndpointIndex> {
        self.by_id.get(&id).copied()
    }

    /// Assigns a slot to a new endpoint, if possible that of one that is dropped. Guards against a table that
    /// grows forever. The caller fills the slot, and drops its state of an earlier endpoint there.
    pub(crate) fn allocate(&mut self, id: EndpointId, now: Micros) -> EndpointIndex {
        let forgotten = |endpoint: &Endpoint| {
            endpoint.state == EndpointState::Removed
                && now > endpoint.last_answer_at + FORGET_AFTER
                && endpoint.outstanding.is_empty()
        };
        let reused = self.slots.iter().position(forgotten);
        if let Some(slot) = reused {
            self.by_id.remove(&self.slots[slot].id);
        } else {
            self.slots.push(Endpoint::default());
        }
        let index = EndpointIndex(reused.unwrap_or(self.slots.len() - 1));
        self.by_id.insert(id, index);
        index
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

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Endpoint> {
        self.slots.iter_mut()
    }
}

impl Index<EndpointIndex> for EndpointTable {
    type Output = Endpoint;

    fn index(&self, index: EndpointIndex) -> &Endpoint {
        &self.slots[index.0]
    }
}

impl IndexMut<EndpointIndex> for EndpointTable {
    fn index_mut(&mut self, index: EndpointIndex) -> &mut Endpoint {
        &mut self.slots[index.0]
    }
}
