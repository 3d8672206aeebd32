//! The accounting of the connection pool: the connections to each member, and which of them are idle.
//! The sockets themselves belong to the event loop.

use super::{CloseReason, ListedMember};
use crate::{EndpointId, EndpointState, Micros};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The id of a connection to a member; ids are never reused.
pub type ConnectionId = u64;

/// A member that has been absent from the endpoint list for this long is dropped.
const FORGET_GONE_AFTER: Micros = 30_000_000;

struct Connection {
    endpoint: EndpointId,
    address: SocketAddr,
    idle_since: Option<Micros>,
    /// It was closed in the middle of a job: it is not reused, whatever result the job still reports.
    broken: bool,
    /// Why it is being closed, if it is.
    closing: Option<CloseReason>,
}

/// The connections to one member.
#[derive(Default)]
struct MemberPool {
    address: Option<SocketAddr>,
    /// Idle connections in the order of their last use: the most recently used is last and is reused first.
    idle: Vec<ConnectionId>,
    /// Since when the member has been absent from the endpoint list.
    gone_since: Option<Micros>,
}

/// The connections to all members, idle or in use.
pub struct Pool {
    capacity: usize,
    last_id: ConnectionId,
    connections: BTreeMap<ConnectionId, Connection>,
    members: BTreeMap<EndpointId, MemberPool>,
    /// The members that are absent from the endpoint list, in the order in which they left it.
    gone: BTreeSet<(Micros, EndpointId)>,
}

/// An idle connection that was removed to free capacity.
pub struct EvictedConnection {
    /// Its id.
    pub connection: ConnectionId,
    /// Its member.
    pub endpoint: EndpointId,
}

/// The connection that a job is given.
pub enum Checkout {
    /// The most recently used idle connection.
    Reused {
        /// Its id.
        connection: ConnectionId,
        /// Since when it has been idle.
        idle_since: Micros,
    },
    /// A new connection, to be opened.
    New {
        /// Its id.
        connection: ConnectionId,
        /// The address of the member.
        address: SocketAddr,
        /// An idle connection to another member, to be closed first to free capacity.
        evicted: Option<EvictedConnection>,
    },
    /// The member's address is unknown, or all connections are in use and the pool is full.
    Unavailable,
}

/// The state of a connection after its job has ended.
#[must_use]
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum CheckIn {
    /// It is idle now, is idle already, or is closed already.
    Done,
    /// It cannot be used again and must be closed.
    Close,
}

impl Pool {
    /// An empty pool of at most `capacity` connections.
    pub fn new(capacity: usize) -> Self {
        let (connections, members) = (BTreeMap::new(), BTreeMap::new());
        Pool { capacity, last_id: 0, connections, members, gone: BTreeSet::new() }
    }

    /// Applies an update of the endpoint list. Returns the idle connections to close: those to members that
    /// have been removed, are draining or have moved to another address.
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
        self.forget_gone_members(now);
        to_close
    }

    /// Applies the state that the list gives a member. Returns its idle connections that can't be used then.
    fn apply_state(
        &mut self,
        now: Micros,
        endpoint: EndpointId,
        state: EndpointState,
    ) -> impl Iterator<Item = ConnectionId> {
        let member = self.members.entry(endpoint).or_default();
        if state != EndpointState::Removed {
            if let Some(since) = member.gone_since.take() {
                self.gone.remove(&(since, endpoint));
            }
        } else if member.gone_since.is_none() {
            member.gone_since = Some(now);
            self.gone.insert((now, endpoint));
        }
        member.remove_unusable(state != EndpointState::Ready, &self.connections).into_iter()
    }

    /// Guards against growth without bound, as new members always get new ids. Removed members are kept for a
    /// while because a list may be wrong.
    fn forget_gone_members(&mut self, now: Micros) {
        while let Some((since, endpoint)) = self.gone.first().copied()
            && now >= since + FORGET_GONE_AFTER
        {
            self.gone.pop_first();
            self.members.remove(&endpoint);
        }
    }

    /// Checks out the most recently used idle connection to a member, or a new one if there is capacity.
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
        let connection = Connection { endpoint, address, idle_since: None, broken: false, closing: None };
        self.connections.insert(self.last_id, connection);
        Checkout::New { connection: self.last_id, address, evicted }
    }

    fn evict_longest_idle(&mut self) -> Option<EvictedConnection> {
        let idle = self.connections.iter().filter_map(|(id, c)| Some((c.idle_since?, *id, c.endpoint)));
        let (_, oldest, endpoint) = idle.min()?;
        if let Some(member) = self.members.get_mut(&endpoint) {
            member.remove_idle(oldest);
        }
        self.connections.remove(&oldest);
        Some(EvictedConnection { connection: oldest, endpoint })
    }

    /// Checks in a connection whose job has ended. Guards against reuse of a connection whose member has
    /// moved, or whose job ended just as it was closed.
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

    /// A connection was closed in the middle of a job: it must not be reused.
    pub fn mark_broken(&mut self, connection: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&connection) {
            connection.broken = true;
        }
    }

    /// A connection is being closed for this reason.
    pub fn mark_closing(&mut self, connection: ConnectionId, reason: CloseReason) {
        if let Some(connection) = self.connections.get_mut(&connection) {
            connection.closing = Some(reason);
        }
    }

    /// Returns the connections to close because they have been idle since `limit` or longer.
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

    /// A connection has been closed. Returns its member and why it was closed, unless it is unknown.
    pub fn remove(&mut self, connection: ConnectionId) -> Option<(EndpointId, CloseReason)> {
        let removed = self.connections.remove(&connection)?;
        if let Some(member) = self.members.get_mut(&removed.endpoint) {
            member.remove_idle(connection);
        }
        let by_job = if removed.broken { CloseReason::JobCancelled } else { CloseReason::Broken };
        Some((removed.endpoint, removed.closing.unwrap_or(by_job)))
    }
}

impl MemberPool {
    fn remove_idle(&mut self, connection: ConnectionId) {
        self.idle.retain(|idle| *idle != connection);
    }

    /// Removes and returns the idle connections whose member is not in service.
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
