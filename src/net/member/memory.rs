//! The memory that all member connections use together.

use crate::memory_budget::MemoryBudget;
use std::sync::Arc;

/// The memory budgets that all member connections share.
#[derive(Clone)]
pub struct MemberMemory {
    /// The memory of the statements that are prepared on the connections.
    pub statements: Arc<MemoryBudget>,
    /// The memory of responses to batches, until they are answered.
    pub responses: Arc<MemoryBudget>,
}

impl MemberMemory {
    /// Combines the budgets for the statements that are prepared on the connections, and for responses.
    pub fn new(statements: Arc<MemoryBudget>, responses: Arc<MemoryBudget>) -> MemberMemory {
        MemberMemory { statements, responses }
    }
}
