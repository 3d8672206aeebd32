//! Health checks (probes): asking endpoints for their role and position.

use crate::Router;
use crate::model::{Action, EndpointId, LoadReport};
use crate::state::EndpointIndex;

impl Router {
    /// Probes the endpoints that are due.
    pub(super) fn start_probes(&mut self) {
        if !self.settings.probes {
            return;
        }
        let usual = self.probe_interval();
        self.shorten_outdated_intervals(usual);
        for index in self.probe_candidates(usual) {
            let Some(interval) = self.due_probe_interval(index, usual) else { continue };
            self.set_next_probe(index, interval);
            self.probe(index);
        }
    }

    /// Probes an endpoint, unless a probe is under way.
    pub(super) fn probe(&mut self, index: EndpointIndex) {
        let endpoint = &mut self.topology[index];
        self.actions.extend((!endpoint.probe_in_flight).then_some(Action::Probe(endpoint.id)));
        endpoint.probe_in_flight = true;
    }

    /// Takes in the end of a probe, and lets the reads that waited for it go on.
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

    /// Departure: a health check that this machine could not send is no evidence of the endpoint.
    pub(crate) fn on_probe_not_sent(&mut self, id: EndpointId) {
        let Some(index) = self.topology.find(id) else { return };
        self.end_probe(index);
        self.resume_held(Some(self.topology[index].group), false);
    }

    /// Notes that no probe is under way, and that the reads that waited for it are due.
    fn end_probe(&mut self, index: EndpointIndex) {
        self.topology[index].probe_in_flight = false;
        for pending in self.requests.values_mut().filter(|pending| pending.probed == Some(index)) {
            pending.held_until = pending.held_until.map(|_| 0);
        }
    }
}
