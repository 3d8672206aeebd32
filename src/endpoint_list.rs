//! The endpoint list as sent by discovery, given in the configuration and kept in the store.

use crate::clock::from_unix_ms;
use crate::stable_hash::stable_hash;
use crate::{EndpointEntry, EndpointId, EndpointState};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};

/// State of an entry in a partial list that removes the endpoint.
const STATE_DELETED: &str = "DELETED";
/// State of an endpoint that accepts requests.
const STATE_SERVING: &str = "SERVING";
/// State of an endpoint that is draining: it completes its requests and accepts no new ones.
const STATE_DRAINING: &str = "DRAINING";
/// Value of `recovery` for a primary.
const RECOVERY_OFF: &str = "off";
/// Endpoint ids have 48 bits.
const ENDPOINT_ID_MASK: u64 = 0xffff_ffff_ffff;
/// A placeholder for the unreadable address of an endpoint that was removed; never connected to.
const NO_ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A list of endpoints: complete, or only the entries that have changed.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EndpointList {
    /// The revision; discovery raises it with every change.
    #[serde(default, rename = "rev")]
    pub revision: u64,
    /// Whether the list is complete; otherwise it contains changes.
    #[serde(default, rename = "all")]
    pub complete: bool,
    /// The entries.
    #[serde(default, rename = "targets")]
    pub endpoints: Vec<EndpointRecord>,
    /// The place of each entry by its `uid`, from the first change on.
    #[serde(skip)]
    places: HashMap<String, usize>,
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

/// A member in the core's form.
pub struct ListedMember {
    /// Its entry.
    pub entry: EndpointEntry,
    /// The address on which it accepts connections.
    pub address: SocketAddr,
}

impl EndpointList {
    /// Applies an update: a complete list replaces this one, changes replace their entries.
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
                self.put(changed);
            }
        }
    }

    /// The same entries as a complete list.
    pub fn into_complete(mut self) -> EndpointList {
        self.complete = true;
        self
    }

    /// One update that has the effect of this one and then another.
    pub fn followed_by(mut self, update: EndpointList) -> EndpointList {
        if self.complete || update.complete {
            self.merge(update);
            return self;
        }
        self.revision = update.revision;
        // Entries that remove an endpoint stay: the list to which the changes are applied has it still.
        self.index_entries();
        update.endpoints.into_iter().for_each(|changed| self.put(changed));
        self
    }

    /// Finds the place of each entry, if that is not known.
    fn index_entries(&mut self) {
        if self.places.len() != self.endpoints.len() {
            self.places.clear();
            std::mem::take(&mut self.endpoints).into_iter().for_each(|endpoint| self.put(endpoint));
        }
    }

    fn put(&mut self, endpoint: EndpointRecord) {
        if let Some(place) = self.places.get(&endpoint.uid) {
            self.endpoints[*place] = endpoint;
        } else {
            self.places.insert(endpoint.uid.clone(), self.endpoints.len());
            self.endpoints.push(endpoint);
        }
    }

    fn remove(&mut self, uid: &str) {
        let Some(place) = self.places.remove(uid) else { return };
        self.endpoints.swap_remove(place);
        if let Some(moved) = self.endpoints.get(place) {
            self.places.insert(moved.uid.clone(), place);
        }
    }

    /// The entries in the core's form. Entries whose address can't be parsed are left out.
    pub fn members(&self) -> Vec<ListedMember> {
        self.endpoints.iter().filter_map(EndpointRecord::member).collect()
    }
}

impl EndpointRecord {
    /// The name of the endpoint.
    pub fn uid(&self) -> &str {
        &self.uid
    }

    /// The id of the endpoint.
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

    /// The state that the entry gives its endpoint.
    pub fn listed_state(&self) -> EndpointState {
        match self.state.as_str() {
            STATE_SERVING => EndpointState::Ready,
            STATE_DRAINING => EndpointState::Draining,
            _ => EndpointState::Removed,
        }
    }
}

/// The id of the endpoint with this `uid`: the same at every proxy and after every restart.
fn endpoint_id(uid: &str) -> EndpointId {
    EndpointId(stable_hash(uid.as_bytes()) & ENDPOINT_ID_MASK)
}

#[cfg(test)]
mod tests;
