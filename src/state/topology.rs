//! The endpoints and their groups, with what is known of their roles, positions, clocks and queueing delays.

use super::endpoint_table::EndpointTable;
use super::{ClockStep, Endpoint, EndpointIndex, Group, PerRole, SlowStartBudget};
use crate::estimators::{FailureRate, GroupClock, PrimaryPosition, QueueingDelay, ReplicationEstimate};
use crate::{
    AttemptResult, EndpointCounts, EndpointEntry, EndpointId, EndpointState, GroupId, LoadReport, Micros,
    ResponseMetadata, Role,
};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Index, IndexMut};

/// All endpoints and groups.
#[derive(Default)]
pub(crate) struct Topology {
    endpoints: EndpointTable,
    groups: BTreeMap<GroupId, Group>,
    /// The average queueing delay over the attempts in all groups.
    queueing_delay: PerRole<QueueingDelay>,
    /// The assumed clock of groups whose primary has not answered yet.
    default_clock: GroupClock,
    /// Steps of groups' clocks since the last call of `take_clock_steps`.
    clock_steps: Vec<ClockStep>,
    /// Groups whose clock estimate has changed since the last call of `take_clock_changes`, so that the start
    /// times of their endpoints may have changed on the host's clock.
    clock_changes: Vec<GroupId>,
    /// When the first entry was listed, on the host's clock; 0 before.
    first_listed_at: Micros,
}

impl Topology {
    /// Creates a topology for a host whose clock may differ from the clocks of the members.
    pub(crate) fn with_unknown_clock() -> Self {
        Topology { default_clock: GroupClock::Unknown, ..Topology::default() }
    }

    pub(crate) fn find(&self, id: EndpointId) -> Option<EndpointIndex> {
        self.endpoints.find(id)
    }

    /// The indices of all endpoints, including removed ones.
    #[cfg(test)]
    pub(crate) fn indices(&self) -> impl Iterator<Item = EndpointIndex> + use<> {
        self.endpoints.indices()
    }

    /// How often an endpoint was accessed by its index, in total.
    #[cfg(test)]
    pub(crate) fn lookup_count(&self) -> usize {
        self.endpoints.lookup_count()
    }

    /// The number of endpoints, including removed ones.
    pub(crate) fn endpoint_count(&self) -> usize {
        self.endpoints.len()
    }

    pub(crate) fn group_count(&self) -> usize {
        self.groups.len()
    }

    pub(crate) fn group(&self, id: GroupId) -> Option<&Group> {
        self.groups.get(&id)
    }

    pub(crate) fn group_mut(&mut self, id: GroupId) -> Option<&mut Group> {
        self.groups.get_mut(&id)
    }

    /// The members of a group; empty for an unknown group.
    pub(crate) fn members(&self, id: GroupId) -> &[EndpointIndex] {
        self.groups.get(&id).map_or(&[], |group| &group.members)
    }

    /// The endpoint last observed to be the primary of a group.
    pub(crate) fn primary(&self, id: GroupId) -> Option<EndpointIndex> {
        self.groups.get(&id).and_then(|group| group.primary)
    }

    /// The endpoint last observed to be the primary of a group, or else the one that the list names.
    ///
    /// Without the second rule, requests for a primary that the list names but that has no slow start budget
    /// left would be tried in vain at other members.
    pub(crate) fn presumed_primary(&self, id: GroupId) -> Option<EndpointIndex> {
        let is_hinted = |member: &EndpointIndex| self[*member].is_hinted_primary();
        self.primary(id).or_else(|| self.members(id).iter().copied().find(is_hinted))
    }

    pub(crate) fn is_primary_of(&self, id: GroupId, index: EndpointIndex) -> bool {
        self.primary(id) == Some(index)
    }

    pub(crate) fn role(&self, index: EndpointIndex) -> Role {
        if self.is_primary_of(self[index].group, index) { Role::Primary } else { Role::Replica }
    }

    /// Counts the endpoints that are not removed, and those of them that are ejected, down or draining.
    pub(crate) fn counts(&self) -> EndpointCounts {
        let listed = self.endpoints.iter().filter(|endpoint| endpoint.state != EndpointState::Removed);
        let is_avoided = |endpoint: &&Endpoint| {
            endpoint.ejected || endpoint.down || endpoint.state == EndpointState::Draining
        };
        EndpointCounts { listed: listed.clone().count(), avoided: listed.filter(is_avoided).count() }
    }

