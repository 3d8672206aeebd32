//! The state of a connection across batches: its prepared statements and portals.

use super::analysis::StatementDescription;
use crate::client::BatchEnd;
use crate::extended::PreparedStatement;
use crate::pg;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A portal that the client has bound.
#[derive(Clone)]
pub struct Portal {
    /// Its statement.
    pub statement: StatementDescription,
    /// The session that its parameters or its statement name, 0 for none.
    pub session_key: u64,
    /// The rest of its Bind after the names.
    pub arguments: Vec<u8>,
    /// It was bound before the last Flush: the member no longer has it.
    pub flushed: bool,
}

/// A statement that a batch prepares.
pub struct ParsedStatement {
    /// Its name.
    pub name: Vec<u8>,
    /// The statement.
    pub prepared: Arc<PreparedStatement>,
    /// The statement that it replaces under this name.
    pub previous: Option<StatementDescription>,
}

/// The state of a connection.
#[derive(Default)]
pub struct Session {
    /// The prepared statements, by name.
    pub statements: BTreeMap<Vec<u8>, StatementDescription>,
    /// The portals of the current unit, by name.
    pub portals: BTreeMap<Vec<u8>, Portal>,
    /// After an error before a Flush: everything up to the Sync is skipped.
    pub skipping: bool,
    /// The unit has executed something before a Flush.
    pub executed: bool,
}

impl Session {
    /// Bytes of the texts of all prepared statements.
    pub fn statement_bytes(&self) -> usize {
        self.statements.values().map(|statement| statement.prepared.sql.len()).sum()
    }

    /// Prepares a statement; returns what [`Session::undo_parses`] needs.
    pub fn prepare(&mut self, name: &[u8], statement: StatementDescription) -> ParsedStatement {
        let prepared = statement.prepared.clone();
        let previous = self.statements.insert(name.to_vec(), statement);
        ParsedStatement { name: name.to_vec(), prepared, previous }
    }

    /// Clears what a Sync ends. The next unit may be started before this one is answered.
    pub fn end_unit(&mut self) {
        self.portals.clear();
        self.skipping = false;
        self.executed = false;
    }

    /// Ends a batch: with ReadyForQuery after a Sync or a query, without after a Flush.
    pub fn end_batch(&mut self, end: BatchEnd, reply: &mut Vec<u8>) {
        if end == BatchEnd::Flush {
            self.portals.values_mut().for_each(|portal| portal.flushed = true);
        } else {
            self.end_unit();
            pg::put_ready_for_query(reply);
        }
    }

    /// Undoes what a batch prepared beyond its first `confirmed` statements, except under names that a
    /// later batch has prepared again.
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
