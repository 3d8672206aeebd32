//! The ids and the clients of open requests, and the ids that must not run again.

use super::executed_ids::{ExecutedIds, IdHash};
use crate::client::ClientId;
use crate::{Micros, RequestId};
use std::collections::{BTreeMap, HashSet, VecDeque};

/// How many ids of served requests are kept for each connection, in case its client leaves without having
/// read the answers.
const MAX_SERVED_IDS: usize = 64;
/// The memory of the ids that must not run again, where no limit is known.
const DEFAULT_ID_MEMORY_BYTES: usize = 1024 * 1024;

/// An open request's client, and the id that the client chose for the request.
struct OpenRequest {
    client: ClientId,
    external_id: Vec<u8>,
    /// The hash of the id, if it must not run twice.
    at_most_once: Option<IdHash>,
}

/// Why a request with the id that its client chose is not opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusedId {
    /// An open request has the same id.
    Open,
    /// A request of this id, which must run at most once, may have run.
    MayHaveRun,
}

/// Assigns the request ids of all fronts, and maps each open request to its client.
pub struct RequestRegistry {
    last_id: RequestId,
    open_requests: BTreeMap<RequestId, OpenRequest>,
    /// The ids that the clients chose for open requests.
    external_ids: HashSet<Vec<u8>>,
    /// The ids that may have run and must not run again.
    executed: ExecutedIds,
    /// The last served ids that must not run again, by connection.
    served: BTreeMap<ClientId, VecDeque<IdHash>>,
    /// Requests that were abandoned, until it is known whether they may have run.
    abandoned: BTreeMap<RequestId, (ClientId, IdHash)>,
}

impl Default for RequestRegistry {
    fn default() -> Self {
        RequestRegistry::within(DEFAULT_ID_MEMORY_BYTES)
    }
}

impl RequestRegistry {
    /// Creates a registry that remembers ids that may have run in at most `id_memory_bytes`.
    pub fn within(id_memory_bytes: usize) -> Self {
        RequestRegistry {
            last_id: 0,
            open_requests: BTreeMap::new(),
            external_ids: HashSet::new(),
            executed: ExecutedIds::within(id_memory_bytes),
            served: BTreeMap::new(),
            abandoned: BTreeMap::new(),
        }
    }

    /// Opens a request and returns its id. Fails if the external id is that of an open request, or that
    /// of one that may have run although it must run at most once. An empty external id, for none,
    /// matches no other.
    pub(super) fn open(
        &mut self,
        now: Micros,
        client: ClientId,
        external_id: Vec<u8>,
        at_most_once: bool,
    ) -> Result<RequestId, RefusedId> {
        let has_id = !external_id.is_empty();
        if has_id && self.external_ids.contains(&external_id) {
            return Err(RefusedId::Open);
        }
        let at_most_once = (has_id && at_most_once).then(|| self.executed.hash(&external_id));
        if at_most_once.is_some_and(|id| self.executed.contains(id, now)) {
            return Err(RefusedId::MayHaveRun);
        }
        if has_id {
            self.external_ids.insert(external_id.clone());
        }
        let id = self.next_free_id();
        self.last_id = id;
        self.open_requests.insert(id, OpenRequest { client, external_id, at_most_once });
        Ok(id)
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

    /// Closes a request that has not run, and returns the client that it belongs to; `None` if it is not
    /// open.
    pub fn close(&mut self, request: RequestId) -> Option<ClientId> {
        self.take(request).map(|open_request| open_request.client)
    }

    /// Closes a request that has been served, and returns its client; `None` if it is not open. Its id
    /// may come again only if the client has read the answer.
    pub fn close_served(&mut self, request: RequestId) -> Option<ClientId> {
        let OpenRequest { client, at_most_once, .. } = self.take(request)?;
        if let Some(id) = at_most_once {
            let served = self.served.entry(client).or_default();
            served.push_back(id);
            if served.len() > MAX_SERVED_IDS {
                served.pop_front();
            }
        }
        Some(client)
    }

    /// Closes a request that has failed and may have run, and returns its client; `None` if it is not
    /// open. Its id must not run again.
    pub fn close_maybe_executed(&mut self, request: RequestId, now: Micros) -> Option<ClientId> {
        let OpenRequest { client, at_most_once, .. } = self.take(request)?;
        if let Some(id) = at_most_once {
            self.executed.insert(client, id, now);
        }
        Some(client)
    }

    /// Closes a request whose answer nobody waits for any more. The host reports with
    /// [`RequestRegistry::confirm_abandoned`] whether it may have run.
    pub(super) fn abandon(&mut self, request: RequestId, now: Micros) {
        let Some(OpenRequest { client, at_most_once: Some(id), .. }) = self.take(request) else { return };
        self.executed.insert(client, id, now);
        self.abandoned.insert(request, (client, id));
    }

    /// Forgets the id of an abandoned request unless the request may have run.
    pub fn confirm_abandoned(&mut self, request: RequestId, may_have_run: bool) {
        if let Some((client, id)) = self.abandoned.remove(&request)
            && !may_have_run
        {
            self.executed.remove(client, id);
        }
    }

    /// Ends a client's connection. If answers may be unread, the ids that were served last must not run
    /// again.
    pub fn end_client(&mut self, client: ClientId, has_unread_answers: bool, now: Micros) {
        let served = self.served.remove(&client).unwrap_or_default();
        for id in served.into_iter().filter(|_| has_unread_answers) {
            self.executed.insert(client, id, now);
        }
    }

    fn take(&mut self, request: RequestId) -> Option<OpenRequest> {
        let open_request = self.open_requests.remove(&request)?;
        self.external_ids.remove(&open_request.external_id);
        Some(open_request)
    }
}
