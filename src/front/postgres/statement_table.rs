//! The prepared statements of one connection, while batches that prepare or close them are unfinished.
//!
//! A Parse or a Close takes effect for the messages behind it when it is planned, before a member has
//! answered it. Until then the table keeps what each name stood for before: a message that PostgreSQL
//! would skip, behind an error in its implicit transaction, has no effect.

use super::analysis::AnalyzedStatement;
use std::collections::BTreeMap;

/// What a prepared statement takes in memory besides its name, its text and its parameter types.
const STATEMENT_OVERHEAD_BYTES: usize = 384;

/// A change of what a name stands for, by a Parse or a Close.
pub struct StatementChange {
    /// The name of the statement.
    pub name: Vec<u8>,
    /// The index among the messages of its batch.
    pub message: usize,
    /// Whether it is made by a Parse; otherwise by a Close.
    is_parse: bool,
    id: u64,
}

/// How a change has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeEnd {
    /// The member has carried it out.
    Done,
    /// It was answered with an error. A Parse of the unnamed statement has ended the former one all the same.
    Failed,
    /// An earlier message of its implicit transaction was answered with an error.
    Skipped,
}

impl ChangeEnd {
    /// The end of the change by a message of a batch whose first `completed` messages were carried out. The
    /// next one was answered with an error if there is one, and the others were skipped.
    pub fn of_message(message: usize, completed: usize) -> ChangeEnd {
        match message.cmp(&completed) {
            std::cmp::Ordering::Less => ChangeEnd::Done,
            std::cmp::Ordering::Equal => ChangeEnd::Failed,
            std::cmp::Ordering::Greater => ChangeEnd::Skipped,
        }
    }
}

/// What a name stands for since a change.
struct Version {
    change: u64,
    /// `None` after a Close.
    statement: Option<AnalyzedStatement>,
}

/// The prepared statements, by name.
#[derive(Default)]
pub struct StatementTable {
    /// For each name what it stood for after the last change that has ended, if it stood for a statement, and
    /// after each later one. The last version is the current one.
    versions: BTreeMap<Vec<u8>, Vec<Version>>,
    last_change: u64,
}

impl StatementTable {
    /// The statement that a name stands for now.
    pub fn get(&self, name: &[u8]) -> Option<&AnalyzedStatement> {
        self.versions.get(name)?.last()?.statement.as_ref()
    }

    /// The number of names that stand for a statement.
    pub fn count(&self) -> usize {
        self.current().count()
    }

    /// The length of the texts and parameter types of all statements together.
    pub fn text_bytes(&self) -> usize {
        self.current().map(|statement| statement.prepared.bytes()).sum()
    }

    fn current(&self) -> impl Iterator<Item = &AnalyzedStatement> {
        self.versions.values().filter_map(|versions| versions.last()?.statement.as_ref())
    }

    /// The bytes that the current statements take.
    pub fn bytes(&self) -> usize {
        self.versions.keys().map(|name| self.bytes_of(name)).sum()
    }

    /// The bytes that the current statements take once a name stands for this statement.
    pub fn bytes_with(&self, name: &[u8], statement: &AnalyzedStatement) -> usize {
        self.bytes() - self.bytes_of(name) + size_of(name, statement)
    }

    fn bytes_of(&self, name: &[u8]) -> usize {
        self.get(name).map_or(0, |statement| size_of(name, statement))
    }

    /// Makes a name stand for this statement, or for none, from the message with this index on. The caller
    /// must pass the result to [`StatementTable::end`].
    pub fn change(
        &mut self,
        name: &[u8],
        statement: Option<AnalyzedStatement>,
        message: usize,
    ) -> StatementChange {
        self.last_change += 1;
        let is_parse = statement.is_some();
        let version = Version { change: self.last_change, statement };
        self.versions.entry(name.to_vec()).or_default().push(version);
        StatementChange { name: name.to_vec(), message, is_parse, id: self.last_change }
    }

    /// Ends a change. A change that a later one on the same name has ended meanwhile has no effect.
    pub fn end(&mut self, change: &StatementChange, end: ChangeEnd) {
        let StatementChange { name, id, is_parse, .. } = change;
        let Some(versions) = self.versions.get_mut(name) else { return };
        let Some(index) = versions.iter().position(|version| version.change == *id) else { return };
        let ends_unnamed = end == ChangeEnd::Failed && *is_parse && name.is_empty();
        let ends_former = end == ChangeEnd::Done || ends_unnamed;
        versions.drain(if ends_former { 0..index } else { index..index + 1 });
        if ends_former && (ends_unnamed || versions[0].statement.is_none()) {
            versions.remove(0);
        }
        if versions.is_empty() {
            self.versions.remove(name);
        }
    }

    /// Ends the unnamed statement, as a Parse that fails and a simple query do.
    pub fn end_unnamed(&mut self) {
        let change = self.change(b"", None, 0);
        self.end(&change, ChangeEnd::Done);
    }
}

fn size_of(name: &[u8], statement: &AnalyzedStatement) -> usize {
    name.len() + statement.prepared.bytes() + STATEMENT_OVERHEAD_BYTES
}
