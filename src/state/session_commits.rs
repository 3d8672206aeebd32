//! The last commits of sessions, for settings under which the router, and not the client, remembers them.

use crate::{GroupId, Micros, Request, Requirement, SessionInGroup, Settings};
use std::collections::BTreeMap;

/// The number of commits above which those that every member of their group has applied are dropped.
const CAPACITY: usize = 20_000;

/// The last commit of each session in each group.
#[derive(Default)]
pub(crate) struct SessionCommits {
    positions: BTreeMap<SessionInGroup, Micros>,
}

impl SessionCommits {
    /// Records a commit of a session. Answers may arrive in another order than that of the commits, and the
    /// answer to a repeated write holds the commit of its first run, so a later position is kept.
    pub(crate) fn record(&mut self, session: SessionInGroup, position: Micros) {
        let last = self.positions.entry(session).or_default();
        *last = position.max(*last);
    }

    /// The position of a session's last commit; 0 if none is recorded.
    pub(crate) fn position(&self, session: SessionInGroup) -> Micros {
        self.positions.get(&session).copied().unwrap_or(0)
    }

    /// The position that an endpoint must have reached to serve a request that arrives when its group's clock
    /// reads `group_time`; 0 for none. A bound on staleness is not included, because it depends on the time
    /// at which the request is sent.
    pub(crate) fn required_position(
        &self,
        request: &Request,
        settings: &Settings,
        group_time: Micros,
    ) -> Micros {
        match settings.classes[request.class].requirement {
            Requirement::Latest => group_time,
            Requirement::ReadYourWrites if settings.remember_commits => {
                self.position(request.session_in_group())
            }
            Requirement::ReadYourWrites => {
                let last_write = request.time_since_write.map(|elapsed| group_time.saturating_sub(elapsed));
                request.min_position.or(last_write).unwrap_or(0)
            }
            Requirement::Write | Requirement::BoundedStaleness(_) | Requirement::Any => 0,
        }
    }

    /// Drops the commits that every member of their group has applied, once more than `CAPACITY` commits are
    /// recorded.
    pub(crate) fn prune(&mut self, is_applied_everywhere: impl Fn(GroupId, Micros) -> bool) {
        if self.positions.len() > CAPACITY {
            self.positions.retain(|session, position| !is_applied_everywhere(session.group, *position));
        }
    }
}
