//! The ids of requests that must run at most once and may have run, so that none of them runs a second time.

use crate::Micros;
use crate::client::ClientId;
use std::cmp::Reverse;
use std::collections::hash_map::RandomState;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::hash::BuildHasher;

/// An upper bound of the memory of one id: entries of a hash table, a queue and two ordered tables.
const ID_BYTES: usize = 192;
/// How long an id is remembered: the longest time for which a client may wait for its answer.
const REMEMBERED_FOR: Micros = 600_000_000;

/// A keyed hash of an id that a client chose. Two ids have the same hash by chance only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdHash(u64);

/// The remembered ids. When there are too many, the oldest one of the connection with the most is dropped, so
/// that a client that sends ever new ids displaces its own.
pub struct ExecutedIds {
    capacity: usize,
    hasher: RandomState,
    /// Until when each id is remembered.
    expiry: HashMap<IdHash, Micros>,
    /// The ids of each connection, the oldest first.
    by_client: BTreeMap<ClientId, VecDeque<IdHash>>,
    /// The connections by the number of their ids, and the older ones last among equal ones.
    by_count: BTreeSet<(usize, Reverse<ClientId>)>,
}

impl ExecutedIds {
    /// Creates an empty table of at most `memory_bytes`.
    pub fn within(memory_bytes: usize) -> Self {
        ExecutedIds {
            capacity: (memory_bytes / ID_BYTES).max(1),
            hasher: RandomState::new(),
            expiry: HashMap::new(),
            by_client: BTreeMap::new(),
            by_count: BTreeSet::new(),
        }
    }

    /// The hash of an id.
    pub fn hash(&self, id: &[u8]) -> IdHash {
        IdHash(self.hasher.hash_one(id))
    }

    /// Whether the id may have run.
    pub fn contains(&self, id: IdHash, now: Micros) -> bool {
        self.expiry.get(&id).is_some_and(|expiry| now < *expiry)
    }

    /// Remembers an id of a request of this connection.
    pub fn insert(&mut self, client: ClientId, id: IdHash, now: Micros) {
        if self.expiry.insert(id, now + REMEMBERED_FOR).is_some() {
            return;
        }
        self.change_queue(client, |ids| ids.push_back(id));
        if self.expiry.len() > self.capacity {
            self.drop_one();
        }
    }

    /// Forgets an id that has turned out not to have run.
    pub fn remove(&mut self, client: ClientId, id: IdHash) {
        if self.expiry.remove(&id).is_some() {
            self.change_queue(client, |ids| ids.retain(|other| *other != id));
        }
    }

    /// The number of remembered ids.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.expiry.len()
    }

    fn drop_one(&mut self) {
        let Some(&(_, Reverse(client))) = self.by_count.last() else { return };
        let mut dropped = None;
        self.change_queue(client, |ids| dropped = ids.pop_front());
        if let Some(id) = dropped {
            self.expiry.remove(&id);
        }
    }

    /// Changes the ids of a connection, and its place among the others.
    fn change_queue(&mut self, client: ClientId, change: impl FnOnce(&mut VecDeque<IdHash>)) {
        let ids = self.by_client.entry(client).or_default();
        self.by_count.remove(&(ids.len(), Reverse(client)));
        change(ids);
        if ids.is_empty() {
            self.by_client.remove(&client);
        } else {
            self.by_count.insert((ids.len(), Reverse(client)));
        }
    }
}

#[cfg(test)]
mod tests;
