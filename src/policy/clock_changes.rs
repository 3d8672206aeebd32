//! What follows when a group's clock turns out to differ from what was known of it.

use crate::Router;
use crate::model::Action;

impl Router {
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
}
