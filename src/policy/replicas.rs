//! Selection for reads that a replica may serve: the fewest pending among those that are fresh enough.

use super::Selection;
use crate::Router;
use crate::model::{Class, GroupId, Idempotency, Micros, RequestId, Requirement, Role, process_pause_margin};
use crate::state::{EndpointIndex, PendingRequest};

/// A read is long if it takes more than this many times as long as a request of the lightest class.
const LONG_READ_MULTIPLE: f64 = 5.0;
/// Where at least this many replicas of a group have a connection, those without one yield to equals that
/// have one. Guards against a connection from each of many routers to each endpoint.
const CONNECTED_REPLICAS: usize = 2;
/// The part of the idle timeout, in percent, for which a connection counts as open after it was last used.
/// Guards against a connection that the endpoint closes while a request is on its way.
const CONNECTION_LIFE_PERCENT: Micros = 80;

/// What kind of endpoint may serve a read, the preferred first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    FreshReplica,
    Primary,
    LaggingReplica,
}

/// How endpoints compare for a read, field by field; the least is selected.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    tier: Tier,
    is_long_read_elsewhere: bool,
    pending: usize,
    yields: bool,
    crosses_zones: bool,
    needs_connection: bool,
    last_send_number: u64,
    index: EndpointIndex,
}

impl Router {
    /// The next step of a read that a replica may serve.
    pub(super) fn select_replica(&mut self, id: RequestId) -> Selection {
        let pending = &self.requests[&id];
        let class = pending.request.class;
        let mut open = self.topology.members(pending.request.group).to_vec();
        open.retain(|member| self.is_usable(*member) && !pending.tried.contains(member));
        if let Some(endpoint) = self.due_trial(pending, &open)
            && self.admit_slow_start(endpoint, class, false)
        {
            self.trial_budget -= 1.0;
            return Selection::Send { endpoint, exploratory: true };
        }
        if self.probe_before_read(id, &open) {
            return Selection::Hold;
        }
        loop {
            match self.least_pending(&self.requests[&id], &open) {
                Selection::Send { endpoint, .. } if !self.admit_slow_start(endpoint, class, false) => {
                    open.retain(|member| *member != endpoint);
                }
                selection => return selection,
            }
        }
    }

    /// An ejected member that this read may try.
    fn due_trial(&self, pending: &PendingRequest, open: &[EndpointIndex]) -> Option<EndpointIndex> {
        let idempotency = self.settings.classes[pending.request.class].idempotency;
        let is_first = pending.attempts == 0 && idempotency == Idempotency::Idempotent;
        let is_due = |member: &EndpointIndex| self.is_trial_due(*member) && self.may_serve(pending, *member);
        let may_try = is_first && self.trial_budget >= 1.0 && self.any_healthy(pending.request.group);
        open.iter().copied().find(is_due).filter(|_| may_try)
    }

    fn any_healthy(&self, group: GroupId) -> bool {
        self.topology.members(group).iter().any(|member| self.is_healthy(*member))
    }

