//! What a batch executes, and for which sessions.

use super::analysis::AnalyzedStatement;
use crate::Micros;
use std::collections::BTreeSet;

/// One execution of a portal, or of a simple query.
#[derive(Clone, Copy)]
pub struct Execution {
    /// The index of the statement's class.
    pub class: usize,
    /// How long the client waits for the reply.
    pub timeout: Micros,
    /// The commit position that the statement names, as time on the core's clock.
    pub required_position: Option<Micros>,
    /// Whether the client marked the statement as a retry.
    pub is_retry: bool,
    /// Whether the execution has an idempotency key.
    pub has_key: bool,
    /// Whether the execution may write.
    pub may_write: bool,
    /// The session that a parameter or else the statement identifies, 0 for none.
    session: u64,
}

impl Execution {
    /// The execution of a statement for a session. `has_key` says whether a parameter is an idempotency key.
    pub fn new(statement: &AnalyzedStatement, session: u64, has_key: bool) -> Self {
        Execution {
            class: statement.class,
            timeout: statement.timeout,
            required_position: statement.required_position,
            is_retry: statement.is_retry,
            has_key: has_key || statement.has_idempotency_key,
            may_write: statement.may_write,
            session,
        }
    }
}

/// The executions of a batch, in order.
#[derive(Default)]
pub struct Executions {
    all: Vec<Execution>,
    /// The sessions that the executions identify.
    sessions: BTreeSet<u64>,
}

impl Executions {
    /// Adds an execution.
    pub fn push(&mut self, execution: Execution) {
        self.sessions.extend((execution.session != 0).then_some(execution.session));
        self.all.push(execution);
    }

    /// Whether the batch executes nothing.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// The executions, in order.
    pub fn iter(&self) -> impl Iterator<Item = &Execution> {
        self.all.iter()
    }

    /// The sessions of the selected executions, each once; 0 stands for an unknown session. An execution that
    /// identifies no session counts for all sessions of its batch, as it may be on behalf of any of them.
    pub fn sessions_of(&self, selected: impl Fn(&Execution) -> bool) -> Vec<u64> {
        let named: BTreeSet<u64> =
            self.all.iter().filter(|one| selected(one)).map(|one| one.session).collect();
        if named.contains(&0) && !self.sessions.is_empty() {
            return self.sessions.iter().copied().collect();
        }
        named.into_iter().collect()
    }
}

impl FromIterator<Execution> for Executions {
    fn from_iter<I: IntoIterator<Item = Execution>>(executions: I) -> Self {
        let mut collected = Executions::default();
        executions.into_iter().for_each(|execution| collected.push(execution));
        collected
    }
}
