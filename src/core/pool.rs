//! The accounting of the connection pool: the connections to each member, and which of them are idle.
//!
//! The pool holds ids and no sockets; the sockets belong to the caller of the reducer.

use super::{CloseReason, ListedMember};
use crate::{EndpointId, EndpointState, Micros};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The id of a connection to a member; ids are never reused.
pub type ConnectionId = u64;

/// How long the pool retains the entry of a member that the endpoint list has removed.
const REMOVED_MEMBER_RETENTION: Micros = 30_000_000;

struct Connection {
    endpoint: EndpointId,
    address: SocketAddr,
    /// When the connection became idle; `None` while it is in use.
    idle_since: Option<Micros>,
    /// Set when the connection is closed in the middle of a job. The connection is not reused, even if a
    /// result of the job arrives that reports it as reusable.
    broken: bool,
    /// Why the proxy closes the connection; `None` while it doesn't.
    close_reason: Option<CloseReason>,
}

/// The connections to one member.
#[derive(Default)]
struct MemberPool {
    /// The address in the endpoint list.
    address: Option<SocketAddr>,
    /// Idle connections in the order of their last use. The most recently used is last and is reused first.
    idle: Vec<ConnectionId>,
    /// When the endpoint list removed the member; `None` while it is listed.
    removed_since: Option<Micros>,
}

/// The connections to all members, idle or in use.
pub struct Pool {
    /// The greatest number of connections, idle and in use.
    capacity: usize,
    last_id: ConnectionId,
    connections: BTreeMap<ConnectionId, Connection>,
    members: BTreeMap<EndpointId, MemberPool>,
    /// The members that the endpoint list has removed, by the time of their removal.
    removed_members: BTreeSet<(Micros, EndpointId)>,
}

/// An idle connection that was removed from the pool to make room for a new one.
pub struct EvictedConnection {
    /// The id of the connection.
    pub connection: ConnectionId,
    /// The member that it was connected to.
    pub endpoint: EndpointId,
}

/// The result of checking out a connection for a job.
pub enum Checkout {
    /// The most recently used idle connection.
    Reused {
        /// The id of the connection.
        connection: ConnectionId,
        /// When the connection became idle.
        idle_since: Micros,
    },
    /// A new connection, which the caller opens.
    New {
        /// The id of the connection.
        connection: ConnectionId,
        /// The address of the member.
        address: SocketAddr,
        /// The idle connection that the caller closes first, if the pool was full.
        evicted: Option<EvictedConnection>,
    },
    /// No connection: the member's address is unknown, or the pool is full and every connection is in use.
    Unavailable,
}

/// The result of checking in a connection after its job.
#[must_use]
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum CheckIn {
    /// The connection is idle now or was before, or it has been closed.
    Done,
    /// The connection can't be reused, and the caller closes it.
    Close,
}

impl Pool {
    /// Creates an empty pool of at most `capacity` connections.
    pub fn new(capacity: usize) -> Self {
        let (connections, members) = (BTreeMap::new(), BTreeMap::new());
        Pool { capacity, last_id: 0, connections, members, removed_members: BTreeSet::new() }
    }

    /// Applies an endpoint list update. Returns the idle connections to close: those to members that have
    /// been removed, are draining or have a new address.
    pub fn apply_endpoint_update(
        &mut self,
        now: Micros,
        complete: bool,
        listed: &[ListedMember],
    ) -> Vec<ConnectionId> {
        let mut states = BTreeMap::new();
        for ListedMember { entry, address } in listed {
            states.entry(entry.endpoint).or_insert(entry.state);
            self.members.entry(entry.endpoint).or_default().address = Some(*address);
        }
        if complete {
            for endpoint in self.members.keys() {
                states.entry(*endpoint).or_insert(EndpointState::Removed);
            }
        }
        let mut to_close = Vec::new();
        for (endpoint, state) in states {
            to_close.extend(self.apply_state(now, endpoint, state));
        }
        self.drop_removed_members(now);
        to_close
    }

    /// Applies a member's state in the endpoint list. Returns the idle connections that this makes unusable.
    fn apply_state(
        &mut self,
        now: Micros,
        endpoint: EndpointId,
        state: EndpointState,
    ) -> impl Iterator<Item = ConnectionId> {
        let member = self.members.entry(endpoint).or_default();
        if state != EndpointState::Removed {
            if let Some(since) = member.removed_since.take() {
                self.removed_members.remove(&(since, endpoint));
            }
        } else if member.removed_since.is_none() {
            member.removed_since = Some(now);
            self.removed_members.insert((now, endpoint));
        }
        member.remove_unusable(state != EndpointState::Ready, &self.connections).into_iter()
    }

    /// Drops the entries of members that were removed [`REMOVED_MEMBER_RETENTION`] ago or earlier. Without
    /// this, the pool would grow without bound, because new members always have new ids. Entries are not
    /// dropped as soon as a list removes a member, because the list may be wrong.
    fn drop_removed_members(&mut self, now: Micros) {
        while let Some((since, endpoint)) = self.removed_members.first().copied()
            && now >= since + REMOVED_MEMBER_RETENTION
        {
            self.removed_members.pop_first();
            self.members.remove(&endpoint);
        }
    }

