//! Health checks (probes), which ask endpoints for their role and position.

use crate::Router;
use crate::model::{Action, EndpointId, LoadReport};
use crate::state::EndpointIndex;

impl Router {
    /// Probes the endpoints that are due and schedules their next probes.
    pub(super) fn start_probes(&mut self) {
        if !self.settings.probes {
            return;
        }
        let usual_interval = self.probe_interval();
        self.shorten_outdated_intervals(usual_interval);
        for index in self.probe_candidates(usual_interval) {
            let Some(interval) = self.due_probe_interval(index, usual_interval) else { continue };
            self.set_next_probe(index, interval);
            self.probe(index);
        }
    }

    /// Probes an endpoint, unless a probe of it is in flight.
    pub(super) fn probe(&mut self, index: EndpointIndex) {
        let endpoint = &mut self.topology[index];
        self.actions.extend((!endpoint.probe_in_flight).then_some(Action::Probe(endpoint.id)));
        endpoint.probe_in_flight = true;
    }

    /// Handles the end of a probe: records the report, if there is one, and resumes the reads that were
    /// held for the probe.
    pub(crate) fn on_probe_ended(&mut self, id: EndpointId, answered: bool, report: LoadReport) {
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

    /// Handles a probe that this machine could not send. It is not recorded as unanswered, as it shows
    /// nothing about the endpoint.
    pub(crate) fn on_probe_not_sent(&mut self, id: EndpointId) {
        let Some(index) = self.topology.find(id) else { return };
        self.end_probe(index);
        self.resume_held(Some(self.topology[index].group), false);
    }

    /// Records that no probe of an endpoint is in flight, and makes the reads that were held for it due.
    fn end_probe(&mut self, index: EndpointIndex) {
        self.topology[index].probe_in_flight = false;
        for pending in self.requests.values_mut().filter(|pending| pending.probed == Some(index)) {
            pending.held_until = pending.held_until.map(|_| 0);
        }
    }
}
