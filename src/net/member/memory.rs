//! The memory that all member connections use together.

use crate::memory_budget::MemoryBudget;
use std::sync::Arc;

/// The memory limit divided by this is what the statements of all connections, and what the responses that are
/// being read, may take before a connection may not exceed its part.
const SHARED_DIVISOR: usize = 8;
/// The memory limit divided by this is guaranteed to each of the two, in equal parts for the connections.
const GUARANTEED_DIVISOR: usize = 16;

/// The memory budgets that all member connections share.
#[derive(Clone)]
pub struct MemberMemory {
    /// The memory of the statements that are prepared on the connections.
    pub(super) statements: Arc<MemoryBudget>,
    /// The memory of responses to batches that have not been read completely.
    pub(super) responses: Arc<MemoryBudget>,
}

impl MemberMemory {
    /// Creates the budgets for at most `connections` connections of a process with this memory limit.
    pub fn new(memory_bytes: usize, connections: usize) -> MemberMemory {
        let budget = || {
            MemoryBudget::new(memory_bytes / SHARED_DIVISOR, memory_bytes / GUARANTEED_DIVISOR, connections)
        };
        MemberMemory { statements: budget(), responses: budget() }
    }
}
