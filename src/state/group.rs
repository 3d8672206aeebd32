//! The router's state of one group.

use super::{EndpointIndex, PerRole};
use crate::Micros;
use crate::estimators::{GroupClock, GroupQueueingDelay};

/// A primary and its replicas.
#[derive(Default)]
pub(crate) struct Group {
    pub(crate) members: Vec<EndpointIndex>,
    /// The member last seen as the primary, if it is not known to have stepped down.
    pub(crate) primary: Option<EndpointIndex>,
    /// The time of the newest evidence of the primary.
    pub(crate) primary_seen_at: Micros,
    /// No request starts a search for the primary before this time.
    pub(crate) next_search_at: Micros,
    pub(crate) queueing_delay: PerRole<GroupQueueingDelay>,
    /// What its primaries' answers show of its clock, none before the first.
    pub(crate) clock: Option<GroupClock>,
}

impl Group {
    /// Records which member is the primary, by evidence of this time.
    pub(crate) fn set_primary(&mut self, primary: Option<EndpointIndex>, seen_at: Micros) {
        self.primary = primary;
        self.primary_seen_at = seen_at;
    }

    /// Stops treating this member as the primary.
    pub(crate) fn forget_primary(&mut self, member: EndpointIndex) {
        self.primary = self.primary.filter(|primary| *primary != member);
    }

    /// Drops a member.
    pub(crate) fn remove(&mut self, member: EndpointIndex) {
        self.members.retain(|other| *other != member);
        self.forget_primary(member);
    }
}
