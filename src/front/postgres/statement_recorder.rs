//! Selects the prepared statements to record in the store's catalogue.

use crate::extended::PreparedStatement;
use crate::store::{Change, Statement};
use std::collections::HashSet;
use std::sync::Arc;

/// The maximum length of a statement that the store's catalogue accepts.
const MAX_RECORDED_BYTES: usize = 8 * 1024;
/// The maximum number of statements remembered as recorded. When it is reached, all are forgotten, and each
/// is recorded again when a client next prepares it.
const MAX_REMEMBERED: usize = 1024;

/// Collects the statements to record in the store's catalogue, each once.
#[derive(Default)]
pub struct StatementRecorder {
    pending: Vec<Change>,
    recorded: HashSet<Arc<PreparedStatement>>,
}

impl StatementRecorder {
    /// Collects a statement that a client prepares, unless it has been recorded, is too long or is not UTF-8.
    pub fn record(&mut self, prepared: &Arc<PreparedStatement>) {
        if self.recorded.len() >= MAX_REMEMBERED {
            self.recorded.clear();
        }
        if prepared.sql.len() <= MAX_RECORDED_BYTES
            && self.recorded.insert(prepared.clone())
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
