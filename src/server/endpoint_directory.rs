//! The names and the listed states of endpoints, which the log shows.

use crate::endpoint_list::EndpointList;
use crate::{EndpointId, EndpointState};
use std::collections::HashMap;

/// An endpoint whose listed state has changed.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct EndpointChange {
    /// The name of the endpoint in the list.
    pub(super) uid: String,
    /// The previous state; `None` if the endpoint is new.
    pub(super) from: Option<EndpointState>,
    /// The new state.
    pub(super) to: EndpointState,
}

struct ListedEndpoint {
    uid: String,
    state: EndpointState,
}

/// The endpoints of the list in use, without those that have been removed.
#[derive(Default)]
pub(super) struct EndpointDirectory(HashMap<EndpointId, ListedEndpoint>);

impl EndpointDirectory {
    /// The number of endpoints.
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    /// The name of an endpoint, or its id in hexadecimal digits if it is no longer listed.
    pub(super) fn name(&self, endpoint: EndpointId) -> String {
        match self.0.get(&endpoint) {
            Some(listed) => listed.uid.clone(),
            None => format!("#{:012x}", endpoint.0),
        }
    }

    /// Applies a complete list or an update, and returns the endpoints whose listed state has changed.
    pub(super) fn apply(&mut self, list: &EndpointList) -> Vec<EndpointChange> {
        let mut changes = Vec::new();
        let mut unlisted = if list.complete { std::mem::take(&mut self.0) } else { HashMap::new() };
        for record in &list.endpoints {
            let (id, to) = (record.id(), record.listed_state());
            let known = unlisted.remove(&id).or_else(|| self.0.remove(&id));
            let from = known.as_ref().map(|known| known.state);
            if from != Some(to) {
                changes.push(EndpointChange { uid: record.uid().into(), from, to });
            }
            if to != EndpointState::Removed {
                let uid = known.map_or_else(|| record.uid().into(), |known| known.uid);
                self.0.insert(id, ListedEndpoint { uid, state: to });
            }
        }
        let removed = unlisted.into_values().map(|ListedEndpoint { uid, state }| EndpointChange {
            uid,
            from: Some(state),
            to: EndpointState::Removed,
        });
        changes.extend(removed);
        changes
    }
}

#[cfg(test)]
mod tests;
