//! The division of the process's descriptors among client connections, member connections and other uses.

use crate::net::admin;

/// The number of descriptors that are reserved for listeners, discovery, logs and other uses.
const RESERVED_DESCRIPTORS: usize = 40;
/// The number of descriptors that are reserved even if the process's limit on descriptors is low.
const MIN_RESERVED_DESCRIPTORS: usize = 14;
/// The most client connections that are open but not served: they are still to be rejected, or linger.
const MAX_UNSERVED_CONNECTIONS: usize = 8;
/// If two processes of this proxy may run at the same time, the descriptors are divided into this many
/// shares: one each for clients, for connections to members, and for the other process. Only the connections
/// to members are limited by their share.
const OVERLAP_SHARES: usize = 3;
/// The least number of connections of both kinds together, and of connections to members if two processes
/// may run at the same time.
const MIN_CONNECTIONS: usize = 2;

/// The most connections of each kind that may be open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct DescriptorBudget {
    /// The most connections to members.
    pub(super) member_connections: usize,
    /// The most client connections that are served.
    pub(super) clients: usize,
    /// The most client connections, including those that are still to be rejected or linger.
    pub(super) client_connections: usize,
}

impl DescriptorBudget {
    /// Divides `max_descriptors`. An inherited listening socket means that another process of this proxy may
    /// run at the same time.
    pub(super) fn new(max_descriptors: usize, admin_listener: bool, inherited_listener: bool) -> Self {
        let admin_connections = if admin_listener { admin::MAX_CONNECTIONS } else { 0 };
        // Clients and member connections must not use the last descriptors: without a free descriptor, calls
        // to discovery fail and no endpoint update arrives.
        let unreserved = max_descriptors.saturating_sub(MIN_RESERVED_DESCRIPTORS + admin_connections);
        let reserve = (RESERVED_DESCRIPTORS - MIN_RESERVED_DESCRIPTORS).min(unreserved / 2);
        let connections = unreserved.saturating_sub(reserve).max(MIN_CONNECTIONS);
        let unserved = MAX_UNSERVED_CONNECTIONS.min(reserve);
        let half = connections / 2;
        let member_connections = if inherited_listener {
            let share = (max_descriptors / OVERLAP_SHARES).saturating_sub(RESERVED_DESCRIPTORS / 2);
            share.clamp(MIN_CONNECTIONS, half.max(MIN_CONNECTIONS))
        } else {
            half
        };
        let clients = connections - half;
        DescriptorBudget { member_connections, clients, client_connections: clients + unserved }
    }
}

#[cfg(test)]
mod tests;
