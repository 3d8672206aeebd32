//! What a batch executes, and for which sessions.

use super::analysis::AnalyzedStatement;
use crate::Micros;

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
    /// Whether the execution may write.
    pub may_write: bool,
    /// The session that a parameter or else the statement identifies, 0 for none.
    session: u64,
}

impl Execution {
    /// The execution of a statement for a session.
    pub fn new(statement: &AnalyzedStatement, session: u64) -> Self {
        Execution {
            class: statement.class,
            timeout: statement.timeout,
            required_position: statement.required_position,
            is_retry: statement.is_retry,
            may_write: statement.may_write,
            session,
        }
    }
}

/// The executions of a batch, in order.
#[derive(Default)]
pub struct Executions {
    all: Vec<Execution>,
    /// The session of the first execution that identifies one, 0 if none does.
    session: u64,
}

impl Executions {
    /// Adds an execution.
    pub fn push(&mut self, execution: Execution) {
        if self.session == 0 {
            self.session = execution.session;
        }
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

    /// The session of the selected executions, which is that of the batch; none if there are none.
    pub fn sessions_of(&self, selected: impl Fn(&Execution) -> bool) -> Vec<u64> {
        let is_one_selected = self.all.iter().any(selected);
        if is_one_selected { vec![self.session] } else { Vec::new() }
    }
}

impl FromIterator<Execution> for Executions {
    fn from_iter<I: IntoIterator<Item = Execution>>(executions: I) -> Self {
        let mut collected = Executions::default();
        executions.into_iter().for_each(|execution| collected.push(execution));
        collected
    }
}
