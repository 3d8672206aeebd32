//! Which endpoints are due for a probe: an index that is updated with each endpoint that changes.

use super::EndpointIndex;
use crate::{GroupId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// The times that decide when an endpoint is probed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) struct ProbeTimes {
    /// It is not probed before this time.
    pub(crate) not_before: Micros,
    /// When its position was last observed: what that has shown needs no probe.
    pub(crate) observed_at: Micros,
}

/// The endpoints that may be probed, in the order in which they are due.
#[derive(Default)]
pub(crate) struct ProbeSchedule {
    times: BTreeMap<EndpointIndex, ProbeTimes>,
    /// The endpoints that were not due at the last search, by the time before which they are not probed.
    waiting: BTreeSet<(Micros, EndpointIndex)>,
    /// The others, by the time of their last observation.
    due: BTreeSet<(Micros, EndpointIndex)>,
    /// Endpoints that are down: their last observation does not matter.
    down: BTreeSet<EndpointIndex>,
    /// Groups without a healthy primary: the same holds for their members.
    without_healthy_primary: BTreeSet<GroupId>,
}

impl ProbeSchedule {
    /// Records the times of an endpoint; `None` for one that is not probed.
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
        set_member(&mut self.down, index, is_down);
    }

    /// Records whether a group has a healthy primary.
    pub(crate) fn record_primary_health(&mut self, group: GroupId, has_healthy_primary: bool) {
        set_member(&mut self.without_healthy_primary, group, !has_healthy_primary);
    }

    /// The endpoints that are due and were last observed at this time or before; none without a time.
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

    /// The endpoints that were not due at the last search.
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

fn set_member<T: Ord>(set: &mut BTreeSet<T>, value: T, is_member: bool) {
    if is_member {
        set.insert(value);
    } else {
        set.remove(&value);
    }
}