    /// Departure: where endpoints serve stale data, a read first probes a replica if none is known as fresh.
    /// Guards against sending all to primaries: each of many routers knows no replica's recent position.
    fn probe_before_read(&mut self, id: RequestId, open: &[EndpointIndex]) -> bool {
        let pending = &self.requests[&id];
        let required = self.required_position(pending);
        let may_be_stale = required > 0 && self.settings.endpoints_serve_stale();
        // Departure: only the primary's answer shows the time on the group's clock. Guards against probes
        // that can't show how old the data is.
        let is_clock_known = self.topology.clock(pending.request.group).group_time(self.now).is_some();
        if !may_be_stale || !is_clock_known || !self.settings.probes || pending.probed.is_some() {
            return false;
        }
        let may_be_fresh = |member: &EndpointIndex| {
            let endpoint = &self.topology[*member];
            let is_well =
                !endpoint.ejected && !endpoint.probe_unanswered && self.has_capacity(pending, *member);
            let is_replica = self.topology.role(*member) == Role::Replica;
            is_replica && is_well && self.estimated_position(*member) >= required
        };
        let candidates: Vec<_> = open.iter().copied().filter(may_be_fresh).collect();
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

    /// The position that an endpoint must have reached to serve a read.
    fn required_position(&self, pending: &PendingRequest) -> Micros {
        let class = &self.settings.classes[pending.request.class];
        let present = self.topology.group_time(pending.request.group, self.now);
        pending.required_position_at(present, class) + self.staleness_margin(class)
    }

    /// Departure: where endpoints serve stale data, a bound is not used to its end. Guards against a proxy
    /// that is paused between the selection and the write.
    fn staleness_margin(&self, class: &Class) -> Micros {
        match class.requirement {
            Requirement::BoundedStaleness(bound) if self.settings.endpoints_serve_stale() => {
                process_pause_margin(bound)
            }
            _ => 0,
        }
    }

    /// The position that an endpoint is likely to have when it serves a read, or is known to have where only
    /// that is safe.
    fn expected_position(&self, index: EndpointIndex) -> Micros {
        let behavior = self.settings.stale_read_behavior;
        let clock = self.topology.clock_of(index);
        self.topology[index].replication.expected_position(behavior, clock, self.now)
    }

    /// The position that an endpoint is likely to have by now.
    fn estimated_position(&self, index: EndpointIndex) -> Micros {
        let clock = self.topology.clock_of(index);
        self.topology[index].replication.estimated_position(clock, self.now)
    }

    /// Whether an endpoint's answer will be fresh enough, or the endpoint rejects the read if it is not.
    /// Trials keep to this like all sends.
    fn may_serve(&self, pending: &PendingRequest, index: EndpointIndex) -> bool {
        !self.settings.endpoints_serve_stale()
            || self.topology.role(index) == Role::Primary
            || self.expected_position(index) >= self.required_position(pending)
    }

    /// The endpoint with the fewest pending attempts among those that may serve a read.
    fn least_pending(&self, pending: &PendingRequest, open: &[EndpointIndex]) -> Selection {
        let group = pending.request.group;
        let any_healthy = self.any_healthy(group);
        let is_led = self.topology.primary(group).is_some_and(|primary| self.is_healthy(primary));
        let is_candidate = |member: &EndpointIndex| {
            (!any_healthy || !self.topology[*member].ejected) && self.may_serve(pending, *member)
        };
        // Departure: an endpoint known to lag is not tried while waiting for the primary is possible. Guards
        // against rejecting replicas, which drain fastest and look idlest, when all of a group lag.
        let is_open = |member: &EndpointIndex| {
            let waits_for_primary = is_led && self.tier(pending, *member) == Tier::LaggingReplica;
            self.has_capacity(pending, *member) && !waits_for_primary
        };
        let candidates: Vec<_> = open.iter().copied().filter(is_candidate).collect();
        let accepted: Vec<_> = candidates.iter().copied().filter(is_open).collect();
        let ranks = self.ranks(pending, open, &accepted);
        match ranks.into_iter().min() {
            Some(rank) => Selection::Send { endpoint: rank.index, exploratory: false },
            None if candidates.is_empty() => Selection::Hold,
            None => Selection::Shed,
        }
    }

    fn tier(&self, pending: &PendingRequest, index: EndpointIndex) -> Tier {
        if self.topology.is_primary_of(pending.request.group, index) {
            Tier::Primary
        } else if self.expected_position(index) >= self.required_position(pending) {
            Tier::FreshReplica
        } else {
            Tier::LaggingReplica
        }
    }

    /// Ranks the accepted members among those available for a read.
    fn ranks(&self, read: &PendingRequest, open: &[EndpointIndex], accepted: &[EndpointIndex]) -> Vec<Rank> {
        let is_long = self.is_long_read(read.request.class);
        let long_read_replica = self.long_read_replica(read.request.group);
        // Departure: ties go in turn among endpoints that warm up, whose budget is small enough, and
        // endpoints with a connection, where there are enough.
        let is_connected = |index: &EndpointIndex| self.is_connected_replica(read.request.group, *index);
        let connected = open.iter().copied().filter(is_connected).count();
        let rank = |&index: &EndpointIndex| {
            let is_elsewhere = long_read_replica.is_some_and(|replica| (replica == index) != is_long);
            let may_be_used = is_connected(&index) || self.is_warming_up(index);
            Rank {
                tier: self.tier(read, index),
                is_long_read_elsewhere: is_long && is_elsewhere,
                pending: self.pending_count(index),
                yields: is_elsewhere,
                crosses_zones: self.crosses_zones(index),
                needs_connection: connected >= CONNECTED_REPLICAS && !may_be_used,
                last_send_number: self.topology[index].last_send_number,
                index,
            }
        };
        accepted.iter().map(rank).collect()
    }

    /// Whether an endpoint is a replica to which a connection is probably open.
    fn is_connected_replica(&self, group: GroupId, index: EndpointIndex) -> bool {
        let life = self.settings.idle_timeout * CONNECTION_LIFE_PERCENT / 100;
        let lasts = self.now < self.topology[index].last_sent_at + life;
        lasts && !self.topology.is_primary_of(group, index)
    }

    /// Departure: long reads without freshness go to one replica, the same for all routers, and at
    /// equal counts the others come first for the rest, since long reads may keep it from applying commits.
    fn long_read_replica(&self, group: GroupId) -> Option<EndpointIndex> {
        let has_long_reads = (0..self.settings.classes.len()).any(|class| self.is_long_read(class));
        let is_candidate =
            |member: &EndpointIndex| self.is_healthy(*member) && !self.topology.is_primary_of(group, *member);
        let candidates = self.topology.members(group).iter().copied().filter(is_candidate);
        candidates.min_by_key(|member| self.topology[*member].id).filter(|_| has_long_reads)
    }

    /// Whether requests of a class are long reads that need no freshness.
    fn is_long_read(&self, class: usize) -> bool {
        let lightest = self.traffic.baselines.all().fold(f64::INFINITY, f64::min);
        let needs_no_freshness = self.settings.classes[class].requirement == Requirement::Any;
        needs_no_freshness && self.unloaded_latency(class) > LONG_READ_MULTIPLE * lightest
    }

    /// Whether sending to an endpoint costs a crossing between zones.
    fn crosses_zones(&self, index: EndpointIndex) -> bool {
        self.topology[index].zone != self.settings.zone && self.settings.cross_zone_cost > 0.0
    }
}
