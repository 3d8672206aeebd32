//! The prepared statements of one member connection.

use super::batch::PreparedStatement;
use crate::memory_budget::HeldBytes;
use std::collections::HashMap;
use std::sync::Arc;

/// The maximum number of statements that stay prepared on one member connection.
const MAX_STATEMENTS: usize = 128;
/// The most bytes that the statements which stay prepared on one member connection take in memory.
const MAX_STATEMENT_BYTES: usize = 128 * 1024;

/// What a statement takes in memory besides its text and its parameter types.
const STATEMENT_OVERHEAD_BYTES: usize = 192;

/// The statements that are prepared on one member connection. Their names are chosen by the proxy and never
/// reused on the connection. The least recently used statements are evicted first.
pub struct PreparedStatementCache {
    entries: HashMap<Arc<PreparedStatement>, CacheEntry>,
    /// The number of lookups. The number of a lookup is part of the name of a statement that it adds, and
    /// orders the statements by their last use.
    lookups: u64,
    /// What the statements in `entries` take in memory, as counted in the budget of all connections.
    held: HeldBytes,
}

struct CacheEntry {
    /// The number of the lookup that added the statement, which is part of its name at the member.
    name_number: u64,
    /// The number of the last lookup of the statement.
    last_used: u64,
}

/// The result of a lookup.
pub(super) enum CacheLookup {
    /// The statement is prepared at the member, or an earlier Parse on the connection prepares it.
    Hit {
        /// The statement's name at the member.
        name: String,
    },
    /// The statement is not prepared at the member: the caller must close the evicted statements, then
    /// prepare this one.
    Miss {
        /// The name under which the statement is to be prepared.
        name: String,
        /// The names of the evicted statements at the member, least recently used first.
        evicted: Vec<String>,
    },
}

impl PreparedStatementCache {
    /// Creates an empty cache, whose bytes are counted in `held`.
    pub fn new(held: HeldBytes) -> PreparedStatementCache {
        PreparedStatementCache { entries: HashMap::new(), lookups: 0, held }
    }

    /// Looks up a statement, and adds it if it is missing: later lookups return [`CacheLookup::Hit`].
    pub(super) fn look_up(&mut self, statement: &Arc<PreparedStatement>) -> CacheLookup {
        self.lookups += 1;
        let lookup = self.lookups;
        if let Some(entry) = self.entries.get_mut(statement) {
            entry.last_used = lookup;
            return CacheLookup::Hit { name: name_at_member(entry.name_number) };
        }
        let evicted = self.evict_for(statement);
        self.entries.insert(statement.clone(), CacheEntry { name_number: lookup, last_used: lookup });
        CacheLookup::Miss { name: name_at_member(lookup), evicted }
    }

    /// Removes a statement that the member has not prepared, because it rejected or skipped the Parse.
    pub(super) fn remove(&mut self, statement: &Arc<PreparedStatement>) {
        if self.entries.remove(statement).is_some() {
            self.held.set(self.held.bytes() - memory_of(statement));
        }
    }

    /// The number of prepared statements.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Evicts statements until this one fits within the limits, or none is left, and counts its bytes.
    /// Returns the names of the evicted statements, least recently used first.
    fn evict_for(&mut self, statement: &PreparedStatement) -> Vec<String> {
        let mut evicted = Vec::new();
        while !self.try_hold(statement) {
            let Some(name) = self.evict_least_recently_used() else {
                self.held.set(memory_of(statement));
                break;
            };
            evicted.push(name);
        }
        evicted
    }

    /// Counts the bytes of a statement; `false` if it does not fit within the limits.
    fn try_hold(&mut self, statement: &PreparedStatement) -> bool {
        let bytes = self.held.bytes() + memory_of(statement);
        let is_within_limits = self.entries.len() < MAX_STATEMENTS && bytes <= MAX_STATEMENT_BYTES;
        is_within_limits && self.held.try_set(bytes).is_ok()
    }

    fn evict_least_recently_used(&mut self) -> Option<String> {
        let (oldest, entry) = self.entries.iter().min_by_key(|(_, entry)| entry.last_used)?;
        let name = name_at_member(entry.name_number);
        let oldest = oldest.clone();
        self.remove(&oldest);
        Some(name)
    }
}

fn memory_of(statement: &PreparedStatement) -> usize {
    statement.bytes() + STATEMENT_OVERHEAD_BYTES
}

fn name_at_member(number: u64) -> String {
    format!("liftrelay_{number}")
}
