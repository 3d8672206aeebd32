//! The router's state of one group.

use super::{EndpointIndex, PerRole};
use crate::Micros;
use crate::estimators::{GroupClock, GroupQueueingDelay};

/// A primary and its replicas.
#[derive(Default)]
pub(crate) struct Group {
    pub(crate) members: Vec<EndpointIndex>,
    /// The member last observed to be the primary; `None` if there was none, or if it has stepped down, was
    /// restarted or has left the group since.
    pub(crate) primary: Option<EndpointIndex>,
    /// The time of the newest evidence of which member is, or is no longer, the primary.
    pub(crate) primary_seen_at: Micros,
    /// No request starts a search for the primary before this time.
    pub(crate) next_search_at: Micros,
    pub(crate) queueing_delay: PerRole<GroupQueueingDelay>,
    /// The number of attempts that members of a role have rejected, because their queues were full, since the
    /// last one that a member of that role answered.
    pub(crate) rejections_in_a_row: PerRole<u32>,
    /// The estimate of the group's clock; `None` before the first report of a primary.
    pub(crate) clock: Option<GroupClock>,
}

impl Group {
    /// Records which member is the primary, as of `seen_at`.
    pub(crate) fn set_primary(&mut self, primary: Option<EndpointIndex>, seen_at: Micros) {
        self.primary = primary;
        self.primary_seen_at = seen_at;
    }

    /// Stops treating this member as the primary.
    pub(crate) fn forget_primary(&mut self, member: EndpointIndex) {
        self.primary = self.primary.filter(|primary| *primary != member);
    }

    /// Removes a member, and forgets it as the primary.
    pub(crate) fn remove(&mut self, member: EndpointIndex) {
        self.members.retain(|other| *other != member);
        self.forget_primary(member);
    }
}
