//! The ids and the clients of open requests.

use crate::RequestId;
use crate::client::ClientId;
use std::collections::{BTreeMap, HashSet};

/// The client of an open request, and the id that it chose for the request.
struct Owner {
    client: ClientId,
    external_id: Vec<u8>,
}

/// Assigns the request ids of all fronts, and maps each open request to its client.
#[derive(Default)]
pub struct RequestRegistry {
    last_id: RequestId,
    owners: BTreeMap<RequestId, Owner>,
    /// The ids that the clients chose for open requests.
    external_ids: HashSet<Vec<u8>>,
}

impl RequestRegistry {
    /// Opens a request and returns its id; `None` if an open request has the same external id. An empty
    /// external id, for none, matches no other.
    pub(super) fn open(&mut self, client: ClientId, external_id: Vec<u8>) -> Option<RequestId> {
        if !external_id.is_empty() && !self.external_ids.insert(external_id.clone()) {
            return None;
        }
        let id = self.next_free_id();
        self.last_id = id;
        self.owners.insert(id, Owner { client, external_id });
        Some(id)
    }

    fn next_free_id(&self) -> RequestId {
        let mut id = self.last_id.wrapping_add(1);
        while self.owners.contains_key(&id) {
            id = id.wrapping_add(1);
        }
        id
    }

    /// The client of an open request.
    pub fn client_of(&self, request: RequestId) -> Option<ClientId> {
        self.owners.get(&request).map(|owner| owner.client)
    }

    /// The external id of an open request; empty if its client gave none.
    pub fn external_id(&self, request: RequestId) -> Option<&[u8]> {
        self.owners.get(&request).map(|owner| owner.external_id.as_slice())
    }

    /// Closes a request and returns the client that it belongs to; `None` if it is not open.
    pub fn close(&mut self, request: RequestId) -> Option<ClientId> {
        let Owner { client, external_id } = self.owners.remove(&request)?;
        self.external_ids.remove(&external_id);
        Some(client)
    }
}
