//! The state that a connection keeps from batch to batch: its prepared statements and portals.

use super::analysis::AnalyzedStatement;
use super::statement_table::{ChangeEnd, StatementChange, StatementTable};
use crate::client::BatchEnd;
use crate::memory_budget::{HeldBytes, OverBudget};
use crate::pg;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The most bytes that the statements and portals of one client may take, even if the budget of all clients
/// has room for more.
const MAX_BYTES_PER_CLIENT: usize = 256 * 1024;
/// What a portal takes in memory besides its name and its arguments.
const PORTAL_OVERHEAD_BYTES: usize = 256;

/// A portal that the client has bound.
#[derive(Clone)]
pub struct Portal {
    /// The statement that the portal executes.
    pub statement: AnalyzedStatement,
    /// The session that a parameter or else the statement identifies, 0 for none.
    pub session_key: u64,
    /// Whether a parameter is an idempotency key.
    pub has_key: bool,
    /// The part of the Bind message after the names: formats and parameter values, as received.
    pub arguments: Arc<[u8]>,
    /// Whether a Flush has ended the portal at the member since it was last bound there.
    pub flushed: bool,
}

/// The state that a connection keeps from batch to batch.
pub struct Session {
    /// The prepared statements.
    statements: StatementTable,
    /// The portals of the current implicit transaction, by name.
    portals: BTreeMap<Vec<u8>, Portal>,
    /// The bytes that the portals take which outlive the batch that has bound them.
    kept_portal_bytes: usize,
    /// The bytes of statements and kept portals, as counted in the budget of all clients.
    held: HeldBytes,
    /// Whether messages up to the next Sync are skipped, after an error in a batch that ended with a Flush.
    pub skipping_until_sync: bool,
    /// Whether a batch of the current implicit transaction that ended with a Flush has executed a portal.
    pub executed_before_flush: bool,
}

impl Session {
    /// Creates the state of a new connection, whose bytes are counted in `held`.
    pub fn new(held: HeldBytes) -> Session {
        Session {
            statements: StatementTable::default(),
            portals: BTreeMap::new(),
            kept_portal_bytes: 0,
            held,
            skipping_until_sync: false,
            executed_before_flush: false,
        }
    }

    /// The prepared statement of this name.
    pub fn statement(&self, name: &[u8]) -> Option<&AnalyzedStatement> {
        self.statements.get(name)
    }

    /// The number of prepared statements.
    pub fn statement_count(&self) -> usize {
        self.statements.count()
    }

    /// The length of the texts and parameter types of all prepared statements together.
    pub fn statement_text_bytes(&self) -> usize {
        self.statements.text_bytes()
    }

    /// Stores a prepared statement under a name, by the message with this index in its batch. Fails,
    /// without a change, if the client's memory does not suffice.
    pub fn prepare(
        &mut self,
        name: &[u8],
        statement: AnalyzedStatement,
        message: usize,
    ) -> Result<StatementChange, OverBudget> {
        self.try_hold(self.statements.bytes_with(name, &statement), self.kept_portal_bytes)?;
        Ok(self.statements.change(name, Some(statement), message))
    }

    /// Removes a prepared statement, by the message with this index in its batch.
    pub fn close_statement(&mut self, name: &[u8], message: usize) -> StatementChange {
        self.statements.change(name, None, message)
    }

    /// Ends the changes of a batch whose first `completed` messages were carried out, and whose next one was
    /// answered with an error if there is one.
    pub fn end_changes(&mut self, changes: &[StatementChange], completed: usize) {
        for change in changes {
            self.statements.end(change, ChangeEnd::of_message(change.message, completed));
        }
        self.update_held();
    }

    /// Ends the unnamed statement.
    pub fn end_unnamed_statement(&mut self) {
        self.statements.end_unnamed();
        self.update_held();
    }

    /// Stores a portal under a name. Its bytes count only if it outlives its batch.
    pub fn bind(&mut self, name: &[u8], portal: Portal) {
        self.portals.insert(name.to_vec(), portal);
    }

    /// The portal of this name.
    pub fn portal_mut(&mut self, name: &[u8]) -> Option<&mut Portal> {
        self.portals.get_mut(name)
    }

    /// Removes and returns a portal.
    pub fn close_portal(&mut self, name: &[u8]) -> Option<Portal> {
        self.portals.remove(name)
    }

    /// Counts the portals as kept, before a batch that ends with a Flush is forwarded. Fails if the client's
    /// memory does not suffice for them; the caller must then end the batch with [`Session::fail_batch`].
    ///
    /// Without this, a client that sends no Sync could fill the memory of the process with portals.
    pub fn keep_portals(&mut self) -> Result<(), OverBudget> {
        let portal_bytes = self.portals.iter().map(|(name, portal)| portal_size(name, portal)).sum();
        self.try_hold(self.statements.bytes(), portal_bytes)
    }

    /// Clears the state that ends with an implicit transaction, at a Sync or a simple query. A forwarded
    /// batch ends its transaction when it is started, as the next transaction may start before the batch is
    /// answered.
    pub fn end_transaction(&mut self) {
        self.drop_portals();
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

    /// Ends a batch that has failed. After a Flush, the portals of the failed transaction are gone, and
    /// messages up to the next Sync are skipped.
    pub fn fail_batch(&mut self, end: BatchEnd, reply: &mut Vec<u8>) {
        if end == BatchEnd::Flush {
            self.drop_portals();
            self.skipping_until_sync = true;
        } else {
            self.end_batch(end, reply);
        }
    }

    fn drop_portals(&mut self) {
        self.portals.clear();
        self.kept_portal_bytes = 0;
        self.update_held();
    }

    fn try_hold(&mut self, statement_bytes: usize, kept_portal_bytes: usize) -> Result<(), OverBudget> {
        let bytes = statement_bytes + kept_portal_bytes;
        if bytes > MAX_BYTES_PER_CLIENT {
            return Err(OverBudget);
        }
        self.held.try_set(bytes)?;
        self.kept_portal_bytes = kept_portal_bytes;
        Ok(())
    }

    fn update_held(&mut self) {
        self.held.set(self.statements.bytes() + self.kept_portal_bytes);
    }
}

fn portal_size(name: &[u8], portal: &Portal) -> usize {
    name.len() + portal.arguments.len() + PORTAL_OVERHEAD_BYTES
}
