//! The prepared statements of one member connection.

use super::batch::PreparedStatement;
use std::collections::HashMap;
use std::sync::Arc;

/// The most statements that stay prepared on one member connection.
const MAX_STATEMENTS: usize = 128;
/// The most bytes of statement text that stay prepared on one member connection.
const MAX_STATEMENT_BYTES: usize = 128 * 1024;

/// The statements that one member connection has prepared, under the proxy's own names, which are never
/// reused on that connection. The least recently used statements are evicted first.
#[derive(Default)]
pub struct PreparedStatementCache {
    entries: HashMap<Arc<PreparedStatement>, CacheEntry>,
    /// Counts lookups; numbers names and orders uses.
    lookups: u64,
    /// Bytes of statement text in `entries`.
    bytes: usize,
}

struct CacheEntry {
    name_number: u64,
    last_used: u64,
}

/// The result of a lookup, and the messages that prepare the statement at the member, if any are needed.
pub(super) enum CacheLookup {
    /// The statement is prepared under this name.
    Hit {
        /// The statement's name at the member.
        name: String,
    },
    /// The statement is to be prepared under this name, after closing those evicted for it.
    Miss {
        /// The statement's name at the member.
        name: String,
        /// The names of the statements to close.
        evicted: Vec<String>,
    },
}

impl PreparedStatementCache {
    /// Looks up a statement. A missing one counts as prepared from now on.
    pub(super) fn look_up(&mut self, statement: &Arc<PreparedStatement>) -> CacheLookup {
        self.lookups += 1;
        let now = self.lookups;
        if let Some(entry) = self.entries.get_mut(statement) {
            entry.last_used = now;
            return CacheLookup::Hit { name: name_at_member(entry.name_number) };
        }
        let evicted = self.make_room_for(statement);
        self.entries.insert(statement.clone(), CacheEntry { name_number: now, last_used: now });
        self.bytes += statement.sql.len();
        CacheLookup::Miss { name: name_at_member(now), evicted }
    }

    /// Removes a statement that the member failed to prepare.
    pub(super) fn remove(&mut self, statement: &Arc<PreparedStatement>) {
        if self.entries.remove(statement).is_some() {
            self.bytes -= statement.sql.len();
        }
    }

    /// How many statements are prepared.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Evicts statements until this one fits; returns the names of the evicted, least recently used first.
    fn make_room_for(&mut self, statement: &PreparedStatement) -> Vec<String> {
        let mut evicted = Vec::new();
        while !self.has_room_for(statement)
            && let Some(name) = self.evict_least_recently_used()
        {
            evicted.push(name);
        }
        evicted
    }

    fn has_room_for(&self, statement: &PreparedStatement) -> bool {
        self.entries.len() < MAX_STATEMENTS && self.bytes + statement.sql.len() <= MAX_STATEMENT_BYTES
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