    /// Sets the endpoints that are missing from a complete list to removed, and returns them.
    pub(crate) fn remove_unlisted(&mut self, entries: &[EndpointEntry]) -> Vec<EndpointIndex> {
        let listed: BTreeSet<EndpointId> = entries.iter().map(|entry| entry.endpoint).collect();
        let mut unlisted: Vec<_> = self.endpoints.indices().collect();
        unlisted.retain(|index| !listed.contains(&self.endpoints[*index].id));
        for index in &unlisted {
            self.endpoints.set_state(*index, EndpointState::Removed);
        }
        unlisted
    }

    /// Assigns a slot to a new endpoint; the caller fills it by [`Topology::add`]. If the slot is that of a
    /// former endpoint, removes that endpoint from its group and also returns the group.
    pub(crate) fn allocate(&mut self, id: EndpointId, now: Micros) -> (EndpointIndex, Option<GroupId>) {
        let (index, dropped) = self.endpoints.allocate(id, now);
        let former_group = dropped.map(|dropped| dropped.group);
        if let Some(group) = former_group.and_then(|group| self.groups.get_mut(&group)) {
            group.remove(index);
        }
        (index, former_group)
    }

    /// Fills a slot, and adds the endpoint to its group.
    pub(crate) fn add(&mut self, index: EndpointIndex, endpoint: Endpoint) {
        self.groups.entry(endpoint.group).or_default().members.push(index);
        self.endpoints[index] = endpoint;
    }

    /// Moves an endpoint that is now listed under another group. Resets its role and its position, which are
    /// meaningless in the new group.
    fn move_to_group(&mut self, index: EndpointIndex, group: GroupId) {
        let endpoint = &mut self.endpoints[index];
        let former = std::mem::replace(&mut endpoint.group, group);
        endpoint.primary_hint = false;
        endpoint.replica_seen_at = 0;
        endpoint.replication = ReplicationEstimate::default();
        if let Some(former) = self.groups.get_mut(&former) {
            former.remove(index);
        }
        self.groups.entry(group).or_default().members.push(index);
    }

    /// Applies an entry of the list. Returns whether the entry names the endpoint as the primary and the
    /// previous one did not.
    pub(crate) fn apply_entry(&mut self, index: EndpointIndex, entry: &EndpointEntry, now: Micros) -> bool {
        if self.endpoints[index].group != entry.group {
            self.move_to_group(index, entry.group);
        }
        self.endpoints.set_state(index, entry.state);
        let group = self.groups.entry(entry.group).or_default();
        let endpoint = &mut self.endpoints[index];
        if entry.started_at != endpoint.started_at {
            endpoint.started_at = entry.started_at;
            endpoint.start_listed_at = now;
            endpoint.slow_start = PerRole::uniform(SlowStartBudget::empty(now));
            endpoint.failure_rate = FailureRate::default();
            endpoint.ejected = false;
            endpoint.down = false;
            group.forget_primary(index);
        }
        if endpoint.start_listed_at == 0 {
            endpoint.start_listed_at = now;
        }
        if self.first_listed_at == 0 {
            self.first_listed_at = now;
        }
        let newly_hinted = entry.primary_hint && !endpoint.primary_hint;
        if newly_hinted {
            group.next_search_at = now;
        }
        endpoint.primary_hint = entry.primary_hint;
        endpoint.zone = entry.zone;
        endpoint.was_draining = match entry.state {
            EndpointState::Draining => true,
            EndpointState::Removed => endpoint.was_draining,
            EndpointState::Ready => false,
        };
        newly_hinted
    }

    /// The estimate of a group's clock.
    pub(crate) fn clock(&self, id: GroupId) -> GroupClock {
        self.groups.get(&id).and_then(|group| group.clock).unwrap_or(self.default_clock)
    }

    /// The estimate of the clock of an endpoint's group.
    pub(crate) fn clock_of(&self, index: EndpointIndex) -> GroupClock {
        self.clock(self[index].group)
    }

    /// The time on a group's clock, or on the host's clock while the group's clock is unknown.
    pub(crate) fn group_time(&self, id: GroupId, now: Micros) -> Micros {
        self.clock(id).group_time(now).unwrap_or(now)
    }

