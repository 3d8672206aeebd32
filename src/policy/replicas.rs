//! Selects the endpoint for a read that a replica may serve: the one with the fewest pending attempts among
//! those whose data is fresh enough.

use super::Selection;
use crate::Router;
use crate::model::{
    GroupId, Idempotency, Micros, Needs, PerNeed, RequestId, Requirement, Role, process_pause_margin,
};
use crate::state::{EndpointIndex, PendingRequest};

/// The reads of a class are long if their unloaded latency exceeds this multiple of the shortest unloaded
/// latency of any class.
const LONG_READ_MULTIPLE: f64 = 5.0;
/// If this router has connections to at least this many replicas of a group, replicas without a connection
/// lose ties to those with one. Without this rule, each of many routers would connect to each endpoint.
const CONNECTED_REPLICAS: usize = 2;
/// The time for which a connection counts as open after its last use, in percent of the idle timeout. At the
/// full timeout, the endpoint could close the connection while a request is on its way.
const CONNECTION_LIFE_PERCENT: Micros = 80;

/// How well an endpoint suits a read, the preferred tier first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    FreshReplica,
    Primary,
    LaggingReplica,
}

/// The order of endpoints for a read, compared field by field. The endpoint with the lowest rank is selected.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    tier: Tier,
    is_long_read_elsewhere: bool,
    pending: usize,
    /// A long read away from the group's replica for long reads, or another read at that replica.
    is_misplaced: bool,
    crosses_zones: bool,
    /// This router has no open connection to the endpoint, but to at least [`CONNECTED_REPLICAS`] others. An
    /// endpoint that is warming up is exempt.
    needs_connection: bool,
    last_send_number: u64,
    index: EndpointIndex,
}

impl Router {
    /// Returns the next step of a read that a replica may serve: a due trial of an ejected endpoint, or
    /// else the endpoint with the fewest pending attempts that slow start admits.
    pub(super) fn select_replica(&mut self, id: RequestId) -> Selection {
        let pending = &self.requests[&id];
        let class = pending.request.class;
        let mut available = self.topology.members(pending.request.group).to_vec();
        available.retain(|member| self.is_usable(*member) && !pending.tried.contains(member));
        if let Some(endpoint) = self.due_trial(pending, &available)
            && self.admit_slow_start(endpoint, class, false)
        {
            self.trial_budget -= 1.0;
            return Selection::Send { endpoint, exploratory: true };
        }
        if self.probe_before_read(id, &available) {
            return Selection::Hold;
        }
        loop {
            match self.least_pending(&self.requests[&id], &available) {
                Selection::Send { endpoint, .. } if !self.admit_slow_start(endpoint, class, false) => {
                    available.retain(|member| *member != endpoint);
                }
                selection => return selection,
            }
        }
    }

    /// Returns an ejected member whose trial is due, if this read may be used for one: it is idempotent
    /// and has no attempt yet, the trial budget suffices, and the group has a healthy member for its retry.
    fn due_trial(&self, pending: &PendingRequest, available: &[EndpointIndex]) -> Option<EndpointIndex> {
        let is_first = pending.attempts == 0 && pending.needs.idempotency == Idempotency::Idempotent;
        let is_due = |member: &EndpointIndex| self.is_trial_due(*member) && self.may_serve(pending, *member);
        let may_try = is_first && self.trial_budget >= 1.0 && self.any_healthy(pending.request.group);
        available.iter().copied().find(is_due).filter(|_| may_try)
    }

    fn any_healthy(&self, group: GroupId) -> bool {
        self.topology.members(group).iter().any(|member| self.is_healthy(*member))
    }

    /// Probes the replica that suits a read best, if no replica is known to be fresh enough but one may be.
    /// Returns whether the read has to wait for the probe.
    ///
    /// This is needed only where endpoints serve stale data. Each of many routers sends few requests and
    /// so knows no replica's recent position; without probes, it would send all of these reads to the
    /// primary.
    fn probe_before_read(&mut self, id: RequestId, available: &[EndpointIndex]) -> bool {
        let pending = &self.requests[&id];
        let required = self.required_position(pending);
        let may_be_stale = required > 0 && self.settings.endpoints_serve_stale();
        // Until an answer of the primary has shown the time on the group's clock, a probe of a replica can't
        // show how old its data is.
        let is_clock_known = self.topology.clock(pending.request.group).group_time(self.now).is_some();
        if !may_be_stale || !is_clock_known || !self.settings.probes || pending.probed.is_some() {
            return false;
        }
        let may_be_fresh = |member: &EndpointIndex| {
            let endpoint = &self.topology[*member];
            let can_take_read =
                !endpoint.ejected && !endpoint.probe_unanswered && self.has_capacity(pending, *member);
            let is_replica = self.topology.role(*member) == Role::Replica;
            is_replica && can_take_read && self.estimated_position(*member) >= required
        };
        let candidates: Vec<_> = available.iter().copied().filter(may_be_fresh).collect();
        let first = candidates.iter().copied().min_by_key(|member| {
            let order = self.topology[*member].last_send_number;
            let is_warming_up = self.is_warming_up(*member);
            (is_warming_up, self.pending_count(*member), self.crosses_zones(*member), order)
        });
        let none_is_fresh = candidates.iter().all(|member| self.expected_position(*member) < required);
        let probed = first.filter(|_| none_is_fresh);
        self.requests.get_mut(&id).expect("checked by the caller").probed = probed;
        probed.inspect(|replica| self.probe(*replica)).is_some()
    }

