//! The idle connections in the order of their idle time, so that no lookup walks over all connections: some
//! are made for each message.

use super::{EvictableConnection, EvictionCandidate, RetainedConnections};
use crate::Micros;
use crate::client::ClientId;
use std::collections::{BTreeSet, HashMap};

/// A connection that has made requests may be closed to free capacity after it has been idle for this long.
const EVICTABLE_AFTER_IDLE: Micros = 2_000_000;
/// A connection that has made no request may be closed to free capacity after it has been idle for this long.
const EVICTABLE_WITHOUT_REQUEST_AFTER: Micros = 200_000;

/// What the index knows of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct IdleState {
    /// Whether the connection has made a request.
    pub(super) has_requested: bool,
    /// Since when the connection has been idle; `None` if a command is in progress.
    pub(super) idle_since: Option<Micros>,
}

/// The connections of a front by their idle time.
#[derive(Default)]
pub(super) struct IdleIndex {
    states: HashMap<ClientId, IdleState>,
    /// The idle connections that have made no request, longest idle first.
    without_request: BTreeSet<(Micros, ClientId)>,
    /// The idle connections that have made a request, longest idle first.
    with_request: BTreeSet<(Micros, ClientId)>,
    /// The number of connections that have made a request, idle or not.
    retained: usize,
}

impl IdleIndex {
    /// Records the state of a connection; `None` for one that is closed.
    pub(super) fn update(&mut self, id: ClientId, state: Option<IdleState>) {
        let before = match state {
            Some(state) => self.states.insert(id, state),
            None => self.states.remove(&id),
        };
        if before == state {
            return;
        }
        if let Some(before) = before {
            self.retained -= usize::from(before.has_requested);
            before.idle_since.map(|since| self.order(before.has_requested).remove(&(since, id)));
        }
        if let Some(state) = state {
            self.retained += usize::from(state.has_requested);
            state.idle_since.map(|since| self.order(state.has_requested).insert((since, id)));
        }
    }

    fn order(&mut self, has_requested: bool) -> &mut BTreeSet<(Micros, ClientId)> {
        if has_requested { &mut self.with_request } else { &mut self.without_request }
    }

    /// The connection to close first to free capacity, among those that have been idle long enough: those
    /// that have made no request come first, then those that have been idle longest.
    pub(super) fn eviction_candidate(&self, now: Micros) -> Option<EvictionCandidate> {
        let first = |order: &BTreeSet<(Micros, ClientId)>, required, never_requested| {
            let (since, client) = *order.first()?;
            let idle_for = now.saturating_sub(since);
            (idle_for >= required).then_some(EvictionCandidate { never_requested, idle_for, client })
        };
        let without_request = first(&self.without_request, EVICTABLE_WITHOUT_REQUEST_AFTER, true);
        without_request.or_else(|| first(&self.with_request, EVICTABLE_AFTER_IDLE, false))
    }

    /// The connections that have made a request.
    pub(super) fn retained(&self) -> RetainedConnections {
        let next = self.with_request.first().map(|(since, client)| EvictableConnection {
            evictable_at: since + EVICTABLE_AFTER_IDLE,
            client: *client,
        });
        RetainedConnections { count: self.retained, next_evictable: next }
    }
}

#[cfg(test)]
mod tests;
