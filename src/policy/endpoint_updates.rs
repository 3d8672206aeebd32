//! Applies the endpoint list and its changes: adds, updates and removes endpoints.

use super::{FIRST_SEND_NUMBER, admission, health};
use crate::Router;
use crate::estimators::FailureRate;
use crate::model::EndpointEntry;
use crate::state::{Endpoint, EndpointIndex};

impl Router {
    /// Applies entries of the endpoint list, and resumes held requests that are due. The requests of a
    /// group for which the list newly names a primary are resumed regardless of their wait.
    ///
    /// If the list is complete, endpoints without an entry are marked as removed.
    pub(crate) fn on_endpoint_update(&mut self, complete: bool, entries: Vec<EndpointEntry>) {
        if complete {
            let removed = self.topology.remove_unlisted(&entries);
            removed.into_iter().for_each(|index| self.update_indexes(index));
        }
        let is_first_list = self.topology.endpoint_count() == 0;
        let endpoint_count = self.topology.endpoint_count().max(entries.len());
        let mut newly_hinted = Vec::new();
        for entry in entries {
            let known = self.topology.find(entry.endpoint);
            let index = known.unwrap_or_else(|| self.add_endpoint(&entry, is_first_list, endpoint_count));
            let former_group = self.topology[index].group;
            if self.topology.apply_entry(index, &entry, self.now) {
                newly_hinted.push(entry.group);
            }
            self.update_indexes(index);
            self.update_leadership(former_group);
        }
        self.usable_endpoints = self.usable_counts.usable() as f64;
        self.warm_endpoints = self.usable_counts.warm(self.now) as f64;
        self.count_serving_capacity();
        newly_hinted.into_iter().for_each(|group| self.resume_held(Some(group), true));
        self.resume_held(None, false);
    }

    /// Updates the counts and schedules that cover all endpoints. Must be called after each event that may
    /// have changed the endpoint.
    pub(super) fn update_indexes(&mut self, index: EndpointIndex) {
        let warm_at = self.is_usable(index).then(|| self.warm_at(index));
        self.usable_counts.record(index, warm_at);
        self.schedule_probe(index);
        self.probe_schedule.record_down(index, self.topology[index].down);
        self.update_leadership(self.topology[index].group);
    }

    /// Adds an endpoint to a fleet of about `endpoint_count` endpoints.
    fn add_endpoint(
        &mut self,
        entry: &EndpointEntry,
        is_first_list: bool,
        endpoint_count: usize,
    ) -> EndpointIndex {
        let (index, former_group) = self.topology.allocate(entry.endpoint, self.now);
        former_group.into_iter().for_each(|group| self.update_leadership(group));
        let next_probe_at = self.now + self.random.below(self.first_probe_spread(endpoint_count));
        let last_send_number = self.random.below(FIRST_SEND_NUMBER);
        // An endpoint that is not in the first list is ejected until a trial succeeds: where trials reach all
        // endpoints within a second, this costs hardly any time. Where they take longer, an endpoint whose
        // start the list reports is used immediately, as slow start limits its load.
        let trials_per_second = self.traffic.arrivals.per_second_at(self.now) * health::TRIAL_SHARE;
        let trials_are_quick = trials_per_second > self.topology.endpoint_count() as f64;
        let ejected = !is_first_list && (entry.started_at == 0 || trials_are_quick);
        let failure_rate = FailureRate::new(if ejected { health::EJECTION_THRESHOLD } else { 0.0 });
        let endpoint = Endpoint {
            concurrency_limit: admission::CONCURRENCY_START,
            confirmed: is_first_list,
            ejected,
            failure_rate,
            next_probe_at,
            last_send_number,
            ..Endpoint::new(entry)
        };
        self.topology.add(index, endpoint);
        index
    }
}