    /// Checks out the most recently used idle connection to a member, or else a new one. In a full pool, a
    /// new connection replaces the one that has been idle for longest.
    pub fn check_out(&mut self, endpoint: EndpointId) -> Checkout {
        let Some(member) = self.members.get_mut(&endpoint) else {
            return Checkout::Unavailable;
        };
        if let Some(connection) = member.idle.pop()
            && let Some(idle_since) = self.connections.get_mut(&connection).and_then(|c| c.idle_since.take())
        {
            return Checkout::Reused { connection, idle_since };
        }
        let Some(address) = member.address else {
            return Checkout::Unavailable;
        };
        let mut evicted = None;
        if self.connections.len() >= self.capacity {
            evicted = self.evict_longest_idle();
            if evicted.is_none() {
                return Checkout::Unavailable;
            }
        }
        self.last_id += 1;
        let connection =
            Connection { endpoint, address, idle_since: None, broken: false, close_reason: None };
        self.connections.insert(self.last_id, connection);
        Checkout::New { connection: self.last_id, address, evicted }
    }

    /// Removes the connection that has been idle for longest, whichever its member.
    fn evict_longest_idle(&mut self) -> Option<EvictedConnection> {
        let idle = self.connections.iter().filter_map(|(id, c)| Some((c.idle_since?, *id, c.endpoint)));
        let (_, oldest, endpoint) = idle.min()?;
        if let Some(member) = self.members.get_mut(&endpoint) {
            member.remove_idle(oldest);
        }
        self.connections.remove(&oldest);
        Some(EvictedConnection { connection: oldest, endpoint })
    }

    /// Checks in a connection whose job has ended. A connection is not reused if its member has a new
    /// address, or if it was closed while the result of its job was in transit.
    pub fn check_in(&mut self, connection_id: ConnectionId, now: Micros) -> CheckIn {
        let Some(connection) = self.connections.get_mut(&connection_id) else {
            return CheckIn::Done;
        };
        if connection.idle_since.is_some() {
            return CheckIn::Done;
        }
        if connection.broken {
            return CheckIn::Close;
        }
        match self.members.get_mut(&connection.endpoint) {
            Some(member) if member.address == Some(connection.address) => {
                connection.idle_since = Some(now);
                member.idle.push(connection_id);
                CheckIn::Done
            }
            _ => CheckIn::Close,
        }
    }

    /// Records that a connection was closed in the middle of a job, so that it is not reused.
    pub fn mark_broken(&mut self, connection: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&connection) {
            connection.broken = true;
        }
    }

    /// Records why the proxy closes a connection.
    pub fn mark_closing(&mut self, connection: ConnectionId, reason: CloseReason) {
        if let Some(connection) = self.connections.get_mut(&connection) {
            connection.close_reason = Some(reason);
        }
    }

    /// Takes the connections that have been idle since `limit` or earlier out of use, and returns them for
    /// the caller to close.
    pub fn evict_idle_since(&mut self, limit: Micros) -> Vec<ConnectionId> {
        let connections = &self.connections;
        let is_recent = |id: &ConnectionId| {
            let idle_since = connections.get(id).and_then(|connection| connection.idle_since);
            idle_since.is_some_and(|since| since > limit)
        };
        let mut to_close = Vec::new();
        for member in self.members.values_mut() {
            to_close.extend(member.idle.extract_if(.., |id| !is_recent(id)));
        }
        to_close
    }

    /// Removes a connection that has been closed. Returns its member and the reason; `None` for an unknown
    /// connection.
    pub fn remove(&mut self, connection: ConnectionId) -> Option<(EndpointId, CloseReason)> {
        let removed = self.connections.remove(&connection)?;
        if let Some(member) = self.members.get_mut(&removed.endpoint) {
            member.remove_idle(connection);
        }
        let other_reason = if removed.broken { CloseReason::JobCancelled } else { CloseReason::Broken };
        Some((removed.endpoint, removed.close_reason.unwrap_or(other_reason)))
    }
}

impl MemberPool {
    fn remove_idle(&mut self, connection: ConnectionId) {
        self.idle.retain(|idle| *idle != connection);
    }

    /// Removes and returns the idle connections that can't be used: all of them if the member is out of
    /// service, otherwise those to a former address.
    fn remove_unusable(
        &mut self,
        out_of_service: bool,
        connections: &BTreeMap<ConnectionId, Connection>,
    ) -> Vec<ConnectionId> {
        let address = self.address;
        let is_current = |id: &ConnectionId| connections.get(id).is_some_and(|c| Some(c.address) == address);
        self.idle.extract_if(.., |id| out_of_service || !is_current(id)).collect()
    }
}

#[cfg(test)]
mod tests;
