//! An index of the endpoints that are due for a health check (probe). It is updated whenever an endpoint
//! changes, so that finding the due endpoints doesn't scan all of them.

use super::EndpointIndex;
use crate::{GroupId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// The times that decide when an endpoint is probed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) struct ProbeTimes {
    /// No probe is sent before this time.
    pub(crate) not_before: Micros,
    /// When the replication position was last observed. A recent observation makes a probe unnecessary.
    pub(crate) observed_at: Micros,
}

/// The endpoints that may be probed, ordered by the time at which they are due.
#[derive(Default)]
pub(crate) struct ProbeSchedule {
    times: BTreeMap<EndpointIndex, ProbeTimes>,
    /// The endpoints whose `not_before` lay ahead at the last call of `due`, ordered by `not_before`.
    waiting: BTreeSet<(Micros, EndpointIndex)>,
    /// The endpoints whose `not_before` has passed, ordered by `observed_at`.
    due: BTreeSet<(Micros, EndpointIndex)>,
    /// The endpoints that are down. They are probed regardless of their last observation.
    down: BTreeSet<EndpointIndex>,
    /// The groups without a healthy primary. Their members are probed regardless of their last observation.
    without_healthy_primary: BTreeSet<GroupId>,
}

impl ProbeSchedule {
    /// Records the times of an endpoint; `None` for one that must not be probed.
    pub(crate) fn record(&mut self, index: EndpointIndex, times: Option<ProbeTimes>) {
        let before = match times {
            Some(times) => self.times.insert(index, times),
            None => self.times.remove(&index),
        };
        if before == times {
            return;
        }
        if let Some(before) = before {
            self.waiting.remove(&(before.not_before, index));
            self.due.remove(&(before.observed_at, index));
        }
        self.waiting.extend(times.map(|times| (times.not_before, index)));
    }

    /// Records whether an endpoint is down.
    pub(crate) fn record_down(&mut self, index: EndpointIndex, is_down: bool) {
        set_membership(&mut self.down, index, is_down);
    }

    /// Records whether a group has a healthy primary.
    pub(crate) fn record_primary_health(&mut self, group: GroupId, has_healthy_primary: bool) {
        set_membership(&mut self.without_healthy_primary, group, !has_healthy_primary);
    }

    /// The endpoints whose `not_before` has passed and whose last observation was at `observed_before` or
    /// earlier; empty if `observed_before` is `None`.
    pub(crate) fn due(&mut self, now: Micros, observed_before: Option<Micros>) -> BTreeSet<EndpointIndex> {
        while let Some((not_before, index)) = self.waiting.first().copied()
            && not_before <= now
        {
            self.waiting.pop_first();
            self.due.insert((self.times[&index].observed_at, index));
        }
        let is_unobserved =
            |(at, _): &&(Micros, EndpointIndex)| observed_before.is_some_and(|before| *at <= before);
        self.due.iter().take_while(is_unobserved).map(|(_, index)| *index).collect()
    }

    /// The endpoints whose `not_before` lay ahead at the last call of [`ProbeSchedule::due`].
    pub(crate) fn waiting(&self) -> Vec<EndpointIndex> {
        self.waiting.iter().map(|(_, index)| *index).collect()
    }

    /// The endpoints that are down.
    pub(crate) fn down(&self) -> impl Iterator<Item = EndpointIndex> {
        self.down.iter().copied()
    }

    /// The groups without a healthy primary.
    pub(crate) fn groups_without_healthy_primary(&self) -> impl Iterator<Item = GroupId> {
        self.without_healthy_primary.iter().copied()
    }
}

/// Adds a value to a set, or removes it.
fn set_membership<T: Ord>(set: &mut BTreeSet<T>, value: T, is_member: bool) {
    if is_member {
        set.insert(value);
    } else {
        set.remove(&value);
    }
}
