//! The last commits of sessions, where the router has to remember them.

use crate::{GroupId, Micros, Request, Requirement, Settings};
use std::collections::BTreeMap;

/// Commits remembered before those that every replica has are dropped.
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
    /// Remembers a commit.
    pub(crate) fn record(&mut self, session: u64, group: GroupId, position: Micros) {
        self.by_session.insert(session, Commit { group, position });
    }

    /// The position of the session's last commit, 0 if none is remembered.
    pub(crate) fn position(&self, session: u64) -> Micros {
        self.by_session.get(&session).map_or(0, |commit| commit.position)
    }

    /// The position that an endpoint must have to serve a request that arrives when its group's clock reads
    /// `present`; 0 for none.
    pub(crate) fn required_position(
        &self,
        request: &Request,
        settings: &Settings,
        present: Micros,
    ) -> Micros {
        match settings.classes[request.class].requirement {
            Requirement::Latest => present,
            Requirement::ReadYourWrites if settings.remember_commits => self.position(request.session),
            Requirement::ReadYourWrites => {
                let last_write = request.time_since_write.map(|elapsed| present.saturating_sub(elapsed));
                request.min_position.or(last_write).unwrap_or(0)
            }
            Requirement::Write | Requirement::BoundedStaleness(_) | Requirement::Any => 0,
        }
    }

    /// Drops, once there are many, the commits that every replica has.
    pub(crate) fn prune(&mut self, is_settled: impl Fn(GroupId, Micros) -> bool) {
        if self.by_session.len() > CAPACITY {
            self.by_session.retain(|_, commit| !is_settled(commit.group, commit.position));
        }
    }
}
