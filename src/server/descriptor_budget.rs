//! The division of the process's descriptors between clients, members and all other uses.

use crate::net::admin;

/// Descriptors reserved for the listener, discovery, logs and the like.
const RESERVED_DESCRIPTORS: usize = 40;
/// The part of the reserve that is kept even where the limit is low.
const MIN_RESERVED_DESCRIPTORS: usize = 14;
/// Client connections beyond those served, which are still to be rejected or linger.
const MAX_UNSERVED_CONNECTIONS: usize = 8;
/// Where two processes of this proxy may overlap, the descriptors divide into this many shares: the clients
/// hold one, the connections to members one, and the other process one.
const OVERLAP_SHARES: usize = 3;
/// Connections to members, and descriptors in all, are at least this many.
const MIN_CONNECTIONS: usize = 2;

/// How many connections of each kind may be open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct DescriptorBudget {
    /// Connections to members.
    pub(super) member_connections: usize,
    /// Client connections that are served.
    pub(super) clients: usize,
    /// Client connections, including those that are still to be rejected or linger.
    pub(super) client_connections: usize,
}

impl DescriptorBudget {
    /// Divides this many descriptors. An inherited listening socket means that another process of this proxy
    /// may run at the same time.
    pub(super) fn new(max_descriptors: usize, admin_listener: bool, inherited_listener: bool) -> Self {
        let admin_connections = if admin_listener { admin::MAX_CONNECTIONS } else { 0 };
        // Guards against clients or member connections that use the last descriptor: endpoint updates
        // must arrive in any case.
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
