//! The numbers of open requests.

use crate::RequestId;
use crate::client::ClientId;
use std::collections::{BTreeMap, HashSet};

struct Owner {
    client: ClientId,
    external_id: Vec<u8>,
}

/// Assigns request numbers for all fronts, and maps each open request to its client.
#[derive(Default)]
pub struct RequestRegistry {
    last_id: RequestId,
    owners: BTreeMap<RequestId, Owner>,
    /// The external ids of open requests, as chosen by the clients.
    external_ids: HashSet<Vec<u8>>,
}

impl RequestRegistry {
    /// Assigns a number to a request; `None` if a request with the same external id is open.
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

    /// The id that its client gave an open request; empty if it gave none.
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
