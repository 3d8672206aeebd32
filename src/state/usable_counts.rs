//! How many endpoints may be used, and how many of those are warm.

use super::EndpointIndex;
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Counters that are updated with each endpoint that changes, so that none has to look at all endpoints.
#[derive(Default)]
pub(crate) struct UsableCounts {
    /// The usable endpoints, and when each of them is warm.
    warm_at: BTreeMap<EndpointIndex, Micros>,
    /// Those that were not warm yet at the last count, in the order in which they will be.
    warming: BTreeSet<(Micros, EndpointIndex)>,
}

impl UsableCounts {
    /// Records when an endpoint is warm; `None` for one that can't be used.
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

    /// The usable endpoints that were not warm at the last count.
    pub(crate) fn warming(&self) -> impl Iterator<Item = EndpointIndex> {
        self.warming.iter().map(|(_, index)| *index)
    }

    /// The number of usable endpoints that are warm; time never goes back.
    pub(crate) fn warm(&mut self, now: Micros) -> usize {
        while self.warming.first().is_some_and(|(warm_at, _)| *warm_at <= now) {
            self.warming.pop_first();
        }
        self.usable() - self.warming.len()
    }
}
