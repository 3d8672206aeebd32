//! The last commits of sessions, for settings under which the router, and not the client, remembers them.

use crate::{GroupId, Micros, Request, Requirement, Settings};
use std::collections::BTreeMap;

/// The number of commits above which those that every member of their group has applied are dropped.
const CAPACITY: usize = 20_000;

struct Commit {
    group: GroupId,
    position: Micros,
}

/// The last commit of each session.
#[derive(Default)]
pub(crate) struct SessionCommits {
    by_session: BTreeMap<u64, Commit>,
}

impl SessionCommits {
    /// Records the last commit of a session.
    pub(crate) fn record(&mut self, session: u64, group: GroupId, position: Micros) {
        self.by_session.insert(session, Commit { group, position });
    }

    /// The position of the session's last commit; 0 if none is recorded.
    pub(crate) fn position(&self, session: u64) -> Micros {
        self.by_session.get(&session).map_or(0, |commit| commit.position)
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
            Requirement::ReadYourWrites if settings.remember_commits => self.position(request.session),
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
        if self.by_session.len() > CAPACITY {
            self.by_session.retain(|_, commit| !is_applied_everywhere(commit.group, commit.position));
        }
    }
}
