//! A limit on the memory that many holders, such as client connections, use together. Each holder is
//! guaranteed a part of it, however much the others use.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A limit on bytes. A holder may exceed its guaranteed part while the total is below the shared limit.
///
/// The total never exceeds the shared limit plus the parts of all holders: whoever exceeds its part does so
/// while the total, with the new bytes, is within the shared limit.
#[derive(Debug)]
pub struct MemoryBudget {
    shared_limit: usize,
    part: usize,
    used: AtomicUsize,
}

impl MemoryBudget {
    /// Creates a budget that guarantees an equal part of `guaranteed` bytes to each of `holders` holders.
    pub fn new(shared_limit: usize, guaranteed: usize, holders: usize) -> Arc<MemoryBudget> {
        let part = guaranteed / holders.max(1);
        Arc::new(MemoryBudget { shared_limit, part, used: AtomicUsize::new(0) })
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
        if exceeds_part && self.budget.used.load(Ordering::SeqCst) > self.budget.shared_limit {
            self.set(before);
            return Err(OverBudget);
        }
        Ok(())
    }

    /// Changes the number of bytes that the holder uses, whatever the limit.
    pub fn set(&mut self, bytes: usize) {
        self.budget.used.fetch_add(bytes, Ordering::SeqCst);
        self.budget.used.fetch_sub(self.bytes, Ordering::SeqCst);
        self.bytes = bytes;
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::SeqCst);
    }
}

/// A holder would exceed its part of a [`MemoryBudget`] while the budget is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the part of the memory is used up")]
pub struct OverBudget;

#[cfg(test)]
mod tests;
