//! Concurrency limits and load shedding.

use crate::Router;
use crate::model::{Micros, Requirement, Role};
use crate::state::{EndpointIndex, OutstandingAttempt, PendingRequest};

/// The concurrency limit of an endpoint that nothing is known of: how many attempts of this router may be
/// outstanding there.
pub(super) const CONCURRENCY_START: f64 = 6.0;
/// The lowest concurrency limit. Guards against an endpoint that gets no attempts that could raise its
/// limit.
const CONCURRENCY_MIN: f64 = 1.0;
/// The highest concurrency limit. Bounds the growth at an endpoint where nothing queues.
const CONCURRENCY_MAX: f64 = 64.0;
/// How much the limit grows, in attempts, over one round of as many attempts as it allows.
const CONCURRENCY_GAIN: f64 = 0.5;
/// The part of the limit that is cut with each attempt that queues while the endpoint's queueing delay is
/// above [`DELAY_TARGET`].
const CONCURRENCY_CUT: f64 = 0.15;
/// The queueing delay, as a share of the latency objective, above which the limit falls and below which it
/// grows.
const DELAY_TARGET: f64 = 0.2;
/// The queueing delay of a group, as a share of the latency objective, from which on work is shed.
const SHED_START: f64 = 0.15;
/// How far the queueing delay has to be above [`SHED_START`] for the share that is shed to reach its most,
/// as a share of the latency objective.
const SHED_SPAN: f64 = 0.6;
/// How much shedding yields to the concurrency limits: one plus this, times the attempts that a warm
/// endpoint has in service for this router, divides the share that is shed. A router with several attempts
/// at an endpoint can limit them; one with fewer than one can only shed.
const SHED_RELIEF: f64 = 2.0;
/// The share of the concurrency limit that work of the lowest priority may use, so that room is left for
/// work of higher priority.
const LIMIT_SHARE_MIN: f64 = 0.5;
/// The share of the concurrency limit that work of the highest priority may use; above one, as it may
/// exceed the limit a little.
const LIMIT_SHARE_MAX: f64 = 1.4;

impl Router {
    /// Departure: an endpoint gets no more of this router's attempts than it answers in their objectives,
    /// and a share is shed by the group's queueing delay, lowest priority first. Guards against overload.
    pub(super) fn has_capacity(&self, pending: &PendingRequest, index: EndpointIndex) -> bool {
        let rank = self.priority_rank(pending, index);
        let limit_share = LIMIT_SHARE_MIN + (LIMIT_SHARE_MAX - LIMIT_SHARE_MIN) * rank;
        let limit = self.topology[index].concurrency_limit * limit_share;
        let busy = self.traffic.served_work(self.now) / self.warm_endpoints.max(1.0) / 1e6;
        let excess = self.topology.expected_delay(index, self.now) - SHED_START;
        let shed_share = (excess / SHED_SPAN).clamp(0.0, 1.0) / (1.0 + SHED_RELIEF * busy);
        let is_admitted = pending.shed_draw >= shed_share * (LIMIT_SHARE_MAX - rank);
        is_admitted && (self.pending_count(index) as f64) < limit
    }

    /// The value of a request for its work, from 0 to 1. Writes rank by what is left of their own weight, as
    /// only the primary can serve them; all that replicas can serve ranks lower there.
    fn priority_rank(&self, pending: &PendingRequest, index: EndpointIndex) -> f64 {
        let class = &self.settings.classes[pending.request.class];
        let unloaded = self.unloaded_latency(pending.request.class);
        let best = if class.requirement == Requirement::Write {
            class.priority_weight / unloaded
        } else {
            let classes = self.settings.classes.iter().zip(self.traffic.baselines.all());
            classes.map(|(class, unloaded)| class.priority_weight / unloaded).fold(0.0, f64::max)
        };
        let rank = (pending.priority / unloaded / best.max(1e-12)).clamp(0.0, 1.0).sqrt();
        let is_needless = self.topology.role(index) == Role::Primary && class.role() == Role::Replica;
        if is_needless { rank * LIMIT_SHARE_MIN } else { rank }
    }

    /// The number of this router's attempts at an endpoint that are outstanding and may still be answered.
    pub(super) fn pending_count(&self, index: EndpointIndex) -> usize {
        self.topology[index].pending_count(&self.settings.classes)
    }

    /// The time that a request of this class takes without load, in microseconds.
    pub(super) fn unloaded_latency(&self, class: usize) -> f64 {
        self.traffic.baselines.unloaded_latency(class)
    }

    /// Records how long an attempt took. One that was not answered has no time and counts as a full delay,
    /// however little time the client had left.
    pub(super) fn record_latency(
        &mut self,
        index: EndpointIndex,
        attempt: OutstandingAttempt,
        elapsed: Option<Micros>,
    ) {
        // Departure: attempts outstanding while this process was suspended are no evidence of the endpoint.
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
