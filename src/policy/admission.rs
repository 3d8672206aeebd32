//! Concurrency limits and load shedding, which prevent overload of the endpoints.
//!
//! Each router limits its outstanding attempts at each endpoint. It raises an endpoint's limit while
//! attempts are answered with little queueing delay, and lowers it when they queue. In addition, each
//! router sheds a share of the requests to a group when the group's queueing delay rises, those of lowest
//! priority first.

use crate::Router;
use crate::model::{Micros, Requirement, Role};
use crate::state::{EndpointIndex, OutstandingAttempt, PendingRequest};

/// The initial concurrency limit of an endpoint: the number of this router's attempts that may be outstanding
/// there.
pub(super) const CONCURRENCY_START: f64 = 6.0;
/// The lowest concurrency limit. Below one attempt, the endpoint would get none that could raise its limit.
const CONCURRENCY_MIN: f64 = 1.0;
/// The highest concurrency limit, which bounds the growth at an endpoint where nothing queues.
const CONCURRENCY_MAX: f64 = 64.0;
/// The growth of the limit, in attempts, after as many answers as the limit allows outstanding attempts.
const CONCURRENCY_GAIN: f64 = 0.5;
/// The share by which the limit is reduced for each attempt that queued, while the endpoint's average
/// queueing delay is above [`DELAY_TARGET`].
const CONCURRENCY_CUT: f64 = 0.15;
/// The average queueing delay, as a share of the latency objective, above which the limit falls and below
/// which it grows.
const DELAY_TARGET: f64 = 0.2;
/// The queueing delay of a group, as a share of the latency objective, above which requests are shed.
const SHED_START: f64 = 0.15;
/// The excess of the queueing delay over [`SHED_START`], as a share of the latency objective, at which the
/// shed share reaches its maximum.
const SHED_SPAN: f64 = 0.6;
/// How much concurrency at the endpoints reduces shedding: the shed share is divided by one plus this
/// constant times the average number of this router's attempts in service at a warm endpoint. A router
/// with several attempts at each endpoint can rely on the concurrency limits; one with fewer than one can
/// only shed.
const SHED_RELIEF: f64 = 2.0;
/// The average number of attempts of all routers at an endpoint below which the endpoint is idle most of the
/// time: it serves at least one request at a time, so its queue is empty then.
const IDLE_OCCUPANCY: f64 = 1.0;
/// The number of attempts of all routers that are outstanding at an endpoint at the same time from which it
/// may be full, even if it is idle on average.
const FULL_OCCUPANCY: f64 = 6.0;
/// The number of rejections in a row from which an endpoint serves no attempt at present.
const REJECTIONS_IN_A_ROW_MAX: u32 = 8;
/// The shortest time for which an endpoint that serves no attempt has rejected all. Without it, the attempts
/// of a moment could make such a row at an endpoint that rejects some of them.
const REJECTION_ROW_TIME_MIN: Micros = 500_000;
/// The share of the concurrency limit that requests of the lowest priority may use. The rest is reserved for
/// requests of higher priority.
const LIMIT_SHARE_MIN: f64 = 0.5;
/// The share of the concurrency limit that requests of the highest priority may use. It is above one: they
/// may exceed the limit a little.
const LIMIT_SHARE_MAX: f64 = 1.4;

impl Router {
    /// Returns whether an endpoint may be sent a request now: the endpoint's concurrency limit has
    /// capacity for the priority of the request, and the request is not among those that its group's
    /// queueing delay sheds.
    ///
    /// Plain least-pending selection has no such limit and overloads the endpoints when the offered work
    /// exceeds their capacity.
    pub(super) fn has_capacity(&self, pending: &PendingRequest, index: EndpointIndex) -> bool {
        let rank = self.priority_rank(pending, index);
        let limit_share = LIMIT_SHARE_MIN + (LIMIT_SHARE_MAX - LIMIT_SHARE_MIN) * rank;
        let limit = self.topology[index].concurrency_limit * limit_share;
        let in_service = self.traffic.served_work(self.now) / self.warm_endpoints.max(1.0) / 1e6;
        let excess = self.topology.expected_delay(index, self.now) - SHED_START;
        let shed_share = (excess / SHED_SPAN).clamp(0.0, 1.0) / (1.0 + SHED_RELIEF * in_service);
        let is_admitted = pending.shed_draw >= shed_share * (LIMIT_SHARE_MAX - rank);
        is_admitted && (self.pending_count(index) as f64) < limit
    }

