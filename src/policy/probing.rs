//! Health checks (probes): asking endpoints for their role and position.

use crate::Router;
use crate::model::{Action, EndpointId, EndpointState, GroupId, LoadReport, Micros};
use crate::state::{EndpointIndex, ProbeTimes};
use std::collections::BTreeSet;

/// The probes that a router sends for each request that it gets, at the usual rate.
const PROBE_SHARE: f64 = 0.5;
/// The shortest usual interval between two probes of an endpoint.
const INTERVAL_MIN: Micros = 250_000;
/// Up to this many endpoints, all routers together send an endpoint one first probe in [`INTERVAL_MIN`].
const PROBED_AT_START: u64 = 200;
/// How many times as often as usual endpoints that are down, and members of groups without a usable
/// primary, are probed.
const URGENCY: Micros = 4;
/// An endpoint's probe interval is outdated if it is more than this many times the current one.
const OUTDATED_MULTIPLE: Micros = 8;

impl Router {
    pub(super) fn start_probes(&mut self) {
        if !self.settings.probes {
            return;
        }
        let usual = self.probe_interval();
        self.shorten_outdated_intervals(usual.max(INTERVAL_MIN));
        for index in self.probe_candidates(usual) {
            let Some(interval) = self.due_probe_interval(index, usual) else { continue };
            let jitter = self.random.below(interval / 4);
            let endpoint = &mut self.topology[index];
            endpoint.next_probe_at = self.now + interval - interval / 8 + jitter;
            endpoint.probe_interval = interval;
            self.longest_probe_interval = self.longest_probe_interval.max(interval);
            self.schedule_probe(index);
            self.probe(index);
        }
    }

    /// Guards against probes that were scheduled while there was next to no traffic: the next one would come
    /// an hour after a quiet time.
    fn shorten_outdated_intervals(&mut self, interval: Micros) {
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
        let by_routers = INTERVAL_MIN * Micros::from(self.settings.instances);
        by_routers * endpoint_count.max(PROBED_AT_START) / PROBED_AT_START
    }

    /// The usual interval between two probes of an endpoint.
    pub(crate) fn probe_interval(&self) -> Micros {
        let rate = PROBE_SHARE * self.traffic.arrivals.at(self.now);
        (self.topology.endpoint_count() as f64 / rate.max(0.001) * 1e6) as Micros
    }

    /// The endpoints that may be due for a probe, in order.
    fn probe_candidates(&mut self, usual: Micros) -> BTreeSet<EndpointIndex> {
        let observed_before = self.now.checked_sub(usual.max(INTERVAL_MIN));
        let mut candidates = self.probe_schedule.due(self.now, observed_before);
        candidates.extend(self.probe_schedule.down());
        for group in self.probe_schedule.unled_groups() {
            candidates.extend(self.topology.members(group));
        }
        candidates
    }

    /// The interval between two probes of an endpoint, if one is due now.
    pub(crate) fn due_probe_interval(&self, index: EndpointIndex, usual: Micros) -> Option<Micros> {
        let endpoint = &self.topology[index];
        if !self.may_answer_probe(index) || endpoint.probe_in_flight || self.now < endpoint.next_probe_at {
            return None;
        }
        let urgency = if self.is_probe_urgent(index) { URGENCY } else { 1 };
        let interval = (usual / urgency).max(INTERVAL_MIN / urgency);
        // Recent answers have shown the same.
        let is_needless = urgency == 1 && self.now < endpoint.replication.observed_at() + interval;
        (!is_needless).then_some(interval)
    }

    fn may_answer_probe(&self, index: EndpointIndex) -> bool {
        self.topology[index].state == EndpointState::Ready || self.may_serve_though_removed(index)
    }

    /// Updates when the next probe of an endpoint is due.
    pub(super) fn schedule_probe(&mut self, index: EndpointIndex) {
        let endpoint = &self.topology[index];
        let (not_before, observed_at) = (endpoint.next_probe_at, endpoint.replication.observed_at());
        let times = ProbeTimes { not_before, observed_at };
        let may_answer = self.may_answer_probe(index);
        self.probe_schedule.record(index, may_answer.then_some(times));
    }

    /// A group counts as led also where only the list names its primary. Guards against all routers that have
    /// just started probing at a high rate.
    fn is_led(&self, group: GroupId) -> bool {
        self.topology.presumed_primary(group).is_some_and(|primary| self.is_healthy(primary))
    }

    /// Updates whether a group is led.
    pub(super) fn update_leadership(&mut self, group: GroupId) {
        let is_led = self.is_led(group);
        self.probe_schedule.record_led(group, is_led);
    }

    fn is_probe_urgent(&self, index: EndpointIndex) -> bool {
        self.topology[index].down || !self.is_led(self.topology[index].group)
    }

    /// Probes an endpoint, unless a probe is under way.
    pub(super) fn probe(&mut self, index: EndpointIndex) {
        let endpoint = &mut self.topology[index];
        self.actions.extend((!endpoint.probe_in_flight).then_some(Action::Probe(endpoint.id)));
        endpoint.probe_in_flight = true;
    }

    /// Logs steps of groups' clocks, and counts anew the endpoints whose start may have been later or earlier
    /// than it seemed.
    pub(super) fn apply_clock_changes(&mut self) {
        let steps = self.topology.take_clock_steps();
        self.actions.extend(steps.iter().map(|step| Action::Log(step.to_string())));
        for group in self.topology.take_clock_changes() {
            let mut started = self.topology.members(group).to_vec();
            started.retain(|index| self.topology[*index].started_at > 0);
            started.into_iter().for_each(|index| self.update_indexes(index));
        }
    }

    pub(crate) fn on_probed(&mut self, id: EndpointId, answered: bool, report: LoadReport) {
        let Some(index) = self.topology.find(id) else { return };
        self.end_probe(index);
        self.topology[index].probe_unanswered = !answered;
        let group = self.topology[index].group;
        let primary_before = self.topology.primary(group);
        if answered {
            self.topology[index].record_contact(self.now);
            let is_usable = self.is_usable(index);
            self.topology.record_report(index, report, is_usable, self.now);
            self.update_indexes(index);
            self.apply_clock_changes();
        }
        self.resume_held_in_group(group, primary_before);
    }

    /// Departure: a health check that this machine could not send is no evidence of the endpoint.
    pub(crate) fn on_probe_not_sent(&mut self, id: EndpointId) {
        let Some(index) = self.topology.find(id) else { return };
        self.end_probe(index);
        self.resume_held(Some(self.topology[index].group), false);
    }

    /// No read waits for the probe any more.
    fn end_probe(&mut self, index: EndpointIndex) {
        self.topology[index].probe_in_flight = false;
        for pending in self.requests.values_mut().filter(|pending| pending.probed == Some(index)) {
            pending.held_until = pending.held_until.map(|_| 0);
        }
    }
}
