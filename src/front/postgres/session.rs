//! The state that a connection keeps from batch to batch: its prepared statements and portals.

use super::analysis::AnalyzedStatement;
use crate::client::BatchEnd;
use crate::extended::PreparedStatement;
use crate::pg;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A portal that the client has bound.
#[derive(Clone)]
pub struct Portal {
    /// The statement that the portal executes.
    pub statement: AnalyzedStatement,
    /// The session that a parameter or else the statement identifies, 0 for none.
    pub session_key: u64,
    /// The part of the Bind message after the names: formats and parameter values, as received.
    pub arguments: Vec<u8>,
    /// Whether a Flush has ended the portal at the member since it was last bound there.
    pub flushed: bool,
}

/// A statement that a batch prepares.
pub struct ParsedStatement {
    /// The name that the client gave the statement.
    pub name: Vec<u8>,
    /// The statement.
    pub prepared: Arc<PreparedStatement>,
    /// The statement that had this name before, if any.
    pub previous: Option<AnalyzedStatement>,
}

/// The state that a connection keeps from batch to batch.
#[derive(Default)]
pub struct Session {
    /// The prepared statements, by name.
    pub statements: BTreeMap<Vec<u8>, AnalyzedStatement>,
    /// The portals of the current implicit transaction, by name.
    pub portals: BTreeMap<Vec<u8>, Portal>,
    /// Whether messages up to the next Sync are skipped, after an error in a batch that ended with a Flush.
    pub skipping_until_sync: bool,
    /// Whether a batch of the current implicit transaction that ended with a Flush has executed a portal.
    pub executed_before_flush: bool,
}

impl Session {
    /// The length of the texts of all prepared statements together.
    pub fn statement_bytes(&self) -> usize {
        self.statements.values().map(|statement| statement.prepared.sql.len()).sum()
    }

    /// Stores a prepared statement under a name. The result is for [`Session::undo_parses`].
    pub fn prepare(&mut self, name: &[u8], statement: AnalyzedStatement) -> ParsedStatement {
        let prepared = statement.prepared.clone();
        let previous = self.statements.insert(name.to_vec(), statement);
        ParsedStatement { name: name.to_vec(), prepared, previous }
    }

    /// Clears the state that ends with an implicit transaction, at a Sync or a simple query. A forwarded
    /// batch ends its transaction when it is started, as the next transaction may start before the batch is
    /// answered.
    pub fn end_transaction(&mut self) {
        self.portals.clear();
        self.skipping_until_sync = false;
        self.executed_before_flush = false;
    }

    /// Ends a batch. A Flush marks all portals as flushed; a Sync or a simple query ends the implicit
    /// transaction, and ReadyForQuery is appended to `reply`.
    pub fn end_batch(&mut self, end: BatchEnd, reply: &mut Vec<u8>) {
        if end == BatchEnd::Flush {
            self.portals.values_mut().for_each(|portal| portal.flushed = true);
        } else {
            self.end_transaction();
            pg::put_ready_for_query(reply);
        }
    }

    /// Undoes the Parse messages of a batch after the first `confirmed` ones: each name gets its previous
    /// statement back, or is removed if it had none. A name under which another statement has been prepared
    /// since is left unchanged.
    pub fn undo_parses(&mut self, parsed: Vec<ParsedStatement>, confirmed: usize) {
        for ParsedStatement { name, prepared, previous } in parsed.into_iter().skip(confirmed).rev() {
            let current = self.statements.get(&name);
            if !current.is_some_and(|statement| Arc::ptr_eq(&statement.prepared, &prepared)) {
                continue;
            }
            match previous {
                Some(statement) => self.statements.insert(name, statement),
                None => self.statements.remove(&name),
            };
        }
    }
}
