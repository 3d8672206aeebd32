//! Counts the endpoints that may be used, and those of them that are warm.

use super::EndpointIndex;
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Counts that are updated whenever an endpoint changes, so that reading them doesn't scan all endpoints.
#[derive(Default)]
pub(crate) struct UsableCounts {
    /// For each usable endpoint, the time at which its warm-up ends.
    warm_at: BTreeMap<EndpointIndex, Micros>,
    /// The usable endpoints that were still warming up at the last call of `warm`, ordered by the end of
    /// their warm-up.
    warming: BTreeSet<(Micros, EndpointIndex)>,
}

impl UsableCounts {
    /// Records when the warm-up of an endpoint ends; `None` for an endpoint that can't be used.
    pub(crate) fn record(&mut self, index: EndpointIndex, warm_at: Option<Micros>) {
        let before = match warm_at {
            Some(warm_at) => self.warm_at.insert(index, warm_at),
            None => self.warm_at.remove(&index),
        };
        if before == warm_at {
            return;
        }
        if let Some(before) = before {
            self.warming.remove(&(before, index));
        }
        self.warming.extend(warm_at.map(|warm_at| (warm_at, index)));
    }

    /// The number of usable endpoints.
    pub(crate) fn usable(&self) -> usize {
        self.warm_at.len()
    }

    /// The usable endpoints that were still warming up at the last call of [`UsableCounts::warm`].
    pub(crate) fn warming(&self) -> impl Iterator<Item = EndpointIndex> {
        self.warming.iter().map(|(_, index)| *index)
    }

    /// The number of usable endpoints that are warm at `now`, which must not be earlier than in previous
    /// calls.
    pub(crate) fn warm(&mut self, now: Micros) -> usize {
        while self.warming.first().is_some_and(|(warm_at, _)| *warm_at <= now) {
            self.warming.pop_first();
        }
        self.usable() - self.warming.len()
    }
}
