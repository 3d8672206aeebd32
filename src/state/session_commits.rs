//! The last commits of sessions, which the reads of these sessions must see, in bounded memory.

use crate::{ExecutedStatement, GroupId, Micros, Requirement, SessionInGroup, Settings};
use std::collections::{BTreeMap, BTreeSet};

/// An upper bound of the memory of one commit: an entry of a map and one of a set, in nodes that are half
/// full.
const COMMIT_BYTES: usize = 96;
/// The number of commits that are kept exactly where no memory limit is known.
const DEFAULT_CAPACITY: usize = 20_000;

/// The last commit of each session in each group.
///
/// At most [`SessionCommits::capacity`] commits are kept exactly. When there are more, the lowest
/// position of the group with the most commits is evicted, and becomes a lower bound for every session of
/// that group without a commit of its own. So an evicted commit is never forgotten: the reads of its
/// session must see it, or a later position, however long a replica lags and from however old a copy a
/// member starts.
pub(crate) struct SessionCommits {
    capacity: usize,
    count: usize,
    groups: BTreeMap<GroupId, GroupCommits>,
}

/// The arrival of a request.
#[derive(Clone, Copy)]
pub(crate) struct Arrival {
    /// The time on the host's clock.
    pub(crate) now: Micros,
    /// The time on the clock of the request's group.
    pub(crate) group_time: Micros,
    /// When this process started to record commits, on the host's clock.
    pub(crate) started_at: Micros,
}

impl Arrival {
    /// Converts a time before the arrival from the host's clock to the group's.
    fn to_group_time(self, time: Micros) -> Micros {
        self.group_time.saturating_sub(self.now.saturating_sub(time))
    }
}

/// The commits of one group.
#[derive(Default)]
struct GroupCommits {
    positions: BTreeMap<u64, Micros>,
    /// The entries of `positions`, by position.
    sessions_by_position: BTreeSet<(Micros, u64)>,
    /// The highest position that has been evicted.
    evicted_position: Option<Micros>,
}

impl Default for SessionCommits {
    fn default() -> Self {
        SessionCommits::with_capacity(DEFAULT_CAPACITY)
    }
}

impl SessionCommits {
    /// Creates an empty table that keeps as many commits as fit into `memory_bytes`, but at least one.
    pub(crate) fn within(memory_bytes: usize) -> Self {
        SessionCommits::with_capacity(memory_bytes / COMMIT_BYTES)
    }

    /// Creates an empty table that keeps `capacity` commits exactly, but at least one.
    fn with_capacity(capacity: usize) -> Self {
        SessionCommits { capacity: capacity.max(1), count: 0, groups: BTreeMap::new() }
    }

    /// The number of commits that are kept exactly.
    #[cfg(test)]
    pub(crate) fn capacity(&self) -> usize {
        self.capacity
    }

    /// The number of commits that are kept exactly at present.
    #[cfg(test)]
    pub(crate) fn count(&self) -> usize {
        self.count
    }

    /// Records a commit of a session. Answers may arrive in another order than that of the commits, and the
    /// answer to a repeated write holds the commit of its first run, so a later position is kept.
    pub(crate) fn record(&mut self, session: SessionInGroup, position: Micros) {
        let group = self.groups.entry(session.group).or_default();
        self.count += usize::from(group.record(session.session, position));
        if self.count > self.capacity {
            self.evict_lowest();
        }
    }

    /// The position that the reads of a session must see: that of its last commit, or a later one if the
    /// commit may have been evicted. `None` if the session is unknown (0) or has no commit.
    pub(crate) fn last(&self, session: SessionInGroup) -> Option<Micros> {
        let group = self.groups.get(&session.group).filter(|_| session.session != 0)?;
        group.positions.get(&session.session).copied().max(group.evicted_position)
    }

    /// The position that an endpoint must have reached to execute a statement of a request that has arrived
    /// for this group; 0 for none. A bound on staleness is not included, because it depends on the time at
    /// which the request is sent.
    pub(crate) fn required_position(
        &self,
        statement: &ExecutedStatement,
        group: GroupId,
        settings: &Settings,
        arrival: Arrival,
    ) -> Micros {
        match settings.classes[statement.class].requirement {
            Requirement::Latest => arrival.group_time,
            Requirement::ReadYourWrites => {
                let session = SessionInGroup { session: statement.session, group };
                let remembered =
                    settings.remember_commits.then(|| self.remembered(session, settings, arrival));
                let last_write =
                    statement.time_since_write.map(|elapsed| arrival.group_time.saturating_sub(elapsed));
                let first_known = statement.commits_known_since.map(|since| arrival.to_group_time(since));
                let positions = [statement.min_position, last_write, first_known, remembered.flatten()];
                positions.into_iter().flatten().max().unwrap_or(0)
            }
            Requirement::Write | Requirement::BoundedStaleness(_) | Requirement::Any => 0,
        }
    }

    /// The position of a session's last commit. A session without a commit in this table may have committed
    /// through an earlier process, which matters where endpoints don't check positions.
    fn remembered(&self, session: SessionInGroup, settings: &Settings, arrival: Arrival) -> Option<Micros> {
        let is_bounded = session.session != 0 && settings.endpoints_serve_stale();
        let started_at = is_bounded.then(|| arrival.to_group_time(arrival.started_at));
        self.last(session).or(started_at)
    }

    /// Evicts a commit of the group that has the most, so that no group displaces those of the others.
    fn evict_lowest(&mut self) {
        let largest = self.groups.values_mut().max_by_key(|group| group.positions.len());
        if let Some(group) = largest {
            group.evict_lowest();
            self.count -= 1;
        }
    }
}

impl GroupCommits {
    /// Records a commit. Returns whether the session had none before.
    fn record(&mut self, session: u64, position: Micros) -> bool {
        let former = self.positions.get(&session).copied();
        if former.max(self.evicted_position).is_some_and(|known| known >= position) {
            return false;
        }
        if let Some(former) = former {
            self.sessions_by_position.remove(&(former, session));
        }
        self.positions.insert(session, position);
        self.sessions_by_position.insert((position, session));
        former.is_none()
    }

    fn evict_lowest(&mut self) {
        let Some((position, session)) = self.sessions_by_position.pop_first() else { return };
        self.positions.remove(&session);
        self.evicted_position = self.evicted_position.max(Some(position));
    }
}
