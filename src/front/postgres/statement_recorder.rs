//! Which prepared statements have been recorded in the store's catalogue.

use crate::extended::PreparedStatement;
use crate::store::{Change, Statement};
use std::collections::HashSet;
use std::sync::Arc;

/// The longest statement that the store's catalogue accepts.
const MAX_RECORDED_BYTES: usize = 8 * 1024;
/// Statements remembered as recorded before they are recorded again.
const MAX_REMEMBERED: usize = 1024;

/// Collects the statements that the store's catalogue is to record, each once.
#[derive(Default)]
pub struct StatementRecorder {
    pending: Vec<Change>,
    recorded: HashSet<Arc<PreparedStatement>>,
}

impl StatementRecorder {
    /// Records a statement that a client prepares.
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

    /// Removes and returns the changes that have been collected.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.pending)
    }
}