    /// The start of an endpoint on the host's clock; 0 for long ago.
    ///
    /// It is the latest time that the evidence of the clocks allows, but not later than the time at which the
    /// start was listed. With an earlier time, an endpoint that is warming up would look warm after a clock
    /// was stepped forward.
    pub(crate) fn started_at(&self, index: EndpointIndex) -> Micros {
        let endpoint = &self[index];
        let is_long_ago = endpoint.started_at == 0;
        if is_long_ago || matches!(self.default_clock, GroupClock::Host) {
            return endpoint.started_at;
        }
        let clocks = [self.clock(endpoint.group), self.default_clock];
        let starts = clocks.iter().filter_map(|clock| clock.latest_host_time(endpoint.started_at));
        // Without evidence of the clocks, a start that was listed after the first list counts as having
        // happened when it was listed; for a start in the first list, the host's clock is assumed to be
        // right.
        let is_in_first_list = endpoint.start_listed_at == self.first_listed_at;
        let presumed = if is_in_first_list { endpoint.started_at } else { endpoint.start_listed_at };
        starts.max().unwrap_or(presumed).min(endpoint.start_listed_at)
    }

    /// Takes the steps of groups' clocks that have been detected since the last call.
    pub(crate) fn take_clock_steps(&mut self) -> Vec<ClockStep> {
        std::mem::take(&mut self.clock_steps)
    }

    /// Takes the groups whose clock estimate has changed since the last call, so that the start times of
    /// their endpoints may have changed on the host's clock.
    pub(crate) fn take_clock_changes(&mut self) -> Vec<GroupId> {
        std::mem::take(&mut self.clock_changes)
    }

    /// Updates the estimate of a group's clock from a report of its primary.
    fn record_clock(&mut self, id: GroupId, evidence: PrimaryPosition) {
        let before = self.clock(id);
        if matches!(self.default_clock, GroupClock::Unknown) && evidence.confirms_host() {
            self.default_clock = GroupClock::agreeing_with_host();
            self.clock_changes.extend(self.groups.keys());
        }
        let now = evidence.received_at;
        let Some(group) = self.groups.get_mut(&id) else { return };
        let clock = before.updated_by(evidence);
        group.clock = Some(clock);
        if clock.latest_host_time(now) != before.latest_host_time(now) {
            self.clock_changes.push(id);
        }
        let is_step = clock.is_step_from(before);
        if is_step {
            self.clock_steps.push(ClockStep { group: id, offset: clock.offset() });
        }
        if is_step || before.group_time(now).is_none() {
            for &member in &group.members {
                self.endpoints[member].replication.adapt_to_clock(clock, now);
            }
        }
    }

    /// Records the role that an endpoint had at `seen_at`. Evidence that is older than what is known does not
    /// change which member is the primary, and only a usable endpoint becomes the primary.
    pub(crate) fn record_role(&mut self, index: EndpointIndex, role: Role, seen_at: Micros, is_usable: bool) {
        let endpoint = &mut self.endpoints[index];
        let Some(group) = self.groups.get_mut(&endpoint.group) else { return };
        let is_newest = seen_at >= group.primary_seen_at.max(endpoint.replica_seen_at);
        match role {
            Role::Replica => {
                endpoint.replica_seen_at = endpoint.replica_seen_at.max(seen_at);
                if is_newest && group.primary == Some(index) {
                    group.set_primary(None, seen_at);
                }
            }
            Role::Primary if is_newest && is_usable => {
                group.set_primary(Some(index), seen_at);
                endpoint.replica_seen_at = 0;
            }
            Role::Primary => {}
        }
    }

    /// Records what a response reports about its endpoint. `sent_at` is a time before which the reported
    /// position can't have been read, if one is known.
    pub(crate) fn record_response(
        &mut self,
        index: EndpointIndex,
        result: &AttemptResult,
        sent_at: Option<Micros>,
        is_usable: bool,
        now: Micros,
    ) {
        let ResponseMetadata { role, position } = result.metadata;
        if let Some(position) = position.filter(|_| role == Some(Role::Primary)) {
            let endpoint = result.endpoint;
            let evidence = PrimaryPosition { endpoint, position, sent_at, received_at: now };
            self.record_clock(self[index].group, evidence);
        }
        if let Some(role) = role {
            self.record_role(index, role, now, is_usable);
        }
        if let Some(position) = position {
            self.record_position(index, position, now);
        }
        self.record_report(index, result.report, is_usable, now);
    }

