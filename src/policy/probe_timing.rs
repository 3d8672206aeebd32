//! When health checks (probes) are due: their intervals, and the endpoints that are probed next.

use crate::Router;
use crate::model::{EndpointState, GroupId, Micros};
use crate::state::{EndpointIndex, ProbeTimes};
use std::collections::BTreeSet;

/// The probes that a router sends for each request that it gets, at the usual rate.
const PROBE_SHARE: f64 = 0.5;
/// The shortest usual interval between two probes of an endpoint.
const PROBE_INTERVAL_MIN: Micros = 250_000;
/// Up to this many endpoints, all routers together send an endpoint one first probe in
/// [`PROBE_INTERVAL_MIN`].
const PROBED_AT_START: u64 = 200;
/// How many times as often as usual endpoints that are down, and members of groups without a usable
/// primary, are probed.
const URGENCY: Micros = 4;
/// An endpoint's probe interval is outdated if it is more than this many times the current one.
const OUTDATED_MULTIPLE: Micros = 8;

impl Router {
    /// The endpoints that may be due for a probe, in order.
    pub(super) fn probe_candidates(&mut self, usual: Micros) -> BTreeSet<EndpointIndex> {
        let observed_before = self.now.checked_sub(usual.max(PROBE_INTERVAL_MIN));
        let mut candidates = self.probe_schedule.due(self.now, observed_before);
        candidates.extend(self.probe_schedule.down());
        for group in self.probe_schedule.groups_without_healthy_primary() {
            candidates.extend(self.topology.members(group));
        }
        candidates
    }

    /// Shortens the waits that were set when the usual interval was far longer. Guards against probes that
    /// were scheduled while there was next to no traffic: the next one would come an hour after a quiet time.
    pub(super) fn shorten_outdated_intervals(&mut self, usual: Micros) {
        let interval = usual.max(PROBE_INTERVAL_MIN);
        if self.longest_probe_interval <= OUTDATED_MULTIPLE * interval {
            return;
        }
        self.longest_probe_interval = interval;
        for index in self.probe_schedule.waiting() {
            let endpoint = &mut self.topology[index];
            if endpoint.probe_interval > OUTDATED_MULTIPLE * interval {
                endpoint.probe_interval = interval;
                endpoint.next_probe_at = endpoint.next_probe_at.min(self.now + self.random.below(interval));
                self.schedule_probe(index);
            }
        }
    }

    /// The time over which the first probes of so many endpoints are spread: all routers together probe an
    /// endpoint once in the least interval. Departure: in a larger fleet less often, so that a router makes
    /// as many first probes as elsewhere for a smaller part of the endpoints. Guards against a connection to
    /// each of thousands of endpoints from each router, which uses few of them.
    pub(super) fn first_probe_spread(&self, endpoint_count: usize) -> Micros {
        let endpoint_count = endpoint_count as u64;
        let by_routers = PROBE_INTERVAL_MIN * Micros::from(self.settings.instances);
        by_routers * endpoint_count.max(PROBED_AT_START) / PROBED_AT_START
    }

    /// The usual interval between two probes of an endpoint.
    pub(crate) fn probe_interval(&self) -> Micros {
        let rate = PROBE_SHARE * self.traffic.arrivals.per_second_at(self.now);
        (self.topology.endpoint_count() as f64 / rate.max(0.001) * 1e6) as Micros
    }

    /// The interval between two probes of an endpoint, if one is due now.
    pub(crate) fn due_probe_interval(&self, index: EndpointIndex, usual: Micros) -> Option<Micros> {
        let endpoint = &self.topology[index];
        if !self.may_answer_probe(index) || endpoint.probe_in_flight || self.now < endpoint.next_probe_at {
            return None;
        }
        let urgency = if self.is_probe_urgent(index) { URGENCY } else { 1 };
        let interval = (usual / urgency).max(PROBE_INTERVAL_MIN / urgency);
        // Recent answers have shown the same.
        let is_needless = urgency == 1 && self.now < endpoint.replication.observed_at() + interval;
        (!is_needless).then_some(interval)
    }

    /// Sets when an endpoint is probed next: after this interval, an eighth of it more or less at random.
    pub(super) fn set_next_probe(&mut self, index: EndpointIndex, interval: Micros) {
        let jitter = self.random.below(interval / 4);
        let endpoint = &mut self.topology[index];
        endpoint.next_probe_at = self.now + interval - interval / 8 + jitter;
        endpoint.probe_interval = interval;
        self.longest_probe_interval = self.longest_probe_interval.max(interval);
        self.schedule_probe(index);
    }

    fn may_answer_probe(&self, index: EndpointIndex) -> bool {
        self.topology[index].state == EndpointState::Ready || self.may_serve_though_removed(index)
    }

    /// Updates the schedule with the times before which an endpoint needs no probe.
    pub(super) fn schedule_probe(&mut self, index: EndpointIndex) {
        let endpoint = &self.topology[index];
        let (not_before, observed_at) = (endpoint.next_probe_at, endpoint.replication.observed_at());
        let times = ProbeTimes { not_before, observed_at };
        let may_answer = self.may_answer_probe(index);
        self.probe_schedule.record(index, may_answer.then_some(times));
    }

    /// Whether a group has a healthy primary, also where only the list names that primary. Guards against all
    /// routers that have just started probing at a high rate.
    fn has_healthy_primary(&self, group: GroupId) -> bool {
        self.topology.presumed_primary(group).is_some_and(|primary| self.is_healthy(primary))
    }

    /// Updates whether a group has a healthy primary.
    pub(super) fn update_leadership(&mut self, group: GroupId) {
        let has_healthy_primary = self.has_healthy_primary(group);
        self.probe_schedule.record_primary_health(group, has_healthy_primary);
    }

    fn is_probe_urgent(&self, index: EndpointIndex) -> bool {
        self.topology[index].down || !self.has_healthy_primary(self.topology[index].group)
    }
}
