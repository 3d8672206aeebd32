//! The prepared statements of one member connection.

use super::batch::PreparedStatement;
use std::collections::HashMap;
use std::sync::Arc;

/// The maximum number of statements that stay prepared on one member connection.
const MAX_STATEMENTS: usize = 128;
/// The maximum total length of the texts and parameter types of the statements that stay prepared on one member connection.
const MAX_STATEMENT_BYTES: usize = 128 * 1024;

/// The statements that are prepared on one member connection. Their names are chosen by the proxy and never
/// reused on the connection. The least recently used statements are evicted first.
#[derive(Default)]
pub struct PreparedStatementCache {
    entries: HashMap<Arc<PreparedStatement>, CacheEntry>,
    /// The number of lookups. The number of a lookup is part of the name of a statement that it adds, and
    /// orders the statements by their last use.
    lookups: u64,
    /// The total length of the texts and parameter types in `entries`.
    bytes: usize,
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
        self.bytes += statement.bytes();
        CacheLookup::Miss { name: name_at_member(lookup), evicted }
    }

    /// Removes a statement that the member has not prepared, because it rejected or skipped the Parse.
    pub(super) fn remove(&mut self, statement: &Arc<PreparedStatement>) {
        if self.entries.remove(statement).is_some() {
            self.bytes -= statement.bytes();
        }
    }

    /// The number of prepared statements.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Evicts statements until this one fits within the limits, or none is left. Returns the names of the
    /// evicted statements, least recently used first.
    fn evict_for(&mut self, statement: &PreparedStatement) -> Vec<String> {
        let mut evicted = Vec::new();
        while !self.fits(statement)
            && let Some(name) = self.evict_least_recently_used()
        {
            evicted.push(name);
        }
        evicted
    }

    fn fits(&self, statement: &PreparedStatement) -> bool {
        self.entries.len() < MAX_STATEMENTS && self.bytes + statement.bytes() <= MAX_STATEMENT_BYTES
    }

    fn evict_least_recently_used(&mut self) -> Option<String> {
        let (oldest, entry) = self.entries.iter().min_by_key(|(_, entry)| entry.last_used)?;
        let name = name_at_member(entry.name_number);
        let oldest = oldest.clone();
        self.remove(&oldest);
        Some(name)
    }
}

fn name_at_member(number: u64) -> String {
    format!("liftrelay_{number}")
}
