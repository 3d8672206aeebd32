//! Selects the prepared statements to record in the store's catalogue.

use crate::extended::PreparedStatement;
use crate::stable_hash::stable_hash;
use crate::store::{Change, Statement};
use std::collections::HashSet;

/// The maximum length of the text and the parameter types of a statement that is recorded. The store holds a
/// multiple of it for each statement of the catalogue: in its state, its snapshot, its log and its queues.
const MAX_RECORDED_BYTES: usize = 2 * 1024;
/// The maximum number of statements remembered as recorded. When it is reached, all are forgotten, and each
/// is recorded again when a client next prepares it.
const MAX_REMEMBERED: usize = 1024;

/// Collects the statements to record in the store's catalogue, each once.
#[derive(Default)]
pub struct StatementRecorder {
    pending: Vec<Change>,
    /// The hashes of the recorded statements. The statements themselves may be long.
    recorded: HashSet<u64>,
}

impl StatementRecorder {
    /// Collects a statement that a client prepares, unless it has been recorded, is too long or is not UTF-8.
    pub fn record(&mut self, prepared: &PreparedStatement) {
        if self.recorded.len() >= MAX_REMEMBERED {
            self.recorded.clear();
        }
        if prepared.bytes() <= MAX_RECORDED_BYTES
            && self.recorded.insert(hash_of(prepared))
            && let Ok(sql) = String::from_utf8(prepared.sql.clone())
        {
            self.pending.push(Change::Prepared(Statement { sql, types: prepared.parameter_types.clone() }));
        }
    }

    /// Removes and returns the collected changes.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.pending)
    }
}

fn hash_of(prepared: &PreparedStatement) -> u64 {
    stable_hash(&[prepared.sql.as_slice(), b"\0", &prepared.parameter_types].concat())
}
