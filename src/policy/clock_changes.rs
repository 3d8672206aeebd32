//! Reactions to new estimates of a group's clock.

use crate::Router;
use crate::model::Action;

impl Router {
    /// Logs the steps of groups' clocks, and updates the endpoints of groups whose clock estimates
    /// changed. The list reports the start of an endpoint as a time on its group's clock, so the endpoint
    /// may have started earlier or later than was assumed.
    pub(super) fn apply_clock_changes(&mut self) {
        let steps = self.topology.take_clock_steps();
        self.actions.extend(steps.iter().map(|step| Action::Log(step.to_string())));
        for group in self.topology.take_clock_changes() {
            let mut started = self.topology.members(group).to_vec();
            started.retain(|index| self.topology[*index].started_at > 0);
            started.into_iter().for_each(|index| self.update_indexes(index));
        }
    }
}
