//! The ids and the clients of open requests.

use crate::RequestId;
use crate::client::ClientId;
use std::collections::{BTreeMap, HashSet};

/// An open request's client, and the id that the client chose for the request.
struct OpenRequest {
    client: ClientId,
    external_id: Vec<u8>,
}

/// Assigns the request ids of all fronts, and maps each open request to its client.
#[derive(Default)]
pub struct RequestRegistry {
    last_id: RequestId,
    open_requests: BTreeMap<RequestId, OpenRequest>,
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
        self.open_requests.insert(id, OpenRequest { client, external_id });
        Some(id)
    }

    fn next_free_id(&self) -> RequestId {
        let mut id = self.last_id.wrapping_add(1);
        while self.open_requests.contains_key(&id) {
            id = id.wrapping_add(1);
        }
        id
    }

    /// The client of an open request.
    pub fn client_of(&self, request: RequestId) -> Option<ClientId> {
        self.open_requests.get(&request).map(|open_request| open_request.client)
    }

    /// The external id of an open request; empty if its client gave none.
    pub fn external_id(&self, request: RequestId) -> Option<&[u8]> {
        self.open_requests.get(&request).map(|open_request| open_request.external_id.as_slice())
    }

    /// Closes a request and returns the client that it belongs to; `None` if it is not open.
    pub fn close(&mut self, request: RequestId) -> Option<ClientId> {
        let OpenRequest { client, external_id } = self.open_requests.remove(&request)?;
        self.external_ids.remove(&external_id);
        Some(client)
    }
}