    /// Returns the rank of a request for admission, from 0 to 1, by its priority for each unit of its work.
    ///
    /// Writes are compared with the full priority weight of their own class, as only the primary can serve
    /// them; other requests are compared with the most valuable class. At the primary, requests that replicas
    /// can serve rank lower.
    fn priority_rank(&self, pending: &PendingRequest, index: EndpointIndex) -> f64 {
        let class = &self.settings.classes[pending.request.class];
        let unloaded = self.unloaded_latency(pending.request.class);
        let best_value = if class.requirement == Requirement::Write {
            class.priority_weight / unloaded
        } else {
            let classes = self.settings.classes.iter().zip(self.traffic.baselines.all());
            classes.map(|(class, unloaded)| class.priority_weight / unloaded).fold(0.0, f64::max)
        };
        let rank = (pending.priority / unloaded / best_value.max(1e-12)).clamp(0.0, 1.0).sqrt();
        let is_replica_work = self.topology.role(index) == Role::Primary && class.role() == Role::Replica;
        if is_replica_work { rank * LIMIT_SHARE_MIN } else { rank }
    }

    /// Returns the number of this router's outstanding attempts at an endpoint, without those that are lost.
    pub(super) fn pending_count(&self, index: EndpointIndex) -> usize {
        self.topology[index].pending_count(&self.settings.classes)
    }

    /// Returns the latency of a request of this class at an idle endpoint, in microseconds.
    pub(super) fn unloaded_latency(&self, class: usize) -> f64 {
        self.traffic.baselines.unloaded_latency(class)
    }

    /// Returns whether an endpoint that has rejected an attempt as if its queue was full probably has room
    /// for the next one: it answers most attempts, and all routers together have few attempts there.
    ///
    /// By Little's law, the average number of attempts rises both with their rate and with the time that they
    /// spend in the queue, so that an endpoint whose queue is full all the time is not taken for an idle one.
    pub(super) fn rejects_by_chance(&self, index: EndpointIndex) -> bool {
        let endpoint = &self.topology[index];
        self.of_all_routers(endpoint.occupancy.average()) < IDLE_OCCUPANCY && !self.rejects_all(index)
    }

    /// Returns whether a rejection by an endpoint shows that its queue is full. An endpoint that is idle on
    /// average may be full at the moment.
    pub(super) fn rejects_for_load(&self, index: EndpointIndex) -> bool {
        let outstanding = self.topology[index].outstanding.len() as f64;
        !self.rejects_by_chance(index) || self.of_all_routers(outstanding) >= FULL_OCCUPANCY
    }

    /// Estimates the attempts of all routers from those of this one.
    fn of_all_routers(&self, attempts: f64) -> f64 {
        attempts * f64::from(self.settings.instances.max(1))
    }

    /// Returns whether an endpoint has rejected so many attempts in a row, and for so long, that it serves
    /// none at present.
    pub(super) fn rejects_all(&self, index: EndpointIndex) -> bool {
        let endpoint = &self.topology[index];
        let is_lasting = self.now >= endpoint.first_rejection_at + REJECTION_ROW_TIME_MIN;
        endpoint.rejections_in_a_row >= REJECTIONS_IN_A_ROW_MAX && is_lasting
    }

    /// Records the latency of an attempt and adapts the concurrency limit of its endpoint.
    ///
    /// `elapsed` is `None` for an attempt that was not answered, or was rejected for load. It counts as a
    /// delay of the whole latency objective, even if the client had less time left.
    pub(super) fn record_latency(
        &mut self,
        index: EndpointIndex,
        attempt: &OutstandingAttempt,
        elapsed: Option<Micros>,
    ) {
        // The elapsed time of an attempt sent before this process was suspended includes the suspension and
        // shows nothing about the endpoint.
        if attempt.sent_at < self.resumed_at {
            return;
        }
        let objective = self.settings.classes[attempt.class].latency_objective as f64;
        let delay = elapsed.map_or(1.0, |elapsed| {
            self.traffic.baselines.record(attempt.class, elapsed);
            let unloaded = self.traffic.baselines.unloaded_latency(attempt.class);
            ((elapsed as f64 - unloaded) / objective).clamp(0.0, 1.0)
        });
        self.topology.record_delay(index, delay, self.now);
        let endpoint = &mut self.topology[index];
        if delay == 0.0 {
            endpoint.last_undelayed_send = endpoint.last_undelayed_send.max(attempt.sent_at);
        }
        let average = endpoint.queueing_delay.share();
        let limit = &mut endpoint.concurrency_limit;
        let is_used = endpoint.outstanding.len() as f64 + 1.0 >= *limit * LIMIT_SHARE_MIN;
        if average > DELAY_TARGET && delay > 0.0 {
            *limit = (*limit * (1.0 - CONCURRENCY_CUT)).max(CONCURRENCY_MIN);
        } else if average < DELAY_TARGET && is_used {
            *limit = (*limit + CONCURRENCY_GAIN * limit.min(1.0 / *limit)).min(CONCURRENCY_MAX);
        }
    }
}