    /// Returns the position that an endpoint must have reached to serve a read; 0 if any position suffices.
    fn required_position(&self, pending: &PendingRequest) -> Micros {
        pending.needs.position.max(self.position_of_bound(pending))
    }

    /// Returns the position that the staleness bound of a request demands now; 0 without a bound.
    ///
    /// Where endpoints serve stale data, the bound is tightened by a margin. If the process is paused between
    /// the selection and the write of the request, the data gets older meanwhile.
    fn position_of_bound(&self, pending: &PendingRequest) -> Micros {
        let group_time = self.topology.group_time(pending.request.group, self.now);
        let bound = pending.needs.staleness_bound.filter(|_| self.settings.endpoints_serve_stale());
        pending.needs.position_of_bound(group_time) + bound.map_or(0, process_pause_margin)
    }

    /// Returns the needs of a request that an endpoint does not meet now, as far as this router knows.
    fn unmet_needs(&self, pending: &PendingRequest, index: EndpointIndex) -> PerNeed<bool> {
        if self.topology.role(index) == Role::Primary {
            return PerNeed::default();
        }
        let position = self.expected_position(index);
        PerNeed {
            role: pending.needs.role() == Role::Primary,
            position: position < pending.needs.position,
            bound: position < self.position_of_bound(pending),
        }
    }

    /// Counts the usable endpoints that the needs of a request rule out now.
    pub(super) fn count_ruled_out(&mut self, id: RequestId) {
        let pending = &self.requests[&id];
        let mut ruled_out = PerNeed::default();
        for member in self.topology.members(pending.request.group) {
            if self.is_usable(*member) {
                ruled_out.count(self.unmet_needs(pending, *member));
            }
        }
        self.routing.ruled_out += ruled_out;
        self.requests.get_mut(&id).expect("checked by the caller").ruled_out = ruled_out;
    }

    /// Counts an attempt of a request that a replica may serve, by the role of its endpoint.
    pub(super) fn count_read(&mut self, needs: &Needs, index: EndpointIndex) {
        match (needs.role(), self.topology.role(index)) {
            (Role::Replica, Role::Primary) => self.routing.reads_at_primary += 1,
            (Role::Replica, Role::Replica) => self.routing.reads_at_replica += 1,
            (Role::Primary, _) => {}
        }
    }

    /// Returns the position that an endpoint is likely to have when it serves a read. Where endpoints
    /// serve stale data, this is the position that the endpoint is known to have, as an estimate would be
    /// unsafe.
    fn expected_position(&self, index: EndpointIndex) -> Micros {
        let behavior = self.settings.stale_read_behavior;
        let clock = self.topology.clock_of(index);
        self.topology[index].replication.expected_position(behavior, clock, self.now)
    }

    /// Returns the position that an endpoint is likely to have now.
    fn estimated_position(&self, index: EndpointIndex) -> Micros {
        let clock = self.topology.clock_of(index);
        self.topology[index].replication.estimated_position(clock, self.now)
    }

    /// Returns whether a read may be sent to an endpoint: its data is fresh enough, or the endpoint
    /// rejects the read otherwise. Applies to trials too.
    fn may_serve(&self, pending: &PendingRequest, index: EndpointIndex) -> bool {
        !self.settings.endpoints_serve_stale() || !self.unmet_needs(pending, index).any()
    }

