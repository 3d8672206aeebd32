//! The replicated log in memory: a snapshot and the entries that follow it.

use super::messages::{Entry, Index, Snapshot, Term};

/// A snapshot and the entries that follow it, without a gap.
pub struct Log<C, S> {
    snapshot: Snapshot<S>,
    entries: Vec<Entry<C>>,
}

impl<C: Clone, S> Log<C, S> {
    /// Creates a log that starts from `snapshot`. `entries` must follow the snapshot without a gap.
    pub fn new(snapshot: Snapshot<S>, entries: Vec<Entry<C>>) -> Self {
        Log { snapshot, entries }
    }

    /// Returns the snapshot that the log starts from.
    pub fn snapshot(&self) -> &Snapshot<S> {
        &self.snapshot
    }

    /// Returns the index of the last entry, committed or not; the snapshot's if there is no entry.
    pub fn last_index(&self) -> Index {
        self.entries.last().map_or(self.snapshot.last_included_index, |entry| entry.index)
    }

    /// Returns the term of the last entry; the snapshot's if there is no entry.
    pub fn last_term(&self) -> Term {
        self.entries.last().map_or(self.snapshot.last_included_term, |entry| entry.term)
    }

    /// Returns the term of the entry at `index`; `None` if that entry is compacted or not in the log yet.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.snapshot.last_included_index {
            return Some(self.snapshot.last_included_term);
        }
        let offset = usize::try_from(index.checked_sub(self.first_index())?).ok()?;
        self.entries.get(offset).map(|entry| entry.term)
    }

    /// Returns the entries from `index` on.
    pub fn entries_from(&self, index: Index) -> &[Entry<C>] {
        let offset = usize::try_from(index.saturating_sub(self.first_index())).unwrap_or(usize::MAX);
        self.entries.get(offset..).unwrap_or_default()
    }

    /// Appends a new entry and returns its index.
    pub fn append(&mut self, term: Term, command: Option<C>) -> Index {
        let index = self.last_index() + 1;
        self.entries.push(Entry { index, term, command });
        index
    }

    /// Replaces all entries from the index of `entry` on by `entry`. Its index must be after the snapshot's,
    /// and at most one after the last entry's.
    pub fn truncate_and_append(&mut self, entry: Entry<C>) {
        let offset = (entry.index - self.first_index()) as usize;
        self.entries.truncate(offset);
        self.entries.push(entry);
    }

    /// Replaces the entries up to a snapshot of this replica's own state by that snapshot. The entries after
    /// the snapshot are kept.
    pub fn compact(&mut self, snapshot: Snapshot<S>) {
        self.entries = self.entries_from(snapshot.last_included_index + 1).to_vec();
        self.snapshot = snapshot;
    }

    /// Replaces the complete log by a leader's snapshot.
    pub fn install(&mut self, snapshot: Snapshot<S>) {
        self.entries.clear();
        self.snapshot = snapshot;
    }

    fn first_index(&self) -> Index {
        self.snapshot.last_included_index + 1
    }
}
