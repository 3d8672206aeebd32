//! The timing of health checks (probes): their intervals, and which endpoints are due.
//!
//! The usual interval follows the traffic, so that a router sends a fixed number of probes for each request.
//! Endpoints that are down and members of groups without a healthy primary are probed more often.

use crate::Router;
use crate::model::{EndpointState, GroupId, Micros};
use crate::state::{EndpointIndex, ProbeTimes};
use std::collections::BTreeSet;

/// The number of probes for each request of this router, from which the usual interval follows.
const PROBE_SHARE: f64 = 0.5;
/// The shortest interval between two probes of an endpoint by this router, unless they are urgent.
const PROBE_INTERVAL_MIN: Micros = 250_000;
/// The number of endpoints from which on first probes are spread over a longer time. With fewer endpoints,
/// all routers together send each endpoint one first probe per [`PROBE_INTERVAL_MIN`].
const FIRST_PROBE_FLEET_SIZE: u64 = 200;
/// The factor by which the probe interval is divided for endpoints that are down and for members of groups
/// without a healthy primary.
const URGENCY: Micros = 4;
/// An endpoint's probe interval is outdated if it is longer than this multiple of the usual interval.
const OUTDATED_MULTIPLE: Micros = 8;

impl Router {
    /// Returns the endpoints that may be due for a probe, ordered by index: those that were not observed
    /// within the usual interval, those that are down, and the members of groups without a healthy
    /// primary.
    pub(super) fn probe_candidates(&mut self, usual_interval: Micros) -> BTreeSet<EndpointIndex> {
        let observed_before = self.now.checked_sub(usual_interval.max(PROBE_INTERVAL_MIN));
        let mut candidates = self.probe_schedule.due(self.now, observed_before);
        candidates.extend(self.probe_schedule.down());
        for group in self.probe_schedule.groups_without_healthy_primary() {
            candidates.extend(self.topology.members(group));
        }
        candidates
    }

    /// Shortens the waits for probes that were scheduled when the usual interval was far longer.
    ///
    /// The usual interval grows when there is little traffic. Without this rule, an endpoint whose probe was
    /// scheduled in a quiet time could be probed only an hour after the traffic is back.
    pub(super) fn shorten_outdated_intervals(&mut self, usual_interval: Micros) {
        let interval = usual_interval.max(PROBE_INTERVAL_MIN);
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

    /// Returns the time over which this router spreads its first probes of a fleet of this many endpoints.
    ///
    /// Up to [`FIRST_PROBE_FLEET_SIZE`] endpoints, all routers together send each endpoint one first probe
    /// per [`PROBE_INTERVAL_MIN`]. In a larger fleet the time grows with the number of endpoints, so that
    /// the rate of a router's first probes does not. Otherwise, each router would soon open a connection
    /// to each of thousands of endpoints, although it uses few of them.
    pub(super) fn first_probe_spread(&self, endpoint_count: usize) -> Micros {
        let endpoint_count = endpoint_count as u64;
        let min_spread = PROBE_INTERVAL_MIN * Micros::from(self.settings.instances);
        min_spread * endpoint_count.max(FIRST_PROBE_FLEET_SIZE) / FIRST_PROBE_FLEET_SIZE
    }

    /// Returns the usual interval between two probes of an endpoint, in microseconds.
    pub(crate) fn probe_interval(&self) -> Micros {
        let rate = PROBE_SHARE * self.traffic.arrivals.per_second_at(self.now);
        (self.topology.endpoint_count() as f64 / rate.max(0.001) * 1e6) as Micros
    }

    /// Returns the interval after which an endpoint is probed again, if a probe is due now.
    pub(crate) fn due_probe_interval(&self, index: EndpointIndex, usual_interval: Micros) -> Option<Micros> {
        let endpoint = &self.topology[index];
        if !self.may_answer_probe(index) || endpoint.probe_in_flight || self.now < endpoint.next_probe_at {
            return None;
        }
        let urgency = if self.is_probe_urgent(index) { URGENCY } else { 1 };
        let interval = (usual_interval / urgency).max(PROBE_INTERVAL_MIN / urgency);
        // A position that was observed within the interval makes the probe unnecessary.
        let is_observed = urgency == 1 && self.now < endpoint.replication.observed_at() + interval;
        (!is_observed).then_some(interval)
    }

    /// Schedules the next probe of an endpoint after this interval, with a random jitter of up to an
    /// eighth of the interval in both directions.
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

    /// Updates the probe schedule with the times of an endpoint, or removes an endpoint that is not probed.
    pub(super) fn schedule_probe(&mut self, index: EndpointIndex) {
        let endpoint = &self.topology[index];
        let (not_before, observed_at) = (endpoint.next_probe_at, endpoint.replication.observed_at());
        let times = ProbeTimes { not_before, observed_at };
        let may_answer = self.may_answer_probe(index);
        self.probe_schedule.record(index, may_answer.then_some(times));
    }

    /// Returns whether a group has a healthy primary. A primary that only the list names counts, too:
    /// otherwise all routers that have just started would probe at the urgent rate.
    fn has_healthy_primary(&self, group: GroupId) -> bool {
        self.topology.presumed_primary(group).is_some_and(|primary| self.is_healthy(primary))
    }

    /// Records in the probe schedule whether a group has a healthy primary.
    pub(super) fn update_leadership(&mut self, group: GroupId) {
        let has_healthy_primary = self.has_healthy_primary(group);
        self.probe_schedule.record_primary_health(group, has_healthy_primary);
    }

    fn is_probe_urgent(&self, index: EndpointIndex) -> bool {
        self.topology[index].down || !self.has_healthy_primary(self.topology[index].group)
    }
}
