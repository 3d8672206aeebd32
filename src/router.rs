//! The router: its state, and the dispatch of events to the policy.

use crate::estimators::{FailureRate, Traffic};
use crate::model::{Action, EndpointCounts, Event, Micros, RequestId, RoutingCounts, Settings};
use crate::policy;
use crate::random::RandomSource;
use crate::state::{PendingRequest, ProbeSchedule, ServingCapacity, SessionCommits, Topology, UsableCounts};
use std::collections::BTreeMap;

/// Decides to which endpoint each request is sent.
///
/// Each proxy process has one router, and routers share no state. A router does no I/O: it handles the events
/// of its host and returns actions that the host carries out. The decisions are methods of this type in the
/// policy module.
#[derive(Default)]
pub struct Router {
    pub(crate) settings: Settings,
    pub(crate) random: RandomSource,
    pub(crate) created_at: Micros,
    pub(crate) now: Micros,
    /// The actions that the event being handled has caused.
    pub(crate) actions: Vec<Action>,

    pub(crate) next_tick_at: Micros,
    /// When the end of this process's last suspension was detected; 0 if it was never suspended.
    pub(crate) resumed_at: Micros,

    pub(crate) topology: Topology,
    pub(crate) requests: BTreeMap<RequestId, PendingRequest>,
    pub(crate) commits: SessionCommits,
    pub(crate) traffic: Traffic,
    pub(crate) routing: RoutingCounts,
    /// The moving failure rate of the attempts at all endpoints together.
    pub(crate) failure_rate: FailureRate,

    pub(crate) probe_schedule: ProbeSchedule,
    /// An upper bound of the probe intervals of all endpoints, in microseconds.
    pub(crate) longest_probe_interval: Micros,
    pub(crate) usable_counts: UsableCounts,
    /// The capacity of the usable endpoints and the most work that they were observed to serve.
    pub(crate) serving_capacity: ServingCapacity,
    /// The number of usable endpoints at the last update of the endpoint list.
    pub(crate) usable_endpoints: f64,
    /// The number of usable endpoints that were not warming up at the last update of the endpoint list.
    pub(crate) warm_endpoints: f64,
    /// The work, in microseconds of unloaded latency per second, that a warm endpoint served for this router
    /// when a warm endpoint last answered.
    pub(crate) last_warm_work: f64,
    /// The number of retries that may be sent. Fractional: a retry costs less than one if the failed attempt
    /// took less than its unloaded latency.
    pub(crate) retry_budget: f64,
    /// When the retries per second were last added to the retry budget.
    pub(crate) retry_budget_at: Micros,
    /// The number of trials of ejected endpoints for which reads may be used. Fractional: each request adds a
    /// part of a trial.
    pub(crate) trial_budget: f64,
    /// The number of the last send, counted from [`policy::FIRST_SEND_NUMBER`].
    pub(crate) sends: u64,
}

impl Router {
    /// Creates a router that has no endpoints yet, on a host whose clock agrees with those of the members.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        Router {
            traffic: Traffic::new(&settings, now),
            settings,
            random: RandomSource::new(seed),
            created_at: now,
            now,
            retry_budget: policy::BUDGET_START,
            retry_budget_at: now,
            trial_budget: policy::BUDGET_START,
            sends: policy::FIRST_SEND_NUMBER,
            ..Router::default()
        }
    }

    /// Creates a router on a host whose clock may differ from those of the members. The router estimates each
    /// group's clock from the answers of its primary, and compares positions with that estimate.
    pub fn with_unknown_clock(settings: Settings, seed: u64, now: Micros) -> Self {
        Router { topology: Topology::with_unknown_clock(), ..Router::new(settings, seed, now) }
    }

    /// Limits the memory of the last commits of sessions, of which the router must not have any yet.
    pub fn with_commit_memory(self, bytes: usize) -> Self {
        Router { commits: SessionCommits::within(bytes), ..self }
    }

    /// Handles one event that happened at `now`, and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.check_ticks();
        match event {
            Event::EndpointUpdate { complete, endpoints } => self.on_endpoint_update(complete, endpoints),
            Event::EndpointListFailed => self.on_endpoint_list_failed(),
            Event::TimerFired(token) => self.on_timer(token),
            Event::Request(request) => self.on_request(request),
            Event::AttemptEnded(result) => self.on_attempt_ended(result),
            Event::ProbeEnded { endpoint, answered, report } => {
                self.on_probe_ended(endpoint, answered, report)
            }
            Event::ProbeNotSent(endpoint) => self.on_probe_not_sent(endpoint),
            Event::ClientDisconnected(id) => self.finish(id),
        }
        actions.append(&mut self.actions);
    }

    /// Returns how the requests were routed.
    pub fn routing_counts(&self) -> RoutingCounts {
        self.routing
    }

    /// Returns how many endpoints the list names, and how many of those the router currently avoids.
    pub fn endpoint_counts(&self) -> EndpointCounts {
        self.topology.counts()
    }
}

#[cfg(test)]
mod tests;
