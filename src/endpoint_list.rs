//! The endpoint list: its form in discovery, the configuration and the store, and its conversion to the
//! core's form.

use crate::clock::from_unix_ms;
use crate::stable_hash::stable_hash;
use crate::{EndpointEntry, EndpointId, EndpointState};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};

/// State of an entry in a partial list that removes its endpoint from the complete list.
const STATE_DELETED: &str = "DELETED";
/// State of an endpoint that accepts requests.
const STATE_SERVING: &str = "SERVING";
/// State of an endpoint that is draining: it completes its requests and accepts no new ones.
const STATE_DRAINING: &str = "DRAINING";
/// Value of `recovery` for a primary.
const RECOVERY_OFF: &str = "off";
/// Limits endpoint ids to 48 bits.
const ENDPOINT_ID_MASK: u64 = 0xffff_ffff_ffff;
/// Stands for the unreadable address of a removed endpoint. No connection is opened to it.
const NO_ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A list of endpoints: either the complete list, or an update with only the entries that have changed.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EndpointList {
    /// The revision; discovery raises it with every change.
    #[serde(default, rename = "rev")]
    pub revision: u64,
    /// Whether the list is complete; otherwise it holds only changed entries.
    #[serde(default, rename = "all")]
    pub complete: bool,
    /// The entries; in an update, also entries that remove their endpoint.
    #[serde(default, rename = "targets")]
    pub endpoints: Vec<EndpointRecord>,
    /// The index of each entry by its `uid`. Built by [`EndpointList::index_entries`] before the first
    /// change.
    #[serde(skip)]
    index_by_uid: HashMap<String, usize>,
}

/// An entry of an [`EndpointList`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EndpointRecord {
    uid: String,
    #[serde(rename = "endpoint")]
    address: String,
    #[serde(default, rename = "pod_group")]
    group: u32,
    state: String,
    #[serde(default, rename = "boot_ms")]
    started_unix_ms: f64,
    #[serde(default)]
    recovery: String,
}

/// An entry of the endpoint list in the core's form.
pub struct ListedMember {
    /// The entry, as the router receives it.
    pub entry: EndpointEntry,
    /// The address on which the member accepts connections.
    pub address: SocketAddr,
}

impl EndpointList {
    /// Applies an update to this complete list. A complete update replaces the list; a partial one replaces,
    /// adds or removes the entries that it holds.
    pub fn merge(&mut self, update: EndpointList) {
        if update.complete {
            *self = update;
            return;
        }
        self.revision = update.revision;
        self.index_entries();
        for changed in update.endpoints {
            if changed.state == STATE_DELETED {
                self.remove(&changed.uid);
            } else {
                self.upsert(changed);
            }
        }
    }

    /// Returns the list with the same entries, marked as complete.
    pub fn into_complete(mut self) -> EndpointList {
        self.complete = true;
        self
    }

    /// Combines two updates into one with the same effect as this update followed by the other.
    pub fn followed_by(mut self, update: EndpointList) -> EndpointList {
        if self.complete || update.complete {
            self.merge(update);
            return self;
        }
        self.revision = update.revision;
        // Unlike `merge`, this retains entries that remove an endpoint, because the list to which the
        // combined update is applied still contains that endpoint.
        self.index_entries();
        update.endpoints.into_iter().for_each(|changed| self.upsert(changed));
        self
    }

    /// Builds the index by `uid` if it does not cover the entries. Of entries with the same `uid`, the last
    /// one remains.
    fn index_entries(&mut self) {
        if self.index_by_uid.len() != self.endpoints.len() {
            self.index_by_uid.clear();
            std::mem::take(&mut self.endpoints).into_iter().for_each(|endpoint| self.upsert(endpoint));
        }
    }

    /// Replaces the entry with this `uid`, or adds it.
    fn upsert(&mut self, endpoint: EndpointRecord) {
        if let Some(index) = self.index_by_uid.get(&endpoint.uid) {
            self.endpoints[*index] = endpoint;
        } else {
            self.index_by_uid.insert(endpoint.uid.clone(), self.endpoints.len());
            self.endpoints.push(endpoint);
        }
    }

    fn remove(&mut self, uid: &str) {
        let Some(index) = self.index_by_uid.remove(uid) else { return };
        self.endpoints.swap_remove(index);
        if let Some(moved) = self.endpoints.get(index) {
            self.index_by_uid.insert(moved.uid.clone(), index);
        }
    }

    /// The entries in the core's form. Entries whose address can't be parsed are left out, unless they remove
    /// their endpoint.
    pub fn members(&self) -> Vec<ListedMember> {
        self.endpoints.iter().filter_map(EndpointRecord::member).collect()
    }
}

impl EndpointRecord {
    /// The endpoint's unique name, as discovery assigns it.
    pub fn uid(&self) -> &str {
        &self.uid
    }

    /// The endpoint's id in the core, derived from its `uid`.
    pub fn id(&self) -> EndpointId {
        endpoint_id(&self.uid)
    }

    fn member(&self) -> Option<ListedMember> {
        let listed = self.listed_state();
        let address = match self.address.parse() {
            Ok(address) => address,
            Err(_) if listed == EndpointState::Removed => NO_ADDRESS,
            Err(_) => return None,
        };
        let entry = EndpointEntry {
            endpoint: self.id(),
            group: self.group,
            zone: 0,
            state: listed,
            primary_hint: self.recovery == RECOVERY_OFF,
            started_at: from_unix_ms(self.started_unix_ms.max(0.0) as u64),
        };
        Some(ListedMember { entry, address })
    }

    /// The state that the entry gives its endpoint. An unknown state counts as removed.
    pub fn listed_state(&self) -> EndpointState {
        match self.state.as_str() {
            STATE_SERVING => EndpointState::Ready,
            STATE_DRAINING => EndpointState::Draining,
            _ => EndpointState::Removed,
        }
    }
}

/// The id of the endpoint with this `uid`. It is the same in every proxy and after every restart.
fn endpoint_id(uid: &str) -> EndpointId {
    EndpointId(stable_hash(uid.as_bytes()) & ENDPOINT_ID_MASK)
}

#[cfg(test)]
mod tests;
