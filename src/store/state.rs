//! The replicated state and the changes to it.
//!
//! The serde names are stored on disk and sent between replicas; they must not change.

use super::raft::StateMachine;
use crate::endpoint_list::EndpointList;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// The most statements in the catalogue. A further statement evicts the oldest one.
const MAX_STATEMENTS: usize = 512;
/// The most settings. A change that would add a further one is ignored.
const MAX_SETTINGS: usize = 256;

/// A statement that a client prepared.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// The SQL text.
    pub sql: String,
    /// The parameter types, as encoded in the client's Parse message.
    pub types: Vec<u8>,
}

/// A change of the state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Change {
    /// Sets a setting, by name.
    Set(String, serde_json::Value),
    /// Merges an update into the endpoint list.
    Members(EndpointList),
    /// Adds a prepared statement to the catalogue.
    Prepared(Statement),
}

/// The replicated state.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct State {
    /// Settings by name; `proxy` is the proxy's own configuration.
    pub settings: BTreeMap<String, serde_json::Value>,
    /// The last endpoint list.
    pub members: EndpointList,
    /// The catalogue of prepared statements, the newest last.
    pub statements: VecDeque<Statement>,
}

impl State {
    fn set(&mut self, name: String, value: serde_json::Value) {
        if self.settings.len() < MAX_SETTINGS || self.settings.contains_key(&name) {
            self.settings.insert(name, value);
        }
    }

    fn add_statement(&mut self, statement: Statement) {
        self.statements.retain(|known| *known != statement);
        self.statements.push_back(statement);
        if self.statements.len() > MAX_STATEMENTS {
            self.statements.pop_front();
        }
    }
}

impl StateMachine for State {
    type Command = Change;

    fn apply(&mut self, change: Change) {
        match change {
            Change::Set(name, value) => self.set(name, value),
            Change::Members(update) => self.members.merge(update),
            Change::Prepared(statement) => self.add_statement(statement),
        }
    }
}