    /// Selects the endpoint with the fewest pending attempts among the available members that may serve a
    /// read. Ejected members are used only if the group has no healthy one.
    ///
    /// If no member may serve the read, the read is held. If none of those that may serve it accepts it, the
    /// read is shed.
    fn least_pending(&self, pending: &PendingRequest, available: &[EndpointIndex]) -> Selection {
        let group = pending.request.group;
        let any_healthy = self.any_healthy(group);
        let is_primary_healthy = self.topology.primary(group).is_some_and(|primary| self.is_healthy(primary));
        let is_candidate = |member: &EndpointIndex| {
            (!any_healthy || !self.topology[*member].ejected) && self.may_serve(pending, *member)
        };
        // Plain least-pending selection prefers replicas that reject reads because they lag: they finish
        // their attempts fastest and look idle. While the group has a healthy primary, lagging replicas
        // are excluded.
        let is_accepting = |member: &EndpointIndex| {
            let waits_for_primary = is_primary_healthy && self.tier(pending, *member) == Tier::LaggingReplica;
            self.has_capacity(pending, *member) && !waits_for_primary
        };
        let candidates: Vec<_> = available.iter().copied().filter(is_candidate).collect();
        let accepting: Vec<_> = candidates.iter().copied().filter(is_accepting).collect();
        let ranks = self.ranks(pending, available, &accepting);
        match ranks.into_iter().min() {
            Some(rank) => Selection::Send { endpoint: rank.index, exploratory: false },
            None if candidates.is_empty() => Selection::Hold,
            None => Selection::Shed,
        }
    }

    fn tier(&self, pending: &PendingRequest, index: EndpointIndex) -> Tier {
        if self.topology.is_primary_of(pending.request.group, index) {
            Tier::Primary
        } else if self.unmet_needs(pending, index).any() {
            Tier::LaggingReplica
        } else {
            Tier::FreshReplica
        }
    }

    /// Returns the ranks of the accepting members. `available` holds all usable members that the read was not
    /// sent to.
    fn ranks(
        &self,
        read: &PendingRequest,
        available: &[EndpointIndex],
        accepting: &[EndpointIndex],
    ) -> Vec<Rank> {
        let is_long = self.is_long_read(read.request.class) && !read.needs.has_freshness();
        let long_read_replica = self.long_read_replica(read.request.group);
        // Plain least-pending selection breaks ties in turn among all endpoints. Here, endpoints without a
        // connection take no turns if enough others have one, unless they are warming up: the slow start
        // budget already limits those.
        let is_connected = |index: &EndpointIndex| self.is_connected_replica(read.request.group, *index);
        let connected = available.iter().copied().filter(is_connected).count();
        let rank = |&index: &EndpointIndex| {
            let misplaced = long_read_replica.is_some_and(|replica| (replica == index) != is_long);
            let takes_turns = is_connected(&index) || self.is_warming_up(index);
            Rank {
                tier: self.tier(read, index),
                is_long_read_elsewhere: is_long && misplaced,
                pending: self.pending_count(index),
                is_misplaced: misplaced,
                crosses_zones: self.crosses_zones(index),
                needs_connection: connected >= CONNECTED_REPLICAS && !takes_turns,
                last_send_number: self.topology[index].last_send_number,
                index,
            }
        };
        accepting.iter().map(rank).collect()
    }

    /// Returns whether an endpoint is a replica to which this router probably has an open connection.
    fn is_connected_replica(&self, group: GroupId, index: EndpointIndex) -> bool {
        let open_time = self.settings.idle_timeout * CONNECTION_LIFE_PERCENT / 100;
        let is_open = self.now < self.topology[index].last_sent_at + open_time;
        is_open && !self.topology.is_primary_of(group, index)
    }

    /// Returns the replica of a group that serves long reads without a freshness requirement, if there are
    /// any.
    ///
    /// A long read may keep a replica from applying commits. Instead of spreading long reads over all
    /// replicas, all routers therefore send them to the same one, and other reads prefer the other
    /// replicas when the pending counts are equal.
    fn long_read_replica(&self, group: GroupId) -> Option<EndpointIndex> {
        let has_long_reads = (0..self.settings.classes.len()).any(|class| self.is_long_read(class));
        let is_candidate =
            |member: &EndpointIndex| self.is_healthy(*member) && !self.topology.is_primary_of(group, *member);
        let candidates = self.topology.members(group).iter().copied().filter(is_candidate);
        candidates.min_by_key(|member| self.topology[*member].id).filter(|_| has_long_reads)
    }

    /// Returns whether the requests of a class are long reads without a freshness requirement.
    fn is_long_read(&self, class: usize) -> bool {
        let lightest = self.traffic.baselines.all().fold(f64::INFINITY, f64::min);
        let needs_no_freshness = self.settings.classes[class].requirement == Requirement::Any;
        needs_no_freshness && self.unloaded_latency(class) > LONG_READ_MULTIPLE * lightest
    }

    /// Returns whether a request to an endpoint crosses zones and the settings put a cost on that.
    fn crosses_zones(&self, index: EndpointIndex) -> bool {
        self.topology[index].zone != self.settings.zone && self.settings.cross_zone_cost > 0.0
    }
}
