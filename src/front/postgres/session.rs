//! The state that a connection keeps from batch to batch: its prepared statements and portals.

use super::analysis::AnalyzedStatement;
use crate::client::BatchEnd;
use crate::extended::PreparedStatement;
use crate::memory_budget::{HeldBytes, OverBudget};
use crate::pg;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The most bytes that the statements and portals of one client may take, even if the budget of all clients
/// has room for more.
const MAX_BYTES_PER_CLIENT: usize = 256 * 1024;
/// What a prepared statement takes in memory besides its name, its text and its parameter types.
const STATEMENT_OVERHEAD_BYTES: usize = 384;
/// What a portal takes in memory besides its name and its arguments.
const PORTAL_OVERHEAD_BYTES: usize = 256;

/// A portal that the client has bound.
#[derive(Clone)]
pub struct Portal {
    /// The statement that the portal executes.
    pub statement: AnalyzedStatement,
    /// The session that a parameter or else the statement identifies, 0 for none.
    pub session_key: u64,
    /// The part of the Bind message after the names: formats and parameter values, as received.
    pub arguments: Arc<[u8]>,
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
pub struct Session {
    /// The prepared statements, by name.
    statements: BTreeMap<Vec<u8>, AnalyzedStatement>,
    /// The bytes that the prepared statements take.
    statement_bytes: usize,
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
            statements: BTreeMap::new(),
            statement_bytes: 0,
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
        self.statements.len()
    }

    /// The length of the texts and parameter types of all prepared statements together.
    pub fn statement_text_bytes(&self) -> usize {
        self.statements.values().map(|statement| statement.prepared.bytes()).sum()
    }

    /// Stores a prepared statement under a name. The result is for [`Session::undo_parses`]. Fails, without a
    /// change, if the client's memory does not suffice.
    pub fn prepare(
        &mut self,
        name: &[u8],
        statement: AnalyzedStatement,
    ) -> Result<ParsedStatement, OverBudget> {
        let replaced_bytes = self.statements.get(name).map_or(0, |replaced| statement_size(name, replaced));
        let statement_bytes = self.statement_bytes - replaced_bytes + statement_size(name, &statement);
        self.try_hold(statement_bytes, self.kept_portal_bytes)?;
        let prepared = statement.prepared.clone();
        let previous = self.statements.insert(name.to_vec(), statement);
        Ok(ParsedStatement { name: name.to_vec(), prepared, previous })
    }

    /// Removes a prepared statement.
    pub fn close_statement(&mut self, name: &[u8]) {
        if let Some(statement) = self.statements.remove(name) {
            self.statement_bytes -= statement_size(name, &statement);
            self.update_held();
        }
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
        self.try_hold(self.statement_bytes, portal_bytes)
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

    /// Undoes the Parse messages of a batch after the first `confirmed` ones: each name gets its previous
    /// statement back, or is removed if it had none. A name under which another statement has been prepared
    /// since is left unchanged.
    pub fn undo_parses(&mut self, parsed: Vec<ParsedStatement>, confirmed: usize) {
        for ParsedStatement { name, prepared, previous } in parsed.into_iter().skip(confirmed).rev() {
            let Some(current) = self.statements.get(&name) else { continue };
            if !Arc::ptr_eq(&current.prepared, &prepared) {
                continue;
            }
            self.close_statement(&name);
            if let Some(statement) = previous {
                self.statement_bytes += statement_size(&name, &statement);
                self.statements.insert(name, statement);
                self.update_held();
            }
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
        self.statement_bytes = statement_bytes;
        self.kept_portal_bytes = kept_portal_bytes;
        Ok(())
    }

    fn update_held(&mut self) {
        self.held.set(self.statement_bytes + self.kept_portal_bytes);
    }
}

fn statement_size(name: &[u8], statement: &AnalyzedStatement) -> usize {
    name.len() + statement.prepared.bytes() + STATEMENT_OVERHEAD_BYTES
}

fn portal_size(name: &[u8], portal: &Portal) -> usize {
    name.len() + portal.arguments.len() + PORTAL_OVERHEAD_BYTES
}
