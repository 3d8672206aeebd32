//! The division of the process's memory limit among what clients and members can fill.

use super::descriptor_budget::DescriptorBudget;
use crate::memory_budget::{MemoryBudget, MemoryTotal};
use crate::net::member::MemberMemory;
use std::sync::Arc;

/// Each limit on buffers of all clients together is the memory limit divided by this.
const BUFFER_DIVISOR: usize = 10;
/// The memory limit is divided by these for the commands in progress.
const COMMANDS: Share = Share { shared_divisor: 8, guaranteed_divisor: 8 };
/// The memory limit is divided by these for the prepared statements and portals of clients.
const SESSIONS: Share = Share { shared_divisor: 16, guaranteed_divisor: 8 };
/// The memory limit is divided by these for the statements that are prepared on member connections.
const MEMBER_STATEMENTS: Share = Share { shared_divisor: 8, guaranteed_divisor: 16 };
/// The memory limit is divided by these for responses to batches that have not been answered.
const RESPONSES: Share = Share { shared_divisor: 8, guaranteed_divisor: 16 };

/// All shares together may exceed the guaranteed parts while they use less than the memory limit divided by
/// this. Without this limit, floods that each keep within one share would exceed the memory together.
const SHARED_TOTAL_DIVISOR: usize = 8;
/// Each table of the last commits of sessions, and that of ids that must not run again, takes at most the
/// memory limit divided by this.
const TABLE_DIVISOR: usize = 64;

/// The part of the memory limit for one use.
struct Share {
    /// Up to the memory limit divided by this, a holder may exceed its part.
    shared_divisor: usize,
    /// The memory limit divided by this is guaranteed to the holders in equal parts.
    guaranteed_divisor: usize,
}

impl Share {
    fn budget(&self, total: &Arc<MemoryTotal>, memory_bytes: usize, holders: usize) -> Arc<MemoryBudget> {
        let shared = memory_bytes / self.shared_divisor;
        let guaranteed = memory_bytes / self.guaranteed_divisor;
        MemoryBudget::within(total.clone(), shared, guaranteed, holders)
    }
}

/// The limits that follow from the memory limit and the number of connections.
pub(super) struct MemoryDivision {
    /// The most bytes in each kind of buffer of all clients together.
    pub(super) buffer_bytes: usize,
    /// The memory of commands in progress.
    pub(super) commands: Arc<MemoryBudget>,
    /// The memory of the prepared statements and portals of clients.
    pub(super) sessions: Arc<MemoryBudget>,
    /// The most bytes of each table of the last commits of sessions, and of that of ids that must not run
    /// again.
    pub(super) table_bytes: usize,
    /// The memory of member connections.
    pub(super) members: MemberMemory,
}

impl MemoryDivision {
    /// Divides `memory_bytes` for the connections that the descriptors allow.
    pub(super) fn new(memory_bytes: usize, connections: &DescriptorBudget) -> Self {
        let members = connections.member_connections;
        let total = &MemoryTotal::new(memory_bytes / SHARED_TOTAL_DIVISOR);
        MemoryDivision {
            buffer_bytes: memory_bytes / BUFFER_DIVISOR,
            commands: COMMANDS.budget(total, memory_bytes, connections.client_connections),
            sessions: SESSIONS.budget(total, memory_bytes, connections.clients),
            table_bytes: memory_bytes / TABLE_DIVISOR,
            members: MemberMemory::new(
                MEMBER_STATEMENTS.budget(total, memory_bytes, members),
                RESPONSES.budget(total, memory_bytes, members),
            ),
        }
    }
}

#[cfg(test)]
mod tests;