    /// Records a load report, which may be out of date. The role counts as observed at the reported position,
    /// because the position of a primary is the time of its report.
    pub(crate) fn record_report(
        &mut self,
        index: EndpointIndex,
        report: LoadReport,
        is_usable: bool,
        now: Micros,
    ) {
        let Some(position) = report.position else { return };
        let group = self[index].group;
        if report.role == Some(Role::Primary) {
            let endpoint = self[index].id;
            let evidence = PrimaryPosition { endpoint, position, sent_at: None, received_at: now };
            self.record_clock(group, evidence);
        }
        self.record_position(index, position, now);
        if let Some(role) = report.role {
            let seen_at = self.clock(group).host_time(position).unwrap_or(now);
            self.record_role(index, role, seen_at.min(now), is_usable);
        }
    }

    fn record_position(&mut self, index: EndpointIndex, position: Micros, now: Micros) {
        let clock = self.clock_of(index);
        self.endpoints[index].replication.record(position, clock, now);
    }

    /// Records that an endpoint rejected a read because it had not reached this position.
    pub(crate) fn record_position_not_reached(
        &mut self,
        index: EndpointIndex,
        position: Micros,
        now: Micros,
    ) {
        let clock = self.clock_of(index);
        self.endpoints[index].replication.record_position_not_reached(position, clock, now);
    }

    /// Records that an endpoint rejected a write, which shows that it is not the primary.
    pub(crate) fn record_write_rejected(&mut self, index: EndpointIndex, now: Micros) {
        let endpoint = &mut self.endpoints[index];
        endpoint.replica_seen_at = now;
        if let Some(group) = self.groups.get_mut(&endpoint.group)
            && group.primary == Some(index)
        {
            group.set_primary(None, now);
        }
    }

    /// Records whether an endpoint has rejected an attempt, because its queue was full, or has answered it.
    pub(crate) fn record_rejection(&mut self, index: EndpointIndex, is_rejected: bool, now: Micros) {
        let role = self.role(index);
        let next = |in_a_row: u32| if is_rejected { in_a_row.saturating_add(1) } else { 0 };
        let endpoint = &mut self.endpoints[index];
        endpoint.rejections_in_a_row = next(endpoint.rejections_in_a_row);
        if endpoint.rejections_in_a_row == 1 {
            endpoint.first_rejection_at = now;
        }
        if let Some(group) = self.groups.get_mut(&endpoint.group) {
            group.rejections_in_a_row[role] = next(group.rejections_in_a_row[role]);
        }
    }

    /// The number of attempts in a row that the members with the role and the group of this endpoint have
    /// rejected.
    pub(crate) fn rejections_in_a_row(&self, index: EndpointIndex) -> u32 {
        self.groups[&self[index].group].rejections_in_a_row[self.role(index)]
    }

    /// The expected queueing delay of an attempt at endpoints with the same role and group as this endpoint,
    /// as a share of its latency objective.
    pub(crate) fn expected_delay(&self, index: EndpointIndex, now: Micros) -> f64 {
        let role = self.role(index);
        self.groups[&self[index].group].queueing_delay[role].estimate(self.queueing_delay[role], now)
    }

    /// Records the queueing delay of an attempt, as a share of its latency objective.
    pub(crate) fn record_delay(&mut self, index: EndpointIndex, delay: f64, now: Micros) {
        let role = self.role(index);
        if let Some(group) = self.groups.get_mut(&self.endpoints[index].group) {
            group.queueing_delay[role].record(delay, self.queueing_delay[role], now);
        }
        self.queueing_delay[role].record(delay);
        self.endpoints[index].queueing_delay.record(delay);
    }
}

impl Index<EndpointIndex> for Topology {
    type Output = Endpoint;

    fn index(&self, index: EndpointIndex) -> &Endpoint {
        &self.endpoints[index]
    }
}

impl IndexMut<EndpointIndex> for Topology {
    fn index_mut(&mut self, index: EndpointIndex) -> &mut Endpoint {
        &mut self.endpoints[index]
    }
}
