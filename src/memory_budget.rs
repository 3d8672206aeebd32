//! A limit on the memory that many holders, such as client connections, use together. Each holder is
//! guaranteed a part of it, however much the others use.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A limit on the bytes of several budgets together, which holds for what exceeds the guaranteed parts.
#[derive(Debug)]
pub struct MemoryTotal {
    limit: usize,
    used: AtomicUsize,
}

impl MemoryTotal {
    /// Creates a total of at most `limit` bytes.
    pub fn new(limit: usize) -> Arc<MemoryTotal> {
        Arc::new(MemoryTotal { limit, used: AtomicUsize::new(0) })
    }

    /// The bytes that all holders of all budgets use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::SeqCst)
    }
}

/// A limit on bytes. A holder may exceed its guaranteed part while the total is below the shared limit.
///
/// The total never exceeds the shared limit plus the parts of all holders: whoever exceeds its part does so
/// while the total, with the new bytes, is within the shared limit.
#[derive(Debug)]
pub struct MemoryBudget {
    shared_limit: usize,
    part: usize,
    used: AtomicUsize,
    total: Arc<MemoryTotal>,
}

impl MemoryBudget {
    /// Creates a budget that guarantees an equal part of `guaranteed` bytes to each of `holders` holders.
    #[cfg(test)]
    pub fn new(shared_limit: usize, guaranteed: usize, holders: usize) -> Arc<MemoryBudget> {
        MemoryBudget::within(MemoryTotal::new(usize::MAX), shared_limit, guaranteed, holders)
    }

    /// Creates a budget that guarantees an equal part of `guaranteed` bytes to each of `holders` holders, and
    /// that also counts in a total of several budgets: no holder may exceed its part while that total is
    /// at its limit.
    pub fn within(
        total: Arc<MemoryTotal>,
        shared_limit: usize,
        guaranteed: usize,
        holders: usize,
    ) -> Arc<MemoryBudget> {
        let part = guaranteed / holders.max(1);
        Arc::new(MemoryBudget { shared_limit, part, used: AtomicUsize::new(0), total })
    }

    /// Whether this budget or its total is used up.
    fn is_exceeded(&self) -> bool {
        self.used() > self.shared_limit || self.total.used() > self.total.limit
    }

    /// Replaces the `before` bytes of a holder by `after` bytes.
    fn replace(&self, before: usize, after: usize) {
        for used in [&self.used, &self.total.used] {
            used.fetch_add(after, Ordering::SeqCst);
            used.fetch_sub(before, Ordering::SeqCst);
        }
    }

    /// The bytes that all holders use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::SeqCst)
    }
}

/// The bytes that one holder uses of a [`MemoryBudget`]. They are released when this is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    budget: Arc<MemoryBudget>,
    bytes: usize,
}

impl HeldBytes {
    /// Creates a holder that uses nothing yet.
    pub fn new(budget: Arc<MemoryBudget>) -> HeldBytes {
        HeldBytes { budget, bytes: 0 }
    }

    /// The number of bytes that the holder uses.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the number of bytes that the holder uses. Fails, without a change, if it would then exceed its
    /// part while the total exceeds the shared limit; a decrease never fails.
    pub fn try_set(&mut self, bytes: usize) -> Result<(), OverBudget> {
        let before = self.bytes;
        self.set(bytes);
        let exceeds_part = bytes > before && bytes > self.budget.part;
        if exceeds_part && self.budget.is_exceeded() {
            self.set(before);
            return Err(OverBudget);
        }
        Ok(())
    }

    /// Changes the number of bytes that the holder uses, whatever the limit.
    pub fn set(&mut self, bytes: usize) {
        self.budget.replace(self.bytes, bytes);
        self.bytes = bytes;
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.budget.replace(self.bytes, 0);
    }
}

/// A holder would exceed its part of a [`MemoryBudget`] while the budget is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the part of the memory is used up")]
pub struct OverBudget;

#[cfg(test)]
mod tests;
