//! Health checks (probes): asking endpoints for their role and position.

use super::*;

const PROBE_SHARE: f64 = 0.5; // Probes for each request, ...
pub(super) const INTERVAL_MIN: Micros = 250_000; // ... and the least interval between two of an endpoint.
const URGENCY: Micros = 4; // Probe rate factor at endpoints that are down and in groups not led.

impl Router {
    pub(super) fn start_probes(&mut self) {
        if !self.settings.probes {
            return;
        }
        let rate = PROBE_SHARE * self.traffic.arrivals.at(self.now);
        let usual = (self.topology.endpoint_count() as f64 / rate.max(0.001) * 1e6) as Micros;
        for index in self.topology.indices() {
            if !self.may_probe(index) {
                continue;
            }
            let urgency = if self.is_probe_urgent(index) { URGENCY } else { 1 };
            let interval = (usual / urgency).max(INTERVAL_MIN / urgency);
            let endpoint = &mut self.topology[index];
            if urgency == 1 && self.now < endpoint.replication.observed_at() + interval {
                continue; // Recent answers have shown the same.
            }
            let jitter = self.random.below(interval / 4);
            endpoint.next_probe_at = self.now + interval - interval / 8 + jitter;
            self.probe(index);
        }
    }

    fn may_probe(&self, index: EndpointIndex) -> bool {
        let endpoint = &self.topology[index];
        let may_answer = endpoint.state == EndpointState::Ready || self.may_serve_though_removed(index);
        may_answer && !endpoint.probe_in_flight && self.now >= endpoint.next_probe_at
    }

    /// A group counts as led also where only the list names its primary. Guards against all routers that have
    /// just started probing at a high rate.
    fn is_probe_urgent(&self, index: EndpointIndex) -> bool {
        let endpoint = &self.topology[index];
        let primary = self.topology.presumed_primary(endpoint.group);
        endpoint.down || !primary.is_some_and(|primary| self.is_healthy(primary))
    }

    /// Probes an endpoint, unless a probe is under way.
    pub(super) fn probe(&mut self, index: EndpointIndex) {
        let endpoint = &mut self.topology[index];
        self.actions.extend((!endpoint.probe_in_flight).then_some(Action::Probe(endpoint.id)));
        endpoint.probe_in_flight = true;
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
