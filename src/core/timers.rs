//! Timers that come due in order; of equal times the one set first.

use crate::Micros;
use std::collections::BTreeMap;

/// What comes due when.
pub struct Timers<T> {
    all: BTreeMap<(Micros, u64), T>,
    count: u64,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Timers { all: BTreeMap::new(), count: 0 }
    }
}

impl<T> Timers<T> {
    /// Sets one.
    pub fn set(&mut self, at: Micros, what: T) {
        self.count += 1;
        self.all.insert((at, self.count), what);
    }

    /// When the next one is due.
    pub fn next(&self) -> Option<Micros> {
        self.all.keys().next().map(|k| k.0)
    }

    /// Takes one that is due.
    pub fn pop(&mut self, now: Micros) -> Option<T> {
        let first = self.all.first_entry().filter(|e| e.key().0 <= now)?;
        Some(first.remove())
    }
}
